// Package accountant splits what a day of the users' bench lost by cause, from
// the bench's report.
package accountant

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Day is what a report says of a day.
type Day struct {
	Name  string
	Worth float64
	// Broken says that a rule was broken.
	Broken bool
	// Losses are the parts of the worth that were lost, by cause.
	Losses map[string]float64
}

// Causes of lost credit. What is not refused and did not fail, and still earned
// less than all, was late or was made on old weights.
const (
	CauseRefused = "refused"
	CauseFailed  = "failed"
	CauseLate    = "late"
	// CauseUneven is what the worst zone, seconds and kind of request take
	// off the credit of the whole day.
	CauseUneven = "uneven"
)

// smallest is the share from which a price is told by its own name.
const smallest = 0.002

// CauseOther gathers all smaller prices.
const CauseOther = "other prices"

// report is the part of the bench's report that is read.
type report struct {
	// Worth has a short name there.
	Worth float64 `json:"G"`
	// Broken has the rules that were broken and how often.
	Broken map[string]int `json:"breaks"`
	All    struct {
		Requests int     `json:"n"`
		Refused  int     `json:"refused"`
		Failed   int     `json:"failed"`
		NotOwed  int     `json:"not_owed"`
		Worth    float64 `json:"worth"`
	} `json:"all"`
	// Parts are the parts of the day's worth: name, weight and value.
	Parts []part `json:"parts"`
	// Prices are names, amounts and the shares that they take.
	Prices []part `json:"prices"`
}

// part is a name and two numbers, written as a list.
type part struct {
	name          string
	first, second float64
}

// UnmarshalJSON reads the list.
func (p *part) UnmarshalJSON(data []byte) error {
	var fields []any
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) < 3 {
		return fmt.Errorf("an entry has %d fields, 3 are needed", len(fields))
	}
	name, isName := fields[0].(string)
	first, isFirst := fields[1].(float64)
	second, isSecond := fields[2].(float64)
	if !isName || !isFirst || !isSecond {
		return fmt.Errorf("entry %v is not a name and two numbers", fields)
	}
	p.name, p.first, p.second = name, first, second
	return nil
}

// Read reads the report of a day.
func Read(name string, data []byte) (Day, error) {
	var read report
	if err := json.Unmarshal(data, &read); err != nil {
		return Day{}, fmt.Errorf("report %s: %w", name, err)
	}
	if len(read.Parts) == 0 || read.All.Requests == 0 {
		return Day{}, fmt.Errorf("report %s has no requests or no parts of a worth", name)
	}
	return Day{Name: name, Worth: read.Worth, Broken: len(read.Broken) > 0, Losses: read.losses()}, nil
}

func (r report) losses() map[string]float64 {
	owed := float64(max(r.All.Requests-r.All.NotOwed, 1))
	refused, failed := float64(r.All.Refused)/owed, float64(r.All.Failed)/owed
	earned := 0.0
	for _, part := range r.Parts {
		earned += part.first * part.second
	}
	losses := map[string]float64{
		CauseLate:    max(1-r.All.Worth-refused-failed, 0),
		CauseRefused: refused,
		CauseFailed:  failed,
		CauseUneven:  r.All.Worth - earned,
	}
	for _, price := range r.Prices {
		cause := price.name
		if price.second < smallest {
			cause = CauseOther
		}
		losses[cause] += price.second
	}
	return losses
}

// Causes returns the causes of all days, those that lose most first.
func Causes(days []Day) []string {
	sums := map[string]float64{}
	for _, day := range days {
		for cause, share := range day.Losses {
			sums[cause] += share
		}
	}
	causes := slices.Collect(maps.Keys(sums))
	slices.SortFunc(causes, func(a, b string) int {
		return cmp.Or(cmp.Compare(rounded(sums[b]), rounded(sums[a])), strings.Compare(a, b))
	})
	return causes
}

// rounded keeps the order of equal shares from the errors of their sums.
func rounded(share float64) int { return int(math.Round(share * 1000)) }

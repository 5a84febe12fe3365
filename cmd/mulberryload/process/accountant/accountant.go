// Package accountant splits what a day of the users' bench lost by cause, from
// the bench's report.
package accountant

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	Losses []Loss
}

// Loss is a part of the day's worth that was lost.
type Loss struct {
	Cause string
	Share float64
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

func (r report) losses() []Loss {
	owed := float64(max(r.All.Requests-r.All.NotOwed, 1))
	refused, failed := float64(r.All.Refused)/owed, float64(r.All.Failed)/owed
	earned := 0.0
	for _, part := range r.Parts {
		earned += part.first * part.second
	}
	losses := []Loss{
		{CauseLate, max(1-r.All.Worth-refused-failed, 0)},
		{CauseRefused, refused},
		{CauseFailed, failed},
		{CauseUneven, r.All.Worth - earned},
	}
	other := 0.0
	for _, price := range r.Prices {
		if price.second < smallest {
			other += price.second
			continue
		}
		losses = append(losses, Loss{price.name, price.second})
	}
	losses = append(losses, Loss{CauseOther, other})
	slices.SortStableFunc(losses, func(a, b Loss) int { return cmp.Compare(b.Share, a.Share) })
	return losses
}

// Causes returns the causes of all days, those that lose most first.
func Causes(days []Day) []string {
	sums := map[string]float64{}
	for _, day := range days {
		for _, loss := range day.Losses {
			sums[loss.Cause] += loss.Share
		}
	}
	causes := make([]string, 0, len(sums))
	for cause := range sums {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int {
		return cmp.Or(cmp.Compare(rounded(sums[b]), rounded(sums[a])), strings.Compare(a, b))
	})
	return causes
}

// rounded keeps the order of equal shares from the errors of their sums.
func rounded(share float64) int { return int(math.Round(share * 1000)) }

// Share returns what a cause takes off a day.
func (d Day) Share(cause string) float64 {
	for _, loss := range d.Losses {
		if loss.Cause == cause {
			return loss.Share
		}
	}
	return 0
}

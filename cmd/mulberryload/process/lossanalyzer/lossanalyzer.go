// Package lossanalyzer reads the benchmark's report of a day and breaks the losses
// of that day down by cause.
package lossanalyzer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Day summarizes the report of one day.
type Day struct {
	Name string
	// Score is the score of the day, with 1 as the maximum.
	Score float64
	// RulesViolated reports whether a rule of the benchmark was violated.
	RulesViolated bool
	// Losses maps causes to the part of the score that was lost.
	Losses map[string]float64
}

// Causes of losses. Requests that were neither refused nor failed but did not
// score in full count as late; they were late or used old weights.
const (
	CauseRefused = "refused"
	CauseFailed  = "failed"
	CauseLate    = "late"
	// CauseUneven is the difference between the score of all requests and the
	// weighted score, which includes the worst zone, the worst seconds and
	// the worst kind of request.
	CauseUneven = "uneven"
)

// minNamedLoss is the loss from which a price is listed under its own name.
const minNamedLoss = 0.002

// CauseOther is the sum of all smaller prices.
const CauseOther = "other prices"

// report contains the fields of the benchmark's report that are used.
type report struct {
	// Worth is the total score.
	Worth float64 `json:"G"`
	// Broken maps the violated rules to the number of violations.
	Broken map[string]int `json:"breaks"`
	All    struct {
		Requests int     `json:"n"`
		Refused  int     `json:"refused"`
		Failed   int     `json:"failed"`
		NotOwed  int     `json:"not_owed"`
		Worth    float64 `json:"worth"`
	} `json:"all"`
	// Parts lists the components of the total score before prices are
	// deducted: name, weight and score.
	Parts []part `json:"parts"`
	// Prices lists deductions from the score: name, amount used and deduction.
	Prices []part `json:"prices"`
}

// part is a name and two numbers, encoded as a JSON array.
type part struct {
	name          string
	first, second float64
}

// UnmarshalJSON decodes the array.
func (p *part) UnmarshalJSON(data []byte) error {
	var fields []any
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) < 3 {
		return fmt.Errorf("entry has %d fields, want at least 3", len(fields))
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

// Read parses the report of a day. The name is used in the output and in errors.
func Read(name string, data []byte) (Day, error) {
	var parsed report
	if err := json.Unmarshal(data, &parsed); err != nil {
		return Day{}, fmt.Errorf("report %s: %w", name, err)
	}
	if len(parsed.Parts) == 0 || parsed.All.Requests == 0 {
		return Day{}, fmt.Errorf("report %s has no requests or no parts", name)
	}
	return Day{Name: name, Score: parsed.Worth, RulesViolated: len(parsed.Broken) > 0, Losses: parsed.losses()}, nil
}

func (r report) losses() map[string]float64 {
	counted := float64(max(r.All.Requests-r.All.NotOwed, 1))
	refused, failed := float64(r.All.Refused)/counted, float64(r.All.Failed)/counted
	weightedScore := 0.0
	for _, part := range r.Parts {
		weightedScore += part.first * part.second
	}
	losses := map[string]float64{
		CauseLate:    max(1-r.All.Worth-refused-failed, 0),
		CauseRefused: refused,
		CauseFailed:  failed,
		CauseUneven:  r.All.Worth - weightedScore,
	}
	for _, price := range r.Prices {
		cause := price.name
		if price.second < minNamedLoss {
			cause = CauseOther
		}
		losses[cause] += price.second
	}
	return losses
}

// Causes returns the causes of losses on any of the days, the largest total loss
// first.
func Causes(days []Day) []string {
	totals := map[string]float64{}
	for _, day := range days {
		for cause, share := range day.Losses {
			totals[cause] += share
		}
	}
	causes := slices.Collect(maps.Keys(totals))
	slices.SortFunc(causes, func(a, b string) int {
		return cmp.Or(cmp.Compare(inThousandths(totals[b]), inThousandths(totals[a])), strings.Compare(a, b))
	})
	return causes
}

// inThousandths returns the loss in thousandths. Rounding keeps floating-point
// errors from deciding the order of equal losses.
func inThousandths(share float64) int { return int(math.Round(share * 1000)) }

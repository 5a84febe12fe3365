package promoter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/judge"
	"mulberrybeam/version/promoter"
)

// stageCase is a situation of a leader and the stage that follows from it.
type stageCase struct {
	stage   mulberrybeam.RolloutStage
	seconds float64
	change  func(s *promoter.Situation)
	want    mulberrybeam.RolloutStage
}

// Guards against a stage that exposes more requests than the evidence, the
// capacity or the time allows, and against a rollout that does not end.
func TestNextStage(t *testing.T) {
	const (
		waiting, sample, load   = mulberrybeam.StageWaiting, mulberrybeam.StageSample, mulberrybeam.StageLoad
		full, final, rolledBack = mulberrybeam.StageFull, mulberrybeam.StageFinal, mulberrybeam.StageRolledBack
	)
	busy := judge.Verdict{NewResponses: 100, OldResponses: 1000}
	for name, test := range map[string]stageCase{
		"no warm target":               {waiting, 2, func(s *promoter.Situation) { s.WarmSlots = 0 }, waiting},
		"warm target":                  {waiting, 2, nil, sample},
		"sample is short":              {sample, 2, nil, sample},
		"sample without doubt":         {sample, 3, nil, load},
		"sample with doubt":            {sample, 5, func(s *promoter.Situation) { s.Verdict.Doubt = true }, sample},
		"bad":                          {sample, 1, func(s *promoter.Situation) { s.Verdict.Bad = true }, rolledBack},
		"good too early for full":      {load, 5, func(s *promoter.Situation) { s.Good = true }, load},
		"good":                         {load, 6, func(s *promoter.Situation) { s.Good = true }, full},
		"good with new doubt":          {load, 6, func(s *promoter.Situation) { s.Good, s.Verdict.Doubt = true, true }, load},
		"good with few slots":          {load, 6, func(s *promoter.Situation) { s.Good, s.WarmSlots = true, 8 }, load},
		"good, leader hears few":       {load, 6, func(s *promoter.Situation) { s.Good, s.Heard = true, false }, load},
		"bad, leader hears few":        {load, 6, func(s *promoter.Situation) { s.Verdict.Bad, s.Heard = true, false }, rolledBack},
		"idle":                         {load, 6, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 20} }, full},
		"idle with doubt":              {load, 6, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 20, Doubt: true} }, load},
		"busy and not judged":          {load, 6, nil, load},
		"few requests expected":        {load, 6, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 40} }, full},
		"too many requests expected":   {load, 6, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 41} }, load},
		"slack is used":                {load, 6, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 10, NewResponses: 28} }, load},
		"counted for a short time":     {load, 6, func(s *promoter.Situation) { s.Verdict, s.CountedFor = judge.Verdict{OldResponses: 20}, time.Second }, load},
		"last call":                    {load, 9, nil, rolledBack},
		"last call of a good one":      {load, 9, func(s *promoter.Situation) { s.Good = true }, full},
		"last call without one target": {load, 9, func(s *promoter.Situation) { s.GoodWithoutOne = true }, full},
		"last call with few requests":  {load, 9, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 120} }, full},
		"last call with too many":      {load, 9, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 121} }, rolledBack},
		"last call with doubt":         {load, 9, func(s *promoter.Situation) { s.Good, s.Verdict.Doubt = true, true }, rolledBack},
		"last call of an idle one":     {sample, 9, func(s *promoter.Situation) { s.Verdict = judge.Verdict{OldResponses: 20} }, full},
		"last call without responses":  {load, 9, func(s *promoter.Situation) { s.Verdict.NewResponses = 3 }, rolledBack},
		"last call with few slots":     {load, 9, func(s *promoter.Situation) { s.WarmSlots = 8 }, rolledBack},
		"deadline, leader hears few":   {load, 11, func(s *promoter.Situation) { s.Heard = false }, rolledBack},
		"known version":                {waiting, 0.1, func(s *promoter.Situation) { s.Known = true }, full},
		"full too short":               {full, 6, func(s *promoter.Situation) { s.InStage = 0 }, full},
		"full, requests at old ones":   {full, 14, func(s *promoter.Situation) { s.Drained = false }, full},
		"full and drained":             {full, 8, nil, final},
		"full, doubt at the deadline":  {full, 11, func(s *promoter.Situation) { s.Verdict.Doubt = true }, rolledBack},
		"final and bad":                {final, 9, func(s *promoter.Situation) { s.Verdict.Bad = true }, rolledBack},
		"rolled back":                  {rolledBack, 3, func(s *promoter.Situation) { s.Good = true }, rolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			situation := promoter.Situation{
				Stage: test.stage, Elapsed: time.Duration(test.seconds * float64(time.Second)), Duration: 12 * time.Second,
				InStage: 2 * time.Second, CountedFor: time.Duration(test.seconds * float64(time.Second)), Share: 0.1, Slack: 50, Verdict: busy, WarmSlots: 18, OldSlots: 18, Heard: true, Drained: true,
			}
			if test.change != nil {
				test.change(&situation)
			}
			stage, _ := promoter.NextStage(situation)
			is.New(t).Equal(stage, test.want)
			is.New(t).Equal(promoter.MaySucceed(situation), test.stage == final && !situation.Verdict.Bad)
		})
	}
}

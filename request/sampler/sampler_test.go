package sampler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/sampler"
)

func granted() bool { return true }

// Guards against a share that differs from the stage's, and against a request for
// which hosts decide differently.
func TestShare(t *testing.T) {
	is := is.New(t)
	rollout := &mulberrybeam.FleetRollout{Order: 7, Stage: mulberrybeam.StageSample, Share: 0.05, ValidUntil: time.Second}
	sampled := 0
	for i := range 10000 {
		query := sampler.Query{Rollout: rollout, Request: mulberrybeam.RequestID(fmt.Sprint(i)), First: true}
		if sampler.Decide(query, granted) == sampler.New {
			sampled++
		}
		is.Equal(sampler.Decide(query, granted), sampler.Decide(query, granted))
	}
	is.True(sampled > 400 && sampled < 600)
}

// Guards against requests to the new version that no stage, account or age of the
// stage allows.
func TestSides(t *testing.T) {
	for name, test := range map[string]struct {
		stage   mulberrybeam.RolloutStage
		now     time.Duration
		later   bool
		refused bool
		want    sampler.Side
	}{
		"waiting":        {stage: mulberrybeam.StageWaiting, want: sampler.Old},
		"sample":         {stage: mulberrybeam.StageSample, want: sampler.New},
		"retry":          {stage: mulberrybeam.StageSample, later: true, want: sampler.Old},
		"no credit":      {stage: mulberrybeam.StageLoad, refused: true, want: sampler.Old},
		"stale sample":   {stage: mulberrybeam.StageSample, now: time.Second, want: sampler.Old},
		"full":           {stage: mulberrybeam.StageFull, want: sampler.New},
		"retry at full":  {stage: mulberrybeam.StageFull, later: true, want: sampler.New},
		"stale full":     {stage: mulberrybeam.StageFull, now: time.Second, want: sampler.Old},
		"stale final":    {stage: mulberrybeam.StageFinal, now: time.Second, want: sampler.New},
		"rolled back":    {stage: mulberrybeam.StageRolledBack, want: sampler.Old},
		"unknown number": {stage: 9, want: sampler.Old},
	} {
		t.Run(name, func(t *testing.T) {
			rollout := &mulberrybeam.FleetRollout{Stage: test.stage, Share: 1, ValidUntil: time.Second}
			query := sampler.Query{Now: test.now, Rollout: rollout, First: !test.later}
			is.New(t).Equal(sampler.Decide(query, func() bool { return !test.refused }), test.want)
		})
	}
	is.New(t).Equal(sampler.Decide(sampler.Query{}, granted), sampler.Any)
}

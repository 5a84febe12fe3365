package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// newRolloutHarness starts a Relayer with a target of the old version and one of
// the new version, and a rollout in a stage with any share and credit.
func newRolloutHarness(t *testing.T, stage mulberrybeam.RolloutStage, newHandler http.HandlerFunc) (*harness, *mulberrybeam.FleetRollout) {
	h := newHarness(t, mulberrybeam.Rule{
		Name: "r", Guarantee: mulberrybeam.GuaranteeRepeatable, MaxAttempts: 2, LatencyGoal: time.Second,
	}, respondsStamped("old"), newHandler)
	rollout := &mulberrybeam.FleetRollout{
		To: "v2", Order: 5, Stage: stage, Sequence: 1, Share: 1, InitialCredit: 100, ValidUntil: time.Hour,
	}
	fleet := *h.fleet.Load()
	fleet.Rollouts = map[mulberrybeam.ServiceName]*mulberrybeam.FleetRollout{"s": rollout}
	fleet.Targets["s"][0].Software, fleet.Targets["s"][1].Software = "v1", "v2"
	h.fleet.Store(&fleet)
	return h, rollout
}

// newCounts returns the responses and failures of the new version.
func newCounts(h *harness, rollout *mulberrybeam.FleetRollout) (responses, failures uint64) {
	for _, counts := range h.tally.Report("s", rollout, 0).Counts {
		if counts.New {
			responses, failures = counts.Responses, counts.Failures
		}
	}
	return responses, failures
}

// Guards against a request that fails because it was in the sample, and against
// outcomes that are not counted.
func TestSampledRequests(t *testing.T) {
	for name, test := range map[string]struct {
		handler  http.HandlerFunc
		body     string
		failures uint64
		isNew    uint64
	}{
		"answered": {respondsStamped("new"), "new", 0, 1},
		"failed":   {fails, "old", 1, 1},
		"broken":   {abortsConnection, "old", 1, 1},
		"refused":  {refuses, "old", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, rollout := newRolloutHarness(t, mulberrybeam.StageSample, test.handler)
			is.Equal(h.call(nil).body, test.body)
			// A broken response is counted when it is known whether the target crashed.
			for range 100 {
				if responses, _ := newCounts(h, rollout); responses == test.isNew {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			responses, failures := newCounts(h, rollout)
			is.Equal(responses, test.isNew)
			is.Equal(failures, test.failures)
		})
	}
}

// Guards against requests to old targets in the full stage, and against requests to
// the new version once the stage is too old.
func TestFullStage(t *testing.T) {
	is := is.New(t)
	h, rollout := newRolloutHarness(t, mulberrybeam.StageFull, respondsStamped("new"))
	is.Equal(h.call(nil).body, "new")
	is.Equal(h.tally.Report("s", rollout, 0).Drained, mulberrybeam.StageFull)
	// A request that chose before the seal is refused as not run.
	earlier := *h.fleet.Load()
	sampled := *rollout
	sampled.Stage, sampled.Sequence = mulberrybeam.StageWaiting, 0
	earlier.Rollouts = map[mulberrybeam.ServiceName]*mulberrybeam.FleetRollout{"s": &sampled}
	h.fleet.Store(&earlier)
	is.Equal(h.call(nil).status, http.StatusServiceUnavailable)
	stale := *rollout
	stale.ValidUntil, stale.Sequence = 0, 2
	earlier.Rollouts["s"] = &stale
	is.Equal(h.call(nil).body, "old")
}

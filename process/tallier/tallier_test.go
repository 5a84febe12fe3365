package tallier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/tallier"
)

func rollout(stage mulberrybeam.RolloutStage, sequence uint64) *mulberrybeam.FleetRollout {
	return &mulberrybeam.FleetRollout{
		To: "v2", Order: 5, Stage: stage, Sequence: sequence, Credit: 0.25, InitialCredit: 1, ValidUntil: time.Minute,
	}
}

func begin(t *tallier.Tallier, software mulberrybeam.SoftwareVersion, by *mulberrybeam.FleetRollout) (*tallier.Attempt, bool) {
	return t.Begin(tallier.Start{Service: "s", Route: "r", Software: software, Rollout: by})
}

// Guards against a new version that gets more than its share and the slack,
// whatever part of the requests is in the sample.
func TestAccountLimitsExposure(t *testing.T) {
	is := is.New(t)
	tally, sample := tallier.New(), rollout(mulberrybeam.StageLoad, 1)
	reserved := 0
	for range 100 {
		if tally.Reserve("s", sample) {
			reserved++
		}
		attempt, allowed := begin(tally, "v1", sample)
		is.True(allowed)
		attempt.End(tallier.Outcome{})
	}
	is.Equal(reserved, 1+99/4)
}

// Guards against old targets that are stopped while a request runs there, and
// against one that was chosen before the seal and sent after it.
func TestSealedTargets(t *testing.T) {
	is := is.New(t)
	tally := tallier.New()
	earlier, _ := begin(tally, "v1", nil)
	sampled := rollout(mulberrybeam.StageLoad, 1)
	running, _ := begin(tally, "v1", sampled)
	full := rollout(mulberrybeam.StageFull, 2)
	is.Equal(tally.Report("s", full, 0).Drained, mulberrybeam.StageWaiting)
	_, allowed := begin(tally, "v1", sampled)
	is.True(!allowed)
	_, allowed = begin(tally, "v2", full)
	is.True(allowed)
	running.End(tallier.Outcome{Failed: true})
	running.End(tallier.Outcome{Failed: true})
	is.Equal(tally.Report("s", full, 0).Drained, mulberrybeam.StageWaiting)
	earlier.End(tallier.Outcome{})
	is.Equal(tally.Report("s", full, 0).Drained, mulberrybeam.StageFull)
	// A stage that has become too old, or was taken back, opens old targets. The
	// final one does not become too old.
	is.Equal(tally.Report("s", full, time.Minute).Drained, mulberrybeam.StageWaiting)
	again, allowed := begin(tally, "v1", full)
	is.True(allowed)
	is.Equal(tally.Report("s", rollout(mulberrybeam.StageFinal, 3), time.Minute).Drained, mulberrybeam.StageWaiting)
	again.End(tallier.Outcome{})
	is.Equal(tally.Report("s", rollout(mulberrybeam.StageFinal, 3), time.Minute).Drained, mulberrybeam.StageFinal)
	is.Equal(tally.Report("s", rollout(mulberrybeam.StageRolledBack, 4), 0).Drained, mulberrybeam.StageWaiting)
}

// Guards against a late report on an earlier stage that opens old targets, after
// this process has reported that it does not use them.
func TestStaleReportKeepsSeal(t *testing.T) {
	is := is.New(t)
	tally, full := tallier.New(), rollout(mulberrybeam.StageFull, 2)
	load := rollout(mulberrybeam.StageLoad, 1)
	is.Equal(tally.Report("s", full, 0).Drained, mulberrybeam.StageFull)
	is.Equal(tally.Report("s", load, 0).Drained, mulberrybeam.StageWaiting)
	_, allowed := begin(tally, "v1", load)
	is.True(!allowed)
	is.Equal(tally.Report("s", full, 0).Drained, mulberrybeam.StageFull)
	is.Equal(tally.Report("s", rollout(mulberrybeam.StageRolledBack, 3), 0).Drained, mulberrybeam.StageWaiting)
	_, allowed = begin(tally, "v1", rollout(mulberrybeam.StageRolledBack, 3))
	is.True(allowed)
}

// Guards against outcomes that count for the wrong version or order.
func TestCounts(t *testing.T) {
	is := is.New(t)
	tally, sample := tallier.New(), rollout(mulberrybeam.StageSample, 1)
	for software, outcome := range map[mulberrybeam.SoftwareVersion]tallier.Outcome{
		"v1": {FirstResponse: 17 * time.Millisecond},
		"v2": {Failed: true, FirstResponse: time.Second},
		"v0": {},
	} {
		attempt, _ := begin(tally, software, sample)
		attempt.End(outcome)
	}
	is.Equal(tally.Report("s", sample, 0).Counts, []mulberrybeam.RolloutCounts{
		{Route: "r", Responses: 1, FirstResponse: [mulberrybeam.LatencyBuckets]uint64{8: 1}},
		{Route: "r", New: true, Responses: 1, Failures: 1},
	})
	late, _ := begin(tally, "v2", sample)
	next := rollout(mulberrybeam.StageSample, 2)
	next.Order = 6
	is.Equal(len(tally.Report("s", next, 0).Counts), 0)
	late.End(tallier.Outcome{Failed: true})
	is.Equal(len(tally.Report("s", next, 0).Counts), 0)
	is.Equal(len(tally.Report("s", sample, 0).Counts), 0)
}

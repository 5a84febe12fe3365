package promoter

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/version/judge"
)

const (
	// The full stage begins fullFraction of the duration, or minFullTime, before
	// the deadline: old requests must end by then.
	fullFraction = 4
	minFullTime  = 6 * time.Second
	// A version that is not judged good lastCallFraction of the duration, or
	// minLastCall, before the deadline is decided by what is known.
	lastCallFraction = 6
	minLastCall      = 3 * time.Second
	// A version that is not in the full stage giveUpFraction of the duration, or
	// minGiveUp, before the deadline is rolled back. The full stage lasts at least
	// as long.
	giveUpFraction = 12
	minGiveUp      = time.Second
)

// Situation is what a leader knows of a rollout.
type Situation struct {
	Stage             mulberrybeam.RolloutStage
	Elapsed, Duration time.Duration
	// CountedFor is the time in which the responses of the verdict were counted. It differs
	// from Elapsed if the counts or the time have begun again.
	CountedFor time.Duration
	// Share and Slack are the fraction of all requests and the number beyond it that a
	// bad version may get.
	Share, Slack float64
	// InStage is the time since this process saw the stage.
	InStage time.Duration
	Verdict judge.Verdict
	// Good reports that the version was judged good, also by an earlier leader.
	Good bool
	// GoodWithoutOne reports that the version is judged good without one of its
	// targets, so that one faulty target does not fail the last call.
	GoodWithoutOne bool
	// WarmSlots and OldSlots are the slots of warm targets of the new version and of
	// those of the old one.
	WarmSlots, OldSlots int
	// Known reports that the new version served all requests before: an order to it
	// has succeeded, or it was seen as the only version of the service.
	Known bool
	// Heard reports that the leader hears from most hosts.
	Heard bool
	// Drained reports that all connected hosts are in the stage and use no old
	// targets.
	Drained bool
}

// fullAt returns when the full stage may begin.
func (s Situation) fullAt() time.Duration {
	return max(s.Duration-max(s.Duration/fullFraction, minFullTime), s.Duration/3)
}

func (s Situation) lastCallAt() time.Duration {
	return max(s.Duration-max(s.Duration/lastCallFraction, minLastCall), s.fullAt())
}

func (s Situation) giveUpAt() time.Duration {
	return max(s.Duration-max(s.Duration/giveUpFraction, minGiveUp), s.lastCallAt())
}

// hasCapacity reports whether the new version can take over.
func (s Situation) hasCapacity() bool { return s.WarmSlots > 0 && 2*s.WarmSlots >= s.OldSlots }

// isIdle reports whether so few requests are expected until the deadline that the
// slack covers them if the version is bad, together with those that it has had
// beyond its share. Responses of the new version count as requests too: in the load
// stage most go there. The wave of the load is not known, so that slackMargin
// leaves room for an increase.
func (s Situation) isIdle() bool {
	exposed := float64(s.Verdict.NewResponses)
	all := float64(s.Verdict.OldResponses) + exposed
	expected := all * float64(max(s.Duration-s.Elapsed, 0)) / float64(max(s.CountedFor, 1))
	beyond := exposed + expected - s.Share*(all+expected)
	return max(expected, beyond) <= slackMargin*s.Slack
}

// NextStage returns the stage that follows from a situation, and why.
func NextStage(s Situation) (mulberrybeam.RolloutStage, string) {
	switch {
	case s.Stage == mulberrybeam.StageRolledBack:
		return s.Stage, ""
	case s.Verdict.Bad:
		return mulberrybeam.StageRolledBack, "the version is bad"
	case s.Stage == mulberrybeam.StageFull && s.Verdict.Doubt && s.Elapsed >= s.giveUpAt():
		return mulberrybeam.StageRolledBack, "doubt at the deadline"
	case s.Stage == mulberrybeam.StageFull && s.mayFinish():
		return mulberrybeam.StageFinal, "old targets are idle"
	case s.Stage >= mulberrybeam.StageFull:
		return s.Stage, ""
	case s.Elapsed >= s.giveUpAt() && !s.Known:
		return mulberrybeam.StageRolledBack, "the version could not take over in time"
	case !s.Heard:
		return s.Stage, ""
	case s.Known && s.WarmSlots > 0:
		return mulberrybeam.StageFull, "the version served before"
	case s.Known:
		return s.Stage, ""
	case s.Elapsed >= s.lastCallAt():
		return s.lastCall()
	}
	return s.advance()
}

// lastCall decides on a version that was not judged good in time.
func (s Situation) lastCall() (mulberrybeam.RolloutStage, string) {
	switch {
	case !s.hasCapacity():
		return mulberrybeam.StageRolledBack, "too few warm targets of the version"
	case s.Verdict.Doubt:
		return mulberrybeam.StageRolledBack, "doubt at the last call"
	case s.Good:
		return mulberrybeam.StageFull, "the version is good"
	case s.GoodWithoutOne:
		return mulberrybeam.StageFull, "the version is good without one target"
	case s.isIdle():
		return mulberrybeam.StageFull, "the service is nearly idle, and nothing is known against the version"
	}
	return mulberrybeam.StageRolledBack, "too few responses to judge the version"
}

func (s Situation) advance() (mulberrybeam.RolloutStage, string) {
	switch {
	case s.Stage == mulberrybeam.StageWaiting && s.WarmSlots > 0:
		return mulberrybeam.StageSample, "a target of the version is warm"
	case s.Stage == mulberrybeam.StageSample && s.Elapsed >= s.fullAt()/2 && s.WarmSlots > 0 && !s.Verdict.Doubt:
		return mulberrybeam.StageLoad, "the sample shows nothing against the version"
	case s.Stage >= mulberrybeam.StageSample && s.Elapsed >= s.fullAt() && s.isIdle() && !s.Verdict.Doubt && s.hasCapacity():
		return mulberrybeam.StageFull, "the service is nearly idle, and nothing is known against the version"
	case s.Stage == mulberrybeam.StageLoad && s.Elapsed >= s.fullAt() && s.Good && !s.Verdict.Doubt && s.hasCapacity():
		return mulberrybeam.StageFull, "the version is good"
	}
	return s.Stage, ""
}

// mayFinish reports whether the old version is not needed any more.
func (s Situation) mayFinish() bool {
	return s.InStage >= max(s.Duration/giveUpFraction, minGiveUp) && s.Drained && s.Heard && !s.Verdict.Doubt && s.WarmSlots > 0
}

// MaySucceed reports whether the old targets may stop.
func MaySucceed(s Situation) bool {
	return s.Stage == mulberrybeam.StageFinal && s.Drained && s.Heard && !s.Verdict.Bad
}

package mulberrybeam

import "time"

// SoftwareVersion is the version of a target's software.
type SoftwareVersion string

// RolloutState is the state of a rollout as operators read it.
type RolloutState string

// States of a rollout. It is empty until the system has accepted the order.
const (
	RolloutRunning    RolloutState = "running"
	RolloutSucceeded  RolloutState = "succeeded"
	RolloutRolledBack RolloutState = "rolled-back"
)

// RolloutOrder is an operator's order to move the traffic of a service to the
// targets of one software version, with the status that the system wrote.
type RolloutOrder struct {
	Service  ServiceName
	To       SoftwareVersion
	Duration time.Duration
	Status   RolloutStatus
	// Revision is the ordinal of the object's version.
	Revision uint64
}

// RolloutStatus is the status of an order. To is the version that it is about,
// which differs from that of the order while a newer order is not accepted yet.
type RolloutStatus struct {
	State RolloutState
	To    SoftwareVersion
}

// RolloutStage is a step of a rollout. A later one exposes more requests to the
// new version, except for StageRolledBack.
type RolloutStage int

// Stages of a rollout.
const (
	StageWaiting RolloutStage = iota
	// StageSample sends a small share to all targets of the new version.
	StageSample
	// StageLoad sends as much to a few targets of the new version as they would
	// get if it had all requests.
	StageLoad
	// StageFull sends all requests to the new version. A host returns to the old one
	// when its information is too old.
	StageFull
	// StageFinal is like StageFull, but only a bad version lets a host return, so that
	// old targets may stop once all hosts are in it.
	StageFinal
	StageRolledBack
)

// String returns the name of the stage in logs.
func (s RolloutStage) String() string {
	names := [...]string{"waiting", "sample", "load", "full", "final", "rolled back"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// RolloutProgress is what the leader publishes of one rollout.
type RolloutProgress struct {
	Service ServiceName
	To      SoftwareVersion
	// Order is the revision of the order's object when the leader accepted it.
	Order uint64
	Stage RolloutStage
	// Elapsed is the time since the order when the leader wrote the progress.
	Elapsed time.Duration
	// Good reports that the new version was judged good.
	Good bool
}

// FleetRollout is what requests to a service need to know of its rollout.
type FleetRollout struct {
	To    SoftwareVersion
	Order uint64
	Stage RolloutStage
	// Sequence increases with each change of the rollout in this process.
	Sequence uint64
	// Share is the fraction of requests that may go to the new version.
	Share float64
	// Credit is the fraction of a request to the new version that each request to
	// the service allows, and InitialCredit the number of requests allowed on
	// top of that. Both apply until the version is judged good.
	Credit        float64
	InitialCredit float64
	// Known reports that the version served all requests before, so that it may be
	// used beside the others at any stage.
	Known bool
	// Targets are the targets of the new version that may be used. Nil stands
	// for all.
	Targets map[InstanceID]bool
	// ByTarget reports that the counts of the new version are kept by target, so that
	// one faulty target is not taken for a bad version.
	ByTarget bool
	// ValidUntil is the time from which on the new version gets no requests,
	// because newer information may have been missed.
	ValidUntil time.Duration
}

// LatencyBuckets is the number of buckets in RolloutCounts.FirstResponse.
const LatencyBuckets = 32

// RolloutCounts counts the responses of the old or the new version to requests
// of one route. All counts only increase.
type RolloutCounts struct {
	Route     string
	New       bool
	Streaming bool
	// Target is set in counts of the new version that are kept by target.
	Target    InstanceID
	Responses uint64
	Failures  uint64
	// FirstResponse counts responses by the time until the first byte. Bucket i
	// begins at 2^(i/2) milliseconds, and the first one at zero.
	FirstResponse [LatencyBuckets]uint64
}

// RolloutReport is what one entry host knows of a rollout from its own requests.
type RolloutReport struct {
	Service ServiceName
	Order   uint64
	// Drained is the stage in which the host sends nothing to old targets and none
	// of its requests is running there, or StageWaiting.
	Drained RolloutStage
	// Bad reports that the host has judged the new version to be bad.
	Bad    bool
	Counts []RolloutCounts
}

// RolloutReported passes the rollout reports of an entry host to the control loop.
type RolloutReported struct {
	From ProcessID
	// Incarnation identifies the run of the host to which the counts belong.
	Incarnation uint64
	Reports     []RolloutReport
}

func (RolloutReported) event() {}

// RolloutLeaseName is the name of the lease of the leader of rollouts.
const RolloutLeaseName = "rollouts"

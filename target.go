package mulberrybeam

import "time"

// TargetKind distinguishes engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Phase is how much load a target can take.
type Phase string

// Phases of a target.
const (
	PhaseCold    Phase = "cold"
	PhaseWarm    Phase = "warm"
	PhaseLeaving Phase = "leaving"
)

// Target is an engine or a service instance as declared in one configuration
// revision.
type Target struct {
	ID            TargetID
	Kind          TargetKind
	Group         string
	Zone          ZoneName
	Address       string
	Models        []ModelName
	Service       ServiceName
	ColdLimit     int
	WarmLimit     int
	WarmRequests  int
	WarmTime      time.Duration
	ChecksFencing bool
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
}

// LoadReport is the load that a target reports about itself, with a delay.
type LoadReport struct {
	Target   TargetID
	Instance InstanceID
	// Sequence increases by 1 with each report of an instance.
	Sequence uint64
	// Lag is the age of the figures when the target sent the report.
	Lag     time.Duration
	Running int
	Waiting int
	// WeightVersions are the loaded weight versions by model.
	WeightVersions map[ModelName]WeightVersion
	Leaving        bool
	// Orders is the number of orders that the instance has accepted. OrderBusy
	// reports that it is carrying one out.
	Orders    uint64
	OrderBusy bool
}

// TargetState is what the control loop knows about a target.
type TargetState struct {
	Phase    Phase
	Instance InstanceID
	Report   LoadReport
	// ReportedAt is the local monotonic time at which the report was received.
	ReportedAt time.Duration
	// Owner is the process that grants permits for the target, or empty if no
	// live holder of the target's slot is known.
	Owner        ProcessID
	OwnerAddress string
}

// BlockKey identifies a context block together with all blocks before it.
type BlockKey [16]byte

// CacheEvent reports that an engine added blocks to its prefix cache or removed
// them. Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Target   TargetID
	Instance InstanceID
	Sequence uint64
	Stored   []BlockKey
	Removed  []BlockKey
}

// Tier is the storage tier in which a context store holds a context.
type Tier string

// Tiers of a context store.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// Manifest describes a complete stored context. A store writes it after the
// data.
type Manifest struct {
	Key        BlockKey
	Store      StoreID
	Blocks     int
	Bytes      int64
	Checksum   uint64
	Generation uint64
	Tier       Tier
}

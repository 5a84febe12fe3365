package mulberrybeam

import "time"

// TargetKind tells engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Phase is what a target can bear.
type Phase string

// Phases of a target.
const (
	PhaseCold    Phase = "cold"
	PhaseWarm    Phase = "warm"
	PhaseLeaving Phase = "leaving"
)

// Target is one engine or service instance as one revision declares it.
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

// LoadReport is what a target says of itself, with a lag.
type LoadReport struct {
	Target   TargetID
	Instance InstanceID
	// Sequence rises by 1 with each report of an instance.
	Sequence uint64
	// Lag is the age of the figures when the report was given out.
	Lag     time.Duration
	Running int
	Waiting int
	// WeightVersions are the loaded versions by model.
	WeightVersions map[ModelName]WeightVersion
	Leaving        bool
	// Orders counts the orders that the instance accepted, and OrderBusy
	// says that one is being carried out.
	Orders    uint64
	OrderBusy bool
}

// TargetState is what control knows of a target.
type TargetState struct {
	Phase    Phase
	Instance InstanceID
	Report   LoadReport
	// ReportedAt is the local monotonic time of the report.
	ReportedAt time.Duration
	// Owner is the process that hands out permits for the target, empty
	// when no live holder of its slot is known.
	Owner        ProcessID
	OwnerAddress string
}

// BlockKey identifies a context block together with all blocks before it.
type BlockKey [16]byte

// CacheEvent says that an engine stored or removed context blocks. Events
// come late and with gaps in Sequence.
type CacheEvent struct {
	Target   TargetID
	Instance InstanceID
	Sequence uint64
	Stored   []BlockKey
	Removed  []BlockKey
}

// Tier is where a context store keeps a context.
type Tier string

// Tiers of a context store.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// Manifest describes a whole kept context. A store writes it last.
type Manifest struct {
	Key        BlockKey
	Store      StoreID
	Blocks     int
	Bytes      int64
	Checksum   uint64
	Generation uint64
	Tier       Tier
}

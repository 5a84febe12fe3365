package mulberrybeam

import "time"

// Snapshot is what traffic knows of the control state. It is immutable.
type Snapshot struct {
	// At is the local monotonic time of publication.
	At    time.Duration
	Self  ProcessID
	Zone  ZoneName
	Ready bool
	// Draining says that the process takes no new requests.
	Draining bool
	// Tables are nil until a configuration is in force.
	Tables  *Tables
	Targets map[TargetID]TargetState
	Crashes map[Fingerprint]CrashFact
	// LinkUse is the use of each store's link by the other processes, in
	// bytes per second.
	LinkUse map[StoreID]float64
	// Shares are this process's parts of the workspaces' limits, from 0 to 1.
	Shares  map[WorkspaceName]float64
	Members []Member
	Relays  []Member
	Rights  []SlotRight
	// Fleet is set where the platform's store holds the deployment.
	Fleet *Fleet
}

// Tables are the lookup tables of one revision. They are immutable.
type Tables struct {
	Environment *Environment
	Targets     map[TargetID]Target
	// EnginesByModel and TargetsByService leave out zones that are out.
	EnginesByModel   map[ModelName][]TargetID
	TargetsByService map[ServiceName][]TargetID
	// TargetsByZone has all targets, also of zones that are out.
	TargetsByZone map[ZoneName][]TargetID
	Models        map[ModelName]Model
	Calls         map[ServiceName]map[string]ServiceCall
	Stores        map[StoreID]Store
	Workspaces    map[WorkspaceName]Workspace
	// WorkspaceByKeyHash is indexed by the hexadecimal SHA-256 of a key.
	WorkspaceByKeyHash map[string]WorkspaceName
	Zones              map[ZoneName]Zone
	RegionOf           map[ZoneName]RegionName
	// SlotOf names the slot whose holder hands out a target's permits.
	SlotOf map[TargetID]Slot
}

// EntryKind names a kind of time line entry.
type EntryKind string

// Kinds of time line entries.
const (
	EntryRoute         EntryKind = "route"
	EntryRefusal       EntryKind = "refusal"
	EntryRetry         EntryKind = "retry"
	EntryCompletion    EntryKind = "completion"
	EntryIntent        EntryKind = "intent"
	EntryPhase         EntryKind = "phase"
	EntryPermit        EntryKind = "permit"
	EntrySlot          EntryKind = "slot"
	EntryMember        EntryKind = "member"
	EntryConfiguration EntryKind = "configuration"
	EntryCrash         EntryKind = "crash"
	EntryPlatform      EntryKind = "platform"
	EntryShutdown      EntryKind = "shutdown"
)

// Entry is one event on the time line.
type Entry struct {
	Stamp   Stamp
	Process ProcessID
	Kind    EntryKind
	Request RequestID
	// Subject is the target, slot, member or workspace concerned.
	Subject string
	Text    string
	// Code is set for a refusal.
	Code Code
	// Measure is set for a completion.
	Measure *Measure
}

// Measure has the figures of a completed request.
type Measure struct {
	Workspace WorkspaceName
	Model     ModelName
	Service   ServiceName
	// FirstToken is from the arrival to the first token, 0 for a service.
	FirstToken time.Duration
	// TokenGap is the longest time between two tokens.
	TokenGap time.Duration
	Duration time.Duration
	// The prompt's tokens by where their context came from.
	CachedTokens     int
	ImportedTokens   int
	RecomputedTokens int
	GeneratedTokens  int
	Attempts         int
}

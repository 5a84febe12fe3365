package mulberrybeam

import "time"

// Snapshot is the control state that requests are handled with. It is
// immutable.
type Snapshot struct {
	// At is the local monotonic time of publication.
	At    time.Duration
	Self  ProcessID
	Zone  ZoneName
	Ready bool
	// Draining reports that the process accepts no new requests.
	Draining bool
	// Tables is nil until a configuration is in force.
	Tables  *Tables
	Targets map[TargetID]TargetState
	Crashes map[Fingerprint]CrashFact
	// LinkUse is the use of each store's link by the other processes, in bytes
	// per second.
	LinkUse map[StoreID]float64
	// Shares are the fractions of the workspaces' limits that this process may
	// use, from 0 to 1.
	Shares     map[WorkspaceName]float64
	Members    []Member
	Relays     []Member
	OwnedSlots []SlotOwnership
	// Fleet is set if the deployment is stored on the platform.
	Fleet *Fleet
}

// Tables are the lookup tables of one configuration revision. They are
// immutable.
type Tables struct {
	Environment *Environment
	Targets     map[TargetID]Target
	// EnginesByModel and TargetsByService omit targets in zones with state
	// ZoneOut.
	EnginesByModel   map[ModelName][]TargetID
	TargetsByService map[ServiceName][]TargetID
	// TargetsByZone contains all targets, including those in zones with state
	// ZoneOut.
	TargetsByZone map[ZoneName][]TargetID
	Models        map[ModelName]Model
	Calls         map[ServiceName]map[string]ServiceCall
	Stores        map[StoreID]Store
	Workspaces    map[WorkspaceName]Workspace
	// WorkspaceByKeyHash is indexed by the hexadecimal SHA-256 hash of an API
	// key.
	WorkspaceByKeyHash map[string]WorkspaceName
	Zones              map[ZoneName]Zone
	RegionOf           map[ZoneName]RegionName
	// SlotOf maps each target to the slot whose holder grants its permits.
	SlotOf map[TargetID]Slot
}

// EntryKind is the kind of a timeline entry.
type EntryKind string

// Kinds of timeline entries.
const (
	EntryRoute         EntryKind = "route"
	EntryRefusal       EntryKind = "refusal"
	EntryRetry         EntryKind = "retry"
	EntryCompletion    EntryKind = "completion"
	EntryInterruption  EntryKind = "interruption"
	EntryIntent        EntryKind = "intent"
	EntryPhase         EntryKind = "phase"
	EntryPermit        EntryKind = "permit"
	EntrySlot          EntryKind = "slot"
	EntryMember        EntryKind = "member"
	EntryConfiguration EntryKind = "configuration"
	EntryCrash         EntryKind = "crash"
	EntryConviction    EntryKind = "conviction"
	EntryAcquittal     EntryKind = "acquittal"
	EntryTrial         EntryKind = "trial"
	EntryPlatform      EntryKind = "platform"
	EntryShutdown      EntryKind = "shutdown"
	EntryRollout       EntryKind = "rollout"
	EntryPassing       EntryKind = "passing"
)

// Entry is one event on the timeline.
type Entry struct {
	Stamp   Stamp
	Process ProcessID
	Kind    EntryKind
	Request RequestID
	// Subject is the target, slot, member or workspace that the entry is about.
	Subject string
	Text    string
	// Code is set for a refusal.
	Code Code
	// Stats is set for a completion.
	Stats *RequestStats
}

// RequestStats holds the timings and token counts of a completed request.
type RequestStats struct {
	Workspace WorkspaceName
	Model     ModelName
	Service   ServiceName
	// FirstToken is the time from arrival to the first token, or 0 for a
	// service.
	FirstToken time.Duration
	// TokenGap is the longest time between two consecutive tokens.
	TokenGap time.Duration
	Duration time.Duration
	// CachedTokens, ImportedTokens and RecomputedTokens divide the prompt's
	// tokens by the source of their context.
	CachedTokens     int
	ImportedTokens   int
	RecomputedTokens int
	GeneratedTokens  int
	Attempts         int
}

package mulberrybeam

import (
	"fmt"
	"time"
)

// Guarantee limits how often a call may run.
type Guarantee string

// Guarantees of calls.
const (
	// GuaranteeRepeatable is for calls that may run more than once.
	GuaranteeRepeatable Guarantee = "repeatable"
	// GuaranteeAtMostOnce is for calls that may run at most once.
	GuaranteeAtMostOnce Guarantee = "at-most-once"
)

// Deployment is the configuration that operators declare on the platform. It is
// immutable.
type Deployment struct {
	Revision   Revision
	Rules      []Rule
	Pools      map[ServiceName]Pool
	Workspaces []WorkspaceSpec
	// Keyless reports that requests need no API key. A deployment without workspaces
	// needs them all the same, and refuses every request that is not public.
	Keyless bool
	Limits  ClientLimits
}

// Rule maps the requests for a host and path prefix to services and sets their
// policies.
type Rule struct {
	Name   string
	Host   string
	Prefix string
	// Guarantee applies to both plain calls and streams.
	Guarantee Guarantee
	Streaming bool
	// Resumable reports whether an interrupted stream may continue at another
	// target.
	Resumable bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer, or the first event of a
	// stream, must arrive to be worth its full value.
	LatencyGoal time.Duration
	// MaxAttempts is the maximum number of targets that one request may run on.
	MaxAttempts int
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Public reports that requests need no API key.
	Public bool
	// Shares split the requests over services by weight.
	Shares []Share
	// Regions are the only regions whose targets may run the requests. Empty
	// means all regions.
	Regions []RegionName
}

// Idempotent reports whether a request of the rule may be sent again although
// it may already have run.
func (r *Rule) Idempotent() bool {
	return r.Guarantee == GuaranteeRepeatable
}

// Share is the weight of a service in a rule's traffic split.
type Share struct {
	Service ServiceName
	Weight  int
}

// Pool holds the settings that all targets of a service have in common.
type Pool struct {
	Service ServiceName
	// MaxConnections limits the connections to one target, counted over all
	// callers.
	MaxConnections int
	// ColdTime is how long a target stays cold after its start, and ColdRate
	// the number of requests per second that it accepts from all callers
	// together while cold.
	ColdTime time.Duration
	ColdRate float64
	// Models is set for engines. MemoryTokens is the number of tokens of
	// request context that fit into an engine's memory.
	Models       []ModelName
	MemoryTokens int
	// ContextStore is set if the service is a context store.
	ContextStore *ContextStore
}

// ContextStore is a context store that the platform runs.
type ContextStore struct {
	Address string
	Zone    ZoneName
	// Capacity is in tokens.
	Capacity int
	LinkMbps float64
}

// WorkspaceSpec is a workspace as declared in a deployment.
type WorkspaceSpec struct {
	Name WorkspaceName
	Keys []string
	// Priority overrides the rule's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated reports that the workspace shares no stored context with others.
	Isolated bool
	Regions  []RegionName
}

// ClientLimits limit what clients may send.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// LiveTarget is one run of a target, as the target registers itself.
type LiveTarget struct {
	ID      InstanceID
	Service ServiceName
	Address string
	Zone    ZoneName
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining reports that the target finishes its running requests and
	// accepts no new ones.
	Draining bool
	// ColdFor is how long the target stays cold, counted from when the entry
	// was read.
	ColdFor time.Duration
	// StartedAt is the Unix time of the target's start in milliseconds. It
	// distinguishes two runs with the same ID.
	StartedAt int64
	// Versions are the weight versions of an engine by model.
	Versions map[ModelName]int
	// Software is the version of the target's software.
	Software SoftwareVersion
}

// Incarnation identifies one start of the target, which may start again under the
// same ID.
func (t LiveTarget) Incarnation() InstanceID {
	if t.StartedAt == 0 {
		return t.ID
	}
	return InstanceID(fmt.Sprintf("%s.%d", t.ID, t.StartedAt))
}

// DesiredWeights is the weight version that a model's engines should have.
type DesiredWeights struct {
	Model   ModelName
	Version int
	// SeenAt is when this process learned of the version.
	SeenAt time.Duration
}

// EntryHost is an entry process, as the process registers itself.
type EntryHost struct {
	ID   ProcessID
	Zone ZoneName
	// Address is the "ip:port" at which the process receives datagrams from its
	// peers.
	Address string
}

// LeaderLease is the leader-election lease of the process that sends orders to
// engines.
type LeaderLease struct {
	Holder ProcessID
	// Token is the fencing token of the holder's orders.
	Token uint64
	// Renewals increases while the holder is active.
	Renewals uint64
	// Era is the era of the store in which the lease was written. The lease of an earlier
	// era is from a copy, and another host may have held it since.
	Era StoreEra
	// Upgraded lists the engines that already have the newest weights. Their own
	// registrations show that only later.
	Upgraded []UpgradedEngine
	// Rollouts are the rollouts in progress.
	Rollouts []RolloutProgress
	// Version is the object version of the lease.
	Version string
}

// UpgradedEngine is an engine and the weight version that it was upgraded to.
type UpgradedEngine struct {
	Engine  InstanceID
	Model   ModelName
	Version int
}

// CrashRecord identifies a request during which a target crashed.
type CrashRecord struct {
	Fingerprint Fingerprint
	// Target is the incarnation that crashed.
	Target InstanceID
	// Parts are the shared parts of the request's prompt. They are empty if the
	// answer had begun long before the crash.
	Parts []SharedPart
}

// PartSuspicion is what is known against a prompt part that was in flight at
// several crashed targets and has not completed since.
type PartSuspicion struct {
	// Crashes is the number of crashed targets that count against the part.
	Crashes int
	// FailedTrials is the number of these crashes since requests with the part are
	// refused.
	FailedTrials int
	// Since is when this process knew of enough crashes to convict the part, and
	// LastCrashAt when it learned of the last one.
	Since       time.Duration
	LastCrashAt time.Duration
}

// PartClearance states that a request with a prompt part got a complete answer,
// so that the part did not crash the targets.
type PartClearance struct {
	Part    SharedPart
	Targets []InstanceID
}

// Record is a decoded object of the platform's store. At most one field is set;
// none is set if the content could not be decoded.
type Record struct {
	Deployment *Deployment
	Target     *LiveTarget
	Weights    *DesiredWeights
	Host       *EntryHost
	Lease      *LeaderLease
	Crash      *CrashRecord
	Clearance  *PartClearance
	Rollout    *RolloutOrder
}

// Kinds of objects that make up the state of the fleet.
const (
	ObjectDeployment ObjectKind = "deployment"
	ObjectTarget     ObjectKind = "target"
	ObjectEvacuation ObjectKind = "evacuation"
	ObjectWeights    ObjectKind = "weights"
	ObjectHost       ObjectKind = "entry-host"
	ObjectLease      ObjectKind = "duty-lease"
	ObjectCrash      ObjectKind = "crash"
	ObjectRollout    ObjectKind = "rollout"
	ObjectStreams    ObjectKind = "streams"
)

// Fleet is the part of a snapshot that requests are routed by. It is immutable.
type Fleet struct {
	Deployment *Deployment
	// Keys maps API keys to the deployment's workspaces.
	Keys map[string]*WorkspaceSpec
	// SharingGroup names the workspaces that share stored context. It changes
	// with the set of isolated workspaces.
	SharingGroup string
	// Hosts maps host names to their rules, longest prefix first.
	Hosts map[string][]*Rule
	// Targets are the targets that may receive new requests, by service.
	Targets map[ServiceName][]FleetTarget
	// ContextStores are ordered by address.
	ContextStores []ContextStore
	// Leaving are the engines that are being upgraded to new weights, or will
	// be soon.
	Leaving map[InstanceID]bool
	// Weights are the desired weight versions by model.
	Weights map[ModelName]DesiredWeights
	// WeightHistory are the versions in Weights and those before them by model, in the
	// order in which this process learned of them.
	WeightHistory map[ModelName][]DesiredWeights
	// EntryHosts are the processes that share limits, including this one, in a
	// fixed order.
	EntryHosts []ProcessID
	// PeerAddresses are the addresses of the other entry hosts, in a fixed
	// order.
	PeerAddresses []string
	// Peers are the registered entry hosts, including this one, ordered by ID.
	Peers []EntryHost
	// Regions maps zones to their regions.
	Regions map[ZoneName]RegionName
	// Suspects are the requests and prompt parts that may crash targets.
	Suspects map[SharedPart]PartSuspicion
	// Rollouts are the rollouts in progress by service.
	Rollouts map[ServiceName]*FleetRollout
	// RolloutLeader is the peer address of the leader of the rollouts, or empty.
	RolloutLeader string
	// ConfirmedAt is when the deployment was last known to be the newest.
	ConfirmedAt time.Duration
	// Complete reports that objects of every kind were read at least once.
	Complete bool
}

// RequiredVersion returns the newest weight version of a model that this process has known
// of for longer than age, or 0. A later version does not put off an earlier one.
func (f *Fleet) RequiredVersion(model ModelName, now, age time.Duration) int {
	required := 0
	for _, desired := range f.WeightHistory[model] {
		if now-desired.SeenAt > age {
			required = max(required, desired.Version)
		}
	}
	return required
}

// FleetTarget is a target with the state that the control loop derived for it.
type FleetTarget struct {
	LiveTarget
	// ColdUntil is when the cold start ends.
	ColdUntil time.Duration
}

// HostSettings are the settings that the platform gives to an entry process.
type HostSettings struct {
	ID      ProcessID
	Zone    ZoneName
	Regions map[ZoneName]RegionName
	// CallerAddress, PeerAddress, ReadyAddress and StoreAddress have the form
	// "ip:port". PeerAddress may be empty.
	CallerAddress string
	PeerAddress   string
	ReadyAddress  string
	StoreAddress  string
	// HelperAddress is where the process takes requests of other entry hosts that reach
	// no target. It is the port after PeerAddress, or empty.
	HelperAddress string
	// MemoryBytes and FileDescriptors are what the host allows the process, or 0 if the
	// settings do not say.
	MemoryBytes     int64
	FileDescriptors int
	Bounds          HostBounds
}

// HostBounds are the limits and deadlines that an entry process must keep.
type HostBounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// FailClosed refuses requests that need an API key once the keys may have
	// been revoked more than RevokeWithin ago.
	FailClosed   bool
	RevokeWithin time.Duration
	// RetryBudgetRatio, RetryBudgetWindow and RetryBudgetMin define the retry budget, which all
	// entry hosts share: the ratio of retries to requests, the window over
	// which it is measured, and the number of retries that is always allowed.
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration
	RetryBudgetMin    int
	// ColdOvershoot is a factor on the rate of a cold target, and ColdSlack a
	// number of requests allowed on top of it.
	ColdOvershoot float64
	ColdSlack     int
	// RequireFencing reports whether engines refuse orders with an outdated fencing
	// token.
	RequireFencing bool
	// OrderLease is the shortest time between the orders of two successive
	// lease holders.
	OrderLease time.Duration
	// VersionWithin is the time within which new weights must replace old ones.
	VersionWithin time.Duration
	// ConfigWithin and EvacuateWithin are the times within which a new
	// configuration and an evacuation must take effect.
	ConfigWithin   time.Duration
	EvacuateWithin time.Duration
	// DrainWithin is the time within which a target that drains must get no more
	// requests.
	DrainWithin time.Duration
	// ExposureShare is the fraction of a service's requests that a version may
	// get before it is judged good, and ExposureSlack a number of requests
	// allowed on top of it. RollbackWithin is the time within which requests to a
	// bad version must end. Rollouts are not in use without them.
	ExposureShare  float64
	ExposureSlack  float64
	RollbackWithin time.Duration
}

// UsesRollouts reports whether versions of targets are rolled out by orders.
func (b HostBounds) UsesRollouts() bool {
	return b.ExposureShare > 0 && b.RollbackWithin > 0
}

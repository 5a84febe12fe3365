package mulberrybeam

import "time"

// Guarantee says how often a call may run.
type Guarantee string

// Guarantees of calls.
const (
	// GuaranteeRepeatable is for calls that may run more than once.
	GuaranteeRepeatable Guarantee = "repeatable"
	// GuaranteeOnce is for calls that may run at most once.
	GuaranteeOnce Guarantee = "at-most-once"
)

// Deployment is the configuration that operators declare on the platform. It
// is immutable.
type Deployment struct {
	Revision   Revision
	Rules      []Rule
	Pools      map[ServiceName]Pool
	Workspaces []Tenancy
	Limits     ClientLimits
}

// Rule says where the requests of a host and a path prefix go.
type Rule struct {
	Name   string
	Host   string
	Prefix string
	// Guarantee holds for plain calls and for streams.
	Guarantee Guarantee
	Streaming bool
	// Resumable says that a stream may go on at another target.
	Resumable bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer, or a stream's first
	// event, has its full value.
	LatencyGoal time.Duration
	// MaxAttempts bounds the targets that one request may run on.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public requests need no key.
	Public bool
	// Shares split the requests over services by weight.
	Shares []Share
	// Regions are the only ones whose targets may run the requests; empty
	// for all.
	Regions []RegionName
}

// Idempotent says whether a request of the rule may be sent again after it may
// have run.
func (r *Rule) Idempotent() bool {
	return r.Guarantee == GuaranteeRepeatable
}

// Share is a service's weight in a rule's split.
type Share struct {
	Service ServiceName
	Weight  int
}

// Pool is what holds for all targets of a service.
type Pool struct {
	Service ServiceName
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// ColdTime is how long a started target is cold, ColdRate the requests
	// per second it takes meanwhile from all callers.
	ColdTime time.Duration
	ColdRate float64
	// Models are set for engines, and Memory is an engine's room for the
	// context of requests, in tokens.
	Models []ModelName
	Memory int
	// ContextStore is set for a store of kept context.
	ContextStore *ContextStore
}

// ContextStore is a store of kept context that the platform runs.
type ContextStore struct {
	Address string
	Zone    ZoneName
	// Capacity is in tokens.
	Capacity int
	LinkMbps float64
}

// Tenancy is a workspace as a deployment declares it.
type Tenancy struct {
	Name WorkspaceName
	Keys []string
	// Priority replaces that of the rule when HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no kept context with others.
	Isolated bool
	Regions  []RegionName
}

// ClientLimits bound what clients may send.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// LiveTarget is one run of a target as it registers itself.
type LiveTarget struct {
	ID      InstanceID
	Service ServiceName
	Address string
	Zone    ZoneName
	// Slots is how many requests the target runs at a time.
	Slots int
	// Draining targets finish what they run and take nothing new.
	Draining bool
	// ColdFor is how long the target stays cold from when the entry was
	// read.
	ColdFor time.Duration
	// StartedAt is the Unix millisecond of the target's start. It tells two
	// runs under one ID apart.
	StartedAt int64
	// Versions are the weight versions of an engine.
	Versions map[ModelName]int
}

// WeightGoal is the weight version that a model's engines are to have.
type WeightGoal struct {
	Model   ModelName
	Version int
	// SeenAt is when this process learned of it.
	SeenAt time.Duration
}

// EntryHost is an entry process as it registers itself.
type EntryHost struct {
	ID   ProcessID
	Zone ZoneName
	// Address is where it takes datagrams of its peers, "ip:port".
	Address string
}

// DutyLease names the process that sends orders to engines.
type DutyLease struct {
	Holder ProcessID
	// Token is the fencing number of the holder's orders.
	Token uint64
	// Renewals rises while the holder works.
	Renewals uint64
	// Changed are the engines that have the newest weights, which their own
	// entries show later.
	Changed []ChangedEngine
	// Version is the version of the lease's object.
	Version string
}

// ChangedEngine is an engine with the version that it was brought to.
type ChangedEngine struct {
	Engine  InstanceID
	Model   ModelName
	Version int
}

// CrashRecord names a request during which a target crashed.
type CrashRecord struct {
	Fingerprint Fingerprint
	Target      InstanceID
}

// Record is an object of the platform's store in decoded form. At most one
// field is set; none is when the content could not be read.
type Record struct {
	Deployment *Deployment
	Target     *LiveTarget
	Weights    *WeightGoal
	Host       *EntryHost
	Lease      *DutyLease
	Crash      *CrashRecord
}

// Kinds of objects that the fleet's state consists of.
const (
	ObjectDeployment ObjectKind = "deployment"
	ObjectTarget     ObjectKind = "target"
	ObjectEvacuation ObjectKind = "evacuation"
	ObjectWeights    ObjectKind = "weights"
	ObjectHost       ObjectKind = "entry-host"
	ObjectLease      ObjectKind = "duty-lease"
	ObjectCrash      ObjectKind = "crash"
)

// Fleet is the part of a snapshot that routes requests. It is immutable.
type Fleet struct {
	Deployment *Deployment
	// Keys maps the keys of the deployment's workspaces.
	Keys map[string]*Tenancy
	// Hosts maps host names to their rules, longest prefix first.
	Hosts map[string][]*Rule
	// Targets are those that may get new requests.
	Targets map[ServiceName][]FleetTarget
	// ContextStores are in the order of their addresses.
	ContextStores []ContextStore
	// Leaving are the engines that change over to new weights now or soon.
	Leaving map[InstanceID]bool
	// Weights are the goals by model.
	Weights map[ModelName]WeightGoal
	// EntryHosts are the processes that share limits, this one included,
	// in a fixed order.
	EntryHosts []ProcessID
	// PeerAddresses are those of the other entry hosts, in a fixed order.
	PeerAddresses []string
	// Regions maps zones to their regions.
	Regions map[ZoneName]RegionName
	// Crashes counts the targets that broke off during a request.
	Crashes map[Fingerprint]int
	// ConfirmedAt is a time at which the deployment was the newest.
	ConfirmedAt time.Duration
	// Complete says that all kinds were read at least once.
	Complete bool
}

// FleetTarget is a target with what control has concluded of it.
type FleetTarget struct {
	LiveTarget
	// ColdUntil is when the cold start ends.
	ColdUntil time.Duration
}

// HostSettings are what the platform tells an entry process.
type HostSettings struct {
	ID      ProcessID
	Zone    ZoneName
	Regions map[ZoneName]RegionName
	// CallerAddress, ReadyAddress, PeerAddress and StoreAddress are
	// "ip:port". PeerAddress may be empty.
	CallerAddress string
	PeerAddress   string
	ReadyAddress  string
	StoreAddress  string
	MemoryBytes   int64
	Bounds        HostBounds
}

// HostBounds are the promises of the deployment that an entry process keeps.
type HostBounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// FailClosed refuses keyed requests once the keys may have been revoked
	// RevokeWithin ago.
	FailClosed   bool
	RevokeWithin time.Duration
	// RetryShare, RetryWindow and RetryFloor bound the requests sent again
	// by all entry hosts together.
	RetryShare  float64
	RetryWindow time.Duration
	RetryFloor  int
	// ColdOvershoot and ColdSlack widen the rate of a cold target.
	ColdOvershoot float64
	ColdSlack     int
	// Fenced says that engines refuse orders with an old fencing number.
	Fenced bool
	// OrderLease is the shortest time between orders of two holders.
	OrderLease time.Duration
	// VersionWithin bounds the time in which new weights replace old ones.
	VersionWithin time.Duration
	// ConfigWithin and EvacuateWithin bound the times in which a
	// configuration and an evacuation are in force.
	ConfigWithin   time.Duration
	EvacuateWithin time.Duration
}

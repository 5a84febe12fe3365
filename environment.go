package mulberrybeam

import "time"

// Environment is the configuration document of one environment.
type Environment struct {
	Name          EnvironmentName
	Revision      Revision
	Regions       []Region
	Models        []Model
	Services      []Service
	EngineGroups  []EngineGroup
	ServiceGroups []ServiceGroup
	Stores        []Store
	Workspaces    []Workspace
	Limits        Limits
}

// Region is a group of availability zones with low latency between them.
type Region struct {
	Name  RegionName
	Zones []Zone
}

// ZoneState is whether operators let an availability zone take new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone with its own entry hosts and targets.
type Zone struct {
	Name  ZoneName
	State ZoneState
	// Slots is the number of slots into which the zone's targets are divided.
	// Each slot has its own lease.
	Slots int
}

// Model is a model and the weight version that new requests use.
type Model struct {
	Name    ModelName
	Version WeightVersion
	// MaxTokens is the maximum number of tokens generated for one request.
	MaxTokens int
}

// Service is a plain service, that is, one that is not a model engine.
type Service struct {
	Name  ServiceName
	Calls []ServiceCall
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Name string
	// Repeatable reports whether the call may run more than once.
	Repeatable bool
	// Timeout limits one run of the call.
	Timeout time.Duration
}

// EngineGroup is a set of identical engines in one zone.
type EngineGroup struct {
	Name   string
	Zone   ZoneName
	Models []ModelName
	// ColdLimit is the maximum number of requests in flight at a cold engine,
	// counted over all entry hosts.
	ColdLimit int
	// WarmLimit is the maximum number of requests in flight at a warm engine.
	WarmLimit int
	// A started engine stays cold until it has completed WarmRequests requests
	// and WarmTime has passed.
	WarmRequests int
	WarmTime     time.Duration
	// ChecksFencing reports whether the engines refuse orders with an outdated
	// fencing token.
	ChecksFencing bool
	// PrefillRate is the number of prompt tokens that one engine computes per
	// second.
	PrefillRate float64
	Targets     []TargetAddress
}

// ServiceGroup is a set of instances of one plain service in one zone.
type ServiceGroup struct {
	Name      string
	Zone      ZoneName
	Service   ServiceName
	ColdLimit int
	WarmLimit int
	// WarmRequests and WarmTime work as in EngineGroup.
	WarmRequests int
	WarmTime     time.Duration
	Targets      []TargetAddress
}

// TargetAddress is the network address of a target.
type TargetAddress struct {
	ID TargetID
	// Address is "ip:port".
	Address string
}

// Store is a host that stores context.
type Store struct {
	ID      StoreID
	Zone    ZoneName
	Address string
	// LinkRate is the bandwidth of the store's link in bytes per second.
	LinkRate float64
}

// Workspace is a customer's part of an environment, with its API keys and
// limits.
type Workspace struct {
	Name WorkspaceName
	// KeyHashes are the hexadecimal SHA-256 hashes of the workspace's API keys.
	KeyHashes []string
	// Weight is the workspace's weight in fair queueing, at least 1.
	Weight int
	// RequestsPerSecond limits the workspace's request rate, counted over all
	// entry hosts.
	RequestsPerSecond float64
	// MaxInFlight limits the workspace's requests in flight, counted over all
	// entry hosts.
	MaxInFlight int
}

// Limits holds the limits and targets of one environment.
type Limits struct {
	// QueueLength is the maximum number of requests queued on one entry host.
	QueueLength int
	// QueueTimeout limits how long a request waits for admission.
	QueueTimeout time.Duration
	// RequestTimeout limits the total duration of a request.
	RequestTimeout time.Duration
	// FirstTokenTarget is the target for the 95th percentile of the time to
	// first token.
	FirstTokenTarget time.Duration
	// IdempotencyRetention is how long the intent records of non-repeatable
	// calls are kept.
	IdempotencyRetention time.Duration
	// PlatformWriteRate and PlatformReadRate limit the calls to the object API
	// per second, counted over all of its clients.
	PlatformWriteRate float64
	PlatformReadRate  float64
}

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

// Region is a group of availability zones a short hop apart.
type Region struct {
	Name  RegionName
	Zones []Zone
}

// ZoneState says whether operators let an availability zone take new work.
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
	// Slots is the number of slot leases of the zone.
	Slots int
}

// Model is a model with the weight version that new requests use.
type Model struct {
	Name    ModelName
	Version WeightVersion
	// MaxTokens bounds the tokens generated for one request.
	MaxTokens int
}

// Service is a plain service with its calls.
type Service struct {
	Name  ServiceName
	Calls []ServiceCall
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Name string
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// Timeout bounds one run of the call.
	Timeout time.Duration
}

// EngineGroup is a set of engines of one kind in one zone.
type EngineGroup struct {
	Name   string
	Zone   ZoneName
	Models []ModelName
	// ColdLimit bounds the requests in flight at a cold engine, over all
	// entry hosts together.
	ColdLimit int
	// WarmLimit bounds the requests in flight at a warm engine.
	WarmLimit int
	// A started engine is cold until it has completed WarmRequests and
	// WarmTime has passed.
	WarmRequests int
	WarmTime     time.Duration
	// ChecksFencing says that the engines refuse orders with an old
	// fencing number.
	ChecksFencing bool
	// PrefillRate is the prompt tokens per second one engine computes.
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
	// WarmRequests and WarmTime have the meaning of EngineGroup.
	WarmRequests int
	WarmTime     time.Duration
	Targets      []TargetAddress
}

// TargetAddress is where a target is reached.
type TargetAddress struct {
	ID TargetID
	// Address is "ip:port".
	Address string
}

// Store is a context store host.
type Store struct {
	ID      StoreID
	Zone    ZoneName
	Address string
	// LinkRate is the bytes per second of its link.
	LinkRate float64
}

// Workspace is a customer's share of an environment.
type Workspace struct {
	Name WorkspaceName
	// KeyHashes are the hexadecimal SHA-256 hashes of the accepted keys.
	KeyHashes []string
	// Weight is the workspace's part in fair queueing, 1 at least.
	Weight int
	// RequestsPerSecond bounds the workspace over all entry hosts.
	RequestsPerSecond float64
	// MaxInFlight bounds its requests in flight over all entry hosts.
	MaxInFlight int
}

// Limits are the bounds of one environment.
type Limits struct {
	// QueueLength bounds the requests that wait on one entry host.
	QueueLength int
	// QueueTimeout bounds the time a request waits for admission.
	QueueTimeout time.Duration
	// RequestTimeout bounds a whole request.
	RequestTimeout time.Duration
	// FirstTokenTarget is the time to first token that 95 in 100 requests
	// shall meet.
	FirstTokenTarget time.Duration
	// IdempotencyRetention is how long intents of non-repeatable calls
	// are kept.
	IdempotencyRetention time.Duration
	// PlatformWriteRate and PlatformReadRate are the object API's calls
	// per second for everybody.
	PlatformWriteRate float64
	PlatformReadRate  float64
}

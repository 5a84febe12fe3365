package mulberrybeam

import (
	"context"
	"math/rand/v2"
	"time"
)

// Turn is the time and randomness of one step of a state machine.
type Turn struct {
	// Now is monotonic time since process start.
	Now time.Duration
	// Wall is only for stamps and ages that outlast the process.
	Wall time.Time
	Rand *rand.Rand
}

// Machine is a control state machine. The control goroutine gives every event
// to every machine. A machine does no input or output.
type Machine interface {
	// Step takes one event and returns what to do about it.
	Step(turn Turn, event Event) []Action
	// Fill writes the machine's part of a snapshot. It must not share
	// mutable state with it.
	Fill(snapshot *Snapshot)
}

// RouteView is what a routing policy sees of the fleet. Its answers are local
// and take constant time, but for the length of the keys.
type RouteView interface {
	Tables() *Tables
	Target(TargetID) TargetState
	// InFlight counts this process's own requests at a target.
	InFlight(TargetID) int
	// CachedBlocks counts the leading keys that a target's prefix cache is
	// believed to hold.
	CachedBlocks(target TargetID, keys []BlockKey) int
	// Holders returns a few targets believed to hold the longest prefix.
	Holders(keys []BlockKey) []TargetID
	// LinkUse is the use of a store's link by all processes in bytes per
	// second.
	LinkUse(StoreID) float64
}

// PrefixIndex is what a process believes the prefix caches of targets to hold.
// Beliefs age, so its methods take the local monotonic time.
type PrefixIndex interface {
	// Sent notes that an instance has computed or imported a context.
	Sent(now time.Duration, target TargetID, instance InstanceID, keys []BlockKey)
	// Describes says whether the beliefs are about this instance.
	Describes(target TargetID, instance InstanceID) bool
	CachedBlocks(now time.Duration, target TargetID, keys []BlockKey) int
	Holders(now time.Duration, keys []BlockKey) []TargetID
}

// Picker is a routing policy.
type Picker interface {
	// Pick returns the best route, or a Failure with CodeNoTarget.
	Pick(turn Turn, view RouteView, query RouteQuery) (Route, error)
}

// ObjectClient calls the object API. Errors are Failures with CodeConflict,
// CodeExists, CodeNotFound, CodeExpiredVersion, CodePlatformDown or
// CodePlatformBudget. After CodePlatformDown a write may have taken effect;
// after CodePlatformBudget nothing was sent.
type ObjectClient interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	List(ctx context.Context, kind ObjectKind) ([]Object, error)
	Create(ctx context.Context, object Object) (Object, error)
	Update(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, object Object) error
	// Watch calls changed for each change of the named object, or of all
	// objects of the kind when name is empty, until ctx ends or the watch
	// breaks.
	Watch(ctx context.Context, kind ObjectKind, name, version string, changed func(ObjectChanged)) error
}

// ObjectFeed reads kinds of objects and their changes. Errors are those of
// ObjectClient; CodeExpiredVersion says that the changes must be listed anew.
type ObjectFeed interface {
	// ListAt returns all objects of a kind and the version to follow from.
	ListAt(ctx context.Context, kind ObjectKind) ([]Object, string, error)
	// Changes waits for changes after a version and returns the next one.
	Changes(ctx context.Context, kind ObjectKind, version string, wait time.Duration) ([]ObjectChanged, string, error)
}

// RecordDecoder reads the content of objects.
type RecordDecoder interface {
	Decode(object Object) (Record, error)
}

// RecordEncoder writes the system's own objects.
type RecordEncoder interface {
	Lease(name string, lease DutyLease) Object
	Host(host EntryHost) Object
	Crash(crash CrashRecord) Object
}

// PeerClient sends messages to other entry processes. Errors are Failures
// with CodePeerUnreachable.
type PeerClient interface {
	Call(ctx context.Context, address string, message Message) (Message, error)
}

// EngineClient calls model engines. Errors are Failures whose NotRun is true
// only when the request surely did not run.
type EngineClient interface {
	Generate(ctx context.Context, call EngineCall) (EngineStream, error)
	Cancel(ctx context.Context, target Target, request RequestID) error
	// ImportContext makes the engine load a kept context from a store and
	// returns the tokens loaded.
	ImportContext(ctx context.Context, target Target, store Store, manifest Manifest, keys []BlockKey) (int, error)
	// ExportContext makes the engine write a context to a store.
	ExportContext(ctx context.Context, target Target, store Store, keys []BlockKey, generation uint64) (Manifest, error)
	Load(ctx context.Context, target Target) (LoadReport, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
	OrderClient
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadWeights OrderKind = "load-weights"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderRole        OrderKind = "role"
)

// Order tells an engine to load something or to change its role.
type Order struct {
	Kind    OrderKind
	Model   ModelName
	Version WeightVersion
	Adapter string
	Role    string
	Fencing Epoch
	// Holder names the sender. Expect is the number of orders that the
	// engine must have accepted, so that a late order does not take effect
	// after newer ones.
	Holder ProcessID
	Expect uint64
	// KeepRuns lets runs go on under the new weights; otherwise they finish
	// first.
	KeepRuns bool
}

// OrderClient sends orders to engines.
type OrderClient interface {
	Order(ctx context.Context, target Target, order Order) error
}

// ServiceClient calls plain services.
type ServiceClient interface {
	Call(ctx context.Context, request ServiceRequest) (ServiceAnswer, error)
	Load(ctx context.Context, target Target) (LoadReport, error)
}

// StoreClient asks context stores for manifests.
type StoreClient interface {
	// Manifests returns the whole contexts among the keys, longest first.
	Manifests(ctx context.Context, store Store, keys []BlockKey) ([]Manifest, error)
	Delete(ctx context.Context, store Store, key BlockKey) error
}

// PermitClient asks the owner of a target for permits.
type PermitClient interface {
	Ask(ctx context.Context, target TargetID, ask AskPermit) (AskPermitReply, error)
	Release(ctx context.Context, target TargetID, release ReleasePermit)
}

// Recorder keeps the time line. It never blocks.
type Recorder interface {
	Record(Entry)
}

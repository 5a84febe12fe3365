package mulberrybeam

import (
	"context"
	"math/rand/v2"
	"time"
)

// Turn provides the time and the randomness for one step of a state machine.
type Turn struct {
	// Now is the monotonic time since the process started.
	Now time.Duration
	// Wall is used only for stamps and for ages that outlast the process.
	Wall time.Time
	Rand *rand.Rand
}

// StateMachine is a control state machine. The control goroutine passes every event
// to every machine. A machine does no I/O.
type StateMachine interface {
	// Step handles one event and returns the resulting actions.
	Step(turn Turn, event Event) []Action
	// FillSnapshot writes the machine's part of a snapshot. The snapshot must not share
	// mutable state with the machine.
	FillSnapshot(snapshot *Snapshot)
}

// RouteView is a routing policy's view of the fleet. Its methods use local data
// only and take constant time, apart from the number of keys.
type RouteView interface {
	Tables() *Tables
	Target(TargetID) TargetState
	// InFlight returns the number of this process's requests in flight at a
	// target.
	InFlight(TargetID) int
	// CachedBlocks returns how many of the leading keys the target's prefix
	// cache is believed to hold.
	CachedBlocks(target TargetID, keys []BlockKey) int
	// Holders returns a few targets whose prefix caches are believed to hold
	// the longest prefix of the keys.
	Holders(keys []BlockKey) []TargetID
	// LinkUse returns the use of a store's link by all processes in bytes per
	// second.
	LinkUse(StoreID) float64
}

// PrefixIndex tracks which context blocks the targets' prefix caches probably
// hold. Entries expire, so its methods take the local monotonic time.
type PrefixIndex interface {
	// RecordSent records that an instance has computed or imported a context.
	RecordSent(now time.Duration, target TargetID, instance InstanceID, keys []BlockKey)
	// Tracks reports whether the entries for a target belong to this
	// instance.
	Tracks(target TargetID, instance InstanceID) bool
	CachedBlocks(now time.Duration, target TargetID, keys []BlockKey) int
	Holders(now time.Duration, keys []BlockKey) []TargetID
}

// Picker is a routing policy.
type Picker interface {
	// Pick returns the best route, or a Failure with CodeNoTarget.
	Pick(turn Turn, view RouteView, query RouteQuery) (Route, error)
}

// ObjectClient calls the object API. Errors are of type Failure, with
// CodeConflict, CodeExists, CodeNotFound, CodeExpiredVersion, CodePlatformDown
// or CodePlatformBudget. After CodePlatformDown a write may have taken effect;
// after CodePlatformBudget nothing was sent.
type ObjectClient interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	List(ctx context.Context, kind ObjectKind) ([]Object, error)
	Create(ctx context.Context, object Object) (Object, error)
	Update(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, object Object) error
	// Watch calls changed for each change to the named object, or to any object
	// of the kind if name is empty, until ctx is done or the watch breaks.
	Watch(ctx context.Context, kind ObjectKind, name, version string, changed func(ObjectChanged)) error
}

// ObjectFeed reads objects by kind and follows their changes. Errors are those
// of ObjectClient; CodeExpiredVersion means that the objects must be listed
// again.
type ObjectFeed interface {
	// ListAt returns all objects of a kind and the version to follow changes
	// from.
	ListAt(ctx context.Context, kind ObjectKind) ([]Object, string, error)
	// Changes waits for changes after a version. It returns them and the
	// version to continue from.
	Changes(ctx context.Context, kind ObjectKind, version string, wait time.Duration) ([]ObjectChanged, string, error)
}

// ConfirmedFeed is an ObjectFeed whose results may be older than the call that
// returned them.
type ConfirmedFeed interface {
	ObjectFeed
	// ConfirmedAt returns the local monotonic time at which the result of the last
	// successful call of Changes for a kind was current. It is never later than
	// the call to the store that the result is from. Only the goroutine that calls
	// Changes for the kind may use it.
	ConfirmedAt(kind ObjectKind) time.Duration
}

// RecordDecoder decodes the content of objects.
type RecordDecoder interface {
	Decode(object Object) (Record, error)
}

// RecordEncoder encodes the objects that entry processes write.
type RecordEncoder interface {
	Lease(name string, lease LeaderLease) Object
	Host(host EntryHost) Object
	Crash(crash CrashRecord) Object
	Clearance(clearance PartClearance) Object
	// RolloutStatus returns the object with the new status of an order.
	RolloutStatus(order RolloutOrder, status RolloutStatus) Object
}

// StatusClient replaces the status of objects. If the object has a version, the
// call succeeds only if that is the current one. Errors are those of
// ObjectClient.
type StatusClient interface {
	UpdateStatus(ctx context.Context, object Object) (Object, error)
}

// PeerClient sends messages to other entry processes. Errors are of type
// Failure, with CodePeerUnreachable.
type PeerClient interface {
	Call(ctx context.Context, address string, message Message) (Message, error)
}

// EngineClient calls model engines. Errors are of type Failure. NotRun is set
// only if the request certainly did not run.
type EngineClient interface {
	Generate(ctx context.Context, call EngineCall) (EngineStream, error)
	Cancel(ctx context.Context, target Target, request RequestID) error
	// ImportContext makes the engine load a stored context from a store. It
	// returns the number of tokens loaded.
	ImportContext(ctx context.Context, target Target, store Store, manifest Manifest, keys []BlockKey) (int, error)
	// ExportContext makes the engine write a context to a store.
	ExportContext(ctx context.Context, target Target, store Store, keys []BlockKey, generation uint64) (Manifest, error)
	Load(ctx context.Context, target Target) (LoadReport, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
	OrderClient
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadWeights OrderKind = "load-weights"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderRole        OrderKind = "role"
)

// Order instructs an engine to load weights or an adapter, or to change its
// role.
type Order struct {
	Kind    OrderKind
	Model   ModelName
	Version WeightVersion
	Adapter string
	Role    string
	Fencing Epoch
	// Holder is the sender. AcceptedOrders is the number of orders that the
	// engine must already have accepted, so that a delayed order does not take effect after
	// newer ones.
	Holder         ProcessID
	AcceptedOrders uint64
	// KeepRuns lets running requests continue under the new weights. Otherwise
	// they finish first.
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

// StoreClient queries and deletes the contexts of context stores.
type StoreClient interface {
	// Manifests returns the manifests of the complete contexts among the keys,
	// longest first.
	Manifests(ctx context.Context, store Store, keys []BlockKey) ([]Manifest, error)
	Delete(ctx context.Context, store Store, key BlockKey) error
}

// PermitClient requests permits from the owner of a target and releases them.
type PermitClient interface {
	Ask(ctx context.Context, target TargetID, ask AskPermit) (AskPermitReply, error)
	Release(ctx context.Context, target TargetID, release ReleasePermit)
}

// Recorder adds entries to the timeline. It never blocks.
type Recorder interface {
	Record(Entry)
}

// Package streamkeeper tells at which software version a stream began that a caller takes
// up, and stores it for the case that no process that knows it is left. One host at a
// time writes the streams of all hosts of a service to one object.
package streamkeeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/streamtracker"
	"mulberrybeam/version/ranker"
)

const (
	// writeInterval is the time between two writes. Streams that began since the last one
	// are lost if all hosts end at once.
	writeInterval = 250 * time.Millisecond
	// readInterval is the shortest time between two reads of an object for callers.
	readInterval = 250 * time.Millisecond
	// listDelay is the time between two reads of an object that does not list all versions
	// yet, and before the first one unless this host has just started. The writer needs
	// about half of it.
	listDelay = 600 * time.Millisecond
	// listLimit is how long a version may be missing in the object before a host that is
	// not the writer adds it. The writer may be cut off from the store only.
	listLimit = 800 * time.Millisecond
	// beginLimit is how long the first event of a stream waits for its version to be listed.
	// The first hosts in the order add a version within it.
	beginLimit = 1500 * time.Millisecond
	// restoreGrace is how long after the store came back from a copy its object may lack
	// versions that other hosts know.
	restoreGrace = 5 * time.Second
	// callTimeout limits a call to the store.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed write.
	retryDelay = time.Second
	// silentTime is how long a host that ranks before this one may be silent before this
	// one writes, and rankDelay by how much each rank waits longer after its start.
	silentTime = 3 * time.Second
	rankDelay  = 100 * time.Millisecond
	// maxFleetAge is how old the configuration may be for the registered targets to count
	// as observed. A host that is cut off from the store does not see new versions.
	maxFleetAge = 5 * time.Second
	// retentionMargin is added to the longest time that a request may take.
	retentionMargin = 5 * time.Second
	// DefaultRetention is how long streams can be taken up before the configuration is
	// known.
	DefaultRetention = 35 * time.Second
)

// rankKey is the key of the rendezvous order of the hosts that write.
const rankKey = "stream-versions"

// Codec converts snapshots to and from objects.
type Codec interface {
	StreamSnapshot(snapshot mulberrybeam.StreamSnapshot) mulberrybeam.Object
	DecodeStreamSnapshot(object mulberrybeam.Object) (mulberrybeam.StreamSnapshot, error)
}

// Config has what a keeper needs.
type Config struct {
	*streamtracker.Tracker
	Self    mulberrybeam.ProcessID
	Objects mulberrybeam.ObjectClient
	Codec   Codec
	Fleet   func() *mulberrybeam.Fleet
	Now     func() time.Duration
	// RecordEvent is called when the store fails or an object cannot be read.
	RecordEvent func(subject, text string)
}

// Keeper is safe for concurrent use. Run must be called once.
type Keeper struct {
	Config
	startedAt time.Duration

	// mutex protects reads.
	mutex sync.Mutex
	reads map[mulberrybeam.ServiceName]*objectReads
	// Only Run uses the stored objects, which are of the restore with the number loadedAfter.
	stored      map[mulberrybeam.ServiceName]*storedObject
	loadedAfter uint64
	// restores counts how often the store came back from a copy, and restoredAt is when it
	// last did.
	restores   atomic.Uint64
	restoredAt atomic.Int64
}

// objectReads are the reads of an object for callers. The next one has not been sent yet.
type objectReads struct {
	sentAt time.Duration
	next   *objectRead
}

// objectRead is a read for callers, which wait for done.
type objectRead struct {
	done chan struct{}
	ok   bool
}

// storedObject is the object of a service as this host knows it.
type storedObject struct {
	known   bool
	exists  bool
	version string
	data    []byte
	retryAt time.Duration
	// listedAt is when the object was last read for the versions that it lists.
	listedAt time.Duration
}

// New returns a keeper.
func New(config Config) *Keeper {
	return &Keeper{
		Config: config, startedAt: config.Now(),
		reads: map[mulberrybeam.ServiceName]*objectReads{}, stored: map[mulberrybeam.ServiceName]*storedObject{},
	}
}

// Begin records that this process sends a stream to its caller, which gets no event before
// Begin returns. It waits for a version to be listed that no stream may have begun at so far:
// streams begin at a version that is not listed only where no other has a target.
func (k *Keeper) Begin(key mulberrybeam.StreamKey, origin mulberrybeam.StreamOrigin) {
	k.Tracker.Begin(key, origin)
	ctx, cancel := context.WithTimeout(context.Background(), beginLimit)
	defer cancel()
	for k.Tracker.New(origin.Service, origin.Software) && ctx.Err() == nil {
		k.read(ctx, origin.Service)
	}
}

// Origin returns where the stream began that a caller takes up. If this host does not know
// the stream, it stands in the store or is of the only software version that the store and
// this host know. The result is false if neither is known.
func (k *Keeper) Origin(ctx context.Context, key mulberrybeam.StreamKey, service mulberrybeam.ServiceName) (mulberrybeam.StreamOrigin, bool) {
	if origin, known := k.Tracker.Find(key); known {
		return origin, true
	}
	k.observe()
	if !k.read(ctx, service) {
		return mulberrybeam.StreamOrigin{}, false
	}
	if origin, known := k.Tracker.Find(key); known {
		return origin, true
	}
	if k.recentlyRestored() {
		return mulberrybeam.StreamOrigin{}, false
	}
	software, only := k.Tracker.Only(service)
	return mulberrybeam.StreamOrigin{Service: service, Software: software}, only
}

// recentlyRestored reports whether the store may lack what other hosts know.
func (k *Keeper) recentlyRestored() bool {
	return k.restores.Load() > 0 && k.Now()-time.Duration(k.restoredAt.Load()) < restoreGrace
}

// read reads the object of a service with a call that is sent after read was called: a
// stream that began before stands at a version that the object lists by then.
func (k *Keeper) read(ctx context.Context, service mulberrybeam.ServiceName) bool {
	k.mutex.Lock()
	reads := k.reads[service]
	if reads == nil {
		reads = &objectReads{sentAt: -readInterval}
		k.reads[service] = reads
	}
	if reads.next == nil {
		reads.next = &objectRead{done: make(chan struct{})}
		go k.runRead(service, reads, reads.next, reads.sentAt+readInterval-k.Now())
	}
	next := reads.next
	k.mutex.Unlock()
	select {
	case <-next.done:
		return next.ok
	case <-ctx.Done():
		return false
	}
}

// runRead carries out a read after a delay.
func (k *Keeper) runRead(service mulberrybeam.ServiceName, reads *objectReads, read *objectRead, delay time.Duration) {
	defer close(read.done)
	time.Sleep(delay)
	k.mutex.Lock()
	reads.next, reads.sentAt = nil, k.Now()
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := k.load(ctx, service, true)
	read.ok = err == nil
}

// load reads the object of a service. It adds the versions to what is known and, if merge
// is set, the streams. A service without an object has no listed version.
func (k *Keeper) load(ctx context.Context, service mulberrybeam.ServiceName, merge bool) (mulberrybeam.Object, error) {
	restores := k.restores.Load()
	object, err := k.Objects.Get(ctx, mulberrybeam.ObjectStreams, string(service))
	if k.restores.Load() != restores {
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown, Message: "the store was restored meanwhile"}
	}
	if mulberrybeam.CodeOf(err) == mulberrybeam.CodeNotFound {
		k.Tracker.List(mulberrybeam.StreamSnapshot{Service: service})
		return mulberrybeam.Object{}, nil
	}
	if err != nil {
		k.RecordEvent(string(service), "streams cannot be read: "+err.Error())
		return mulberrybeam.Object{}, err
	}
	snapshot, err := k.Codec.DecodeStreamSnapshot(object)
	if err != nil {
		k.RecordEvent(string(service), "streams cannot be read: "+err.Error())
		return mulberrybeam.Object{}, err
	}
	k.Tracker.List(snapshot)
	if merge {
		k.Tracker.Merge(snapshot)
	}
	return object, nil
}

// Reload makes the keeper read and write the stored objects again, because the store has
// come back from a copy and may have lost what was written last.
func (k *Keeper) Reload() {
	k.restoredAt.Store(int64(k.Now()))
	k.restores.Add(1)
	k.Tracker.Unlist()
}

// Run observes the fleet and writes the streams until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			services := k.observe()
			if restores := k.restores.Load(); restores != k.loadedAfter {
				k.loadedAfter = restores
				clear(k.stored)
			}
			if len(services) == 0 {
				continue
			}
			first, rank := k.rank(k.Fleet())
			for _, service := range services {
				k.refresh(ctx, service, first, rank)
			}
		}
	}
}

// observe records the registered targets, if they are known to be current, and returns the
// services that have streams which callers may take up.
func (k *Keeper) observe() []mulberrybeam.ServiceName {
	fleet := k.Fleet()
	if fleet == nil || !fleet.Complete {
		return nil
	}
	services, retention := streamServices(fleet)
	if k.Now()-fleet.ConfirmedAt < maxFleetAge {
		targets := map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{}
		for _, service := range services {
			targets[service] = fleet.Targets[service]
		}
		k.Tracker.Observe(targets, retention)
	}
	return services
}

// streamServices returns the services that have streams which callers may take up, and how
// long a stream can be taken up after its begin.
func streamServices(fleet *mulberrybeam.Fleet) ([]mulberrybeam.ServiceName, time.Duration) {
	var services []mulberrybeam.ServiceName
	longest := time.Duration(0)
	for i := range fleet.Deployment.Rules {
		rule := &fleet.Deployment.Rules[i]
		if !rule.Streaming || !rule.Idempotent() {
			continue
		}
		longest = max(longest, rule.Timeout)
		if rule.Timeout <= 0 {
			longest = DefaultRetention
		}
		for _, share := range rule.Shares {
			if !slices.Contains(services, share.Service) {
				services = append(services, share.Service)
			}
		}
	}
	return services, longest + retentionMargin
}

// refresh writes what is known of a service, if this host is the one to write, or reads
// which versions the object lists, if not all are known to be listed.
func (k *Keeper) refresh(ctx context.Context, service mulberrybeam.ServiceName, first bool, rank int) {
	s := k.stored[service]
	if s == nil {
		s = &storedObject{}
		k.stored[service] = s
	}
	unlisted, someListed := k.Tracker.Unlisted(service)
	switch {
	case k.Now() < s.retryAt:
	case first || rank >= 0 && unlisted >= listLimit+time.Duration(rank)*rankDelay:
		k.write(ctx, service, s)
	case unlisted == 0 || someListed && unlisted < listDelay || s.listedAt > 0 && k.Now()-s.listedAt < listDelay:
	default:
		s.listedAt = k.Now()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// A failure is recorded by load, and the next read is after the delay.
		_, _ = k.load(ctx, service, false)
	}
}

// rank returns the rank of this host among those that write, or -1 if it is not registered,
// and whether it is the one to write: all that rank before it are silent.
func (k *Keeper) rank(fleet *mulberrybeam.Fleet) (first bool, rank int) {
	ids := []mulberrybeam.ProcessID{}
	for _, peer := range fleet.Peers {
		ids = append(ids, peer.ID)
	}
	first = true
	for rank, id := range ranker.Top(rankKey, ids, len(ids)) {
		if id == k.Self {
			return first && k.Now()-k.startedAt >= time.Duration(rank)*rankDelay, rank
		}
		first = first && !k.Tracker.HeardFrom(id, silentTime)
	}
	return false, -1
}

// write writes what is known of a service, if it has changed.
func (k *Keeper) write(ctx context.Context, service mulberrybeam.ServiceName, s *storedObject) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !s.known {
		// A host that has observed all versions by itself overwrites the streams, since those
		// that two hosts read from each other would never expire. Listed versions stay, since
		// streams may have begun there.
		object, err := k.load(ctx, service, !k.Tracker.Mature())
		if err != nil {
			s.retryAt = k.Now() + retryDelay
			return
		}
		s.known, s.exists, s.version, s.data = true, object.Name != "", object.Version, object.Data
	}
	restores := k.restores.Load()
	snapshot := k.Tracker.Snapshot(service)
	object := k.Codec.StreamSnapshot(snapshot)
	if s.exists && slices.Equal(object.Data, s.data) {
		if unlistedFor, _ := k.Tracker.Unlisted(service); unlistedFor > 0 {
			// A read shows again what the object lists.
			s.known = false
		}
		return
	}
	object.Version = s.version
	write := k.Objects.Update
	if !s.exists {
		write = k.Objects.Create
	}
	written, err := write(ctx, object)
	if err == nil {
		s.exists, s.version, s.data = true, written.Version, object.Data
		if k.restores.Load() == restores {
			k.Tracker.List(snapshot)
		}
		return
	}
	s.known = false
	switch mulberrybeam.CodeOf(err) {
	case mulberrybeam.CodeConflict, mulberrybeam.CodeExists:
	default:
		s.retryAt = k.Now() + retryDelay
		k.RecordEvent(string(service), "streams cannot be written: "+err.Error())
	}
}

// Package streamtracker knows at which software version streams began: those of this
// process, those that peers tell of, and those that were read from the store. It is a
// part of the traffic side; its lock is held for short times only.
package streamtracker

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrybeam"
)

const (
	// completedRetention is how long a stream is kept that was sent to its end. Its last
	// events may be lost with the connection.
	completedRetention = 3 * time.Second
	// observationGap is the longest time between two observations of the registered
	// versions. After a longer one versions may have come and gone unseen.
	observationGap = 2 * time.Second
)

// Key returns the key of the stream whose first event was brought by the request.
func Key(request mulberrybeam.RequestID) mulberrybeam.StreamKey {
	return mulberrybeam.StreamKey(xxhash.Sum64String(string(request)))
}

// Tracker is safe for concurrent use.
type Tracker struct {
	now func() time.Duration
	run uint64

	mutex sync.Mutex
	// retention is how long a stream can be taken up after its begin.
	retention time.Duration
	// own are the streams of this process.
	own map[mulberrybeam.StreamKey]ownStream
	// peers are the streams of the peers by their last updates.
	peers map[mulberrybeam.ProcessID]*peerStreams
	// kept are streams of peers that have restarted, and those from the store.
	kept map[mulberrybeam.StreamKey]keptStream
	// services are the software versions of the services.
	services map[mulberrybeam.ServiceName]*serviceVersions
	// observedSince is since when the registered versions have been observed without a
	// gap, and observedAt when that was last.
	observed                  bool
	observedSince, observedAt time.Duration
}

// ownStream is a stream of this process. It has no end while it runs.
type ownStream struct {
	origin    mulberrybeam.StreamOrigin
	expiresAt time.Duration
	ended     bool
}

type keptStream struct {
	origin    mulberrybeam.StreamOrigin
	expiresAt time.Duration
}

type peerStreams struct {
	run     uint64
	heardAt time.Duration
	streams map[mulberrybeam.StreamKey]mulberrybeam.StreamOrigin
}

// New returns a tracker for a run of the process. Streams can be taken up for the
// retention at first.
func New(now func() time.Duration, run uint64, retention time.Duration) *Tracker {
	return &Tracker{
		now: now, run: run, retention: retention,
		own: map[mulberrybeam.StreamKey]ownStream{}, peers: map[mulberrybeam.ProcessID]*peerStreams{},
		kept: map[mulberrybeam.StreamKey]keptStream{}, services: map[mulberrybeam.ServiceName]*serviceVersions{},
	}
}

// Begin records that this process sends a stream to its caller.
func (t *Tracker) Begin(key mulberrybeam.StreamKey, origin mulberrybeam.StreamOrigin) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.own[key] = ownStream{origin: origin}
	t.versions(origin.Service).see(origin.Software, t.now())
}

// End records that this process sends no more of a stream, and whether it has sent all.
func (t *Tracker) End(key mulberrybeam.StreamKey, complete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stream, known := t.own[key]
	if !known {
		return
	}
	stream.ended, stream.expiresAt = true, t.now()+t.retention
	if complete {
		stream.expiresAt = t.now() + completedRetention
	}
	t.own[key] = stream
}

// Find returns where a stream began, if that is known.
func (t *Tracker) Find(key mulberrybeam.StreamKey) (mulberrybeam.StreamOrigin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if stream, known := t.own[key]; known {
		return stream.origin, true
	}
	for _, peer := range t.peers {
		if origin, known := peer.streams[key]; known {
			return origin, true
		}
	}
	stream, known := t.kept[key]
	return stream.origin, known
}

// Observe records the registered targets of the services, and for how long streams can be
// taken up.
func (t *Tracker) Observe(targets map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget, retention time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if !t.observed || now-t.observedAt > observationGap {
		t.observed, t.observedSince = true, now
	}
	t.observedAt, t.retention = now, retention
	for service, registered := range targets {
		versions := t.versions(service)
		for i := range registered {
			software := registered[i].Software
			if now-versions.seenAt[software] > retention/2 {
				// The writer may take the version out of the object before it sees it again.
				versions.unlist(software, now)
			}
			versions.see(software, now)
		}
	}
	t.removeExpired(now)
}

// Mature reports whether all software versions have been observed that a stream which
// can be taken up may have begun at.
func (t *Tracker) Mature() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	return t.observed && now-t.observedAt <= observationGap && now-t.observedSince >= t.retention
}

// Receive records what a peer tells.
func (t *Tracker) Receive(from mulberrybeam.ProcessID, update mulberrybeam.StreamUpdate) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	streams := map[mulberrybeam.StreamKey]mulberrybeam.StreamOrigin{}
	for _, share := range update.Shares {
		for _, key := range share.Streams {
			streams[key] = share.StreamOrigin
		}
		t.versions(share.Service).see(share.Software, now)
	}
	if previous := t.peers[from]; previous != nil && previous.run != update.Run {
		t.keep(previous, now)
	}
	t.peers[from] = &peerStreams{run: update.Run, heardAt: now, streams: streams}
}

// keep keeps the streams of a peer that may have restarted. The mutex must be held.
func (t *Tracker) keep(peer *peerStreams, now time.Duration) {
	for key, origin := range peer.streams {
		t.kept[key] = keptStream{origin, now + t.retention}
	}
}

// HeardFrom reports whether a peer has sent anything for the given time.
func (t *Tracker) HeardFrom(peer mulberrybeam.ProcessID, within time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.peers[peer]
	return known != nil && t.now()-known.heardAt < within
}

// Update returns what to tell the peers: the streams of this process of services with more
// than one software version. It is empty if there are none.
func (t *Tracker) Update() mulberrybeam.StreamUpdate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	mixed := map[mulberrybeam.ServiceName]bool{}
	for service := range t.services {
		mixed[service] = len(t.current(service)) > 1
	}
	byOrigin := map[mulberrybeam.StreamOrigin][]mulberrybeam.StreamKey{}
	for key, stream := range t.own {
		if mixed[stream.origin.Service] && !stream.expired(now) {
			byOrigin[stream.origin] = append(byOrigin[stream.origin], key)
		}
	}
	if len(byOrigin) == 0 {
		return mulberrybeam.StreamUpdate{}
	}
	update := mulberrybeam.StreamUpdate{Run: t.run}
	for origin, streams := range byOrigin {
		update.Shares = append(update.Shares, mulberrybeam.StreamShare{StreamOrigin: origin, Streams: streams})
	}
	return update
}

// Snapshot returns what is to be stored of a service.
func (t *Tracker) Snapshot(service mulberrybeam.ServiceName) mulberrybeam.StreamSnapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	snapshot := mulberrybeam.StreamSnapshot{Service: service}
	versions := t.current(service)
	streams := map[mulberrybeam.SoftwareVersion]map[mulberrybeam.StreamKey]bool{}
	add := func(key mulberrybeam.StreamKey, origin mulberrybeam.StreamOrigin) {
		if origin.Service != service || len(versions) < 2 {
			return
		}
		if streams[origin.Software] == nil {
			streams[origin.Software] = map[mulberrybeam.StreamKey]bool{}
		}
		streams[origin.Software][key] = true
	}
	for key, stream := range t.own {
		if !stream.expired(now) {
			add(key, stream.origin)
		}
	}
	for _, peer := range t.peers {
		for key, origin := range peer.streams {
			add(key, origin)
		}
	}
	for key, stream := range t.kept {
		add(key, stream.origin)
	}
	for _, software := range versions {
		listed := mulberrybeam.SoftwareStreams{Software: software}
		for key := range streams[software] {
			listed.Streams = append(listed.Streams, key)
		}
		slices.Sort(listed.Streams)
		snapshot.Versions = append(snapshot.Versions, listed)
	}
	return snapshot
}

// Merge adds what was stored of a service. What this process knows stays.
func (t *Tracker) Merge(snapshot mulberrybeam.StreamSnapshot) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	for _, stored := range snapshot.Versions {
		for _, key := range stored.Streams {
			if _, known := t.kept[key]; !known {
				t.kept[key] = keptStream{mulberrybeam.StreamOrigin{Service: snapshot.Service, Software: stored.Software}, now + t.retention}
			}
		}
	}
}

// current returns the sorted software versions that streams of a service may have begun
// at. The mutex must be held.
func (t *Tracker) current(service mulberrybeam.ServiceName) []mulberrybeam.SoftwareVersion {
	now := t.now()
	var current []mulberrybeam.SoftwareVersion
	for software, seenAt := range t.versions(service).seenAt {
		if now-seenAt < t.retention {
			current = append(current, software)
		}
	}
	slices.Sort(current)
	return current
}

func (s ownStream) expired(now time.Duration) bool { return s.ended && now >= s.expiresAt }

// removeExpired removes what cannot be taken up any more. The mutex must be held.
func (t *Tracker) removeExpired(now time.Duration) {
	for key, stream := range t.own {
		if stream.expired(now) {
			delete(t.own, key)
		}
	}
	for key, stream := range t.kept {
		if now >= stream.expiresAt {
			delete(t.kept, key)
		}
	}
	for id, peer := range t.peers {
		if now-peer.heardAt >= t.retention {
			delete(t.peers, id)
		}
	}
	for _, versions := range t.services {
		for software, seenAt := range versions.seenAt {
			if now-seenAt >= t.retention {
				versions.remove(software)
			}
		}
	}
}

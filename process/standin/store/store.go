package store

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// Store is a fake context store that serves contexts over HTTP.
type Store struct {
	fixture.FaultControl[Faults]
	fixture.Counters
	settings Settings
	listener *fixture.Listener
	link     link

	mu    sync.Mutex
	tiers tiers
}

// New starts a store and returns a function that stops it.
func New(options ...Option) (*Store, func(), error) {
	settings := defaults()
	for _, option := range options {
		option(&settings)
	}
	s := &Store{settings: settings, tiers: tiers{
		memoryLimit: settings.MemoryBytes, diskLimit: settings.DiskBytes, entries: map[string]*entry{},
	}}
	listener, closeListener, err := fixture.Listen(settings.Address, s.handler())
	if err != nil {
		return nil, nil, err
	}
	s.listener = listener
	return s, closeListener, nil
}

// Address returns the listen address as "ip:port".
func (s *Store) Address() string { return s.listener.Address() }

// Crash closes the listener and all connections immediately.
func (s *Store) Crash() {
	s.Add("crashes")
	s.listener.Drop()
}

// Restart reopens a crashed store. The content of the memory tier is lost.
func (s *Store) Restart() error {
	s.listener.Drop()
	s.mu.Lock()
	s.tiers.dropMemory()
	s.mu.Unlock()
	s.Add("restarts")
	return s.listener.Reopen()
}

// Used returns the bytes used in the memory tier and in the disk tier.
func (s *Store) Used() (int64, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tiers.memoryUsed, s.tiers.diskUsed
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if !fixture.Pause(r, s.Faults().Delay) {
				fixture.AbortConnection()
			}
			if s.TakeFault(func(f *Faults) *int { return &f.FailNext }) {
				s.Add("failed")
				fixture.WriteError(w, http.StatusInternalServerError, "internal", "failed by an injected fault", false)
				return
			}
			handler(w, r)
		})
	}
	handle("PUT /v1/contexts/{key}/data", s.putData)
	handle("GET /v1/contexts/{key}/data", s.getData)
	handle("PUT /v1/contexts/{key}/manifest", s.putManifest)
	handle("GET /v1/contexts/{key}/manifest", s.getManifest)
	handle("POST /v1/manifests", s.findManifests)
	handle("DELETE /v1/contexts/{key}", s.remove)
	fixture.Mount(mux, &s.FaultControl, &s.Counters)
	return mux
}

func (s *Store) putData(w http.ResponseWriter, r *http.Request) {
	generation, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		fixture.WriteError(w, http.StatusBadRequest, "bad-request", "query parameter generation is not a number", true)
		return
	}
	if s.Faults().Full {
		s.refuseFull(w)
		return
	}
	data, err := s.receive(r, s.settings.MemoryBytes)
	if err != nil {
		fixture.AbortConnection()
	}
	checksum := encoder.FormatChecksum(xxhash.Sum64(data))
	if checksum != r.Header.Get("X-Checksum") {
		s.Add("checksum-refused")
		fixture.WriteError(w, http.StatusBadRequest, "bad-checksum", "data does not match X-Checksum", true)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	if e := s.tiers.entries[key]; e != nil && e.committed != nil && e.committed.generation >= generation {
		s.Add("old-generation-refused")
		fixture.WriteError(w, http.StatusConflict, "old-generation", "a manifest of this or a later generation exists", true)
		return
	}
	if !s.tiers.stage(key, &content{generation: generation, data: data, checksum: checksum}) {
		s.refuseFull(w)
		return
	}
	s.Add("data-written")
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) refuseFull(w http.ResponseWriter) {
	s.Add("full-refused")
	fixture.WriteError(w, http.StatusInsufficientStorage, "full", "not enough free space", true)
}

func (s *Store) getData(w http.ResponseWriter, r *http.Request) {
	generation := r.URL.Query().Get("generation")
	s.mu.Lock()
	var found *content
	if e := s.tiers.entries[r.PathValue("key")]; e != nil && e.committed != nil &&
		strconv.FormatUint(e.committed.generation, 10) == generation {
		found = e.committed
		s.tiers.touch(found)
	}
	onDisk := found != nil && found.onDisk
	s.mu.Unlock()
	if found == nil {
		s.Add("data-missing")
		fixture.WriteError(w, http.StatusNotFound, "not-found", "no data for this generation", true)
		return
	}
	if onDisk {
		s.Add("disk-reads")
		if !fixture.Pause(r, s.settings.DiskDelay) {
			fixture.AbortConnection()
		}
	}
	data := found.data
	if s.TakeFault(func(f *Faults) *int { return &f.CorruptNext }) {
		s.Add("corrupted")
		data = slices.Clone(data)
		data[len(data)/2] ^= 1
	}
	truncate := s.TakeFault(func(f *Faults) *int { return &f.TruncateNext })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Checksum", found.checksum)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if truncate {
		s.Add("truncated")
		s.send(w, r, data[:len(data)/2])
		fixture.AbortConnection()
	}
	if s.send(w, r, data) {
		s.Add("data-read")
	}
}

func (s *Store) putManifest(w http.ResponseWriter, r *http.Request) {
	manifest, ok := fixture.ReadJSON[encoder.Manifest](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	committed := s.tiers.commit(r.PathValue("key"), manifest)
	s.mu.Unlock()
	if !committed {
		s.Add("manifest-refused")
		fixture.WriteError(w, http.StatusConflict, "no-matching-data", "no data with this generation, length and checksum", true)
		return
	}
	s.Add("manifest-written")
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) getManifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	manifest, found := s.tiers.manifest(r.PathValue("key"))
	s.mu.Unlock()
	if !found {
		fixture.WriteError(w, http.StatusNotFound, "not-found", "manifest does not exist", true)
		return
	}
	fixture.WriteJSON(w, http.StatusOK, manifest)
}

func (s *Store) findManifests(w http.ResponseWriter, r *http.Request) {
	params, ok := fixture.ReadJSON[encoder.Keys](w, r)
	if !ok {
		return
	}
	answer := encoder.Manifests{Manifests: []encoder.Manifest{}}
	s.mu.Lock()
	for _, key := range params.Keys {
		if manifest, found := s.tiers.manifest(key); found {
			answer.Manifests = append(answer.Manifests, manifest)
		}
	}
	s.mu.Unlock()
	slices.SortStableFunc(answer.Manifests, func(a, b encoder.Manifest) int {
		return cmp.Compare(b.Blocks, a.Blocks)
	})
	s.Add("manifests-asked")
	fixture.WriteJSON(w, http.StatusOK, answer)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	_, found := s.tiers.entries[r.PathValue("key")]
	s.tiers.remove(r.PathValue("key"))
	s.mu.Unlock()
	if !found {
		fixture.WriteError(w, http.StatusNotFound, "not-found", "context does not exist", true)
		return
	}
	s.Add("removed")
	w.WriteHeader(http.StatusNoContent)
}

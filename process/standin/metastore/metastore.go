// Package metastore provides a stand-in for the platform's metadata store,
// using the HTTP protocol of the platform.
package metastore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrybeam/process/standin/fixture"
)

// Faults configures the faults to inject.
type Faults struct {
	// Status is the status with which all calls fail, or 0.
	Status int
	// LoseAnswers runs calls but closes the connection without a response.
	LoseAnswers bool
	// CompactedRevision makes watches that start before this revision expire.
	CompactedRevision uint64
}

// Store is a metadata store with a history of changes. It is safe for
// concurrent use.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	faults   Faults
	calls    int
	// era is stated in all responses unless it is 0.
	era uint64
}

// Copy is the content of a store at a moment.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
	history  []change
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
}

type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults to inject.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// SetEra sets the era that the store states.
func (s *Store) SetEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = era
}

// Era returns the era that the store states.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := Copy{revision: s.revision, objects: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		copied.objects[kind] = maps.Clone(objects)
	}
	return copied
}

// Restore replaces the content by a copy, which can be used once. What was written since
// is lost, and its revisions are given out again. The era rises by one if there is one.
func (s *Store) Restore(copied Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision, s.objects, s.history = copied.revision, copied.objects, copied.history
	if s.era > 0 {
		s.era++
	}
	s.wakeWatches()
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Put writes an object without checking its revision and returns the new
// revision.
func (s *Store) Put(kind, name, spec string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(kind, name, json.RawMessage(spec)).Metadata.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(kind, name)
}

// Get returns the spec of an object.
func (s *Store) Get(kind, name string) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.objects[kind][name]
	return string(found.Spec), ok
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return string(s.objects[kind][name].Status)
}

// ServeHTTP answers a call, subject to the configured faults.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	s.calls++
	faults, era := s.faults, s.era
	s.mutex.Unlock()
	if era > 0 {
		writer.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	if faults.Status != 0 {
		writer.WriteHeader(faults.Status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/-/objects/"), "/")
	status, answer := s.handleCall(request, kind, name)
	if era != s.Era() {
		// A call that waited over a restore is cut.
		fixture.AbortConnection()
	}
	if faults.LoseAnswers {
		fixture.AbortConnection()
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

func (s *Store) handleCall(request *http.Request, kind, name string) (int, any) {
	switch request.Method {
	case http.MethodGet:
		if request.URL.Query().Has("watch") {
			return s.watch(request, kind)
		}
		return s.read(request, kind, name)
	case http.MethodPost, http.MethodPut:
		if objectName, found := strings.CutSuffix(name, "/status"); found {
			return s.replaceStatus(request, kind, objectName)
		}
		return s.createOrUpdate(request, kind, name)
	case http.MethodDelete:
		s.Remove(kind, name)
		return http.StatusOK, nil
	}
	return http.StatusMethodNotAllowed, nil
}

// pageSize is the number of objects in a page of a list. It is small, so that
// tests have to read several pages.
const pageSize = 3

func (s *Store) read(request *http.Request, kind, name string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		found, ok := s.objects[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, found
	}
	var names []string
	for name := range s.objects[kind] {
		if name > request.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := map[string]any{"has_more": len(names) > pageSize, "store_revision": s.revision}
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	page["items"] = items
	return http.StatusOK, page
}

func (s *Store) createOrUpdate(request *http.Request, kind, name string) (int, any) {
	body, err := io.ReadAll(request.Body)
	var sent object
	if err != nil || json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name == "" {
		name = sent.Metadata.Name
	}
	found, exists := s.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && exists:
		return http.StatusConflict, found
	case request.Method == http.MethodPut && !exists:
		return http.StatusNotFound, nil
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
		return http.StatusConflict, found
	}
	return http.StatusOK, s.write(kind, name, sent.Spec)
}

// replaceStatus replaces the status of an object and leaves its spec as it is.
func (s *Store) replaceStatus(request *http.Request, kind, name string) (int, any) {
	body, err := io.ReadAll(request.Body)
	var sent object
	if err != nil || json.Unmarshal(body, &sent) != nil || request.Method != http.MethodPut {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, exists := s.objects[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
		return http.StatusConflict, found
	}
	found.Status = sent.Status
	s.objects[kind][name] = found
	return http.StatusOK, s.write(kind, name, found.Spec)
}

func (s *Store) watch(request *http.Request, kind string) (int, any) {
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events, revision, changed := s.changesSince(kind, from), s.revision, s.changed
		forgotten := from < s.faults.CompactedRevision || from > s.revision
		s.mutex.Unlock()
		answer := map[string]any{"events": events, "store_revision": revision}
		if forgotten {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-request.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *Store) changesSince(kind string, from uint64) []change {
	events := []change{}
	for _, change := range s.history {
		if change.kind == kind && change.Object.Metadata.Revision > from {
			events = append(events, change)
		}
	}
	return events
}

func (s *Store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	written := s.objects[kind][name]
	if written.Metadata.Name == "" {
		written.Metadata = metadata{Name: name, CreateRevision: s.revision, Finalizers: []string{}}
	}
	written.Metadata.Revision, written.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = written
	s.recordChange(change{Object: written, kind: kind})
	return written
}

func (s *Store) remove(kind, name string) {
	removed, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	removed.Metadata.Revision = s.revision
	s.recordChange(change{Removed: true, Object: removed, kind: kind})
}

func (s *Store) recordChange(change change) {
	s.history = append(s.history, change)
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// cutWatches is closed to cut the watches of targets that wait.
	cutWatches chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 1, objects: map[string]map[string]object{},
		changed: make(chan struct{}), cutWatches: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an object as the operator or an engine does. It returns the time of the
// acknowledgement.
func (s *store) put(kind, name, spec string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, name, json.RawMessage(spec))
	return time.Now()
}

// remove removes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.erase(kind, name)
	return time.Now()
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// cut closes the connections of all watches of targets that wait.
func (s *store) cut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.cutWatches)
	s.cutWatches = make(chan struct{})
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	found, exists := s.objects[kind][name]
	if !exists {
		found.Metadata = metadata{Name: name, CreateRevision: s.revision, Finalizers: []string{}}
	}
	found.Metadata.Revision, found.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = found
	s.publish(event{Object: found, kind: kind, revision: s.revision})
	return found
}

func (s *store) erase(kind, name string) {
	found, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	found.Metadata.Revision = s.revision
	s.publish(event{Object: found, Removed: true, kind: kind, revision: s.revision})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/-/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.call(request, kind, name)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(writer).Encode(body)
	}
}

func (s *store) call(request *http.Request, kind, name string) (int, any) {
	query := request.URL.Query()
	switch request.Method {
	case http.MethodGet:
		if query.Has("watch") {
			return s.watch(request, kind)
		}
		return s.read(kind, name, query.Get("after"))
	case http.MethodPost, http.MethodPut:
		var sent object
		if json.NewDecoder(request.Body).Decode(&sent) != nil {
			return http.StatusBadRequest, nil
		}
		return s.save(request.Method, kind, name, sent)
	case http.MethodDelete:
		return s.delete(kind, name, query.Get("revision"))
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) read(kind, name, after string) (int, any) {
	const pageSize = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		found, exists := s.objects[kind][name]
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, found
	}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "store_revision": s.revision}
}

func (s *store) save(method, kind, name string, sent object) (int, any) {
	if base, found := strings.CutSuffix(name, "/status"); found {
		name = base
	}
	if method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, found
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, nil
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
		return http.StatusConflict, found
	case exists && string(found.Spec) == string(sent.Spec):
		return http.StatusOK, found
	}
	return http.StatusOK, s.write(kind, name, sent.Spec)
}

func (s *store) delete(kind, name, revision string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, exists := s.objects[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case revision != "" && revision != strconv.FormatUint(found.Metadata.Revision, 10):
		return http.StatusConflict, found
	}
	s.erase(kind, name)
	return http.StatusOK, nil
}

func (s *store) watch(request *http.Request, kind string) (int, any) {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	over := wait == 0
	for {
		s.mutex.Lock()
		events, revision, changed, cut := s.since(kind, since), s.revision, s.changed, s.cutWatches
		s.mutex.Unlock()
		if kind != "servers" {
			cut = nil
		}
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-cut:
			// The connection ends without an answer.
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) since(kind string, revision uint64) []event {
	events := []event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events
}

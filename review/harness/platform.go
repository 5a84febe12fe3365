//go:build review

package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"mulberrybeam/process/standin/metastore"
)

// Platform is the stand-in of the platform's store.
type Platform struct {
	*metastore.Store
}

// NewPlatform returns an empty store.
func NewPlatform() *Platform { return &Platform{metastore.New()} }

// Write writes an object as the operator or an engine does.
func (p *Platform) Write(kind, name string, spec any) {
	// Marshal cannot fail for the values that cases write.
	text, _ := json.Marshal(spec)
	p.Put(kind, name, string(text))
}

// StoreFront is one host's way to the store. The store can turn the host away while
// it serves the others.
type StoreFront struct {
	Address string

	platform   *Platform
	mutex      sync.Mutex
	turnedAway bool
	conns      map[net.Conn]struct{}
}

func (c *Case) newStoreFront(platform *Platform) (*StoreFront, error) {
	listener, err := net.Listen("tcp", c.newIP()+":0")
	if err != nil {
		return nil, err
	}
	f := &StoreFront{Address: listener.Addr().String(), platform: platform, conns: map[net.Conn]struct{}{}}
	server := &http.Server{Handler: f, ConnState: f.observe}
	go func() { _ = server.Serve(listener) }()
	c.onClose(func() { _ = server.Close() })
	return f, nil
}

// ServeHTTP answers a call, with 503 while the host is turned away.
func (f *StoreFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.mutex.Lock()
	refused := f.turnedAway
	f.mutex.Unlock()
	if refused {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.platform.ServeHTTP(writer, request)
}

// SetTurnedAway makes the store turn the host away, or serve it again. Calls that
// wait for changes are cut off.
func (f *StoreFront) SetTurnedAway(turnedAway bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turnedAway = turnedAway
	if turnedAway {
		for conn := range f.conns {
			_ = conn.Close()
		}
	}
}

func (f *StoreFront) observe(conn net.Conn, state http.ConnState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch state {
	case http.StateNew:
		f.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, conn)
	}
}

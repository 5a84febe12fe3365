//go:build review

package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Arrival is a request that reached a server.
type Arrival struct {
	At      time.Duration
	Request string
	Server  string
	// Ran is set once the server began to work on the request.
	Ran bool
	// Cut is set if the server ended or the connection closed during the run.
	Cut bool
}

// Server is a registered server: a plain service's or a model engine's. The
// embedding type answers the requests.
type Server struct {
	ID, Service, Zone, Address string

	c        *Case
	platform *Platform
	http     *http.Server
	slots    int
	entry    map[string]any
	mutex    sync.Mutex
	leaving  bool
	ended    bool
	arrivals []*Arrival
}

// serverOptions describe a server to start.
type serverOptions struct {
	id, service, zone string
	slots             int
	extra             map[string]any
}

func (c *Case) newServer(platform *Platform, options serverOptions, handle func(s *Server) http.HandlerFunc) (*Server, error) {
	listener, err := net.Listen("tcp", c.newIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: options.id, Service: options.service, Zone: options.zone, Address: listener.Addr().String(),
		c: c, platform: platform, slots: options.slots,
	}
	s.entry = map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": options.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	for name, value := range options.extra {
		s.entry[name] = value
	}
	s.http = &http.Server{Handler: handle(s)}
	go func() { _ = s.http.Serve(listener) }()
	c.onClose(func() { _ = s.http.Close() })
	s.register()
	c.Log("server %s of %s starts at %s in zone %s", s.ID, s.Service, s.Address, s.Zone)
	return s, nil
}

func (s *Server) register() { s.platform.Write("servers", s.ID, s.entry) }

// Leave makes the server report that it is draining, in the store and in its answers.
func (s *Server) Leave() {
	s.mutex.Lock()
	s.leaving = true
	s.entry["state"] = "draining"
	s.mutex.Unlock()
	s.register()
	s.c.Log("server %s reports that it is draining, the store has accepted it", s.ID)
}

// End ends the server as a process does: its address refuses connections, and open
// ones are reset or closed.
func (s *Server) End() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	_ = s.http.Close()
	s.c.Log("server %s ends", s.ID)
}

// Unregister removes the server's entry from the store.
func (s *Server) Unregister() { s.platform.Remove("servers", s.ID) }

// Arrivals returns the requests that reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]Arrival, len(s.arrivals))
	for i, arrival := range s.arrivals {
		list[i] = *arrival
	}
	return list
}

func (s *Server) update(arrival *Arrival, change func(a *Arrival)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(arrival)
}

// admit records a request and reads its body. It answers requests for another server,
// and returns nil for them.
func (s *Server) admit(writer http.ResponseWriter, request *http.Request) *Arrival {
	arrival := &Arrival{At: s.c.Since(), Request: request.Header.Get(HeaderRequestID), Server: s.ID}
	_, err := io.Copy(io.Discard, request.Body)
	header := writer.Header()
	header.Set(HeaderRequestID, arrival.Request)
	header.Set("Mulberrybeam-Instance-Id", s.ID)
	s.mutex.Lock()
	if s.leaving {
		header.Set(HeaderLeaving, "1")
	}
	s.mutex.Unlock()
	if err != nil {
		return nil
	}
	if expected := request.Header.Get(headerInstance); expected != "" && expected != s.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, arrival)
	return arrival
}

// refuse answers that the request has not run.
func refuse(writer http.ResponseWriter, status int) {
	writer.Header().Set(headerNotRun, "1")
	writer.WriteHeader(status)
}

// PlainService is a server of a plain service.
type PlainService struct {
	*Server
	running chan struct{}
	work    func() time.Duration
}

// queueLength is the number of requests that wait for a slot of a plain service.
const queueLength = 24

// StartPlainService starts a server of a plain service. work returns how long a
// request runs.
func (c *Case) StartPlainService(platform *Platform, service, id, zone string, slots int, work func() time.Duration) (*PlainService, error) {
	p := &PlainService{running: make(chan struct{}, slots), work: work}
	waiting := make(chan struct{}, slots+queueLength)
	server, err := c.newServer(platform, serverOptions{id: id, service: service, zone: zone, slots: slots}, func(s *Server) http.HandlerFunc {
		p.Server = s
		return func(writer http.ResponseWriter, request *http.Request) {
			arrival := s.admit(writer, request)
			if arrival == nil {
				return
			}
			select {
			case waiting <- struct{}{}:
				defer func() { <-waiting }()
				p.run(writer, request, arrival)
			default:
				refuse(writer, http.StatusServiceUnavailable)
			}
		}
	})
	p.Server = server
	return p, err
}

func (p *PlainService) run(writer http.ResponseWriter, request *http.Request, arrival *Arrival) {
	deadline, err := strconv.Atoi(request.Header.Get(headerDeadline))
	if err != nil {
		refuse(writer, http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(deadline) * time.Millisecond)
	select {
	case p.running <- struct{}{}:
		defer func() { <-p.running }()
	case <-expired:
		refuse(writer, http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	p.update(arrival, func(a *Arrival) { a.Ran = true })
	status := http.StatusOK
	select {
	case <-time.After(p.work()):
	case <-expired:
		status = http.StatusGatewayTimeout
	case <-request.Context().Done():
		p.update(arrival, func(a *Arrival) { a.Cut = true })
		return
	}
	writer.Header().Set(HeaderStamp, "3e1b.07."+arrival.Request)
	body := fmt.Sprintf("answer to %s\n", arrival.Request)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

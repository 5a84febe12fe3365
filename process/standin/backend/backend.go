// Package backend is a stand-in for a target of the platform: a plain service
// or an engine that streams, over HTTP as the platform speaks it.
package backend

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrybeam/process/standin/fixture"
)

// Names of the platform that callers of a system need, too.
const (
	HeaderRequest  = "Mulberrybeam-Request-Id"
	HeaderKey      = "Api-Key"
	HeaderDeadline = "Mulberrybeam-Request-Deadline"
	HeaderStamp    = "Mulberrybeam-Response-Stamp"
	HeaderEvent    = "Last-Event-Id"

	headerInstance = "Mulberrybeam-Expect-Instance"
	headerTenant   = "Mulberrybeam-Tenant-Id"
	headerNotRun   = "Mulberrybeam-Not-Executed"
)

// Events is the number of events of a stream, and StreamPath the prefix of
// paths that are answered with one.
const (
	Events     = 12
	StreamPath = "/stream/"
)

// eventPause is the time between two events of a stream.
const eventPause = 15 * time.Millisecond

// Faults are what the target does wrong.
type Faults struct {
	// LoseAnswer is the share of requests that run and get no answer.
	LoseAnswer float64
	// BreakAnswer is the share of answers that break off.
	BreakAnswer float64
	// Fail is the share of requests that are answered with a failure.
	Fail float64
	// Delay is added to the work of each request.
	Delay time.Duration
}

// Arrival is a request that reached the target.
type Arrival struct {
	At      time.Time
	Request string
	Target  string
	Zone    string
	Tenant  string
	// Key is what the target must never see.
	Key string
	// Ran is false for requests that were refused unread.
	Ran bool
}

// Target is one running target.
type Target struct {
	ID, Zone string
	listener *fixture.Listener
	arrived  func(Arrival)

	mutex  sync.Mutex
	faults Faults
}

// Start starts a target on a free loopback port. arrived is told of each
// request.
func Start(id, zone string, arrived func(Arrival)) (*Target, error) {
	t := &Target{ID: id, Zone: zone, arrived: arrived}
	var err error
	t.listener, _, err = fixture.Listen("", t)
	return t, err
}

// Address returns "ip:port".
func (t *Target) Address() string { return t.listener.Address() }

// Crash closes the listener and all connections.
func (t *Target) Crash() { t.listener.Drop() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// ServeHTTP runs a request.
func (t *Target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrival := Arrival{
		At: time.Now(), Request: request.Header.Get(HeaderRequest), Target: t.ID, Zone: t.Zone,
		Tenant: request.Header.Get(headerTenant), Key: request.Header.Get(HeaderKey),
	}
	_, err := io.Copy(io.Discard, request.Body)
	instance := request.Header.Get(headerInstance)
	arrival.Ran = err == nil && (instance == "" || instance == t.ID)
	t.arrived(arrival)
	writer.Header().Set(HeaderRequest, arrival.Request)
	if !arrival.Ran {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mutex.Lock()
	faults := t.faults
	t.mutex.Unlock()
	time.Sleep(faults.Delay + 2*time.Millisecond + rand.N(20*time.Millisecond))
	writer.Header().Set(HeaderStamp, "stamp-"+arrival.Request)
	switch {
	case rand.Float64() < faults.LoseAnswer:
		fixture.Break()
	case rand.Float64() < faults.Fail:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	breaks := rand.Float64() < faults.BreakAnswer
	if strings.HasPrefix(request.URL.Path, StreamPath) {
		stream(writer, request, breaks)
		return
	}
	body := Answer(arrival.Request)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if breaks {
		_, _ = io.WriteString(writer, body[:len(body)/2])
		fixture.Break()
	}
	_, _ = io.WriteString(writer, body)
}

// Answer is the body of the answer to a request.
func Answer(request string) string { return strings.Repeat("answer to "+request+"\n", 20) }

// Event is the data of an event of the answer to a request.
func Event(request string, number int) string { return fmt.Sprintf("event %d of %s", number, request) }

// stream sends the events after the last one that the caller has.
func stream(writer http.ResponseWriter, request *http.Request, breaks bool) {
	last, _ := strconv.Atoi(request.Header.Get(HeaderEvent))
	writer.Header().Set("Content-Type", "text/event-stream")
	end := Events
	if breaks {
		end = last + rand.N(Events-last) + 1
	}
	for number := last + 1; number <= end; number++ {
		if request.Context().Err() != nil {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, Event(request.Header.Get(HeaderRequest), number))
		if breaks && number == end {
			event = event[:len(event)/2]
		}
		_, _ = io.WriteString(writer, event)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventPause)
	}
	if breaks {
		fixture.Break()
	}
}

// Package backend provides a stand-in for a target of the platform, which is a
// plain service or a streaming engine, using the HTTP protocol of the platform.
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

// HTTP headers of the platform. The exported ones are also used by callers.
const (
	HeaderRequestID   = "Mulberrybeam-Request-Id"
	HeaderAPIKey      = "Api-Key"
	HeaderDeadline    = "Mulberrybeam-Request-Deadline"
	HeaderStamp       = "Mulberrybeam-Response-Stamp"
	HeaderLastEventID = "Last-Event-Id"
	HeaderModel       = "Mulberrybeam-Model"
	HeaderTokenUsage  = "Mulberrybeam-Token-Usage"
	HeaderPromptParts = "Mulberrybeam-Prompt-Prefix"

	headerInstance = "Mulberrybeam-Expect-Instance"
	headerTenant   = "Mulberrybeam-Tenant-Id"
	headerNotRun   = "Mulberrybeam-Not-Executed"
)

// Events is the number of events in a stream. Requests whose path starts with
// StreamPath are answered with a stream.
const (
	EventsPerStream = 12
	StreamPath      = "/stream/"
)

// eventInterval is the delay between two events of a stream.
const eventInterval = 15 * time.Millisecond

// Faults configures the faults to inject. Shares are between 0 and 1.
type Faults struct {
	// LoseAnswerShare is the share of requests that run but get no response.
	LoseAnswerShare float64
	// BreakAnswerShare is the share of responses that are cut off midway.
	BreakAnswerShare float64
	// FailShare is the share of requests that get status 500.
	FailShare float64
	// Delay is added to the processing time of each request.
	Delay time.Duration
}

// Arrival records a request that reached the target.
type Arrival struct {
	At      time.Time
	Request string
	Target  string
	Zone    string
	Tenant  string
	// APIKey is the API key of the caller, which must never reach a target.
	APIKey string
	// Parts lists the IDs of the parts of a prompt.
	Parts []string
	// Ran is false if the request was refused without running: its body
	// could not be read, or it was meant for another instance.
	Ran bool
}

// Target is a running stand-in for a target.
type Target struct {
	ID, Zone  string
	listener  *fixture.Listener
	onArrival func(Arrival) (crash func())

	mutex       sync.Mutex
	faults      Faults
	silentUntil time.Time
}

// Start starts a target on a free loopback port. It calls onArrival for each
// request that reaches the target. If the result is not nil, the target calls it
// after it has begun to answer, and does not complete the response.
func Start(id, zone string, onArrival func(Arrival) (crash func())) (*Target, error) {
	t := &Target{ID: id, Zone: zone, onArrival: onArrival}
	var err error
	t.listener, _, err = fixture.Listen("", t)
	return t, err
}

// Address returns the listen address as "ip:port".
func (t *Target) Address() string { return t.listener.Address() }

// Crash closes the listener and all connections immediately.
func (t *Target) Crash() { t.listener.Drop() }

// SetFaults replaces the faults to inject.
func (t *Target) SetFaults(faults Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Silence makes the target send nothing for the duration. It still reads, and
// afterwards continues all responses.
func (t *Target) Silence(duration time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.silentUntil = time.Now().Add(duration)
}

// awaitSilenceEnd waits while the target is silent.
func (t *Target) awaitSilenceEnd() {
	for {
		t.mutex.Lock()
		wait := time.Until(t.silentUntil)
		t.mutex.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// ServeHTTP records a request and answers it, subject to the configured faults.
func (t *Target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrival := Arrival{
		At: time.Now(), Request: request.Header.Get(HeaderRequestID), Target: t.ID, Zone: t.Zone,
		Tenant: request.Header.Get(headerTenant), APIKey: request.Header.Get(HeaderAPIKey),
		Parts: promptParts(request.Header.Get(HeaderPromptParts)),
	}
	_, err := io.Copy(io.Discard, request.Body)
	instance := request.Header.Get(headerInstance)
	arrival.Ran = err == nil && (instance == "" || instance == t.ID)
	crash := t.onArrival(arrival)
	writer.Header().Set(HeaderRequestID, arrival.Request)
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
	case crash != nil:
		beginAnswer(writer)
		crash()
		fixture.AbortConnection()
	case rand.Float64() < faults.LoseAnswerShare:
		fixture.AbortConnection()
	case rand.Float64() < faults.FailShare:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	breaks := rand.Float64() < faults.BreakAnswerShare
	if strings.HasPrefix(request.URL.Path, StreamPath) {
		t.stream(writer, request, breaks)
		return
	}
	t.answer(writer, Answer(arrival.Request), breaks)
}

// promptParts returns the IDs in a list of prompt parts.
func promptParts(list string) []string {
	var ids []string
	for entry := range strings.SplitSeq(list, ",") {
		if id, _, found := strings.Cut(strings.TrimSpace(entry), ":"); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// beginAnswer sends the head of a response to every other request.
func beginAnswer(writer http.ResponseWriter) {
	if rand.IntN(2) == 0 {
		writer.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(writer).Flush()
	}
}

// answer sends a plain response. A silent target stops before the head or in
// the middle of the body.
func (t *Target) answer(writer http.ResponseWriter, body string, breaks bool) {
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if rand.IntN(2) == 0 {
		t.awaitSilenceEnd()
	}
	_, _ = io.WriteString(writer, body[:len(body)/2])
	if breaks {
		fixture.AbortConnection()
	}
	_ = http.NewResponseController(writer).Flush()
	t.awaitSilenceEnd()
	_, _ = io.WriteString(writer, body[len(body)/2:])
}

// Answer returns the expected response body for a request ID.
func Answer(request string) string { return strings.Repeat("answer to "+request+"\n", 20) }

// EventData returns the expected data of one event of the stream for a request ID.
func EventData(request string, number int) string {
	return fmt.Sprintf("event %d of %s", number, request)
}

// stream sends the events after the one named by Last-Event-Id. If breaks is
// set, it cuts the last event that it sends in half and closes the connection.
func (t *Target) stream(writer http.ResponseWriter, request *http.Request, breaks bool) {
	last, _ := strconv.Atoi(request.Header.Get(HeaderLastEventID))
	writer.Header().Set("Content-Type", "text/event-stream")
	end := EventsPerStream
	if breaks {
		end = last + rand.N(EventsPerStream-last) + 1
	}
	for number := last + 1; number <= end; number++ {
		if request.Context().Err() != nil {
			return
		}
		t.awaitSilenceEnd()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, EventData(request.Header.Get(HeaderRequestID), number))
		if breaks && number == end {
			event = event[:len(event)/2]
		}
		_, _ = io.WriteString(writer, event)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventInterval)
	}
	if breaks {
		fixture.AbortConnection()
	}
}

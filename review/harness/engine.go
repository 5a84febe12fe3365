//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Rates of an engine, as in stoyanov-oars.
const (
	prefillTokensPerMs = 68.2
	stepTime           = 4 * time.Millisecond
	tokensPerEvent     = 6
)

// Use is a part of a prompt that an engine read from its memory.
type Use struct {
	At        time.Duration
	Engine    string
	Request   string
	Tenant    string
	Part      string
	Salt      string
	MadeBy    string
	MadeAt    time.Duration
	MadeUnder string
}

// EngineOptions describe a model engine.
type EngineOptions struct {
	Service, ID, Zone, Model string
	Slots                    int
	// Unframed makes answers end with their connection, without length or chunks.
	Unframed bool
	// Crashes reports whether an engine that begins to answer a request crashes.
	Crashes func(parts []string) bool
	// Used is called for each part that is read from memory.
	Used func(use Use)
	// Cold is how long the engine reports to be cold.
	Cold time.Duration
	// EventTime is the time between two events of a stream, or 0 for that of an engine
	// with nothing else to do.
	EventTime time.Duration
}

// Engine is a model engine. It keeps all parts of prompts, by the text of the salt.
type Engine struct {
	*Server
	options EngineOptions
	version int
	kept    map[string]Use
	running chan struct{}
	crashed chan struct{}
}

// StartEngine starts a model engine.
func (c *Case) StartEngine(platform *Platform, options EngineOptions) (*Engine, error) {
	e := &Engine{
		options: options, version: 1, kept: map[string]Use{},
		running: make(chan struct{}, options.Slots), crashed: make(chan struct{}),
	}
	models := []map[string]any{{"name": options.Model, "version": e.version, "adapters": []string{}}}
	server, err := c.newServer(platform, serverOptions{
		id: options.ID, service: options.Service, zone: options.Zone, slots: options.Slots,
		extra: map[string]any{"stage": "colocated", "models": models, "cold_remaining_ms": options.Cold.Milliseconds()},
	}, func(s *Server) http.HandlerFunc {
		e.Server = s
		return e.handle
	})
	e.Server = server
	return e, err
}

// Crashed returns a channel that is closed when the engine has crashed.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

func (e *Engine) handle(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/-/report":
		e.report(writer)
		return
	case strings.HasPrefix(request.URL.Path, "/-/"):
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	arrival := e.admit(writer, request)
	if arrival == nil {
		return
	}
	if expected := request.Header.Get(headerVersion); expected != "" && expected != strconv.Itoa(e.version) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.running <- struct{}{}:
		defer func() { <-e.running }()
	case <-request.Context().Done():
		return
	}
	time.Sleep(e.read(request, arrival))
	if request.Context().Err() != nil {
		e.update(arrival, func(a *Arrival) { a.Cut = true })
		return
	}
	e.update(arrival, func(a *Arrival) { a.Ran = true })
	if e.options.Crashes != nil && e.options.Crashes(partIDs(request)) {
		e.crash(arrival)
		return
	}
	e.answer(writer, request, arrival)
}

func (e *Engine) report(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "colocated", "models": []map[string]any{{"name": e.options.Model, "version": e.version, "adapters": []string{}}},
		"busy": false, "sequence": 0, "waiting": 0, "running": len(e.running), "kv_used": 0, "kv_total": 95853, "handles": 0,
	})
}

// read reads the prompt: parts that are kept under the salt come from memory as long
// as all before them did. It returns how long the rest takes.
func (e *Engine) read(request *http.Request, arrival *Arrival) time.Duration {
	salt, tenant := request.Header.Get(headerSalt), request.Header.Get(headerTenant)
	tokens, hit := 0, true
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for entry := range strings.SplitSeq(request.Header.Get(headerPrefix), ",") {
		id, count, _ := strings.Cut(entry, ":")
		kept, found := e.kept[salt+" "+id]
		if hit = hit && found; hit {
			use := kept
			use.At, use.Engine, use.Request, use.Tenant = e.c.Since(), e.ID, arrival.Request, tenant
			if e.options.Used != nil {
				e.options.Used(use)
			}
			continue
		}
		number, _ := strconv.Atoi(count)
		tokens += number
		e.kept[salt+" "+id] = Use{Part: id, Salt: salt, MadeBy: tenant, MadeAt: e.c.Since(), MadeUnder: strconv.Itoa(e.version)}
	}
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}

// answer sends a stream of events.
func (e *Engine) answer(writer http.ResponseWriter, request *http.Request, arrival *Arrival) {
	_, output, _ := strings.Cut(request.Header.Get(headerUsage), ",")
	tokens, _ := strconv.Atoi(output)
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(HeaderStamp, "3e1b.07."+arrival.Request)
	header.Set("Mulberrybeam-Weight-Versions", strconv.Itoa(e.version))
	var out io.Writer = writer
	flush := func() { _ = http.NewResponseController(writer).Flush() }
	if e.options.Unframed {
		conn, err := hijack(writer, header)
		if err != nil {
			return
		}
		defer conn.Close()
		out, flush = conn, func() {}
	}
	eventTime := e.options.EventTime
	if eventTime == 0 {
		eventTime = tokensPerEvent * stepTime
	}
	for number, done := 1, 0; done < tokens; number++ {
		time.Sleep(eventTime)
		done += tokensPerEvent
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", number, number, arrival.Request); err != nil {
			e.update(arrival, func(a *Arrival) { a.Cut = true })
			return
		}
		flush()
	}
}

// hijack takes the connection over and writes the head of an answer that ends with
// its connection.
func hijack(writer http.ResponseWriter, header http.Header) (net.Conn, error) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, err
	}
	header.Set("Connection", "close")
	if _, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err == nil {
		if err = header.Write(conn); err == nil {
			_, err = io.WriteString(conn, "\r\n")
		}
	}
	return conn, err
}

// crash ends the engine at once. Its entry stays until its heartbeats are missed.
func (e *Engine) crash(arrival *Arrival) {
	e.mutex.Lock()
	first := !e.ended
	e.ended = true
	e.mutex.Unlock()
	if first {
		e.c.Log("server %s crashes as it begins to answer request %s", e.ID, arrival.Request)
		_ = e.http.Close()
		close(e.crashed)
	}
	panic(http.ErrAbortHandler)
}

func partIDs(request *http.Request) []string {
	var ids []string
	for entry := range strings.SplitSeq(request.Header.Get(headerPrefix), ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}

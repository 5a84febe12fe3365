package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// completionBody is the request body of a chat completion.
type completionBody struct {
	chatBody
	Stream   bool            `json:"stream"`
	Priority int             `json:"priority"`
	Context  encoder.Context `json:"context"`
}

// streamFault is the fault injected into one stream, after a number of tokens.
type streamFault struct {
	kind  string
	after int
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("DELETE /v1/chat/completions/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.loadReport)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /v1/context/import", e.importContext)
	mux.HandleFunc("POST /v1/context/export", e.exportContext)
	mux.HandleFunc("POST /v1/orders", e.runOrder)
	fixture.Mount(mux, &e.FaultControl, &e.Counters)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := fixture.ReadBody(r)
	if err != nil {
		fixture.AbortConnection()
	}
	if !fixture.Pause(r, e.Faults().HeaderDelay) || e.refuseByFault(w) {
		return
	}
	run, ok := e.parseCompletion(w, r, raw)
	if !ok {
		return
	}
	i, ok := e.acceptRun(w, run)
	if !ok {
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !run.ended {
			e.Add("abandoned")
			i.remove(run)
		}
	}()
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Instance-Id", i.id)
	header.Set("X-Weight-Version", run.version)
	header.Set("X-Request-Id", run.id)
	w.WriteHeader(http.StatusOK)
	e.stream(w, r, run, e.takeStreamFault())
}

// refuseByFault sends an error response if the faults require one, and reports
// whether it did.
func (e *Engine) refuseByFault(w http.ResponseWriter) bool {
	if e.TakeFault(func(f *Faults) *int { return &f.RefuseNext }) {
		e.Add("refused")
		fixture.WriteError(w, http.StatusTooManyRequests, "overloaded", "refused by an injected fault", true)
		return true
	}
	if e.TakeFault(func(f *Faults) *int { return &f.FailNext }) {
		e.Add("failed")
		fixture.WriteError(w, http.StatusInternalServerError, "internal", "failed by an injected fault", false)
		return true
	}
	return false
}

func (e *Engine) parseCompletion(w http.ResponseWriter, r *http.Request, raw []byte) (*run, bool) {
	var body completionBody
	err := json.Unmarshal(raw, &body)
	var prompt uint64
	if err == nil {
		prompt, err = body.promptHash()
	}
	var after uint64
	if last := r.Header.Get("Last-Event-Id"); err == nil && last != "" {
		after, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || !body.Stream {
		fixture.WriteError(w, http.StatusBadRequest, "bad-request", fmt.Sprint("invalid body: ", err), true)
		return nil, false
	}
	for n, text := range body.Context.Generated {
		if text != TokenText(prompt, uint64(n+1)) {
			e.Add("generated-mismatches")
		}
	}
	tokens := body.MaxTokens
	if tokens <= 0 {
		tokens = e.settings.AnswerTokens
	}
	length := max(len(body.Messages)/BytesPerToken, len(body.Context.Keys)*BlockTokens)
	return &run{
		id: r.Header.Get("X-Request-Id"), model: body.Model,
		salt: body.Context.Salt, keys: body.Context.Keys, version: body.Context.Version,
		body: string(raw), prompt: prompt, priority: body.Priority,
		promptTokens: length + len(body.Context.Generated),
		nextSequence: after + 1, lastSequence: uint64(tokens), sequences: make(chan uint64, tokens+1), headersSent: make(chan struct{}),
	}, true
}

// acceptRun validates a run and adds it to the queue. A cold engine crashes
// when the run would exceed its limit of requests in flight.
func (e *Engine) acceptRun(w http.ResponseWriter, r *run) (*instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.instance
	if i.ctx.Err() != nil {
		fixture.AbortConnection()
	}
	loaded, found := i.versions[r.model]
	if !found {
		fixture.WriteError(w, http.StatusNotFound, "unknown-model", "model "+r.model+" is not loaded", true)
		return nil, false
	}
	if r.version != "" && r.version != loaded {
		e.Add("wrong-version")
		fixture.WriteError(w, http.StatusConflict, "wrong-version", "version "+loaded+" is loaded", true)
		return nil, false
	}
	r.version = loaded
	if i.cold && i.inFlight() >= e.settings.ColdLimit {
		e.crash("cold-crashes")
		fixture.AbortConnection()
	}
	if len(i.waiting) >= e.settings.MaxWaiting {
		e.Add("overloaded")
		fixture.WriteError(w, http.StatusTooManyRequests, "overloaded", "queue is full", true)
		return nil, false
	}
	if i.leaving {
		e.Add("started-while-leaving")
	}
	e.runs[r.id]++
	e.Add("started")
	if r.nextSequence > 1 {
		e.Add("resumed")
	}
	i.enqueue(r)
	if i.cold {
		e.Raise("max-cold-in-flight", i.inFlight())
	}
	return i, true
}

func (e *Engine) takeStreamFault() streamFault {
	after := e.Faults().BreakAfter
	kinds := []struct {
		name  string
		field func(*Faults) *int
	}{
		{"broken", func(f *Faults) *int { return &f.BreakNext }},
		{"duplicated", func(f *Faults) *int { return &f.DuplicateNext }},
		{"misdelivered", func(f *Faults) *int { return &f.MisdeliverNext }},
		{"lost", func(f *Faults) *int { return &f.LoseNext }},
		{"no-end", func(f *Faults) *int { return &f.NoEndNext }},
		{"stalled", func(f *Faults) *int { return &f.StallNext }},
	}
	for _, kind := range kinds {
		if e.TakeFault(kind.field) {
			return streamFault{kind.name, after}
		}
	}
	return streamFault{}
}

// stream writes the events of a run until the run ends or the caller
// disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, fault streamFault) {
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	close(run.headersSent)
	sent := 0
	for {
		var sequence uint64
		open := false
		select {
		case <-r.Context().Done():
			return
		case sequence, open = <-run.sequences:
		}
		if !open {
			break
		}
		if fault.kind != "" && sent == fault.after && fault.kind != "no-end" {
			e.Add(fault.kind)
			if skip := e.applyFault(w, r, run, sequence, fault.kind); skip {
				sent++
				continue
			}
		}
		writeChunk(w, run.id, run.model, sequence, TokenText(run.prompt, sequence))
		_ = flusher.Flush()
		sent++
	}
	if run.nextSequence <= run.lastSequence {
		fixture.AbortConnection() // cancelled or crashed
	}
	e.writeEnd(w, run, fault)
}

// applyFault injects a fault before a token is written and reports whether the
// token must be skipped.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request, run *run, sequence uint64, kind string) bool {
	text := TokenText(run.prompt, sequence)
	switch kind {
	case "broken":
		fixture.AbortConnection()
	case "duplicated":
		writeChunk(w, run.id, run.model, sequence, text)
	case "misdelivered":
		writeChunk(w, "other-request", run.model, sequence, "foreign ")
	case "lost":
		return true
	case "stalled":
		<-r.Context().Done()
		fixture.AbortConnection()
	}
	return false
}

func (e *Engine) writeEnd(w http.ResponseWriter, run *run, fault streamFault) {
	if fault.kind == "no-end" {
		e.Add(fault.kind)
		return
	}
	reason := "stop"
	generated := int(run.lastSequence)
	writeEvent(w, run.lastSequence+1, encoder.Chunk{
		ID: run.id, Object: "chat.completion.chunk", Model: run.model,
		Choices: []encoder.Choice{{FinishReason: &reason}},
		Usage: &encoder.Usage{
			PromptTokens: run.promptTokens, CompletionTokens: generated, TotalTokens: run.promptTokens + generated,
			Details: &encoder.UsageDetails{CachedTokens: run.cached},
		},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = http.NewResponseController(w).Flush()
}

func writeChunk(w http.ResponseWriter, id, model string, sequence uint64, text string) {
	writeEvent(w, sequence, encoder.Chunk{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []encoder.Choice{{Delta: encoder.Delta{Content: text}}},
	})
}

func writeEvent(w http.ResponseWriter, sequence uint64, chunk encoder.Chunk) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sequence, data)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.instance
	for _, run := range append(append([]*run{}, i.waiting...), i.running...) {
		if run.id == r.PathValue("id") {
			i.remove(run)
			e.Add("cancelled")
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	fixture.WriteError(w, http.StatusNotFound, "not-found", "request is not in progress", true)
}

package engine

import (
	"net/http"
	"strconv"
	"time"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

func (e *Engine) loadReport(w http.ResponseWriter, _ *http.Request) {
	if e.Faults().LoadDown {
		e.Add("load-failed")
		fixture.WriteError(w, http.StatusInternalServerError, "internal", "load reports are disabled by an injected fault", false)
		return
	}
	e.mu.Lock()
	i := e.instance
	i.reports++
	sample := i.loadAt(time.Now().Add(-e.settings.ReportLag))
	report := encoder.LoadReport{
		Instance: i.id, Sequence: i.reports, LagMs: e.settings.ReportLag.Milliseconds(),
		Running: sample.running, Waiting: sample.waiting,
		WeightVersions: map[string]string{}, Leaving: i.leaving,
	}
	for model, version := range i.versions {
		report.WeightVersions[model] = version
	}
	e.mu.Unlock()
	fixture.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if e.Faults().EventsDown {
		e.Add("events-failed")
		fixture.WriteError(w, http.StatusInternalServerError, "internal", "cache events are disabled by an injected fault", false)
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fixture.WriteError(w, http.StatusBadRequest, "bad-request", "query parameter after is not a number", true)
		return
	}
	e.mu.Lock()
	answer := encoder.CacheEvents{Instance: e.instance.id, Events: []encoder.CacheEvent{}}
	for _, event := range e.instance.cache.eventsAfter(after, time.Now().Add(-e.settings.EventLag)) {
		answer.Events = append(answer.Events, encoder.CacheEvent{
			Sequence: event.sequence, Stored: event.stored, Removed: event.removed,
		})
	}
	e.mu.Unlock()
	fixture.WriteJSON(w, http.StatusOK, answer)
}

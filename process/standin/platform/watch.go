package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// faultInterval is how often an idle watch checks for changed faults.
const faultInterval = 100 * time.Millisecond

// watchEvent is one line of the response to a watch.
type watchEvent struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	at := placeOf(r)
	name := strings.TrimPrefix(r.URL.Query().Get("fieldSelector"), "metadata.name=")
	version, initial, status := p.startWatch(at, name, r.URL.Query().Get("resourceVersion"))
	p.leave(r, false)
	if status != nil {
		p.Add(status.Reason)
		p.fail(w, status)
		return
	}
	p.Add("watches-started")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	send(w, initial)
	p.mu.Lock()
	round := p.round
	p.mu.Unlock()
	timer := time.NewTicker(faultInterval)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changes, known := p.content.since(at, name, version)
		if known && len(changes) == 0 {
			// Advance the version, so that changes to other objects cannot
			// make this watch expire.
			version = p.content.version
		}
		changed, ended := p.changed, p.round != round
		p.mu.Unlock()
		faults := p.Faults()
		if ended || faults.Down {
			p.Add("watches-broken")
			fixture.Break()
		}
		if !known {
			send(w, []watchEvent{{encoder.WatchError, refuse(http.StatusGone, encoder.ReasonExpired, "resourceVersion is too old")}})
			return
		}
		if len(changes) > 0 && !slices.Contains(faults.CutAnswers, r.UserAgent()) {
			version = changes[len(changes)-1].version
			send(w, eventsOf(changes))
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
		}
	}
}

// startWatch returns the version to watch from and, if the watch gives no version,
// the existing objects as added events.
func (p *Platform) startWatch(at place, name, from string) (uint64, []watchEvent, *encoder.ObjectStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == "" || from == "0" {
		var initial []watchEvent
		for _, object := range p.content.list(at) {
			if name == "" || object.Metadata.Name == name {
				initial = append(initial, watchEvent{encoder.WatchAdded, object})
			}
		}
		return p.content.version, initial, nil
	}
	version, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, nil, refuse(http.StatusBadRequest, encoder.ReasonInvalid, "resourceVersion is invalid")
	}
	if _, known := p.content.since(at, name, version); !known {
		return 0, nil, refuse(http.StatusGone, encoder.ReasonExpired, "resourceVersion is too old")
	}
	return version, nil, nil
}

func eventsOf(changes []change) []watchEvent {
	events := make([]watchEvent, len(changes))
	for i, one := range changes {
		events[i] = watchEvent{one.event, one.object}
	}
	return events
}

func send(w http.ResponseWriter, events []watchEvent) {
	encode := json.NewEncoder(w)
	for _, event := range events {
		_ = encode.Encode(event)
	}
	_ = http.NewResponseController(w).Flush()
}

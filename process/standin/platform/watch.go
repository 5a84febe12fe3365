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
	in := collectionOf(r)
	name := strings.TrimPrefix(r.URL.Query().Get("fieldSelector"), "metadata.name=")
	version, initial, status := p.startWatch(in, name, r.URL.Query().Get("resourceVersion"))
	p.beforeResponse(r, false)
	if status != nil {
		p.Add(status.Reason)
		p.writeStatus(w, status)
		return
	}
	p.Add("watches-started")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	writeEvents(w, initial)
	p.mu.Lock()
	generation := p.watchGeneration
	p.mu.Unlock()
	timer := time.NewTicker(faultInterval)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changes, available := p.content.changesSince(in, name, version)
		if available && len(changes) == 0 {
			// Advance the version, so that changes to other objects
			// cannot make this watch expire.
			version = p.content.version
		}
		changed, ended := p.changed, p.watchGeneration != generation
		p.mu.Unlock()
		faults := p.Faults()
		if ended || faults.Down {
			p.Add("watches-broken")
			fixture.AbortConnection()
		}
		if !available {
			writeEvents(w, []watchEvent{{encoder.WatchError, failure(http.StatusGone, encoder.ReasonExpired, "resourceVersion is too old")}})
			return
		}
		if len(changes) > 0 && !slices.Contains(faults.CutAnswers, r.UserAgent()) {
			version = changes[len(changes)-1].version
			writeEvents(w, watchEvents(changes))
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

// startWatch returns the version to watch from and, if the watch gives no
// version, the existing objects as added events.
func (p *Platform) startWatch(in collection, name, from string) (uint64, []watchEvent, *encoder.ObjectStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == "" || from == "0" {
		var initial []watchEvent
		for _, object := range p.content.list(in) {
			if name == "" || object.Metadata.Name == name {
				initial = append(initial, watchEvent{encoder.WatchAdded, object})
			}
		}
		return p.content.version, initial, nil
	}
	version, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, nil, failure(http.StatusBadRequest, encoder.ReasonBadRequest, "resourceVersion is invalid")
	}
	if _, available := p.content.changesSince(in, name, version); !available {
		return 0, nil, failure(http.StatusGone, encoder.ReasonExpired, "resourceVersion is too old")
	}
	return version, nil, nil
}

func watchEvents(changes []change) []watchEvent {
	events := make([]watchEvent, len(changes))
	for i, entry := range changes {
		events[i] = watchEvent{entry.event, entry.object}
	}
	return events
}

func writeEvents(w http.ResponseWriter, events []watchEvent) {
	encode := json.NewEncoder(w)
	for _, event := range events {
		_ = encode.Encode(event)
	}
	_ = http.NewResponseController(w).Flush()
}

package engine

import (
	"net/http"
	"sync"
	"time"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// fullSpeedLoads is the number of engines that can load weights concurrently at
// full speed.
const fullSpeedLoads = 2

// WeightStore simulates a weight store with limited bandwidth that several engines
// share.
type WeightStore struct {
	mu      sync.Mutex
	loading int
	peak    int
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (l *WeightStore) MaxConcurrentLoads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// begin registers a load and returns how long it takes. The duration grows in
// proportion to the number of concurrent loads above fullSpeedLoads.
func (l *WeightStore) begin(unshared time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading++
	l.peak = max(l.peak, l.loading)
	if l.loading <= fullSpeedLoads {
		return unshared
	}
	return unshared * time.Duration(l.loading) / fullSpeedLoads
}

func (l *WeightStore) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading--
}

func (e *Engine) runOrder(w http.ResponseWriter, r *http.Request) {
	order, ok := fixture.ReadJSON[encoder.Order](w, r)
	if !ok || !fixture.Pause(r, e.Faults().OrderDelay) {
		return
	}
	if !e.checkFencing(w, order.Fencing) {
		return
	}
	switch order.Kind {
	case "load-weights":
		duration := e.settings.WeightStore.begin(e.settings.LoadTime)
		// The order continues even if the caller disconnects.
		timer := time.NewTimer(duration)
		<-timer.C
		e.settings.WeightStore.end()
		e.mu.Lock()
		e.instance.versions[order.Model] = order.Version
		e.mu.Unlock()
		e.Add("weights-loaded")
	case "load-adapter":
		e.Add("adapters-loaded")
	case "role":
		e.mu.Lock()
		e.instance.leaving = order.Role == "leaving"
		e.mu.Unlock()
		e.Add("roles-changed")
	default:
		fixture.WriteError(w, http.StatusBadRequest, "bad-request", "unknown order kind "+order.Kind, true)
		return
	}
	fixture.WriteJSON(w, http.StatusOK, struct{}{})
}

// checkFencing checks the fencing token of an order against the highest one
// seen and reports whether the order may run. An engine that does not check
// fencing runs and counts the stale orders.
func (e *Engine) checkFencing(w http.ResponseWriter, number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number >= e.highestFencing {
		e.highestFencing = number
		return true
	}
	if e.settings.ChecksFencing {
		e.Add("stale-orders-refused")
		fixture.WriteError(w, http.StatusConflict, "stale-fencing", "fencing token is lower than the highest one seen", true)
		return false
	}
	e.Add("stale-orders-run")
	return true
}

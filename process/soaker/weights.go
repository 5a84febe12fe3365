package soaker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulberrybeam/process/standin/fixture"
)

const (
	// weightEngines is the number of engines that load weights. They get no requests.
	weightEngines = 6
	// loadTime is how long an engine takes to load weights.
	loadTime = 300 * time.Millisecond
	// weightInterval is the time between two new versions of the weights.
	weightInterval = 2 * time.Second
	weightModel    = "m"
)

// weightEngine is a stand-in for an engine that takes orders to load weights and refuses
// those with a fencing token below the highest one.
type weightEngine struct {
	id       string
	zone     string
	run      *run
	listener *fixture.Listener

	mutex    sync.Mutex
	version  int
	token    uint64
	accepted uint64
	busy     bool
}

// startWeightEngines starts the engines and registers them with the store.
func (r *run) startWeightEngines() error {
	for i := range weightEngines {
		e := &weightEngine{id: fmt.Sprint("w-", i), zone: zones[i%len(zones)], run: r, version: 1}
		var err error
		if e.listener, _, err = fixture.Listen("", e); err != nil {
			return err
		}
		r.weightEngines = append(r.weightEngines, e)
		e.register()
	}
	return nil
}

// orderWeights writes new versions of the weights until the callers stop.
func (r *run) orderWeights(ended func() bool) {
	for version := 2; !ended(); version++ {
		r.operator.put("versions", weightModel, fmt.Sprintf(`{"model":%q,"version":%d}`, weightModel, version))
		r.pause(weightInterval)
	}
}

func (e *weightEngine) register() {
	e.run.operator.put("servers", e.id, fmt.Sprintf(
		`{"service":"weights","address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"models":[{"name":%q,"version":%d}]}`,
		e.listener.Address(), e.zone, weightModel, e.version))
}

// ServeHTTP answers a call for a report, or an order.
func (e *weightEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		e.takeOrder(writer, request)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"models": []map[string]any{{"name": weightModel, "version": e.version}}, "busy": e.busy, "sequence": e.accepted,
	})
}

func (e *weightEngine) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Version int    `json:"version"`
		Holder  string `json:"holder"`
		Token   uint64 `json:"fencing_token"`
		Expect  uint64 `json:"expect"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.run.withLock(func() {
		e.run.history.Orders = append(e.run.history.Orders, Order{At: time.Now(), Engine: e.id, Holder: order.Holder, Token: order.Token})
	})
	switch {
	case order.Token < e.token:
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.busy || order.Expect != e.accepted:
		writer.WriteHeader(http.StatusConflict)
		return
	}
	e.token, e.busy = order.Token, true
	e.accepted++
	time.AfterFunc(loadTime, func() { e.load(order.Version) })
	writer.WriteHeader(http.StatusAccepted)
}

func (e *weightEngine) load(version int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version, e.busy = version, false
	e.register()
}

// checkTokens checks that no two hosts ordered weights with one fencing token, and that
// some were ordered if the run has engines for them.
func (c *checker) checkTokens() {
	users := map[uint64]string{}
	for _, order := range c.Orders {
		if user, used := users[order.Token]; used && user != order.Holder {
			c.addViolation("token", "%s ordered weights of engine %s with fencing token %d, which %s used", order.Holder, order.Engine, order.Token, user)
		}
		users[order.Token] = order.Holder
	}
	if c.OrdersWeights && len(c.Orders) == 0 {
		c.addViolation("token", "no host ordered weights")
	}
}

package starter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/metastore"
	"mulberrybeam/process/starter"
)

// rolloutHarness is two entry processes in front of one target of each version.
type rolloutHarness struct {
	store *metastore.Store
	hosts []*harness
	// sent counts the requests at the targets by version.
	sent map[string]*atomic.Int64
}

func startRollouts(t *testing.T, newHandler http.HandlerFunc) *rolloutHarness {
	r := &rolloutHarness{store: metastore.New(), sent: map[string]*atomic.Int64{"v1": {}, "v2": {}}}
	store := httptest.NewServer(r.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	r.store.Put("config", "main", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":2000,"target_latency_ms":100,"max_attempts":2,"service":"s"}],
		"services":[{"name":"s","max_connections":50}],"tenants":[{"name":"w","api_keys":["k"]}]}`)
	r.addTarget(t, "v1", answerOK)
	for i := range 2 {
		h := &harness{store: r.store, log: &logBuffer{}, settings: mulberrybeam.HostSettings{
			ID: mulberrybeam.ProcessID(fmt.Sprint("front-", i)), Zone: "a", StoreAddress: strings.TrimPrefix(store.URL, "http://"),
			CallerAddress: address(freePort(t)), ReadyAddress: address(freePort(t)), PeerAddress: address(freePort(t)),
			Bounds: mulberrybeam.HostBounds{
				Grace: 4 * time.Second, RetryBudgetRatio: 1, RetryBudgetMin: 200, RetryBudgetWindow: time.Second, ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second,
			},
		}}
		process, err := starter.Start(h.settings, 0, h.log)
		if err != nil {
			t.Fatal(err)
		}
		h.process = process
		t.Cleanup(h.process.Shutdown)
		r.hosts = append(r.hosts, h)
		h.awaitStatus(t, "request is not served", http.StatusOK, h.settings.CallerAddress+"/a/b", "k")
	}
	r.store.Put("rollouts", "s", `{"service":"s","to":"v2","duration_s":9}`)
	r.addTarget(t, "v2", newHandler)
	return r
}

func (r *rolloutHarness) addTarget(t *testing.T, version string, handler http.HandlerFunc) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		r.sent[version].Add(1)
		handler(writer, request)
	}))
	t.Cleanup(target.Close)
	r.store.Put("servers", "i-"+version, fmt.Sprintf(
		`{"service":"s","address":%q,"zone":"a","slots":4,"state":"ready","version":%q}`, strings.TrimPrefix(target.URL, "http://"), version))
}

// play sends requests until the rollout has ended, and returns its status and the
// number of requests that did not succeed.
func (r *rolloutHarness) play(t *testing.T) (status string, failed int) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		for _, h := range r.hosts {
			if status, _ := h.get(t, h.settings.CallerAddress+"/a/b", "k"); status != http.StatusOK {
				failed++
			}
		}
		if status = r.store.Status("rollouts", "s"); status != "" && !strings.Contains(status, "running") {
			return status, failed
		}
		time.Sleep(5 * time.Millisecond)
	}
	return status, failed
}

// Guards against faults anywhere between an order and its status in processes
// that exchange datagrams, and against requests that fail because of a rollout.
func TestRollouts(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		is := is.New(t)
		r := startRollouts(t, answerOK)
		status, failed := r.play(t)
		is.Equal(status, `{"state":"succeeded","to":"v2"}`)
		is.Equal(failed, 0)
		time.Sleep(300 * time.Millisecond)
		old := r.sent["v1"].Load()
		code, _ := r.hosts[0].get(t, r.hosts[0].settings.CallerAddress+"/a/b", "k")
		is.Equal(code, http.StatusOK)
		is.Equal(r.sent["v1"].Load(), old)
	})
	t.Run("bad", func(t *testing.T) {
		is := is.New(t)
		r := startRollouts(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) })
		status, failed := r.play(t)
		is.Equal(status, `{"state":"rolled_back","to":"v2"}`)
		is.Equal(failed, 0)
		exposed, all := r.sent["v2"].Load(), r.sent["v1"].Load()+r.sent["v2"].Load()
		is.True(exposed > 0)
		is.True(float64(exposed) <= 0.1*float64(all)+50)
	})
}

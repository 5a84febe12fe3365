package relayer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/process/tracker"
	"mulberrybeam/request/quarantiner"
)

// Guards against a request that crashes one target after another. The crash
// must be reported, and the request refused once its crash count reaches the
// limit.
func TestCrashingRequestIsReportedAndRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, onceRule, abortsConnection)
	target := h.fleet.Load().Targets["s"][0]
	crash := h.crash(7)
	// A target may start again under the same ID and crash again.
	is.Equal(crash.Target, target.ID+".7")
	fleet := *h.fleet.Load()
	fleet.Suspects = map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{
		quarantiner.RequestPart(crash.Fingerprint): {Crashes: quarantiner.RefusalThreshold, Since: -quarantiner.ConvictionDelay},
	}
	h.fleet.Store(&fleet)
	is.Equal(h.call(nil).status, http.StatusServiceUnavailable)
	is.Equal(h.requestCount(), 0)
}

// crash sends a request to a target that crashes, and returns what is reported.
func (h *harness) crash(startedAt int64) mulberrybeam.CrashRecord {
	is := is.New(h.t)
	before := h.fleet.Load()
	defer h.fleet.Store(before)
	target := before.Targets["s"][0]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// As in a crash, stop listening before the connection ends.
		_ = listener.Close()
		_ = conn.Close()
	}()
	target.Address, target.StartedAt = listener.Addr().String(), startedAt
	fleet := *before
	fleet.Targets = map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": {target}}
	h.fleet.Store(&fleet)
	is.Equal(h.call(nil).status, http.StatusBadGateway)
	return (<-h.crashes).Crash
}

// Guards against a request that many callers send, and that is refused for good because
// targets crashed with copies of it in flight that did not cause the crashes.
func TestRepeatedRequestIsServedAfterCrashes(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	h := newHarness(t, onceRule, func(writer http.ResponseWriter, request *http.Request) {
		started <- struct{}{}
		<-release
		respondsStamped("ok")(writer, request)
	})
	crash := h.crash(7)
	fleet := h.fleet.Load()
	loop := &controlLoop{start: h.start, machines: []mulberrybeam.StateMachine{tracker.New("self", nil), parttracker.New()}}
	loop.publish = func(published *mulberrybeam.Fleet) {
		next := *published
		next.Complete, next.Deployment, next.Hosts, next.Keys, next.Targets = true, fleet.Deployment, fleet.Hosts, fleet.Keys, fleet.Targets
		h.fleet.Store(&next)
	}
	loop.post(mulberrybeam.Tick{})
	h.control.Store(loop)
	copied := make(chan callResult, 1)
	go func() { copied <- h.call(nil) }()
	<-started
	for _, target := range []mulberrybeam.InstanceID{"a", "b", "c"} {
		crash.Target = target
		loop.post(mulberrybeam.TargetCrashed{Crash: crash})
	}
	close(release)
	is.Equal((<-copied).status, http.StatusOK)
	is.Equal(h.call(nil).status, http.StatusOK)
}

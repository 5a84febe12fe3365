package relayer_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// asksForPause refuses the first request with the given Retry-After and runs all
// others.
func asksForPause(retryAfter string) (handler http.HandlerFunc, arrivals *atomic.Int64) {
	arrivals = &atomic.Int64{}
	return func(writer http.ResponseWriter, request *http.Request) {
		if arrivals.Add(1) > 1 {
			respondsStamped("ok")(writer, request)
			return
		}
		writer.Header().Set("Retry-After", retryAfter)
		refuses(writer, request)
	}, arrivals
}

// Guards against requests to a target that has refused one and asked for a pause.
func TestTargetIsLeftAloneForItsPause(t *testing.T) {
	for _, rule := range []mulberrybeam.Rule{repeatableRule, onceRule, streamRule} {
		is := is.New(t)
		paused, arrivals := asksForPause("1")
		h := newHarness(t, rule, paused, respondsStamped("id: 1\ndata: x\n\n"))
		var pausedAt time.Time
		for start := time.Now(); time.Since(start) < 1800*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			if pausedAt.IsZero() && arrivals.Load() > 0 {
				pausedAt = time.Now()
			}
			if !pausedAt.IsZero() && time.Since(pausedAt) < 900*time.Millisecond {
				is.Equal(arrivals.Load(), int64(1))
			}
			is.Equal(h.call(nil).status, http.StatusOK)
		}
		is.True(arrivals.Load() > 1) // used again after the pause
	}
}

// Guards against requests that wait for targets whose pause ends after their wait, and
// against callers that return before it ends.
func TestRequestIsRefusedAtOnceIfAllTargetsArePaused(t *testing.T) {
	is := is.New(t)
	first, firstArrivals := asksForPause("40")
	second, secondArrivals := asksForPause("30")
	rule := onceRule
	rule.LatencyGoal = 800 * time.Millisecond
	h := newHarness(t, rule, first, second)
	for range 10 {
		startedAt := time.Now()
		result := h.call(nil)
		is.Equal(result.status, http.StatusServiceUnavailable)
		is.True(time.Since(startedAt) < 400*time.Millisecond)
		retryAfter, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(retryAfter > 29 && retryAfter < 40) // the earliest end, spread
	}
	is.Equal(firstArrivals.Load()+secondArrivals.Load(), int64(2))
}

// Guards against odd values of Retry-After that keep a target without requests.
func TestOddPausesAreIgnored(t *testing.T) {
	for _, value := range []string{"", "-3", "0", "NaN", "soon", "1 s", "Wed, 21 Oct 2099 07:28:00 GMT", strings.Repeat("9", 400)} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			handler, arrivals := asksForPause(value)
			h := newHarness(t, onceRule, handler)
			for start := time.Now(); arrivals.Load() < 2 && time.Since(start) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
				h.call(nil)
			}
			is.True(arrivals.Load() > 1)
		})
	}
}

// Guards against requests to a target that has said in an answer that it is about to
// stop, while the platform still lists it as ready.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, test := range map[string]struct {
		rule    mulberrybeam.Rule
		handler http.HandlerFunc
		// forwarded is set if the caller gets the header.
		forwarded bool
	}{
		"result":               {onceRule, respondsStamped("ok"), true},
		"repeatable result":    {repeatableRule, respondsStamped("ok"), true},
		"stream":               {streamRule, respondsStamped(event), true},
		"failure":              {onceRule, fails, true},
		"failure before retry": {repeatableRule, fails, false},
		"refusal":              {onceRule, refuses, false},
		"without stamp":        {onceRule, respondsStatus(http.StatusOK), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arrivals atomic.Int64
			h := newHarness(t, test.rule, func(writer http.ResponseWriter, request *http.Request) {
				arrivals.Add(1)
				writer.Header().Set("Server-Leaving", "1")
				test.handler(writer, request)
			}, respondsStamped(event))
			for arrivals.Load() == 0 {
				result := h.call(nil)
				is.Equal(result.header.Get("Server-Leaving") != "", test.forwarded && arrivals.Load() > 0)
			}
			for range 40 {
				is.Equal(h.call(nil).status, http.StatusOK)
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(arrivals.Load(), int64(1))
			// A new run under the same ID is used.
			fleet := *h.fleet.Load()
			targets := append([]mulberrybeam.FleetTarget(nil), fleet.Targets["s"]...)
			targets[0].StartedAt = 7
			fleet.Targets = map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": targets[:1]}
			h.fleet.Store(&fleet)
			h.call(nil)
			is.Equal(arrivals.Load(), int64(2))
		})
	}
}

// Guards against a target that gets no requests because another one at its address,
// or a value that does not mean it, said that it leaves.
func TestOtherTargetsLeavingIsIgnored(t *testing.T) {
	for name, change := range map[string]func(http.Header){
		"another instance": func(header http.Header) {
			header.Set("Server-Leaving", "1")
			header.Set("Mulberrybeam-Instance-Id", "t9")
		},
		"0":     func(header http.Header) { header.Set("Server-Leaving", "0") },
		"empty": func(header http.Header) { header.Set("Server-Leaving", "") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, onceRule, func(writer http.ResponseWriter, request *http.Request) {
				change(writer.Header())
				respondsStamped("ok")(writer, request)
			})
			for range 3 {
				is.Equal(h.call(nil).status, http.StatusOK)
			}
		})
	}
}

package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/monitor"
	"mulberrybeam/request/retrier"
)

// silence is longer than the idle timeout of a stream.
const silence = 2200 * time.Millisecond

// patientStreamRule returns a rule of streams whose timeout no test reaches.
func patientStreamRule() mulberrybeam.Rule {
	rule := streamRule
	rule.Timeout = 8 * time.Second
	return rule
}

// pausesAfter sends the events up to last, is silent for a while, and completes
// the stream of six events.
func pausesAfter(last int) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		if last > 0 {
			writeEvents(writer, 1, last)
		}
		select {
		case <-request.Context().Done():
		case <-time.After(silence):
			writeEvents(writer, last+1, 6)
		}
	}
}

// Guards against a response that ends midway because its target was silent for
// a moment and no other target could take the request over.
func TestSilentTargetIsKeptUntilAnotherTakesOver(t *testing.T) {
	cases := []struct {
		name    string
		budget  float64 // retries per second
		targets []http.HandlerFunc
	}{
		{"no other target, before the first event", 100, []http.HandlerFunc{pausesAfter(0)}},
		{"no other target, within the stream", 100, []http.HandlerFunc{pausesAfter(2)}},
		{"others refuse, before the first event", 100, []http.HandlerFunc{pausesAfter(0), refuses, refuses}},
		{"others refuse, within the stream", 100, []http.HandlerFunc{pausesAfter(2), refuses, refuses}},
		{"the other is unreachable", 100, []http.HandlerFunc{pausesAfter(2), nil}},
		{"the other sends no stream", 100, []http.HandlerFunc{pausesAfter(2), respondsWith(http.StatusNoContent, "", "Mulberrybeam-Response-Stamp", "second")}},
		{"the other's refusal stalls", 100, []http.HandlerFunc{pausesAfter(2), stallsRefusal}},
		{"retry budget exhausted, before the first event", 0, []http.HandlerFunc{pausesAfter(0), resumesStream}},
		{"retry budget exhausted, within the stream", 0, []http.HandlerFunc{pausesAfter(2), resumesStream}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			budgets := monitor.NewBudgets(0, c.budget)
			if c.budget == 0 {
				takeFirstRetry(budgets)
			}
			h := newHarnessWithBudgets(t, patientStreamRule(), budgets, c.targets...)
			begin := time.Now()
			got := h.call(nil)
			is.NoErr(got.err)
			is.True(time.Since(begin) < 2*silence)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "first")
			is.Equal(eventIDs(got.body), "1 2 3 4 5 6")
		})
	}
}

// stallsRefusal refuses a request and does not end the body of the refusal.
func stallsRefusal(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Mulberrybeam-Not-Executed", "1")
	writer.Header().Set("Content-Length", "100")
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = http.NewResponseController(writer).Flush()
	<-request.Context().Done()
}

// takeFirstRetry takes the retry that a new budget allows at any rate.
func takeFirstRetry(budgets *monitor.Budgets) {
	request := &mulberrybeam.Request{Repeatable: true, Deadline: time.Hour}
	budgets.Decide(mulberrybeam.Turn{}, "s", 1, request, retrier.History{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeTimeout})
}

// eventIDs returns the IDs of the events of a stream in order.
func eventIDs(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		var id string
		if n, _ := fmt.Sscanf(line, "id: %s", &id); n == 1 {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

// Guards against two targets that work on the same request for long.
func TestSilentTargetIsCancelledWhenAnotherTakesOver(t *testing.T) {
	is := is.New(t)
	var started, cancelled atomic.Int64
	h := newHarness(t, patientStreamRule(), func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		writeEvents(writer, 1, 2)
		<-request.Context().Done()
		cancelled.Store(time.Now().UnixNano())
	}, func(writer http.ResponseWriter, request *http.Request) {
		started.Store(time.Now().UnixNano())
		time.Sleep(900 * time.Millisecond)
		resumesStream(writer, request)
	})
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1 2 3 4 5 6")
	is.True(time.Duration(cancelled.Load()-started.Load()) < 400*time.Millisecond)
}

// Guards against events of two targets in one stream when a silent target goes
// on while another one was asked to take over.
func TestTargetThatGoesOnKeepsItsStream(t *testing.T) {
	is := is.New(t)
	asked, cancelled := make(chan struct{}), make(chan struct{})
	h := newHarness(t, patientStreamRule(), func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		writeEvents(writer, 1, 2)
		<-asked
		writeEvents(writer, 3, 4)
		time.Sleep(500 * time.Millisecond)
		writeEvents(writer, 5, 6)
	}, func(_ http.ResponseWriter, request *http.Request) {
		close(asked)
		// The server notices a closed connection only after the body.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		close(cancelled)
	})
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1 2 3 4 5 6")
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Fatal("the other target is still running the request")
	}
}

// Guards against a standby that is dropped because the silent target refuses the
// request in the end.
func TestStandbyOutlivesARefusal(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithBudgets(t, patientStreamRule(), monitor.NewBudgets(0, 0), func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(1650 * time.Millisecond)
		refuses(writer, request)
	}, func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(300 * time.Millisecond)
		resumesStream(writer, request)
	})
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(eventIDs(got.body), "1 2 3 4 5 6")
}

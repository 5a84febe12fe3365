package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/standin/fleet"
)

// start starts a fleet that ends with the test.
func start(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	running, stop, err := fleet.Start(layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	begin := time.Now()
	if err := running.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	t.Log("ready after", time.Since(begin))
	return running
}

// await polls a condition until it holds or the time is over.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !holds() {
		if time.Since(begin) > limit {
			t.Fatalf("not after %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// owned says that an entry process knows an owner of each target.
func owned(entry *fleet.Entry) bool {
	snapshot := entry.Control.Snapshot()
	if snapshot.Tables == nil {
		return false
	}
	for id := range snapshot.Tables.Targets {
		if snapshot.Targets[id].Owner == "" {
			return false
		}
	}
	return true
}

// counted sums a counter over the engines of a fleet.
func counted(f *fleet.Fleet, name string) int {
	sum := 0
	for _, engine := range f.Engines {
		sum += engine.Count(name)
	}
	return sum
}

// entriesOf returns a request's entries of a kind on the time lines of all
// entry processes.
func entriesOf(f *fleet.Fleet, request mulberrybeam.RequestID, kind mulberrybeam.EntryKind) []string {
	var found []string
	for _, process := range f.Entries {
		for _, entry := range process.TimeLine.Entries() {
			if entry.Request == request && entry.Kind == kind {
				found = append(found, entry.Subject+": "+entry.Text)
			}
		}
	}
	return found
}

// refusal is the part of a refusal that callers act on.
type refusal struct {
	Code   mulberrybeam.Code `json:"code"`
	NotRun bool              `json:"not-run"`
}

func parseRefusal(body string) refusal {
	var content struct {
		Error refusal `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &content)
	return content.Error
}

// outcome is what a caller of steady load got.
type outcome struct {
	entry      *fleet.Entry
	request    mulberrybeam.RequestID
	began      time.Time
	firstToken time.Duration
	// refused is set for a refusal, err for every other answer that is not
	// whole and right.
	refused *refusal
	err     error
}

// load sends prompts at a steady rate until it is stopped.
type load struct {
	mutex    sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
	cancel   context.CancelFunc
}

// startLoad sends a prompt every interval to the entry process that pick
// names; pick may return nil to skip one.
func startLoad(ctx context.Context, interval time.Duration, tokens int, pick func(int) *fleet.Entry) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-running.Done():
				return
			case <-ticker.C:
			}
			if entry := pick(i); entry != nil {
				l.group.Go(func() { l.ask(ctx, entry, i, tokens) })
			}
		}
	})
	return l
}

func (l *load) ask(ctx context.Context, entry *fleet.Entry, number, tokens int) {
	l.send(ctx, entry, fleet.Prompt(fmt.Sprintf("prompt %d of steady load", number), tokens), tokens)
}

func (l *load) send(ctx context.Context, entry *fleet.Entry, body []byte, tokens int) {
	result := outcome{entry: entry, began: time.Now()}
	answer, err := fleet.Ask(ctx, entry, fleet.FirstWorkspace, body)
	result.request, result.firstToken = answer.Request, answer.FirstToken
	switch {
	case err != nil:
		result.err = err
	case answer.Status != http.StatusOK:
		found := parseRefusal(answer.Refusal)
		result.refused = &found
	default:
		result.err = answer.Check(body, tokens)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes = append(l.outcomes, result)
}

// stop waits for the requests in flight and returns all outcomes.
func (l *load) stop() []outcome {
	l.cancel()
	l.group.Wait()
	return l.outcomes
}

// between returns the outcomes of requests that began in a span of time.
func between(outcomes []outcome, from, to time.Time) []outcome {
	var found []outcome
	for _, o := range outcomes {
		if !o.began.Before(from) && o.began.Before(to) {
			found = append(found, o)
		}
	}
	return found
}

// tally counts whole answers, refusals and failures.
func tally(outcomes []outcome) (whole, refused, failed int) {
	for _, o := range outcomes {
		switch {
		case o.refused != nil:
			refused++
		case o.err != nil:
			failed++
		default:
			whole++
		}
	}
	return whole, refused, failed
}

// p95 is the time to first token that 95 in 100 whole answers met.
func p95(outcomes []outcome) time.Duration {
	var times []time.Duration
	for _, o := range outcomes {
		if o.refused == nil && o.err == nil {
			times = append(times, o.firstToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*95/100)].Round(time.Millisecond)
}

// mostReported bounds the wrong outcomes that a test describes.
const mostReported = 3

// report logs what went wrong and fails the test for it.
func report(t *testing.T, f *fleet.Fleet, outcomes []outcome, allowed func(outcome) bool) {
	t.Helper()
	wrong := 0
	for _, o := range outcomes {
		if o.refused == nil && o.err == nil || allowed != nil && allowed(o) {
			continue
		}
		if wrong++; wrong > mostReported {
			continue
		}
		var text strings.Builder
		for _, kind := range []mulberrybeam.EntryKind{mulberrybeam.EntryRoute, mulberrybeam.EntryRetry, mulberrybeam.EntryRefusal} {
			_, _ = fmt.Fprintf(&text, "\n  %s %q", kind, entriesOf(f, o.request, kind))
		}
		t.Errorf("%s at %s: refused %+v, failed with %v%.2000s", o.entry.ID, o.began.Format("05.000"), o.refused, o.err, text.String())
	}
	if wrong > mostReported {
		t.Errorf("%d wrong outcomes in all", wrong)
	}
}

// post sends a call and returns its status, header and body.
func post(ctx context.Context, entry *fleet.Entry, path string, body []byte, header http.Header) (int, http.Header, string, error) {
	response, err := fleet.Post(ctx, entry, fleet.FirstWorkspace, path, body, header)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(content), err
}

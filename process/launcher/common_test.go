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

// startFleet starts a fleet, waits until it is ready, and stops it at the end
// of the test.
func startFleet(t *testing.T, layout fleet.Layout) *fleet.Fleet {
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

// waitFor polls a condition until it holds, returns how long that took, and
// fails the test after the limit.
func waitFor(t *testing.T, limit time.Duration, condition string, met func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !met() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %v: %s", limit, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// allTargetsOwned reports whether an entry process knows an owner for each
// target.
func allTargetsOwned(entry *fleet.Entry) bool {
	snapshot := entry.Controller.Snapshot()
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

// sumCounter returns the sum of a counter over all engines of a fleet.
func sumCounter(f *fleet.Fleet, name string) int {
	sum := 0
	for _, engine := range f.Engines {
		sum += engine.Count(name)
	}
	return sum
}

// timelineEntries returns the entries of a kind that the timelines of all entry
// processes have for a request.
func timelineEntries(f *fleet.Fleet, request mulberrybeam.RequestID, kind mulberrybeam.EntryKind) []string {
	var texts []string
	for _, process := range f.Entries {
		for _, entry := range process.Timeline.Entries() {
			if entry.Request == request && entry.Kind == kind {
				texts = append(texts, entry.Subject+": "+entry.Text)
			}
		}
	}
	return texts
}

// refusal holds the fields of a refusal that callers act on.
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

// outcome is the result of one request of a load generator.
type outcome struct {
	entry      *fleet.Entry
	request    mulberrybeam.RequestID
	startedAt  time.Time
	firstToken time.Duration
	// refusal is set if the request was refused, err if it failed or its answer
	// is incomplete or wrong. Otherwise both are nil.
	refusal *refusal
	err     error
}

// loadGenerator sends prompts at a constant rate and collects their outcomes.
type loadGenerator struct {
	mutex    sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
	cancel   context.CancelFunc
}

// startLoad sends one prompt per interval, each to the entry process that pick
// returns for its number. If pick returns nil, the prompt is skipped.
func startLoad(ctx context.Context, interval time.Duration, tokens int, pick func(int) *fleet.Entry) *loadGenerator {
	loadCtx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{cancel: cancel}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-loadCtx.Done():
				return
			case <-ticker.C:
			}
			if entry := pick(i); entry != nil {
				l.group.Go(func() { l.sendNumbered(ctx, entry, i, tokens) })
			}
		}
	})
	return l
}

func (l *loadGenerator) sendNumbered(ctx context.Context, entry *fleet.Entry, number, tokens int) {
	l.send(ctx, entry, fleet.PromptBody(fmt.Sprintf("prompt %d of steady load", number), tokens), tokens)
}

func (l *loadGenerator) send(ctx context.Context, entry *fleet.Entry, body []byte, tokens int) {
	result := outcome{entry: entry, startedAt: time.Now()}
	answer, err := fleet.Ask(ctx, entry, fleet.FirstWorkspace, body)
	result.request, result.firstToken = answer.Request, answer.FirstToken
	switch {
	case err != nil:
		result.err = err
	case answer.Status != http.StatusOK:
		response := parseRefusal(answer.Refusal)
		result.refusal = &response
	default:
		result.err = answer.Check(body, tokens)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes = append(l.outcomes, result)
}

// stop ends the load, waits for the requests in flight and returns all
// outcomes.
func (l *loadGenerator) stop() []outcome {
	l.cancel()
	l.group.Wait()
	return l.outcomes
}

// outcomesBetween returns the outcomes of requests that began in [from, to).
func outcomesBetween(outcomes []outcome, from, to time.Time) []outcome {
	var matching []outcome
	for _, o := range outcomes {
		if !o.startedAt.Before(from) && o.startedAt.Before(to) {
			matching = append(matching, o)
		}
	}
	return matching
}

// countOutcomes counts complete answers, refusals and failures.
func countOutcomes(outcomes []outcome) (complete, refused, failed int) {
	for _, o := range outcomes {
		switch {
		case o.refusal != nil:
			refused++
		case o.err != nil:
			failed++
		default:
			complete++
		}
	}
	return complete, refused, failed
}

// p95 returns the 95th percentile of the time to first token over the complete
// answers.
func p95(outcomes []outcome) time.Duration {
	var times []time.Duration
	for _, o := range outcomes {
		if o.refusal == nil && o.err == nil {
			times = append(times, o.firstToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*95/100)].Round(time.Millisecond)
}

// maxReported is the maximum number of unexpected outcomes that reportUnexpected
// describes in detail.
const maxReported = 3

// reportUnexpected fails the test for each refusal or failure that allowed does
// not accept, with the timeline of the request.
func reportUnexpected(t *testing.T, f *fleet.Fleet, outcomes []outcome, allowed func(outcome) bool) {
	t.Helper()
	unexpected := 0
	for _, o := range outcomes {
		if o.refusal == nil && o.err == nil || allowed != nil && allowed(o) {
			continue
		}
		if unexpected++; unexpected > maxReported {
			continue
		}
		var text strings.Builder
		for _, kind := range []mulberrybeam.EntryKind{mulberrybeam.EntryRoute, mulberrybeam.EntryRetry, mulberrybeam.EntryRefusal} {
			_, _ = fmt.Fprintf(&text, "\n  %s %q", kind, timelineEntries(f, o.request, kind))
		}
		t.Errorf("request to %s at %s: refusal %+v, error %v%.2000s", o.entry.ID, o.startedAt.Format("05.000"), o.refusal, o.err, text.String())
	}
	if unexpected > maxReported {
		t.Errorf("%d unexpected outcomes in total", unexpected)
	}
}

// postCall sends a service call and returns the status, headers and body of the
// response.
func postCall(ctx context.Context, entry *fleet.Entry, path string, body []byte, header http.Header) (int, http.Header, string, error) {
	response, err := fleet.Post(ctx, entry, fleet.FirstWorkspace, path, body, header)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(content), err
}

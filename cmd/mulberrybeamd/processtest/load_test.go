package processtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberrybeam/process/operator"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
	"mulberrybeam/process/standin/service"
)

// load is a generator that sends prompts and service calls at a steady rate until
// it is stopped.
type load struct {
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mutex    sync.Mutex
	sent     int
	failures []string
}

// startLoad sends one request per interval. Every fifth is a repeatable service
// call, the others are prompts. pick returns the entry process for a request
// number, or nil to skip the request.
func startLoad(t *testing.T, interval time.Duration, tokens int, pick func(int) *entry) *load {
	t.Helper()
	loadCtx, cancel := context.WithCancel(t.Context())
	l := &load{cancel: cancel}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-loadCtx.Done():
				return
			case <-ticker.C:
			}
			if e := pick(i); e != nil {
				l.group.Go(func() { l.sendOne(t.Context(), e, i, tokens) })
			}
		}
	})
	return l
}

func (l *load) sendOne(ctx context.Context, e *entry, number, tokens int) {
	start := time.Now()
	kind, err := "prompt", error(nil)
	if number%5 == 4 {
		kind = "call"
		err = call(ctx, e, fleet.RepeatableCall, fmt.Sprintf(`{"number": %d}`, number), "")
	} else {
		err = prompt(ctx, e, fmt.Sprintf("prompt %d of steady load", number), tokens, number%2 == 0)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	if err != nil {
		l.failures = append(l.failures, fmt.Sprintf("%s %s %d at %s for %v: %v%s",
			start.Format("05.000"), kind, number, e.ID, time.Since(start), err, timelineOf(ctx, e, err)))
	}
}

// requestError is an error with the id of the request that failed.
type requestError struct {
	request string
	cause   error
}

func (e *requestError) Error() string { return "request " + e.request + ": " + e.cause.Error() }

func (e *requestError) Unwrap() error { return e.cause }

// timelineOf returns the timeline entries of an entry process about a request
// that failed.
func timelineOf(ctx context.Context, e *entry, err error) string {
	var failed *requestError
	if !errors.As(err, &failed) || failed.request == "" {
		return ""
	}
	var entries []operator.Entry
	if err := get(ctx, "http://"+e.OperatorAddress+"/operator/timeline?request="+failed.request, &entries); err != nil {
		return ""
	}
	var text strings.Builder
	for _, found := range entries {
		_, _ = fmt.Fprintf(&text, "\n  %s %s %s: %s", time.UnixMilli(found.WallMS).Format("05.000"), found.Kind, found.Subject, found.Text)
	}
	return text.String()
}

// stop stops the load and waits for the requests in flight. It fails the test if
// any request has failed.
func (l *load) stop(t *testing.T) {
	t.Helper()
	l.cancel()
	l.group.Wait()
	t.Logf("%d requests of steady load, %d failed", l.sent, len(l.failures))
	for _, failure := range l.failures {
		t.Error(failure)
	}
	if l.sent == 0 {
		t.Error("the load sent no requests")
	}
}

// prompt sends a prompt and checks its answer.
func prompt(ctx context.Context, e *entry, text string, tokens int, streamed bool) error {
	body := fleet.PromptBody(text, tokens)
	if streamed {
		answer, err := fleet.Ask(ctx, e.Entry, fleet.FirstWorkspace, body)
		if err != nil {
			return err
		}
		if err := answer.Check(body, tokens); err != nil {
			return &requestError{string(answer.Request), err}
		}
		return nil
	}
	body = bytes.Replace(body, []byte(`"stream":true`), []byte(`"stream":false`), 1)
	got, err := post(ctx, e, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	want, err := engine.ExpectedAnswer(body, tokens)
	if err != nil {
		return err
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	err = json.Unmarshal(got.body, &answer)
	if err != nil || got.status != http.StatusOK || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != strings.Join(want, "") {
		return &requestError{got.request, fmt.Errorf("status %d, wrong answer to the prompt: %s", got.status, got.body)}
	}
	return nil
}

// call sends a service call and checks its answer.
func call(ctx context.Context, e *entry, name, body, key string) error {
	got, err := post(ctx, e, "/v1/services/"+fleet.Service+"/"+name, []byte(body), key)
	if err != nil {
		return err
	}
	var answer service.Answer
	if err := json.Unmarshal(got.body, &answer); err != nil || got.status != http.StatusOK || answer.Call != name || answer.Run != 1 {
		return &requestError{got.request, fmt.Errorf("status %d, wrong answer to the call: %s", got.status, got.body)}
	}
	return nil
}

// newKey returns an idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// postResult is the response of an entry process.
type postResult struct {
	status  int
	request string
	body    []byte
}

func post(ctx context.Context, e *entry, path string, body []byte, key string) (postResult, error) {
	header := http.Header{}
	if key != "" {
		// The key of the header map is not in canonical form, because net/http
		// retries requests that have a canonical Idempotency-Key.
		header["idempotency-key"] = []string{key}
	}
	response, err := fleet.Post(ctx, e.Entry, fleet.FirstWorkspace, path, body, header)
	if err != nil {
		return postResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return postResult{response.StatusCode, response.Header.Get("X-Request-Id"), content}, err
}

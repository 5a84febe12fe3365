package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tmaxmax/go-sse"

	"mulberrybeam"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
)

// streamTokens is the length of an answer that takes about 1.5 s to generate.
const streamTokens = 300

// readAndDisconnect sends a prompt, reads the given number of events and then
// closes the connection. It returns the ID of the stream and the ID of the last
// event.
func readAndDisconnect(t *testing.T, entry *fleet.Entry, body []byte, events int) (streamID, lastEventID string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response, err := fleet.Post(ctx, entry, fleet.FirstWorkspace, "/v1/chat/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			t.Fatal(err)
		}
		lastEventID = event.LastEventID
		if events--; events == 0 {
			break
		}
	}
	return response.Header.Get("X-Request-Id"), lastEventID
}

// requestStream sends a request for a stream with the API key of a workspace,
// and with the ID of the last event unless that is empty.
func requestStream(t *testing.T, entry *fleet.Entry, workspace mulberrybeam.WorkspaceName, method, streamID, lastEventID string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+entry.CallerAddress+"/v1/streams/"+streamID, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key(workspace))
	if lastEventID != "" {
		request.Header.Set("Last-Event-ID", lastEventID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against a stream that, after its caller's connection broke, cannot be
// resumed through another entry process of the zone or resumes at the wrong
// token.
func TestStreamResumesOnAnotherEntryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, singleZoneLayout())
	for _, eventCount := range []int{1, 40} {
		body := fleet.PromptBody(fmt.Sprint("a stream that breaks after ", eventCount), streamTokens)
		streamID, lastEventID := readAndDisconnect(t, f.Entries[0], body, eventCount)
		is.Equal(lastEventID, fmt.Sprint(eventCount))
		want, err := engine.ExpectedAnswer(body, streamTokens)
		is.NoErr(err)
		for _, entry := range []*fleet.Entry{f.Entries[1], f.Entries[0], f.Entries[1]} {
			// The last iteration resumes a stream that has ended.
			response := requestStream(t, entry, fleet.FirstWorkspace, http.MethodGet, streamID, lastEventID)
			is.Equal(response.StatusCode, http.StatusOK)
			answer, err := fleet.ReadAnswer(response, time.Now())
			is.NoErr(err)
			is.True(answer.Complete)
			is.Equal(answer.Tokens, want[eventCount:])
		}
	}
	is.Equal(sumCounter(f, "started"), 2) // the engines did not run the prompts again
	is.Equal(sumCounter(f, "abandoned"), 0)
}

// Guards against cancellations that do not reach the engine, and against streams
// that another workspace can read, cancel or distinguish from unknown streams.
func TestStreamsAreCancelledByTheirWorkspaceOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, singleZoneLayout())
	for _, entry := range []*fleet.Entry{f.Entries[0], f.Entries[1]} {
		streamID, lastEventID := readAndDisconnect(t, f.Entries[0], fleet.PromptBody("a stream to cancel at "+string(entry.ID), 1000), 3)
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			is.Equal(requestStream(t, entry, fleet.SecondWorkspace, method, streamID, lastEventID).StatusCode, http.StatusNotFound)
		}
		completed, cancelled := sumCounter(f, "completed"), sumCounter(f, "cancelled")+sumCounter(f, "abandoned")
		is.Equal(requestStream(t, entry, fleet.FirstWorkspace, http.MethodDelete, streamID, "").StatusCode, http.StatusNoContent)
		waitFor(t, 2*time.Second, "the engine stops", func() bool { return sumCounter(f, "cancelled")+sumCounter(f, "abandoned") > cancelled })
		is.Equal(sumCounter(f, "completed"), completed)
	}
	is.Equal(requestStream(t, f.Entries[0], fleet.FirstWorkspace, http.MethodGet, "bm9uZQ.none", "").StatusCode, http.StatusNotFound)
}

// Guards against an empty or wrong response for a stream whose entry process has
// shut down.
func TestStreamOfStoppedEntryProcessIsUnknown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, singleZoneLayout())
	streamID, lastEventID := readAndDisconnect(t, f.Entries[0], fleet.PromptBody("a stream whose process ends", 1000), 3)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_ = f.Entries[0].Shutdown(canceled)
	response := requestStream(t, f.Entries[1], fleet.FirstWorkspace, http.MethodGet, streamID, lastEventID)
	is.Equal(response.StatusCode, http.StatusNotFound)
	answer, err := fleet.ReadAnswer(response, time.Now())
	is.NoErr(err)
	is.Equal(parseRefusal(answer.Refusal).Code, mulberrybeam.CodeUnknownStream)
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberrybeam"
	"mulberrybeam/process/standin/engine"
)

// PromptBody returns the request body of a streamed chat completion with one user
// message and at most the given number of answer tokens.
func PromptBody(text string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{
		"model":      Model,
		"messages":   []map[string]string{{"role": "user", "content": text}},
		"stream":     true,
		"max_tokens": tokens,
	})
	return body
}

// Answer is the response that a caller received for a prompt.
type Answer struct {
	Status     int
	Request    mulberrybeam.RequestID
	Tokens     []string
	Complete   bool
	FirstToken time.Duration
	// Refusal is the body of an error response, or the event with which a
	// stream reports a failure.
	Refusal string
}

// chunk contains the fields that are read from an OpenAI chat completion chunk.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	// Error is set in the last event of a failed stream.
	Error json.RawMessage `json:"error"`
}

// Ask sends a prompt to an entry process and reads the complete response.
func Ask(ctx context.Context, entry *Entry, workspace mulberrybeam.WorkspaceName, body []byte) (Answer, error) {
	begin := time.Now()
	response, err := Post(ctx, entry, workspace, "/v1/chat/completions", body, nil)
	if err != nil {
		return Answer{}, err
	}
	return ReadAnswer(response, begin)
}

// ReadAnswer reads the response to a prompt. FirstToken is measured from begin, the
// time at which the prompt was sent.
func ReadAnswer(response *http.Response, begin time.Time) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Request: mulberrybeam.RequestID(response.Header.Get("X-Request-Id"))}
	if response.StatusCode != http.StatusOK {
		var body bytes.Buffer
		_, err := body.ReadFrom(response.Body)
		answer.Refusal = body.String()
		return answer, err
	}
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return answer, err
		}
		if event.Data == "[DONE]" {
			answer.Complete = true
			continue
		}
		var part chunk
		if err := json.Unmarshal([]byte(event.Data), &part); err != nil {
			return answer, fmt.Errorf("chunk %q: %w", event.Data, err)
		}
		if part.Error != nil {
			answer.Refusal = event.Data
		}
		if len(part.Choices) > 0 && part.Choices[0].Delta.Content != "" {
			if answer.FirstToken == 0 {
				answer.FirstToken = time.Since(begin)
			}
			answer.Tokens = append(answer.Tokens, part.Choices[0].Delta.Content)
		}
	}
	return answer, nil
}

// Check returns an error unless the answer is complete and is the expected one
// for the request body.
func (a Answer) Check(body []byte, tokens int) error {
	want, err := engine.ExpectedAnswer(body, tokens)
	if err != nil {
		return err
	}
	switch {
	case a.Status != http.StatusOK:
		return fmt.Errorf("status %d: %s", a.Status, strings.TrimSpace(a.Refusal))
	case a.Refusal != "":
		return fmt.Errorf("the stream failed after %d of %d tokens: %s", len(a.Tokens), tokens, strings.TrimSpace(a.Refusal))
	case !a.Complete:
		return fmt.Errorf("the stream ended after %d of %d tokens without an end marker or an error", len(a.Tokens), tokens)
	case !slices.Equal(a.Tokens, want):
		return fmt.Errorf("the %d tokens received differ from the %d expected tokens", len(a.Tokens), tokens)
	}
	return nil
}

// Post sends a request with the API key of a workspace.
func Post(ctx context.Context, entry *Entry, workspace mulberrybeam.WorkspaceName, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+Key(workspace))
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// WaitReady waits until every entry process is ready and knows an owner for
// every target.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !f.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("the fleet is not ready: %w", ctx.Err())
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, entry := range f.Entries {
		snapshot := entry.Controller.Snapshot()
		if !snapshot.Ready || snapshot.Tables == nil {
			return false
		}
		for id := range snapshot.Tables.Targets {
			if snapshot.Targets[id].Owner == "" {
				return false
			}
		}
	}
	return true
}

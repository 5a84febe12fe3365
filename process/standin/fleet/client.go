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

// Prompt returns the body of a streamed chat completion of one user message.
func Prompt(text string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{
		"model":      Model,
		"messages":   []map[string]string{{"role": "user", "content": text}},
		"stream":     true,
		"max_tokens": tokens,
	})
	return body
}

// Answer is what a caller got for a prompt.
type Answer struct {
	Status     int
	Request    mulberrybeam.RequestID
	Tokens     []string
	Complete   bool
	FirstToken time.Duration
	// Refusal is the body of an answer that is no success, or the event with
	// which a stream reports that it failed.
	Refusal string
}

// chunk is the part of an OpenAI chat completion chunk that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	// Error is set in the last event of a stream that failed.
	Error json.RawMessage `json:"error"`
}

// Ask sends a prompt to an entry process and reads the stream to its end.
func Ask(ctx context.Context, entry *Entry, workspace mulberrybeam.WorkspaceName, body []byte) (Answer, error) {
	begin := time.Now()
	response, err := Post(ctx, entry, workspace, "/v1/chat/completions", body, nil)
	if err != nil {
		return Answer{}, err
	}
	return Read(response, begin)
}

// Read reads the answer to a prompt that was sent at a time.
func Read(response *http.Response, begin time.Time) (Answer, error) {
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

// Check returns an error unless the answer is whole and the one to the body.
func (a Answer) Check(body []byte, tokens int) error {
	want, err := engine.Answer(body, tokens)
	if err != nil {
		return err
	}
	switch {
	case a.Status != http.StatusOK:
		return fmt.Errorf("status %d: %s", a.Status, strings.TrimSpace(a.Refusal))
	case a.Refusal != "":
		return fmt.Errorf("the stream failed after %d of %d tokens: %s", len(a.Tokens), tokens, strings.TrimSpace(a.Refusal))
	case !a.Complete:
		return fmt.Errorf("the stream ended after %d of %d tokens with neither an end nor an error", len(a.Tokens), tokens)
	case !slices.Equal(a.Tokens, want):
		return fmt.Errorf("the %d tokens are not the %d tokens of the answer", len(a.Tokens), tokens)
	}
	return nil
}

// Post sends one request with a workspace's key.
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

// WaitReady waits until every entry process is ready and every zone's slots
// have holders.
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
		snapshot := entry.Control.Snapshot()
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

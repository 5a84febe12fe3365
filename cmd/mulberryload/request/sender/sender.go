// Package sender sends single requests to an entry process and checks the
// responses.
package sender

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberrybeam/cmd/mulberryload/process/aggregator"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/service"
)

// Failure codes for failures that the entry process does not report itself.
const (
	codeNoAnswer   = "no-answer"
	codeTimeout    = "caller-timeout"
	codeIncomplete = "incomplete-answer"
	codeInvalid    = "invalid-answer"
)

// Prompt is a chat completion request and its expected answer.
type Prompt struct {
	Entry     string
	Key       string
	Body      []byte
	Expected  []string
	Returning bool
	// Intended is the planned arrival, from which times are measured.
	Intended time.Time
}

// Call is a service call. Calls that may be repeated have no IdempotencyKey.
type Call struct {
	Entry          string
	Key            string
	Service        string
	Name           string
	IdempotencyKey string
	Body           []byte
	Intended       time.Time
}

func newRequest(ctx context.Context, url, key string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// SendPrompt sends a prompt and reads the streamed answer.
func SendPrompt(ctx context.Context, client *http.Client, prompt Prompt) aggregator.Outcome {
	outcome := aggregator.Outcome{
		Prompt: true, Returning: prompt.Returning, Lateness: time.Since(prompt.Intended),
	}
	request, err := newRequest(ctx, "http://"+prompt.Entry+"/v1/chat/completions", prompt.Key, prompt.Body)
	if err != nil {
		return failedOutcome(ctx, outcome, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return failedOutcome(ctx, outcome, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusedOutcome(outcome, response)
	}
	outcome = readStream(ctx, response.Body, prompt, outcome)
	outcome.Total = time.Since(prompt.Intended)
	if outcome.Complete {
		// The client can reuse the connection only if the body is read to
		// its end.
		_, _ = encoder.ReadLimited(response.Body)
	}
	return outcome
}

// readStream reads tokens up to the end marker. An answer without an end marker
// does not count as whole.
func readStream(ctx context.Context, body io.Reader, prompt Prompt, outcome aggregator.Outcome) aggregator.Outcome {
	var text strings.Builder
	var last time.Time
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return failedOutcome(ctx, outcome, err)
		}
		if event.Data == "[DONE]" {
			outcome.Complete = true
			outcome.Correct = text.String() == strings.Join(prompt.Expected, "")
			return outcome
		}
		var chunk encoder.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			outcome.Code = codeInvalid
			return outcome
		}
		if chunk.Error != nil {
			outcome.Code, outcome.NotRun = chunk.Error.Code, chunk.Error.NotRun
			return outcome
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		now := time.Now()
		if last.IsZero() {
			outcome.FirstToken = now.Sub(prompt.Intended)
		} else {
			outcome.TokenGaps = append(outcome.TokenGaps, now.Sub(last))
		}
		last = now
	}
	outcome.Code = codeIncomplete
	return outcome
}

// SendCall sends a service call and checks that the response belongs to it.
func SendCall(ctx context.Context, client *http.Client, call Call) aggregator.Outcome {
	outcome := aggregator.Outcome{Lateness: time.Since(call.Intended)}
	request, err := newRequest(ctx, "http://"+call.Entry+"/v1/services/"+call.Service+"/"+call.Name, call.Key, call.Body)
	if err != nil {
		return failedOutcome(ctx, outcome, err)
	}
	if call.IdempotencyKey != "" {
		// The name is not in canonical form, because net/http may retry
		// requests with an "Idempotency-Key" header on its own.
		request.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	response, err := client.Do(request)
	if err != nil {
		return failedOutcome(ctx, outcome, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusedOutcome(outcome, response)
	}
	body, err := encoder.ReadLimited(response.Body)
	outcome.Total = time.Since(call.Intended)
	if err != nil {
		return failedOutcome(ctx, outcome, err)
	}
	var answer service.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		outcome.Code = codeInvalid
		return outcome
	}
	sum := sha256.Sum256(call.Body)
	outcome.Complete = true
	outcome.Correct = answer.Service == call.Service && answer.Call == call.Name &&
		answer.BodyHash == hex.EncodeToString(sum[:])
	if call.IdempotencyKey != "" {
		outcome.Runs = answer.Run
	}
	return outcome
}

func failedOutcome(ctx context.Context, outcome aggregator.Outcome, err error) aggregator.Outcome {
	outcome.Code = codeNoAnswer
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		outcome.Code = codeTimeout
	}
	return outcome
}

func refusedOutcome(outcome aggregator.Outcome, response *http.Response) aggregator.Outcome {
	body, _ := encoder.ReadLimited(response.Body)
	var refusal encoder.Refusal
	outcome.Code = "status-" + http.StatusText(response.StatusCode)
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != nil && refusal.Error.Code != "" {
		outcome.Code, outcome.NotRun = refusal.Error.Code, refusal.Error.NotRun
	}
	return outcome
}

// Package sender sends one request of a load to an entry process and checks
// its answer.
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

	"mulberrybeam/cmd/mulberryload/process/scorer"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/service"
)

// Codes of failures that no refusal of an entry process states.
const (
	codeConnection = "no-answer"
	codeTimeout    = "caller-timeout"
	codeIncomplete = "incomplete-answer"
	codeInvalid    = "invalid-answer"
)

// Prompt is one chat request.
type Prompt struct {
	Entry     string
	Key       string
	Body      []byte
	Expected  []string
	Returning bool
	// Intended is the arrival that times count from.
	Intended time.Time
}

// Call is one service call.
type Call struct {
	Entry          string
	Key            string
	Service        string
	Name           string
	IdempotencyKey string
	Body           []byte
	Intended       time.Time
}

func post(ctx context.Context, url, key string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// SendPrompt sends a prompt and reads its stream.
func SendPrompt(ctx context.Context, client *http.Client, prompt Prompt) scorer.Outcome {
	outcome := scorer.Outcome{
		Prompt: true, Returning: prompt.Returning, Lateness: time.Since(prompt.Intended),
	}
	request, err := post(ctx, "http://"+prompt.Entry+"/v1/chat/completions", prompt.Key, prompt.Body)
	if err != nil {
		return fail(ctx, outcome, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fail(ctx, outcome, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(outcome, response)
	}
	outcome = readStream(ctx, response.Body, prompt, outcome)
	outcome.Total = time.Since(prompt.Intended)
	if outcome.Whole {
		// A response that is not read to its end costs its connection.
		_, _ = encoder.ReadAll(response.Body)
	}
	return outcome
}

// readStream reads the tokens until the end marker. An answer without it is
// never whole.
func readStream(ctx context.Context, body io.Reader, prompt Prompt, outcome scorer.Outcome) scorer.Outcome {
	var text strings.Builder
	var last time.Time
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return fail(ctx, outcome, err)
		}
		if event.Data == "[DONE]" {
			outcome.Whole = true
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
			outcome.Gaps = append(outcome.Gaps, now.Sub(last))
		}
		last = now
	}
	outcome.Code = codeIncomplete
	return outcome
}

// SendCall sends a service call and checks that the answer belongs to it.
func SendCall(ctx context.Context, client *http.Client, call Call) scorer.Outcome {
	outcome := scorer.Outcome{Lateness: time.Since(call.Intended)}
	request, err := post(ctx, "http://"+call.Entry+"/v1/services/"+call.Service+"/"+call.Name, call.Key, call.Body)
	if err != nil {
		return fail(ctx, outcome, err)
	}
	if call.IdempotencyKey != "" {
		// Not the canonical form, so that net/http does not send the
		// call again by itself.
		request.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	response, err := client.Do(request)
	if err != nil {
		return fail(ctx, outcome, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(outcome, response)
	}
	body, err := encoder.ReadAll(response.Body)
	outcome.Total = time.Since(call.Intended)
	if err != nil {
		return fail(ctx, outcome, err)
	}
	var answer service.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		outcome.Code = codeInvalid
		return outcome
	}
	sum := sha256.Sum256(call.Body)
	outcome.Whole = true
	outcome.Correct = answer.Service == call.Service && answer.Call == call.Name &&
		answer.BodyHash == hex.EncodeToString(sum[:])
	if call.IdempotencyKey != "" {
		outcome.Runs = answer.Run
	}
	return outcome
}

func fail(ctx context.Context, outcome scorer.Outcome, err error) scorer.Outcome {
	outcome.Code = codeConnection
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		outcome.Code = codeTimeout
	}
	return outcome
}

func refused(outcome scorer.Outcome, response *http.Response) scorer.Outcome {
	body, _ := encoder.ReadAll(response.Body)
	var refusal encoder.Refusal
	outcome.Code = "status-" + http.StatusText(response.StatusCode)
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != nil && refusal.Error.Code != "" {
		outcome.Code, outcome.NotRun = refusal.Error.Code, refusal.Error.NotRun
	}
	return outcome
}

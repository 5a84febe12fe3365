package server

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"mulberrybeam"
)

// errorResponse is the JSON of every error response and of an error event in a
// stream.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Step         string `json:"step"`
	Peer         string `json:"peer,omitempty"`
	NotRun       bool   `json:"not-run"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// httpStatuses maps codes of failures to HTTP status codes. Codes without an entry
// map to 503.
var httpStatuses = map[mulberrybeam.Code]int{
	mulberrybeam.CodeBadRequest:            http.StatusBadRequest,
	mulberrybeam.CodeIdempotencyKeyMissing: http.StatusBadRequest,
	mulberrybeam.CodeIdempotencyKeyInvalid: http.StatusBadRequest,
	mulberrybeam.CodeUnauthorized:          http.StatusUnauthorized,
	mulberrybeam.CodeUnknownModel:          http.StatusNotFound,
	mulberrybeam.CodeUnknownService:        http.StatusNotFound,
	mulberrybeam.CodeUnknownStream:         http.StatusNotFound,
	mulberrybeam.CodeNotFound:              http.StatusNotFound,
	mulberrybeam.CodeInProgress:            http.StatusConflict,
	mulberrybeam.CodeOutcomeUnknown:        http.StatusConflict,
	mulberrybeam.CodeConflict:              http.StatusConflict,
	mulberrybeam.CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	mulberrybeam.CodeIdempotencyKeyExpired: http.StatusUnprocessableEntity,
	mulberrybeam.CodeKeyReused:             http.StatusUnprocessableEntity,
	mulberrybeam.CodeCrashesTargets:        http.StatusUnprocessableEntity,
	mulberrybeam.CodeWorkspaceLimit:        http.StatusTooManyRequests,
	mulberrybeam.CodeTimeout:               http.StatusGatewayTimeout,
}

func httpStatus(code mulberrybeam.Code) int {
	if status, found := httpStatuses[code]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

func newErrorResponse(failure *mulberrybeam.Failure) errorResponse {
	message := failure.Message
	if message == "" {
		message = string(failure.Code)
	}
	return errorResponse{Error: errorDetail{
		Code: string(failure.Code), Message: message, Step: string(failure.Step), Peer: failure.Peer,
		NotRun: failure.NotRun, RetryAfterMs: failure.RetryAfter.Milliseconds(),
	}}
}

// retryAfterSeconds returns the value of a Retry-After header: whole seconds,
// rounded up so that callers do not retry too early.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// chunk is one event of a streamed answer in the OpenAI format.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

func newChunk(id, model string, created int64, token mulberrybeam.Token) chunk {
	onlyChoice := chunkChoice{Delta: chunkDelta{Content: token.Text}}
	if token.End {
		onlyChoice.FinishReason = &token.FinishReason
	}
	return chunk{ID: id, Object: "chat.completion.chunk", Created: created, Model: model, Choices: []chunkChoice{onlyChoice}}
}

// completion is a complete answer in the OpenAI format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usage holds the estimated number of prompt tokens and the number of generated
// tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

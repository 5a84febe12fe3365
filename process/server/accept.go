package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrybeam"
	"mulberrybeam/request/keyer"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// authenticate returns the workspace of the caller's API key. It compares the
// key's hash with every known hash in constant time, so that the response time
// reveals nothing about a partial match.
func (s *Server) authenticate(r *http.Request, tables *mulberrybeam.Tables) (mulberrybeam.WorkspaceName, *mulberrybeam.Failure) {
	unauthorized := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeUnauthorized, Step: mulberrybeam.StepAccept, Message: "the API key is missing or unknown", NotRun: true,
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", unauthorized
	}
	sum := sha256.Sum256([]byte(key))
	keyHash := []byte(hex.EncodeToString(sum[:]))
	var workspace mulberrybeam.WorkspaceName
	for hash, name := range tables.WorkspaceByKeyHash {
		if subtle.ConstantTimeCompare(keyHash, []byte(hash)) == 1 {
			workspace = name
		}
	}
	if workspace == "" {
		return "", unauthorized
	}
	return workspace, nil
}

// readBody reads a request body of at most maxBodyBytes bytes. The connection's
// read deadline, which ReadTimeout sets, limits the time. It is cleared after a
// complete body, because it would otherwise end the streamed answer that follows.
// After an error it stays, because net/http drains the rest of the body before it
// responds.
func (s *Server) readBody(ctx iris.Context) ([]byte, *mulberrybeam.Failure) {
	raw := ctx.ResponseWriter().Naive()
	body, err := io.ReadAll(http.MaxBytesReader(raw, ctx.Request().Body, maxBodyBytes))
	if err == nil {
		// The error is ignored: a writer that does not support deadlines,
		// such as one without a connection, has none to clear.
		_ = http.NewResponseController(raw).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeBodyTooLarge, Step: mulberrybeam.StepAccept, NotRun: true,
			Message: fmt.Sprintf("the request body is larger than %d bytes", maxBodyBytes),
		}
	default:
		return nil, badRequest("could not read the request body: " + err.Error())
	}
}

// accept authenticates the caller and reads the request body. If it returns no
// failure, it has added the request to s.runs, and the handler must call
// s.runs.Done.
func (s *Server) accept(ctx iris.Context) (*mulberrybeam.Request, *mulberrybeam.Snapshot, *mulberrybeam.Failure) {
	if failure := s.beginRun(); failure != nil {
		return nil, nil, failure
	}
	snapshot := s.Snapshot()
	workspace, failure := s.authenticate(ctx.Request(), snapshot.Tables)
	var body []byte
	if failure == nil {
		body, failure = s.readBody(ctx)
	}
	if failure != nil {
		s.runs.Done()
		return nil, nil, failure
	}
	now := s.Clock()
	request := &mulberrybeam.Request{
		ID: newRequestID(snapshot.Self), Environment: snapshot.Tables.Environment.Name, Workspace: workspace, Body: body, ContentType: ctx.GetHeader("Content-Type"),
		Fingerprint: s.Keyer.Fingerprint(workspace, body), Arrived: now,
		Deadline: now + snapshot.Tables.Environment.Limits.RequestTimeout,
	}
	ctx.Header(headerRequestID, string(request.ID))
	return request, snapshot, nil
}

// fillPrompt validates a chat completion request and fills in the fields of the
// request that depend on its body.
func (s *Server) fillPrompt(request *mulberrybeam.Request, tables *mulberrybeam.Tables) *mulberrybeam.Failure {
	chat, err := parseChat(request.Body)
	if err != nil {
		return badRequest(err.Error())
	}
	model, found := tables.Models[mulberrybeam.ModelName(chat.Model)]
	if !found {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeUnknownModel, Step: mulberrybeam.StepAccept, NotRun: true,
			Message: fmt.Sprintf("model %q does not exist", chat.Model),
		}
	}
	if chat.MaxTokens != nil && model.MaxTokens > 0 && *chat.MaxTokens > model.MaxTokens {
		return badRequest(fmt.Sprintf(`"max_tokens" is %d, but model %q allows at most %d`, *chat.MaxTokens, model.Name, model.MaxTokens))
	}
	prompt := renderPrompt(chat)
	request.Model, request.Version = model.Name, model.Version
	request.Repeatable, request.Stream = true, chat.Stream
	request.Priority = mulberrybeam.Priority(chat.Priority)
	request.PromptTokens = keyer.PromptTokens(len(prompt))
	request.Keys = s.Keyer.Keys(keyer.Scope{
		Environment: request.Environment, Workspace: request.Workspace, Model: model.Name, Version: model.Version,
	}, prompt)
	return nil
}

func badRequest(text string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{Code: mulberrybeam.CodeBadRequest, Step: mulberrybeam.StepAccept, Message: text, NotRun: true}
}

// writeError writes a failure as an HTTP error response.
func (s *Server) writeError(ctx iris.Context, failure *mulberrybeam.Failure) {
	if failure.RetryAfter > 0 {
		ctx.Header("Retry-After", retryAfterSeconds(failure.RetryAfter))
	}
	if failure.Code == mulberrybeam.CodeUnauthorized {
		ctx.Header("WWW-Authenticate", "Bearer")
	}
	s.writeJSON(ctx, httpStatus(failure.Code), newErrorResponse(failure))
}

func (s *Server) writeJSON(ctx iris.Context, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusServiceUnavailable, []byte(`{"error":{"code":"internal","not-run":false}}`)
	}
	s.writeResponse(ctx, status, "application/json", data)
}

func (s *Server) writeText(ctx iris.Context, status int, text string) {
	s.writeResponse(ctx, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func (s *Server) writeResponse(ctx iris.Context, status int, contentType string, data []byte) {
	if contentType != "" {
		ctx.Header("Content-Type", contentType)
	}
	ctx.StatusCode(status)
	s.setWriteDeadline(ctx)
	// A write fails only if the caller has disconnected or is too slow. Neither
	// needs handling.
	_, _ = ctx.ResponseWriter().Write(data)
}

// setWriteDeadline sets the deadline of the next write.
func (s *Server) setWriteDeadline(ctx iris.Context) {
	_ = http.NewResponseController(ctx.ResponseWriter().Naive()).SetWriteDeadline(time.Now().Add(s.WriteTimeout))
}

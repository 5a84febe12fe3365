package mulberrybeam

import (
	"errors"
	"fmt"
	"time"
)

// Code identifies the kind of a failure in answers, events and metrics.
type Code string

// Failure codes. docs/api.md documents them for callers.
const (
	CodeBadRequest            Code = "bad-request"
	CodeBodyTooLarge          Code = "body-too-large"
	CodeUnauthorized          Code = "unauthorized"
	CodeUnknownModel          Code = "unknown-model"
	CodeUnknownService        Code = "unknown-service"
	CodeUnknownStream         Code = "unknown-stream"
	CodeOverloaded            Code = "overloaded"
	CodeWorkspaceLimit        Code = "workspace-limit"
	CodeQueueTimeout          Code = "queue-timeout"
	CodeNoTarget              Code = "no-target"
	CodeNoPermit              Code = "no-permit"
	CodeTargetFailed          Code = "target-failed"
	CodeTargetRefused         Code = "target-refused"
	CodeStreamBroken          Code = "stream-broken"
	CodeTimeout               Code = "timeout"
	CodeCancelled             Code = "cancelled"
	CodeCrashesTargets        Code = "request-crashes-targets"
	CodeIdempotencyKeyMissing Code = "idempotency-key-missing"
	CodeIdempotencyKeyInvalid Code = "idempotency-key-invalid"
	CodeIdempotencyKeyExpired Code = "idempotency-key-expired"
	CodeKeyReused             Code = "key-reused"
	CodeInProgress            Code = "in-progress"
	CodeOutcomeUnknown        Code = "outcome-unknown"
	CodePlatformDown          Code = "platform-unavailable"
	CodePlatformBudget        Code = "platform-budget"
	CodeConflict              Code = "conflict"
	CodeNotFound              Code = "not-found"
	CodeExists                Code = "exists"
	CodeExpiredVersion        Code = "expired-version"
	CodePeerUnreachable       Code = "peer-unreachable"
	CodeNotReady              Code = "not-ready"
	CodeShuttingDown          Code = "shutting-down"
	CodeContextUnavailable    Code = "context-unavailable"
	CodeInternal              Code = "internal"
)

// Step identifies a step of a request or of control work.
type Step string

// Steps at which failures occur.
const (
	StepAccept   Step = "accept"
	StepAdmit    Step = "admit"
	StepRoute    Step = "route"
	StepPermit   Step = "permit"
	StepImport   Step = "import"
	StepConnect  Step = "connect"
	StepSend     Step = "send"
	StepAnswer   Step = "answer"
	StepIntent   Step = "intent"
	StepOutcome  Step = "outcome"
	StepExport   Step = "export"
	StepPlatform Step = "platform"
	StepPeer     Step = "peer"
	StepParse    Step = "parse"
)

// Failure is the error type of all steps. It records where the error occurred.
type Failure struct {
	Code Code
	Step Step
	// Peer is the target, process or store, or "platform", at which the error
	// occurred. It is empty for this process itself.
	Peer    string
	Message string
	// NotRun reports that the request certainly did not reach a target, or that
	// the target itself reported that it did not run the request.
	NotRun bool
	// RetryAfter is how long the caller should wait before retrying, or 0 if
	// unknown.
	RetryAfter time.Duration
	Cause      error
}

// Error returns the step, the message (or the code if there is no message), the
// peer and the cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s", f.Step, f.Message)
	if f.Message == "" {
		text = fmt.Sprintf("%s: %s", f.Step, f.Code)
	}
	if f.Peer != "" {
		text += " (peer " + f.Peer + ")"
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// CodeOf returns the code of the first Failure in the error chain, or
// CodeInternal if there is none.
func CodeOf(err error) Code {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return CodeInternal
}

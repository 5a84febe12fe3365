// Package intender runs a non-repeatable call at most once per idempotency key.
// Step is the state machine of an attempt and returns its next action; Driver
// executes the actions with the object API and a target.
package intender

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
)

// Limits of non-repeatable calls.
const (
	// SendWindow is how long the call may be sent after the age of the key
	// was checked. It is far shorter than the retention, so that a process
	// that was paused cannot send after its record was deleted.
	SendWindow = 10 * time.Second
	// FutureAllowance is how far the time in a key may be ahead of this
	// host's clock.
	FutureAllowance = 5 * time.Minute
	// DeletionMargin is how long beyond the retention a record is kept. It
	// covers FutureAllowance, SendWindow and clock differences between hosts.
	DeletionMargin = 15 * time.Minute
	// MaxOutcomeBody is the size of the largest body that is stored. Objects
	// are limited to one megabyte, and base64 adds a third.
	MaxOutcomeBody = 256 << 10
	// maxCreates is the maximum number of attempts to create a record when
	// answers are lost. Each attempt costs a create and a read of the
	// platform's rate limit.
	maxCreates = 3
	// outcomeMargin is the time that a host has to store the outcome after
	// the run has timed out.
	outcomeMargin = 10 * time.Second
)

// Call describes one attempt to run a non-repeatable call.
type Call struct {
	Workspace mulberrybeam.WorkspaceName
	Service   mulberrybeam.ServiceName
	Name      string
	// Key is the Idempotency-Key as the caller sent it.
	Key string
	// BodyHash is the SHA-256 of the raw body.
	BodyHash [sha256.Size]byte
	// Attempt is an identifier that is unique across all processes.
	Attempt string
	Process mulberrybeam.ProcessID
	// Timeout is the maximum duration of one run of the call.
	Timeout time.Duration
	// Retention is how long a key is accepted, and its record kept at least.
	Retention time.Duration
}

// Progress is the state of the call of a record.
type Progress string

// Values of Progress.
const (
	// Open means that the call may be running.
	Open Progress = "open"
	// Done means that the outcome is known.
	Done Progress = "done"
	// Unknown means that the call was sent and its answer was lost.
	Unknown Progress = "unknown"
)

// Record is the content of an intent object.
type Record struct {
	Workspace mulberrybeam.WorkspaceName
	Service   mulberrybeam.ServiceName
	Call      string
	Key       string
	BodyHash  [sha256.Size]byte
	Attempt   string
	Process   mulberrybeam.ProcessID
	// CreatedAt and OpenUntil are wall times. After OpenUntil, an open record
	// no longer means that the call may be running.
	CreatedAt time.Time
	OpenUntil time.Time
	Progress  Progress
	// Outcome is set if Progress is Done.
	Outcome *Outcome
}

// Outcome is the answer of the call's only run.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is set if the body was too large to be stored. BodyBytes is
	// the length of the body in either case.
	BodyOmitted bool
	BodyBytes   int
}

// ObjectName returns the name of the intent object. It is a hash of workspace,
// service, call and key, each prefixed with its length, so that no two calls
// have the same name.
func ObjectName(call Call, key uuid.UUID) string {
	digest := sha256.New()
	for _, part := range []string{string(call.Workspace), string(call.Service), call.Name, key.String()} {
		length := len(part)
		digest.Write([]byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)})
		digest.Write([]byte(part))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Deletable reports whether the record of a key may be deleted, because no
// process accepts the key any longer.
func Deletable(key string, retention time.Duration, wall time.Time) bool {
	parsed, failure := parseKey(key)
	return failure == nil && wall.Sub(keyTime(parsed)) > retention+DeletionMargin
}

// storedOutcome returns the outcome to store, which omits a body that is too
// large.
func storedOutcome(answer mulberrybeam.ServiceAnswer) *Outcome {
	outcome := &Outcome{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, BodyBytes: len(answer.Body)}
	if len(answer.Body) > MaxOutcomeBody {
		outcome.Body, outcome.BodyOmitted = nil, true
	}
	return outcome
}

func parseKey(key string) (uuid.UUID, *mulberrybeam.Failure) {
	if key == "" {
		return uuid.UUID{}, refuse(mulberrybeam.CodeIdempotencyKeyMissing, "a non-repeatable call requires an Idempotency-Key header")
	}
	const canonicalLength = 36
	parsed, err := uuid.Parse(key)
	if err != nil || len(key) != canonicalLength || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, refuse(mulberrybeam.CodeIdempotencyKeyInvalid, "the Idempotency-Key must be a version 7 UUID in canonical form")
	}
	return parsed, nil
}

// keyTime returns the wall time in a version 7 UUID, whose first 48 bits are the
// milliseconds since the Unix epoch.
func keyTime(key uuid.UUID) time.Time {
	var millis int64
	for _, octet := range key[:6] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis)
}

// checkAge refuses keys whose record may already have been deleted, and keys that
// are too far in the future.
func checkAge(key uuid.UUID, retention time.Duration, wall time.Time) *mulberrybeam.Failure {
	age := wall.Sub(keyTime(key))
	if age > retention {
		return refuse(mulberrybeam.CodeIdempotencyKeyExpired, "the Idempotency-Key is older than "+retention.String())
	}
	if age < -FutureAllowance {
		return refuse(mulberrybeam.CodeIdempotencyKeyInvalid, "the Idempotency-Key is more than "+FutureAllowance.String()+" in the future")
	}
	return nil
}

// refuse returns a failure for a call that was not sent to a target.
func refuse(code mulberrybeam.Code, message string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{Code: code, Step: mulberrybeam.StepIntent, Message: message, NotRun: true}
}

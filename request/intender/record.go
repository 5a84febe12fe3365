// Package intender runs a non-repeatable call at most once for its idempotency
// key. Step decides what to do next as a function of the call's state and an
// event; Driver runs its actions over the object API and a target.
package intender

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
)

// Constants of non-repeatable calls.
const (
	// SendWindow is how long after the key's age was checked the call may
	// be sent. It is far below the retention, so that a process that was
	// paused cannot send after its record was deleted.
	SendWindow = 10 * time.Second
	// FutureAllowance is how far a key's time may be ahead of this host's
	// clock.
	FutureAllowance = 5 * time.Minute
	// DeletionMargin is added to the retention before a record may be
	// deleted. It covers the allowance, the send window and clocks that
	// differ between hosts.
	DeletionMargin = 15 * time.Minute
	// MaxOutcomeBody bounds a stored body. Objects are one megabyte at
	// most, and base64 adds a third.
	MaxOutcomeBody = 256 << 10
	// maxCreates bounds the attempts to create a record when answers are
	// lost. Each needs a create and a read of the platform's rate.
	maxCreates = 3
	// outcomeMargin is how long after a run's timeout its host still has to
	// store the outcome.
	outcomeMargin = 10 * time.Second
)

// Call identifies one attempt of a caller to run a non-repeatable call.
type Call struct {
	Workspace mulberrybeam.WorkspaceName
	Service   mulberrybeam.ServiceName
	Name      string
	// Key is the Idempotency-Key as the caller sent it.
	Key string
	// BodyHash is the SHA-256 of the raw body.
	BodyHash [sha256.Size]byte
	// Attempt is unique for each attempt of any process.
	Attempt string
	Process mulberrybeam.ProcessID
	// Timeout bounds one run of the call.
	Timeout time.Duration
	// Retention is how long records are kept.
	Retention time.Duration
}

// Progress says how far the call of a record came.
type Progress string

// Progress of a call.
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
	// CreatedAt is wall time. OpenUntil is when an open record no longer
	// means that the call may be running.
	CreatedAt time.Time
	OpenUntil time.Time
	Progress  Progress
	// Outcome is set when the progress is Done.
	Outcome *Outcome
}

// Outcome is the answer of the call's only run.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted says that the body was too large to be stored. BodyBytes
	// is its length.
	BodyOmitted bool
	BodyBytes   int
}

// ObjectName returns the name of the intent object, a hash of workspace,
// service, call and key with their lengths, so that no two calls share one.
func ObjectName(call Call, key uuid.UUID) string {
	digest := sha256.New()
	for _, part := range []string{string(call.Workspace), string(call.Service), call.Name, key.String()} {
		length := len(part)
		digest.Write([]byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)})
		digest.Write([]byte(part))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Deletable says whether the record of a key may be deleted. No process
// accepts the key any more.
func Deletable(key string, retention time.Duration, wall time.Time) bool {
	made, failure := parseKey(key)
	return failure == nil && wall.Sub(keyTime(made)) > retention+DeletionMargin
}

// store returns the outcome as it is kept, without a body that is too large.
func store(answer mulberrybeam.ServiceAnswer) *Outcome {
	outcome := &Outcome{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, BodyBytes: len(answer.Body)}
	if len(answer.Body) > MaxOutcomeBody {
		outcome.Body, outcome.BodyOmitted = nil, true
	}
	return outcome
}

func parseKey(key string) (uuid.UUID, *mulberrybeam.Failure) {
	if key == "" {
		return uuid.UUID{}, refuse(mulberrybeam.CodeKeyMissing, "a non-repeatable call needs an Idempotency-Key header")
	}
	const canonicalLength = 36
	made, err := uuid.Parse(key)
	if err != nil || len(key) != canonicalLength || made.Version() != 7 || made.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, refuse(mulberrybeam.CodeKeyInvalid, "the Idempotency-Key must be a UUID of version 7 in its canonical form")
	}
	return made, nil
}

// keyTime returns the wall time in a UUID of version 7, whose first 48 bits
// are milliseconds since the Unix epoch.
func keyTime(key uuid.UUID) time.Time {
	var millis int64
	for _, part := range key[:6] {
		millis = millis<<8 | int64(part)
	}
	return time.UnixMilli(millis)
}

// checkAge refuses keys whose record may have been deleted.
func checkAge(key uuid.UUID, retention time.Duration, wall time.Time) *mulberrybeam.Failure {
	age := wall.Sub(keyTime(key))
	if age > retention {
		return refuse(mulberrybeam.CodeKeyExpired, "the Idempotency-Key is older than "+retention.String())
	}
	if age < -FutureAllowance {
		return refuse(mulberrybeam.CodeKeyInvalid, "the Idempotency-Key is more than "+FutureAllowance.String()+" in the future")
	}
	return nil
}

// refuse returns a failure of a call that reached no target.
func refuse(code mulberrybeam.Code, text string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{Code: code, Step: mulberrybeam.StepIntent, Message: text, NotRun: true}
}

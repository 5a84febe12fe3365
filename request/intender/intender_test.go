package intender_test

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/intender"
)

var (
	wall            = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	noTargetFault   = func() string { return "" }
	noPlatformFault = func(mulberrybeam.ObjectOp) string { return "" }
)

func callWith(key, body, attempt string) intender.Call {
	return intender.Call{
		Workspace: "w", Service: "orders", Name: "place", Key: key, BodyHash: sha256.Sum256([]byte(body)),
		Attempt: attempt, Process: "p", Timeout: time.Second, Retention: 24 * time.Hour,
	}
}

// Guards against accepting keys whose record may already be deleted, and keys
// that have more than one spelling.
func TestKeyValidation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cases := []struct {
		name, key string
		code      mulberrybeam.Code
	}{
		{"missing", "", mulberrybeam.CodeIdempotencyKeyMissing},
		{"not a UUID", "order-7", mulberrybeam.CodeIdempotencyKeyInvalid},
		{"version 4", "3f1f2f64-6d1c-4e0f-8a57-0c8f7ab4f0aa", mulberrybeam.CodeIdempotencyKeyInvalid},
		{"URN form", "urn:uuid:" + keyAt(wall, random), mulberrybeam.CodeIdempotencyKeyInvalid},
		{"braces", "{" + keyAt(wall, random) + "}", mulberrybeam.CodeIdempotencyKeyInvalid},
		{"too old", keyAt(wall.Add(-24*time.Hour-time.Second), random), mulberrybeam.CodeIdempotencyKeyExpired},
		{"too far in the future", keyAt(wall.Add(5*time.Minute+time.Second), random), mulberrybeam.CodeIdempotencyKeyInvalid},
		{"just within the retention", keyAt(wall.Add(-24*time.Hour), random), ""},
		{"slightly in the future", keyAt(wall.Add(4*time.Minute), random), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, action := intender.Begin(mulberrybeam.Turn{Wall: wall}, callWith(c.key, "b", "a"))
			finish, refused := action.(intender.Finish)
			is.Equal(refused, c.code != "")
			if refused {
				is.Equal(finish.Failure.Code, c.code)
				is.True(finish.Failure.NotRun)
			}
		})
	}
}

// faultCase is a call with one fault, followed by the same call without faults.
type faultCase struct {
	name string
	op   mulberrybeam.ObjectOp
	// fault is injected into the first call of op, targetFault into the first
	// send.
	fault, targetFault string
	// firstCode is the result of the first call, "" for an answer. secondCode
	// is the result of the second call; replay stands for the stored answer.
	firstCode   mulberrybeam.Code
	firstNotRun bool
	secondCode  mulberrybeam.Code
	runs        int
}

const replay = mulberrybeam.Code("replay")

var faultCases = []faultCase{
	{name: "no fault", secondCode: replay, runs: 1},
	{"create has no effect", mulberrybeam.OpCreate, downBefore, "", "", false, replay, 1},
	{"create answer lost", mulberrybeam.OpCreate, downAfter, "", "", false, replay, 1},
	{"create takes effect late", mulberrybeam.OpCreate, lateWrite, "", "", false, replay, 1},
	{"budget exhausted", mulberrybeam.OpCreate, budgetExhausted, "", mulberrybeam.CodePlatformBudget, true, "", 1},
	{"paused past the send window", mulberrybeam.OpCreate, pausedPastWindow, "", mulberrybeam.CodeTimeout, true, "", 1},
	{"outcome write has no effect", mulberrybeam.OpUpdate, downBefore, "", "", false, mulberrybeam.CodeInProgress, 1},
	{"outcome write answer lost", mulberrybeam.OpUpdate, downAfter, "", "", false, replay, 1},
	{"connection breaks after the run", "", "", brokenAfterRun, mulberrybeam.CodeOutcomeUnknown, false, mulberrybeam.CodeOutcomeUnknown, 1},
	{"connection breaks before the run", "", "", brokenBeforeRun, mulberrybeam.CodeOutcomeUnknown, false, mulberrybeam.CodeOutcomeUnknown, 0},
	{"target refuses", "", "", refusedNotRun, mulberrybeam.CodeTargetRefused, true, "", 1},
	{"target refuses and the delete has no effect", mulberrybeam.OpDelete, downBefore, refusedNotRun, mulberrybeam.CodeTargetRefused, true, mulberrybeam.CodeInProgress, 0},
	{"connection breaks and the outcome write has no effect", mulberrybeam.OpUpdate, downBefore, brokenAfterRun, mulberrybeam.CodeOutcomeUnknown, false, mulberrybeam.CodeInProgress, 1},
}

// Guards against a second run, a lost refusal and a wrong not-run when a fault
// occurs in any step of a call.
func TestFaultAtEachStep(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			injected, targetInjected := c.fault == "", c.targetFault == ""
			p := &process{id: "p", platform: newPlatform(), wall: wall, fault: func(op mulberrybeam.ObjectOp) string {
				if op != c.op || injected {
					return ""
				}
				injected = true
				return c.fault
			}}
			target := &service{fault: func() string {
				if targetInjected {
					return ""
				}
				targetInjected = true
				return c.targetFault
			}}
			key := keyAt(wall, rand.New(rand.NewPCG(2, 2)))
			send := intender.ServiceSender(target, mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{}})
			first := p.driver().Run(t.Context(), callWith(key, "b", "a1"), send)
			is.True(injected && targetInjected) // the fault was injected
			is.Equal(resultCode(first), c.firstCode)
			if first.Failure != nil {
				is.Equal(first.Failure.NotRun, c.firstNotRun)
			}
			second := p.driver().Run(t.Context(), callWith(key, "b", "a2"), send)
			is.Equal(resultCode(second), c.secondCode)
			if second.Replayed != nil {
				is.Equal(second.Replayed.Body, first.Answer.Body)
			}
			if second.Failure != nil {
				is.True(!second.Failure.NotRun)
			}
			is.Equal(target.runs, c.runs)
		})
	}
}

func resultCode(finish intender.Finish) mulberrybeam.Code {
	switch {
	case finish.Failure != nil:
		return finish.Failure.Code
	case finish.Replayed != nil:
		return replay
	}
	return ""
}

// Guards against a call that runs although its record can neither be written
// nor read, a key that is accepted with another body, and waiting for the
// outcome of a dead process.
func TestRecordsOfOtherAttempts(t *testing.T) {
	is := is.New(t)
	down := false
	p := &process{id: "p", platform: newPlatform(), wall: wall, fault: func(mulberrybeam.ObjectOp) string {
		if down {
			return downBefore
		}
		return ""
	}}
	target := &service{fault: noTargetFault}
	key := keyAt(wall, rand.New(rand.NewPCG(3, 3)))
	send := intender.ServiceSender(target, mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{}})
	down = true
	finish := p.driver().Run(t.Context(), callWith(key, "b", "a1"), send)
	is.Equal(resultCode(finish), mulberrybeam.CodePlatformDown)
	is.True(finish.Failure.NotRun)
	down = false
	is.NoErr(p.driver().Remove(t.Context(), *finish.Orphaned)) // no record was created

	// A process that crashes between the send and the outcome leaves an open
	// record. Here the machine takes no further step after SendCall.
	state, action := intender.Begin(mulberrybeam.Turn{Wall: wall}, callWith(key, "b", "crashed"))
	create := action.(intender.CreateRecord)
	data, err := p.driver().Codec.Encode(create.Record)
	is.NoErr(err)
	object, err := p.Create(t.Context(), mulberrybeam.Object{Name: create.Name, Data: data})
	is.NoErr(err)
	_, sends := intender.Step(mulberrybeam.Turn{Wall: wall}, &state, intender.Created{Version: object.Version}).(intender.SendCall)
	is.True(sends)
	is.Equal(resultCode(p.driver().Run(t.Context(), callWith(key, "b", "a2"), send)), mulberrybeam.CodeInProgress)
	reused := p.driver().Run(t.Context(), callWith(key, "other", "a3"), send)
	is.Equal(resultCode(reused), mulberrybeam.CodeKeyReused)
	is.True(reused.Failure.NotRun)
	p.wall = wall.Add(time.Minute) // after the record's OpenUntil
	is.Equal(resultCode(p.driver().Run(t.Context(), callWith(key, "b", "a4"), send)), mulberrybeam.CodeOutcomeUnknown)
	p.wall, p.id = wall, "successor"
	is.Equal(resultCode(p.driver().Run(t.Context(), callWith(key, "b", "a5"), send)), mulberrybeam.CodeOutcomeUnknown)
	is.Equal(target.runs, 0)
}

// Guards against a key that stays blocked by an attempt that never sent its
// call, and against removing the record of another attempt.
func TestLeftoverIsRemoved(t *testing.T) {
	is := is.New(t)
	calls := 0
	p := &process{id: "p", platform: newPlatform(), wall: wall, fault: func(mulberrybeam.ObjectOp) string {
		calls++
		return []string{downAfter, downBefore, ""}[min(calls, 3)-1]
	}}
	target := &service{fault: noTargetFault}
	key := keyAt(wall, rand.New(rand.NewPCG(6, 6)))
	send := intender.ServiceSender(target, mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{}})
	finish := p.driver().Run(t.Context(), callWith(key, "b", "a1"), send)
	is.True(finish.Failure.NotRun)
	is.Equal(len(p.platform.objects), 1) // the create took effect
	is.NoErr(p.driver().Remove(t.Context(), *finish.Orphaned))
	is.True(p.driver().Run(t.Context(), callWith(key, "b", "a2"), send).Answer != nil)
	is.NoErr(p.driver().Remove(t.Context(), *finish.Orphaned))
	is.Equal(resultCode(p.driver().Run(t.Context(), callWith(key, "b", "a3"), send)), replay)
	is.Equal(target.runs, 1)
}

// Guards against sending after the send window when the process is paused
// between the decision to send and the send itself.
func TestWindowIsCheckedRightBeforeTheSend(t *testing.T) {
	is := is.New(t)
	p := &process{id: "p", platform: newPlatform(), wall: wall, fault: noPlatformFault}
	target := &service{fault: noTargetFault}
	driver, readings := p.driver(), 0
	driver.Clock = func() time.Duration {
		if readings++; readings > 2 { // the first two are for Begin and for the answer to the create
			return intender.SendWindow
		}
		return 0
	}
	key := keyAt(wall, rand.New(rand.NewPCG(7, 7)))
	send := intender.ServiceSender(target, mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{}})
	finish := driver.Run(t.Context(), callWith(key, "b", "a1"), send)
	is.Equal(resultCode(finish), mulberrybeam.CodeTimeout)
	is.True(finish.Failure.NotRun)
	is.Equal(target.runs, 0)
	is.True(p.driver().Run(t.Context(), callWith(key, "b", "a2"), send).Answer != nil) // the key can be used again
}

// Guards against outcomes that exceed the size limit of the platform's objects.
func TestLargeOutcomeIsStoredWithoutItsBody(t *testing.T) {
	is := is.New(t)
	p := &process{id: "p", platform: newPlatform(), wall: wall, fault: noPlatformFault}
	target := &service{fault: noTargetFault, minBodyBytes: intender.MaxOutcomeBody + 1}
	key := keyAt(wall, rand.New(rand.NewPCG(4, 4)))
	send := intender.ServiceSender(target, mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{}})
	first := p.driver().Run(t.Context(), callWith(key, "b", "a1"), send)
	is.True(len(first.Answer.Body) > intender.MaxOutcomeBody)
	second := p.driver().Run(t.Context(), callWith(key, "b", "a2"), send)
	is.True(second.Replayed.BodyOmitted)
	is.Equal(second.Replayed.BodyBytes, len(first.Answer.Body))
	is.Equal(second.Replayed.Status, 201)
	is.Equal(len(second.Replayed.Body), 0)
}

// Guards against deleting records while a process may still accept their key.
func TestRecordsOutliveTheirKeys(t *testing.T) {
	is := is.New(t)
	key := keyAt(wall, rand.New(rand.NewPCG(5, 5)))
	is.True(!intender.Deletable(key, 24*time.Hour, wall.Add(24*time.Hour+intender.SendWindow)))
	is.True(intender.Deletable(key, 24*time.Hour, wall.Add(24*time.Hour+intender.DeletionMargin+time.Second)))
}

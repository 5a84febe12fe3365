package intender

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
)

// Event is the result of an action.
type Event interface{ event() }

// Created is the result of CreateRecord.
type Created struct {
	Version string
	Err     error
}

// Read is the result of ReadRecord. HostLive reports whether the process named
// in the record is known to be alive.
type Read struct {
	Record   Record
	Version  string
	HostLive bool
	Err      error
}

// Answered is the result of SendCall.
type Answered struct {
	Answer mulberrybeam.ServiceAnswer
	Err    error
}

// Written is the result of WriteRecord or DeleteRecord. Despite an error, the
// write may have taken effect.
type Written struct{ Err error }

// Action is what the driver does next. Begin and Step return exactly one.
type Action interface{ action() }

// CreateRecord creates the intent object if it does not exist.
type CreateRecord struct {
	Name   string
	Record Record
}

// ReadRecord reads the intent object.
type ReadRecord struct{ Name string }

// SendCall sends the call once, but not after NotAfter in local monotonic time.
type SendCall struct{ NotAfter time.Duration }

// WriteRecord replaces the intent object if it still has the version.
type WriteRecord struct {
	Name    string
	Version string
	Record  Record
}

// DeleteRecord deletes the intent object if it still has the version. It follows
// a call that certainly did not run.
type DeleteRecord struct {
	Name    string
	Version string
}

// Finish ends the attempt. Exactly one of Answer, Replayed and Failure is set.
type Finish struct {
	Answer   *mulberrybeam.ServiceAnswer
	Replayed *Outcome
	Failure  *mulberrybeam.Failure
	// Orphaned is set if a record of the attempt may exist although the
	// attempt did not send the call and never will.
	Orphaned *OrphanedRecord
}

// OrphanedRecord identifies a record that blocks its key although its attempt never
// sent the call.
type OrphanedRecord struct {
	Name    string
	Attempt string
}

func (Created) event()       {}
func (Read) event()          {}
func (Answered) event()      {}
func (Written) event()       {}
func (CreateRecord) action() {}
func (ReadRecord) action()   {}
func (SendCall) action()     {}
func (WriteRecord) action()  {}
func (DeleteRecord) action() {}
func (Finish) action()       {}

// State is the state of one attempt.
type State struct {
	Call   Call
	Key    uuid.UUID
	Name   string
	Record Record
	// Version is the object's version, set once the record is known to belong
	// to this attempt.
	Version string
	// NotAfter is the end of the send window in local monotonic time.
	NotAfter time.Duration
	Creates  int
	// CreateUnknown is set if the answer to a create was lost, so that the record
	// may exist.
	CreateUnknown bool
	// Sent is set when the call is sent or the record is withdrawn. The
	// machine never sends a call twice.
	Sent bool
	// End is the action that follows the write or deletion of the record.
	End Finish
}

// Begin validates the key and starts an attempt.
func Begin(turn mulberrybeam.Turn, call Call) (State, Action) {
	state := State{Call: call, NotAfter: turn.Now + SendWindow}
	key, failure := parseKey(call.Key)
	if failure == nil {
		failure = checkAge(key, call.Retention, turn.Wall)
	}
	if failure != nil {
		return state, Finish{Failure: failure}
	}
	state.Key = key
	state.Name = ObjectName(call, key)
	state.Record = Record{
		Workspace: call.Workspace, Service: call.Service, Call: call.Name, Key: key.String(),
		BodyHash: call.BodyHash, Attempt: call.Attempt, Process: call.Process,
		CreatedAt: turn.Wall, OpenUntil: turn.Wall.Add(SendWindow + call.Timeout + outcomeMargin), Progress: Open,
	}
	return state, state.create()
}

// Step takes the result of the last action and returns the next action.
func Step(turn mulberrybeam.Turn, state *State, event Event) Action {
	switch e := event.(type) {
	case Created:
		return state.created(turn, e)
	case Read:
		return state.read(turn, e)
	case Answered:
		return state.answered(e)
	default:
		// If the outcome could not be written, the record stays open, which
		// prevents a second run.
		return state.End
	}
}

func (s *State) create() Action {
	s.Creates++
	return CreateRecord{Name: s.Name, Record: s.Record}
}

func (s *State) created(turn mulberrybeam.Turn, event Created) Action {
	switch codeOf(event.Err) {
	case "":
		if event.Version == "" {
			// Read the version, since later writes without it would be unconditional.
			return ReadRecord{Name: s.Name}
		}
		return s.send(turn, event.Version)
	case mulberrybeam.CodePlatformDown:
		s.CreateUnknown = true
		return ReadRecord{Name: s.Name}
	case mulberrybeam.CodeExists, mulberrybeam.CodeConflict:
		// The record may belong to this attempt, if the answer to an earlier
		// create was lost.
		return ReadRecord{Name: s.Name}
	default:
		return s.platformFailure(event.Err)
	}
}

func (s *State) read(turn mulberrybeam.Turn, event Read) Action {
	switch codeOf(event.Err) {
	case "":
	case mulberrybeam.CodeNotFound:
		if s.Creates < maxCreates && turn.Now < s.NotAfter {
			return s.create()
		}
		return s.platformFailure(event.Err)
	default:
		return s.platformFailure(event.Err)
	}
	record := event.Record
	switch {
	case record.Attempt == s.Call.Attempt:
		return s.send(turn, event.Version)
	case record.BodyHash != s.Call.BodyHash:
		return Finish{Failure: refuse(mulberrybeam.CodeKeyReused, "the Idempotency-Key was already used with a different body")}
	case record.Progress == Done && record.Outcome != nil:
		return Finish{Replayed: record.Outcome}
	case record.Progress == Open && event.HostLive && turn.Wall.Before(record.OpenUntil):
		return Finish{Failure: &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInProgress, Step: mulberrybeam.StepIntent, Peer: string(record.Process),
			Message: describeRecord("the call is already running", record), RetryAfter: time.Second,
		}}
	default:
		return Finish{Failure: &mulberrybeam.Failure{
			Code: mulberrybeam.CodeOutcomeUnknown, Step: mulberrybeam.StepIntent, Peer: string(record.Process),
			Message: describeRecord("the call may have run, but its answer was lost", record),
		}}
	}
}

// send allows the only send of the attempt while the send window is open. It
// checks the age of the key again, because the monotonic clock may stop while
// the host is suspended.
func (s *State) send(turn mulberrybeam.Turn, version string) Action {
	s.Version = version
	failure := checkAge(s.Key, s.Call.Retention+SendWindow, turn.Wall)
	if turn.Now >= s.NotAfter {
		failure = refuse(mulberrybeam.CodeTimeout, "the call was not sent within "+SendWindow.String())
	}
	if failure != nil {
		return s.withdraw(failure)
	}
	s.Sent = true
	return SendCall{NotAfter: s.NotAfter}
}

func (s *State) answered(event Answered) Action {
	var failure *mulberrybeam.Failure
	switch {
	case event.Err == nil:
		s.Record.Progress, s.Record.Outcome = Done, storedOutcome(event.Answer)
		s.End = Finish{Answer: &event.Answer}
	case errors.As(event.Err, &failure) && failure.NotRun:
		return s.withdraw(failure)
	default:
		s.Record.Progress = Unknown
		s.End = Finish{Failure: &mulberrybeam.Failure{
			Code: mulberrybeam.CodeOutcomeUnknown, Step: mulberrybeam.StepOutcome,
			Message: describeRecord("the call may have run, but its answer was lost", s.Record), Cause: event.Err,
		}}
		if failure != nil {
			s.End.Failure.Peer = failure.Peer
		}
	}
	return WriteRecord{Name: s.Name, Version: s.Version, Record: s.Record}
}

// withdraw deletes the record of a call that certainly did not run, so that the
// caller can use the key again. The attempt never sends afterwards.
func (s *State) withdraw(failure *mulberrybeam.Failure) Action {
	s.Sent = true
	s.End = Finish{Failure: failure}
	return DeleteRecord{Name: s.Name, Version: s.Version}
}

// platformFailure ends an attempt that could not record its intent.
func (s *State) platformFailure(err error) Action {
	code, wait := mulberrybeam.CodePlatformDown, time.Second
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) {
		wait = max(wait, failure.RetryAfter)
		if failure.Code == mulberrybeam.CodePlatformBudget {
			code = failure.Code
		}
	}
	finish := Finish{Failure: &mulberrybeam.Failure{
		Code: code, Step: mulberrybeam.StepIntent, Peer: "platform", NotRun: true, RetryAfter: wait, Cause: err,
		Message: "the intent record of the call could not be created",
	}}
	if s.CreateUnknown {
		finish.Orphaned = &OrphanedRecord{Name: s.Name, Attempt: s.Call.Attempt}
	}
	return finish
}

func describeRecord(message string, record Record) string {
	return fmt.Sprintf("%s: attempt %s of process %s at %s", message, record.Attempt, record.Process, record.CreatedAt.UTC().Format(time.RFC3339))
}

// codeOf returns the code of a Failure, an empty code for nil and
// platform-unavailable for any other error.
func codeOf(err error) mulberrybeam.Code {
	if err == nil {
		return ""
	}
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return mulberrybeam.CodePlatformDown
}

package relayer

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/process/streamtracker"
	"mulberrybeam/request/sampler"
)

// Streams knows at which software version streams began.
type Streams interface {
	// Origin returns where the stream began that a caller takes up, and false if that is
	// unknown.
	Origin(ctx context.Context, key mulberrybeam.StreamKey, service mulberrybeam.ServiceName) (mulberrybeam.StreamOrigin, bool)
	// Begin records that a stream is sent to its caller, and End that no more of it is.
	Begin(key mulberrybeam.StreamKey, origin mulberrybeam.StreamOrigin)
	End(key mulberrybeam.StreamKey, complete bool)
	// New reports whether no stream should begin at a software version yet.
	New(service mulberrybeam.ServiceName, software mulberrybeam.SoftwareVersion) bool
}

// origin ties a stream to the software version that wrote its first event. What another
// version writes does not continue it, and targets do not check that.
type origin struct {
	// bound is set once the version is known: the caller takes the stream up, or has got
	// an event of it.
	bound    bool
	software mulberrybeam.SoftwareVersion
	// takenUp reports that the caller has events of the stream from an earlier request.
	takenUp bool
	// recorded is set once the stream is recorded, and complete once it was sent whole.
	recorded, complete bool
}

// resumable reports whether the request's stream may go on after it was broken off.
func (e *exchange) resumable() bool {
	return e.match.Rule.Streaming && e.match.Rule.Idempotent()
}

// resumesStream reports whether the caller takes up a stream.
func (e *exchange) resumesStream() bool { return e.resumable() && e.inbound.LastEvent != "" }

// streamKey returns the key of the request's stream. It is of the request that brought
// the first event.
func (e *exchange) streamKey() mulberrybeam.StreamKey {
	if e.resumesStream() && e.inbound.Resumes != "" {
		return streamtracker.Key(e.inbound.Resumes)
	}
	return streamtracker.Key(e.inbound.ID)
}

// bindTakenUp binds a stream that the caller takes up to the service and the software
// version at which it began. It fails if these are not known.
func (e *exchange) bindTakenUp() error {
	if !e.resumesStream() || e.Streams == nil {
		return nil
	}
	began, known := e.Streams.Origin(e.request.Context(), e.streamKey(), e.service)
	if !known {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, NotRun: true,
			Message: fmt.Sprintf("it is unknown at which software version the stream of request %q began", e.inbound.Resumes),
		}
	}
	e.recordEntry(mulberrybeam.EntryRoute, string(began.Service), fmt.Sprintf(
		"takes up the stream of request %q after event %q at software %q", e.inbound.Resumes, e.inbound.LastEvent, began.Software))
	if began.Service != e.service && e.sharesWith(began.Service) {
		e.service = began.Service
	}
	if began.Service == e.service {
		e.origin = origin{bound: true, software: began.Software, takenUp: true}
	}
	return nil
}

// sharesWith reports whether the rule sends requests to a service.
func (e *exchange) sharesWith(service mulberrybeam.ServiceName) bool {
	for _, share := range e.match.Rule.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// bindAttempt binds the stream to the software version of the attempt, whose first bytes
// have arrived. It fails if the stream is bound to another one.
func (a *attempt) bindAttempt() error {
	if a.checkedSoftware || !a.resumable() {
		return nil
	}
	a.checkedSoftware = true
	software, err := a.currentSoftware()
	if err != nil {
		return err
	}
	if a.origin.bound && software != a.origin.software {
		return fmt.Errorf("the target has software %q, and the stream is of %q", software, a.origin.software)
	}
	a.origin.bound, a.origin.software = true, software
	return nil
}

// recordStream records the stream before its caller gets the first event. Until then it may
// begin anew at another version.
func (a *attempt) recordStream() {
	if !a.origin.bound || a.origin.recorded || a.Streams == nil || a.inbound.ID == "" {
		return
	}
	a.origin.recorded = true
	a.Streams.Begin(a.streamKey(), mulberrybeam.StreamOrigin{Service: a.service, Software: a.origin.software})
}

// currentSoftware returns the software version of the attempt's target. It fails if the
// target has started again under its ID with another version since the attempt chose it:
// the answer may come from either run.
func (a *attempt) currentSoftware() (mulberrybeam.SoftwareVersion, error) {
	targets := a.Fleet().Targets[a.service]
	for i := range targets {
		if current := &targets[i]; current.ID == a.target.ID && current.Software != a.target.Software {
			return "", fmt.Errorf("the target has started again with software %q in place of %q", current.Software, a.target.Software)
		}
	}
	return a.target.Software, nil
}

// unbind forgets the software version of a stream of which the caller has no event.
func (e *exchange) unbind() {
	if e.headerWritten || e.origin.takenUp {
		return
	}
	e.origin = origin{}
}

// endStream records that no more of the stream is sent.
func (e *exchange) endStream() {
	if e.origin.recorded {
		e.Streams.End(e.streamKey(), e.origin.complete)
	}
}

// allowsSoftware returns the function that reports whether the request may use targets of
// a software version, or nil if it may use all.
func (e *exchange) allowsSoftware() func(*mulberrybeam.FleetTarget) bool {
	switch {
	case e.origin.bound:
		return func(target *mulberrybeam.FleetTarget) bool { return target.Software == e.origin.software }
	case !e.resumable() || e.Streams == nil:
		return nil
	}
	isNew := map[mulberrybeam.SoftwareVersion]bool{}
	established, allNew := false, true
	targets := e.fleet.Targets[e.service]
	for i := range targets {
		software := targets[i].Software
		if i == 0 || software != targets[i-1].Software {
			if _, checked := isNew[software]; !checked {
				isNew[software] = e.Streams.New(e.service, software)
			}
		}
		established = established || !targets[i].Draining && !isNew[software]
		allNew = allNew && isNew[software]
	}
	// Beside other versions that are not listed either, none is known to other hosts.
	if len(isNew) < 2 || !established && !allNew {
		return nil
	}
	return func(target *mulberrybeam.FleetTarget) bool { return !isNew[target.Software] }
}

// hasBoundTarget reports whether any target of the software version is registered that the
// stream is bound to.
func (e *exchange) hasBoundTarget() bool {
	targets := e.Fleet().Targets[e.service]
	for i := range targets {
		if targets[i].Software == e.origin.software && !targets[i].Draining {
			return true
		}
	}
	return false
}

// continueSide lets a stream that began at the new version of a rollout go on there, as
// long as the version may be used.
func (e *exchange) continueSide(query sampler.Query, side sampler.Side) sampler.Side {
	if !e.origin.bound || side != sampler.Old || e.origin.software != query.Rollout.To || !sampler.MayContinue(query) {
		return side
	}
	if e.Tallier.Reserve(e.service, query.Rollout) {
		return sampler.New
	}
	return side
}

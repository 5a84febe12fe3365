package relayer

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/requester"
	"mulberrybeam/request/quarantiner"
)

// answerBeginWindow is how long after the first byte of the response a crash may
// still have been caused by a prompt part of the request.
const answerBeginWindow = 2 * time.Second

// minStreamEvents is the number of events after which a stream has got past its
// beginning, at which a prompt part crashes its target.
const minStreamEvents = 3

// livenessDelay is the time between the end of a response without length and the check
// that its target lives on. A crashed target takes longer to come back.
const livenessDelay = 200 * time.Millisecond

// crashParts returns the prompt parts that may have crashed the target.
func (a *attempt) crashParts() []mulberrybeam.SharedPart {
	if a.firstByteAt > a.sentAt && a.Now()-a.firstByteAt > answerBeginWindow {
		return nil
	}
	return a.sharedParts()
}

func (e *exchange) sharedParts() []mulberrybeam.SharedPart {
	return quarantiner.SharedParts(e.inbound.Model, e.inbound.Parts)
}

// suspectableParts returns the parts of the request that may have crashed a target.
func (e *exchange) suspectableParts() []mulberrybeam.SharedPart {
	return append(e.sharedParts(), e.requestPart())
}

func (e *exchange) requestPart() mulberrybeam.SharedPart {
	return quarantiner.RequestPart(e.requestInfo.Fingerprint)
}

// reportCompletedParts reports the parts of a completed request to the control
// loop. An engine that answers with an error may not have read the prompt.
func (a *attempt) reportCompletedParts(response *requester.Answer) {
	switch {
	case response.Status >= http.StatusInternalServerError, a.passedAnswer.Refusal != "":
	case response.Status != http.StatusOK && len(a.sharedParts()) > 0:
	case a.provesCompletion(response):
		a.postCompletedParts()
	case !response.Framed && !a.partsReported && a.hasSuspectParts():
		a.postPartsIfTargetLives()
	}
}

// hasSuspectParts reports whether targets have crashed with the request or a part of
// its prompt.
func (e *exchange) hasSuspectParts() bool {
	suspects := e.Fleet().Suspects
	return len(suspects) > 0 &&
		slices.ContainsFunc(e.suspectableParts(), func(part mulberrybeam.SharedPart) bool { return suspects[part].Crashes > 0 })
}

// postPartsIfTargetLives reports the parts as completed if the target has not crashed
// at the end of its response.
func (a *attempt) postPartsIfTargetLives() {
	parts, address, post, sender := a.suspectableParts(), a.target.Address, a.Post, a.Sender
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), livenessDelay+crashCheckTimeout)
		defer cancel()
		if pauser.Pause(ctx, livenessDelay) && sender.AcceptsConnections(ctx, address) {
			post(mulberrybeam.PartsCompleted{Parts: parts})
		}
	}()
}

// reportStreamedParts reports the parts of a stream as soon as it is past its
// beginning, since a long answer may take several seconds more.
func (a *attempt) reportStreamedParts() {
	if a.splitter.Events-a.eventsBefore >= minStreamEvents {
		a.postCompletedParts()
	}
}

func (a *attempt) postCompletedParts() {
	if a.partsReported {
		return
	}
	parts := a.sharedParts()
	// Most requests are never repeated, so only a suspect is reported.
	if suspects := a.Fleet().Suspects; len(suspects) > 0 && suspects[a.requestPart()].Crashes > 0 {
		parts = append(parts, a.requestPart())
	}
	if len(parts) == 0 {
		return
	}
	a.partsReported = true
	a.Post(mulberrybeam.PartsCompleted{Parts: parts})
}

// provesCompletion reports whether the target cannot have crashed instead of
// completing the response. One without length that ends with its connection may
// have been cut. Events are counted for repeatable streams only.
func (a *attempt) provesCompletion(response *requester.Answer) bool {
	counted := a.match.Rule.Streaming && a.requestInfo.Repeatable
	return response.Framed && (!counted || a.splitter.Events > a.eventsBefore)
}

// decideParts decides whether the request and its prompt's parts may run. interrupted is
// set for a request that may have run on a target.
func (e *exchange) decideParts(interrupted bool) quarantiner.PartDecision {
	if len(e.fleet.Suspects) == 0 {
		return quarantiner.PartDecision{Verdict: quarantiner.RunNormally}
	}
	return quarantiner.DecideParts(quarantiner.PartQuery{
		Parts: e.suspectableParts(), Suspects: e.fleet.Suspects, Hosts: e.fleet.EntryHosts,
		Self: e.settings.ID, Now: e.Now(), Interrupted: interrupted,
	})
}

// checkParts returns a Failure if the request, or a part of its prompt, crashes targets. It
// waits while that is being decided.
func (e *exchange) checkParts(ctx context.Context) error {
	waitedFor := mulberrybeam.SharedPart("")
	for {
		decision := e.decideParts(e.mayHaveRun)
		switch decision.Verdict {
		case quarantiner.Refuse:
			return quarantiner.PartRefusal(decision, !e.mayHaveRun)
		case quarantiner.RunIsolated:
			return e.claimTrials(decision)
		case quarantiner.RunNormally:
			return nil
		}
		if waitedFor != decision.Part {
			waitedFor = decision.Part
			e.recordEntry(mulberrybeam.EntryRetry, string(decision.Part), fmt.Sprintf(
				"attempt waits for the decision on a part that was in flight at %d crashes", decision.Crashes))
		}
		if !pauser.Pause(ctx, waitInterval) {
			return ctx.Err()
		}
		e.refreshFleet()
	}
}

// claimTrials returns a Failure if this process has made its trial of a part in this
// turn.
func (e *exchange) claimTrials(decision quarantiner.PartDecision) error {
	if slices.Equal(e.trials, decision.Trials) {
		return nil
	}
	if !e.claims.claim(decision.Trials, e.Now(), decision.TrialEnd) {
		return quarantiner.PartRefusal(decision, !e.mayHaveRun)
	}
	e.trials = decision.Trials
	for _, part := range decision.Trials {
		e.recordEntry(mulberrybeam.EntryTrial, string(part), fmt.Sprintf(
			"request runs although targets crashed with the part, %d with part %s", decision.Crashes, decision.Part))
	}
	return nil
}

// failSuspect ends a request that may not be sent to a target because of a part.
func (e *exchange) failSuspect(ctx context.Context, err error) {
	if e.headerWritten || ctx.Err() != nil {
		e.fail(ctx, err)
		return
	}
	e.writeRefusal(err)
}

// trialClaims are the trials of this process, by part. It is safe for concurrent
// use.
type trialClaims struct {
	mutex sync.Mutex
	ends  map[mulberrybeam.SharedPart]time.Duration
}

// claim reports whether the caller may make the one trial of each of the parts that
// is allowed to this process until end.
func (c *trialClaims) claim(parts []mulberrybeam.SharedPart, now, end time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.ends, func(_ mulberrybeam.SharedPart, end time.Duration) bool { return end <= now })
	for _, part := range parts {
		if _, claimed := c.ends[part]; claimed {
			return false
		}
	}
	if c.ends == nil {
		c.ends = map[mulberrybeam.SharedPart]time.Duration{}
	}
	for _, part := range parts {
		c.ends[part] = end
	}
	return true
}

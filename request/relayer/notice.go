package relayer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
)

// retrySpread is the largest fraction of a pause that is added to the Retry-After of
// a refusal, so that callers do not return at the same time.
const retrySpread = 0.25

// recordNotice records what the target said about itself in the header of a response,
// also if the response is not forwarded.
func (a *attempt) recordNotice(response *requester.Answer) {
	head := response.Head
	if head.Leaving && (head.Instance == "" || head.Instance == a.target.ID) && a.Monitor.RecordLeaving(a.target.LiveTarget) {
		a.recordEntry(mulberrybeam.EntryMember, string(a.target.ID), "target said that it is about to stop")
	}
	if a.Monitor.RecordFragility(a.target.ID, head.Fragility) {
		a.recordEntry(mulberrybeam.EntryMember, string(a.target.ID), describeFragility(head.Fragility))
	}
	if pause := head.RetryAfter; pause > 0 && a.Monitor.Pause(a.target.ID, pause) {
		a.recordEntry(mulberrybeam.EntryMember, string(a.target.ID), fmt.Sprintf("target asked for a pause of %s", pause))
	}
}

// describeFragility returns the text of the log line for a changed statement.
func describeFragility(fragility mulberrybeam.Fragility) string {
	switch {
	case !fragility.Stated:
		return "target no longer says that it is fragile"
	case fragility.Malformed != "":
		return fmt.Sprintf("target says that it is fragile with the value %s, which counts as no refusals", fragility.Malformed)
	}
	return fmt.Sprintf("target says that it is fragile and bears %d refusals per second of all hosts", fragility.MaxRefusals)
}

// waitBefore returns the time after which a target may be free for a request that found
// none, or 0 if err is another failure.
func waitBefore(err error) time.Duration {
	var failure *mulberrybeam.Failure
	if mulberrybeam.CodeOf(err) != mulberrybeam.CodeNoTarget || !errors.As(err, &failure) {
		return 0
	}
	return failure.RetryAfter
}

// spread returns a time that is up to retrySpread longer.
func spread(random *rand.Rand, after time.Duration) time.Duration {
	return after + time.Duration(retrySpread*random.Float64()*float64(after))
}

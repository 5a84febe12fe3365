package relayer

import (
	"fmt"
	"time"

	"mulberrybeam"
)

const (
	// responseMargin is the time that the response to a request needs to reach the
	// caller after the request's deadline.
	responseMargin = 200 * time.Millisecond
	// lateBodyTime is how long after Shutdown.NewUntil a plain call whose head had
	// arrived before may still be sent to a target. A stream can last for the whole
	// rest of the grace period, so it has no such time.
	lateBodyTime = time.Second
)

// Shutdown holds the times of a shutdown in local monotonic time. A request that
// has not been sent to a target before NewUntil is refused unless its deadline is
// before CutAt.
type Shutdown struct {
	// NewUntil is when the platform has stopped opening connections to this host.
	// Later requests arrive on connections that are kept.
	NewUntil time.Duration
	// CutAt is when the requests that still run are cut.
	CutAt time.Duration
}

// checkShutdown returns a Failure if the request could be cut by the shutdown and
// has certainly not run, so that the caller can send it to another host.
func (e *exchange) checkShutdown() error {
	shutdown, now := e.Shutdown(), e.Now()
	if shutdown == nil || e.headerWritten || e.mayHaveRun || e.requestInfo.Deadline+responseMargin <= shutdown.CutAt {
		return nil
	}
	sendUntil := shutdown.NewUntil
	if e.arrivedAt <= shutdown.NewUntil && !e.match.Rule.Streaming {
		sendUntil += lateBodyTime
	}
	if now <= sendUntil {
		return nil
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeShuttingDown, Step: mulberrybeam.StepRoute, NotRun: true,
		Message: fmt.Sprintf("this host stops in %s, before the deadline of the request in %s",
			(shutdown.CutAt - now).Round(time.Millisecond), (e.requestInfo.Deadline - now).Round(time.Millisecond)),
	}
}

package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"mulberrybeam/process/standin/backend"
)

// Limits that the deployment under test has to meet.
const (
	revokeLimit   = 5 * time.Second
	evacuateLimit = 5 * time.Second
	drainLimit    = 2 * time.Second
	stopLimit     = 8 * time.Second
	// reconnectTime is how long a host has to reconnect after a disruption before
	// the checks consider it connected again.
	reconnectTime = 3 * time.Second
	// deadlineMargin is how long before its deadline a request may fail for lack
	// of time.
	deadlineMargin = 250 * time.Millisecond
	// closeMargin is the time for which a request and the closing of its
	// connection may cross.
	closeMargin = 200 * time.Millisecond
	// maxAttempts is the attempt limit of the routes that allow retries.
	maxAttempts = 2
	// minSuccessShare is the minimum share of requests that must succeed after
	// the recovery period.
	minSuccessShare = 0.95
)

// Violation describes a guarantee that was not kept.
type Violation struct {
	Rule string
	Text string
}

// Check returns all violations found in the history.
func Check(history History) []Violation {
	c := checker{History: history, runs: map[string][]backend.Arrival{}, results: map[string]Result{}}
	for _, arrival := range history.Arrivals {
		if arrival.Ran {
			c.runs[arrival.Request] = append(c.runs[arrival.Request], arrival)
		}
	}
	for _, result := range history.Results {
		c.results[result.Request] = result
		c.checkRuns(result)
		c.checkAnswer(result)
		c.checkAnswered(result)
		c.checkNotCut(result)
		c.checkArrived(result)
		c.checkKnown(result)
	}
	for _, arrival := range history.Arrivals {
		c.checkArrival(arrival)
	}
	for _, stop := range history.Stops {
		if stop.Duration > stopLimit {
			c.addViolation("stop", "%s ran for %s after SIGTERM", stop.Host, stop.Duration)
		}
	}
	for _, fault := range history.PartFaults {
		c.checkCrashingPart(fault)
	}
	c.checkTokens()
	c.checkRecovery()
	return c.violations
}

type checker struct {
	History
	runs       map[string][]backend.Arrival
	results    map[string]Result
	violations []Violation
}

func (c *checker) addViolation(rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, values...)})
}

// checkRuns checks that a request did not run too often, and that a request
// whose status says that it was not run did not run at all.
func (c *checker) checkRuns(result Result) {
	runs := c.runs[result.Request]
	if result.Kind == KindAtMostOnce && len(runs) > 1 {
		c.addViolation("once", "request %s ran %d times", result.Request, len(runs))
	}
	if len(runs) > maxAttempts {
		c.addViolation("attempts", "request %s ran %d times", result.Request, len(runs))
	}
	switch result.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			c.addViolation("promise", "request %s ran on target %s, but its caller got status %d", result.Request, runs[0].Target, result.Status)
		}
	}
}

// checkAnswered checks that the caller of a request that ran gets a response,
// even when the target fails or the host is shutting down. Requests to a host
// that was killed or frozen in the meantime are exempt.
func (c *checker) checkAnswered(result Result) {
	if result.Status != 0 || len(c.runs[result.Request]) == 0 {
		return
	}
	if !c.wasHostInterrupted(result) {
		c.addViolation("lost", "request %s ran on target %s, but its caller got no response from %s within %s",
			result.Request, c.runs[result.Request][0].Target, result.Host, result.EndedAt.Sub(result.SentAt))
	}
}

// checkNotCut checks that the response to a request that ran is not cut off
// before its deadline unless a target that ran it had an outage. The silence of a
// target is no reason to end a response.
func (c *checker) checkNotCut(result Result) {
	cut := result.Status == http.StatusBadGateway || result.Status == http.StatusGatewayTimeout ||
		result.Status == http.StatusOK && !result.Complete
	runs := c.runs[result.Request]
	if !cut || len(runs) == 0 || result.EndedAt.Sub(result.SentAt) >= result.Timeout-deadlineMargin || c.wasHostInterrupted(result) {
		return
	}
	failed := func(o Outage) bool {
		return slices.ContainsFunc(runs, func(run backend.Arrival) bool { return run.Target == o.Target }) &&
			o.From.Before(result.EndedAt) && (o.To.IsZero() || o.To.After(result.SentAt))
	}
	if !slices.ContainsFunc(c.Outages, failed) {
		c.addViolation("cut", "request %s ran on sound target %s, but its response from %s with status %d ended after %s and %d events",
			result.Request, runs[0].Target, result.Host, result.Status, result.EndedAt.Sub(result.SentAt), len(result.Events))
	}
}

// checkArrived checks that a host does not close a kept connection on which a
// request is arriving, for example because it is shutting down.
func (c *checker) checkArrived(result Result) {
	delay := result.EndedAt.Sub(result.SentAt)
	if result.Kept && result.Status == 0 && len(c.runs[result.Request]) == 0 && delay > closeMargin && !c.wasHostInterrupted(result) {
		c.addViolation("arriving", "%s closed the kept connection of request %s without a response %s after the first part of its head", result.Host, result.Request, delay)
	}
}

// wasHostInterrupted reports whether the host was killed or frozen during the
// request.
func (c *checker) wasHostInterrupted(result Result) bool {
	return slices.ContainsFunc(c.Disruptions, func(t Disruption) bool {
		return t.Host == result.Host && (t.Kind == disruptionKill || t.Kind == disruptionFreeze) &&
			t.From.Before(result.EndedAt) && t.To.After(result.SentAt)
	})
}

// checkKnown checks that no host refuses a route or a key that all configurations have, as
// one that goes back to an older configuration may do.
func (c *checker) checkKnown(result Result) {
	switch {
	case result.Status == http.StatusNotFound:
		c.addViolation("known", "request %s got status 404 from %s", result.Request, result.Host)
	case result.Status == http.StatusUnauthorized && !c.isRevoked(result.Key):
		c.addViolation("known", "request %s got status 401 from %s for key %s", result.Request, result.Host, result.Key)
	}
}

// checkAnswer checks that the response belongs to the request, and that the
// events of a stream are complete and in order.
func (c *checker) checkAnswer(result Result) {
	if result.Status != http.StatusOK {
		return
	}
	if result.Kind != KindStream {
		if result.Complete && result.Body != backend.Answer(result.Request) {
			c.addViolation("content", "request %s got the response of another request: %.60q", result.Request, result.Body)
		}
		return
	}
	for i, event := range result.Events {
		if event != backend.EventData(result.Request, i+1) {
			c.addViolation("order", "request %s got %q as event %d", result.Request, event, i+1)
			return
		}
	}
	if result.Complete && len(result.Events) != backend.EventsPerStream {
		c.addViolation("order", "stream of request %s ended normally after %d events", result.Request, len(result.Events))
	}
}

// checkArrival checks that a request reached its target with the right tenant
// and without its API key, and that no earlier change excludes it from there.
func (c *checker) checkArrival(arrival backend.Arrival) {
	result, known := c.results[arrival.Request]
	if !known || !arrival.Ran {
		return
	}
	if arrival.APIKey != "" {
		c.addViolation("key", "target %s received the API key of request %s", arrival.Target, arrival.Request)
	}
	if arrival.Tenant != tenantOf(result.Key) {
		c.addViolation("tenant", "request %s ran for tenant %q instead of %q", arrival.Request, arrival.Tenant, tenantOf(result.Key))
	}
	for _, change := range c.Changes {
		delay := arrival.At.Sub(change.At)
		switch {
		case change.Kind == ChangeRevoke && change.Subject == result.Key:
			if result.SentAt.Sub(change.At) > revokeLimit {
				c.addViolation("revoke", "request %s ran %s after its API key was revoked", arrival.Request, delay)
			}
		case change.Kind == ChangeEvacuate && change.Subject == arrival.Zone:
			c.checkExcluded(change, arrival, result, evacuateLimit)
		case change.Kind == ChangeDrain && change.Subject == arrival.Target:
			c.checkExcluded(change, arrival, result, drainLimit)
		}
	}
}

// checkExcluded checks that a host that is connected to the store stopped sending
// requests to the target of the arrival within the given time after the change.
func (c *checker) checkExcluded(change Change, arrival backend.Arrival, result Result, limit time.Duration) {
	if arrival.At.Sub(change.At) <= limit || !change.RevertedAt.IsZero() && arrival.At.After(change.RevertedAt) {
		return
	}
	if c.wasConnected(result.Host, change.At, arrival.At) {
		c.addViolation(string(change.Kind), "request %s reached target %s in zone %s %s after the change", arrival.Request, arrival.Target, arrival.Zone, arrival.At.Sub(change.At))
	}
}

func (c *checker) wasConnected(host string, from, to time.Time) bool {
	return !slices.ContainsFunc(c.Disruptions, func(t Disruption) bool {
		return (t.Host == "" || t.Host == host) && t.From.Before(to) && t.To.Add(reconnectTime).After(from)
	})
}

// checkRecovery checks that requests succeed again after the recovery period.
func (c *checker) checkRecovery() {
	sent, succeeded := 0, 0
	for _, result := range c.Results {
		if result.SentAt.Before(c.RecoveredAt) || c.isRevoked(result.Key) {
			continue
		}
		sent++
		if result.Status == http.StatusOK && result.Complete {
			succeeded++
		}
	}
	if sent == 0 || float64(succeeded) < minSuccessShare*float64(sent) {
		c.addViolation("recover", "%d of %d requests succeeded after the recovery period", succeeded, sent)
	}
}

func (c *checker) isRevoked(key string) bool {
	return slices.ContainsFunc(c.Changes, func(change Change) bool {
		return change.Kind == ChangeRevoke && change.Subject == key
	})
}

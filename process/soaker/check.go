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
	revokeWithin   = 5 * time.Second
	evacuateWithin = 5 * time.Second
	drainWithin    = 2 * time.Second
	grace          = 8 * time.Second
	// settled is how long a host has to reconnect after a disruption before
	// the checks consider it connected again.
	settled = 3 * time.Second
	// maxAttempts is the attempt limit of the routes that allow retries.
	maxAttempts = 2
	// minServed is the minimum share of requests that must succeed after the
	// recovery period.
	minServed = 0.95
)

// Violation describes a guarantee that was not kept.
type Violation struct {
	Rule string
	Text string
}

// Check returns all violations found in the history.
func Check(history History) []Violation {
	c := checker{History: history, runs: map[string][]backend.Arrival{}, sent: map[string]Result{}}
	for _, arrival := range history.Arrivals {
		if arrival.Ran {
			c.runs[arrival.Request] = append(c.runs[arrival.Request], arrival)
		}
	}
	for _, result := range history.Results {
		c.sent[result.Request] = result
		c.checkRuns(result)
		c.checkAnswer(result)
		c.checkLost(result)
	}
	for _, arrival := range history.Arrivals {
		c.checkArrival(arrival)
	}
	for _, stop := range history.Stops {
		if stop.Took > grace {
			c.broken("stop", "%s ran for %s after SIGTERM", stop.Host, stop.Took)
		}
	}
	c.checkCalm()
	return c.violations
}

type checker struct {
	History
	runs       map[string][]backend.Arrival
	sent       map[string]Result
	violations []Violation
}

func (c *checker) broken(rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, values...)})
}

// checkRuns checks that a request did not run too often, and that a request
// whose status says that it was not run did not run at all.
func (c *checker) checkRuns(result Result) {
	runs := c.runs[result.Request]
	if result.Kind == KindOnce && len(runs) > 1 {
		c.broken("once", "request %s ran %d times", result.Request, len(runs))
	}
	if len(runs) > maxAttempts {
		c.broken("attempts", "request %s ran %d times", result.Request, len(runs))
	}
	switch result.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			c.broken("promise", "request %s ran on target %s, but its caller got status %d", result.Request, runs[0].Target, result.Status)
		}
	}
}

// checkLost checks that the caller of a request that ran gets a response, even
// when the target fails or the host is shutting down. Requests to a host that
// was killed or frozen in the meantime are exempt.
func (c *checker) checkLost(result Result) {
	if result.Status != 0 || len(c.runs[result.Request]) == 0 {
		return
	}
	ended := func(t Trouble) bool {
		return t.Host == result.Host && (t.Kind == troubleKill || t.Kind == troubleFreeze) &&
			t.From.Before(result.EndedAt) && t.To.After(result.SentAt)
	}
	if !slices.ContainsFunc(c.Troubles, ended) {
		c.broken("lost", "request %s ran on target %s, but its caller got no response from %s within %s",
			result.Request, c.runs[result.Request][0].Target, result.Host, result.EndedAt.Sub(result.SentAt))
	}
}

// checkAnswer checks that the response belongs to the request, and that the
// events of a stream are complete and in order.
func (c *checker) checkAnswer(result Result) {
	if result.Status != http.StatusOK {
		return
	}
	if result.Kind != KindStream {
		if result.Whole && result.Body != backend.Answer(result.Request) {
			c.broken("content", "request %s got the response of another request: %.60q", result.Request, result.Body)
		}
		return
	}
	for i, event := range result.Events {
		if event != backend.Event(result.Request, i+1) {
			c.broken("order", "request %s got %q as event %d", result.Request, event, i+1)
			return
		}
	}
	if result.Whole && len(result.Events) != backend.Events {
		c.broken("order", "stream of request %s ended normally after %d events", result.Request, len(result.Events))
	}
}

// checkArrival checks that a request reached its target with the right tenant
// and without its API key, and that no earlier change excludes it from there.
func (c *checker) checkArrival(arrival backend.Arrival) {
	result, known := c.sent[arrival.Request]
	if !known || !arrival.Ran {
		return
	}
	if arrival.Key != "" {
		c.broken("key", "target %s received the API key of request %s", arrival.Target, arrival.Request)
	}
	if arrival.Tenant != tenantOf(result.Key) {
		c.broken("tenant", "request %s ran for tenant %q instead of %q", arrival.Request, arrival.Tenant, tenantOf(result.Key))
	}
	for _, change := range c.Changes {
		late := arrival.At.Sub(change.At)
		switch {
		case change.Kind == ChangeRevoke && change.Subject == result.Key:
			if result.SentAt.Sub(change.At) > revokeWithin {
				c.broken("revoke", "request %s ran %s after its API key was revoked", arrival.Request, late)
			}
		case change.Kind == ChangeEvacuate && change.Subject == arrival.Zone:
			c.checkLeft(change, arrival, result, evacuateWithin)
		case change.Kind == ChangeDrain && change.Subject == arrival.Target:
			c.checkLeft(change, arrival, result, drainWithin)
		}
	}
}

// checkLeft checks that a host that is connected to the store stopped sending
// requests to the target of the arrival within the given time after the change.
func (c *checker) checkLeft(change Change, arrival backend.Arrival, result Result, within time.Duration) {
	if arrival.At.Sub(change.At) <= within || !change.Until.IsZero() && arrival.At.After(change.Until) {
		return
	}
	if c.inTouch(result.Host, change.At, arrival.At) {
		c.broken(string(change.Kind), "request %s reached target %s in zone %s %s after the change", arrival.Request, arrival.Target, arrival.Zone, arrival.At.Sub(change.At))
	}
}

func (c *checker) inTouch(host string, from, to time.Time) bool {
	return !slices.ContainsFunc(c.Troubles, func(t Trouble) bool {
		return (t.Host == "" || t.Host == host) && t.From.Before(to) && t.To.Add(settled).After(from)
	})
}

// checkCalm checks that requests succeed again after the recovery period.
func (c *checker) checkCalm() {
	asked, served := 0, 0
	for _, result := range c.Results {
		if result.SentAt.Before(c.CalmFrom) || c.revoked(result.Key) {
			continue
		}
		asked++
		if result.Status == http.StatusOK && result.Whole {
			served++
		}
	}
	if asked == 0 || float64(served) < minServed*float64(asked) {
		c.broken("recover", "%d of %d requests succeeded after the recovery period", served, asked)
	}
}

func (c *checker) revoked(key string) bool {
	return slices.ContainsFunc(c.Changes, func(change Change) bool {
		return change.Kind == ChangeRevoke && change.Subject == key
	})
}

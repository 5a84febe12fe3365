package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"mulberrybeam/process/standin/backend"
)

// Bounds of the deployment that a run plays.
const (
	revokeWithin   = 5 * time.Second
	evacuateWithin = 5 * time.Second
	drainWithin    = 2 * time.Second
	grace          = 8 * time.Second
	// settled is how long after a trouble a host counts as in touch.
	settled = 3 * time.Second
	// maxAttempts is that of the deployment's routes.
	maxAttempts = 2
	// minServed is the share of requests that are served once calm.
	minServed = 0.95
)

// Violation is a promise that was broken.
type Violation struct {
	Rule string
	Text string
}

// Check returns all promises that the history breaks.
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

// checkRuns checks how often a request ran, and that a refusal is true.
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
			c.broken("promise", "request %s ran at %s, its caller got status %d", result.Request, runs[0].Target, result.Status)
		}
	}
}

// checkLost checks that a request that ran gets an answer, whatever its target
// does and also while its host stops.
func (c *checker) checkLost(result Result) {
	if result.Status != 0 || len(c.runs[result.Request]) == 0 {
		return
	}
	ended := func(t Trouble) bool {
		return t.Host == result.Host && (t.Kind == troubleKill || t.Kind == troubleFreeze) &&
			t.From.Before(result.EndedAt) && t.To.After(result.SentAt)
	}
	if !slices.ContainsFunc(c.Troubles, ended) {
		c.broken("lost", "request %s ran at %s, its caller got no answer from %s in %s",
			result.Request, c.runs[result.Request][0].Target, result.Host, result.EndedAt.Sub(result.SentAt))
	}
}

// checkAnswer checks that a whole answer is the request's own.
func (c *checker) checkAnswer(result Result) {
	if result.Status != http.StatusOK {
		return
	}
	if result.Kind != KindStream {
		if result.Whole && result.Body != backend.Answer(result.Request) {
			c.broken("content", "request %s got another answer: %.60q", result.Request, result.Body)
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
		c.broken("order", "request %s ended as whole after %d events", result.Request, len(result.Events))
	}
}

// checkArrival checks who a request is for and whether it may still run there.
func (c *checker) checkArrival(arrival backend.Arrival) {
	result, known := c.sent[arrival.Request]
	if !known || !arrival.Ran {
		return
	}
	if arrival.Key != "" {
		c.broken("key", "%s saw the key of request %s", arrival.Target, arrival.Request)
	}
	if arrival.Tenant != tenantOf(result.Key) {
		c.broken("tenant", "request %s ran for %q in place of %q", arrival.Request, arrival.Tenant, tenantOf(result.Key))
	}
	for _, change := range c.Changes {
		late := arrival.At.Sub(change.At)
		switch {
		case change.Kind == ChangeRevoke && change.Subject == result.Key:
			if result.SentAt.Sub(change.At) > revokeWithin {
				c.broken("revoke", "request %s ran %s after its key was revoked", arrival.Request, late)
			}
		case change.Kind == ChangeEvacuate && change.Subject == arrival.Zone:
			c.checkLeft(change, arrival, result, evacuateWithin)
		case change.Kind == ChangeDrain && change.Subject == arrival.Target:
			c.checkLeft(change, arrival, result, drainWithin)
		}
	}
}

// checkLeft checks that a host in touch sends nothing more to a target.
func (c *checker) checkLeft(change Change, arrival backend.Arrival, result Result, within time.Duration) {
	if arrival.At.Sub(change.At) <= within || !change.Until.IsZero() && arrival.At.After(change.Until) {
		return
	}
	if c.inTouch(result.Host, change.At, arrival.At) {
		c.broken(string(change.Kind), "request %s reached %s of %s %s after the change", arrival.Request, arrival.Target, arrival.Zone, arrival.At.Sub(change.At))
	}
}

func (c *checker) inTouch(host string, from, to time.Time) bool {
	return !slices.ContainsFunc(c.Troubles, func(t Trouble) bool {
		return (t.Host == "" || t.Host == host) && t.From.Before(to) && t.To.Add(settled).After(from)
	})
}

// checkCalm checks that requests are served once the faults are over.
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
		c.broken("recover", "%d of %d requests were served after the faults", served, asked)
	}
}

func (c *checker) revoked(key string) bool {
	return slices.ContainsFunc(c.Changes, func(change Change) bool {
		return change.Kind == ChangeRevoke && change.Subject == key
	})
}

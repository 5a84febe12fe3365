// Package matcher determines the rule and the workspace of a caller's request.
package matcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"mulberrybeam"
)

// Query holds the request's fields and the process settings that a match
// depends on.
type Query struct {
	Host string
	Path string
	Key  string
	Now  time.Duration
	// FailClosed refuses requests that need an API key if the deployment was
	// last confirmed longer than MaxKeyAge ago.
	FailClosed bool
	MaxKeyAge  time.Duration
	// MaxConfigAge is the age of the deployment's last confirmation beyond which a
	// newer deployment may have the route or the key that this one lacks. 0 means no
	// limit.
	MaxConfigAge time.Duration
}

// Match is the rule and the workspace of a request.
type Match struct {
	Rule *mulberrybeam.Rule
	// Workspace is nil for a request without a workspace.
	Workspace *mulberrybeam.WorkspaceSpec
}

// Decide returns the match for a request, or a Failure that explains why there
// is none.
func Decide(fleet *mulberrybeam.Fleet, query Query) (Match, error) {
	if fleet == nil || !fleet.Complete {
		return Match{}, refusal(mulberrybeam.CodeNotReady, "no configuration has been loaded yet")
	}
	rule := findRule(fleet, query.Host, query.Path)
	if rule == nil {
		return Match{}, unknown(fleet, query, mulberrybeam.CodeNotFound, "no route matches the host and path")
	}
	if fleet.Deployment.Keyless {
		return Match{Rule: rule}, nil
	}
	workspace := fleet.Keys[query.Key]
	if rule.Public {
		return Match{Rule: rule, Workspace: workspace}, nil
	}
	if age := query.Now - fleet.ConfirmedAt; query.FailClosed && age > query.MaxKeyAge {
		return Match{}, refusal(mulberrybeam.CodePlatformDown, fmt.Sprintf(
			"the API key may have been revoked: revision %d was last confirmed %s ago", fleet.Deployment.Revision, age.Round(time.Millisecond)))
	}
	if workspace == nil {
		return Match{}, unknown(fleet, query, mulberrybeam.CodeUnauthorized, "the API key is unknown")
	}
	return Match{Rule: rule, Workspace: workspace}, nil
}

// unknown returns the refusal of a request whose route or key the deployment lacks. A
// process whose deployment may be outdated is not ready to say so: valid requests got
// 404 from hosts that applied a configuration seconds late.
func unknown(fleet *mulberrybeam.Fleet, query Query, code mulberrybeam.Code, message string) error {
	if age := query.Now - fleet.ConfirmedAt; query.MaxConfigAge > 0 && age > query.MaxConfigAge {
		return refusal(mulberrybeam.CodeNotReady, fmt.Sprintf(
			"%s, but revision %d was last confirmed %s ago", message, fleet.Deployment.Revision, age.Round(time.Millisecond)))
	}
	return refusal(code, message)
}

// findRule returns the rule with the longest matching prefix. Prefixes end with
// a slash, so a path without the trailing slash matches only shorter prefixes.
func findRule(fleet *mulberrybeam.Fleet, host, path string) *mulberrybeam.Rule {
	rules := fleet.Hosts[host]
	if rules == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			rules = fleet.Hosts[name]
		}
	}
	for _, rule := range rules {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// PickService picks one of the rule's services at random, in proportion to
// their weights. It returns false if no service has a positive weight.
func PickService(random *rand.Rand, rule *mulberrybeam.Rule) (mulberrybeam.ServiceName, bool) {
	total := 0
	for _, share := range rule.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	offset := random.IntN(total)
	for _, share := range rule.Shares {
		offset -= max(share.Weight, 0)
		if offset < 0 {
			return share.Service, true
		}
	}
	return "", false
}

func refusal(code mulberrybeam.Code, message string) error {
	return &mulberrybeam.Failure{Code: code, Step: mulberrybeam.StepAccept, Message: message, NotRun: true}
}

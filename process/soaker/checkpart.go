package soaker

import (
	"net/http"
	"slices"
	"time"
)

const (
	// countedCrashes is the number of crashes after which the hosts must stop
	// sending prompts with the crashing part, within partLimit. maxLatePrompts
	// may still reach targets later, counted over all hosts that are
	// connected.
	countedCrashes = 5
	partLimit      = 3 * time.Second
	maxLatePrompts = 3
	// minSoundShare is the minimum share of other prompts that must succeed
	// from then on, if there are at least minSoundPrompts.
	minSoundShare   = 0.5
	minSoundPrompts = 10
)

// checkCrashingPart checks that prompts with a part that crashes targets no longer
// reach targets, and that other prompts still succeed.
func (c *checker) checkCrashingPart(fault PartFault) {
	crashes := slices.DeleteFunc(slices.Clone(c.Crashes), func(crash Crash) bool { return crash.Part != fault.Part })
	if len(crashes) < countedCrashes {
		return
	}
	limit := crashes[countedCrashes-1].At.Add(partLimit)
	late := 0
	for _, arrival := range c.Arrivals {
		host := c.results[arrival.Request].Host
		if arrival.Ran && arrival.At.After(limit) && slices.Contains(arrival.Parts, fault.Part) && c.wasConnected(host, arrival.At, arrival.At) {
			late++
		}
	}
	if late > maxLatePrompts {
		c.addViolation("crashing part", "%d prompts with part %s reached targets later than %s after its crash number %d, %d crashes in all",
			late, fault.Part, partLimit, countedCrashes, len(crashes))
	}
	c.checkSoundPrompts(fault, limit)
}

// checkSoundPrompts checks that prompts without the part succeed after the limit.
func (c *checker) checkSoundPrompts(fault PartFault, limit time.Time) {
	sent, succeeded := 0, 0
	for _, result := range c.Results {
		if len(result.Parts) == 0 || slices.Contains(result.Parts, fault.Part) || c.isRevoked(result.Key) ||
			result.SentAt.Before(limit) || result.SentAt.After(fault.To) || !c.wasConnected(result.Host, result.SentAt, result.EndedAt) {
			continue
		}
		sent++
		if result.Status == http.StatusOK && result.Complete {
			succeeded++
		}
	}
	if sent >= minSoundPrompts && float64(succeeded) < minSoundShare*float64(sent) {
		c.addViolation("sound prompts", "%d of %d prompts without part %s succeeded while it crashed targets", succeeded, sent, fault.Part)
	}
}

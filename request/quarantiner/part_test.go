package quarantiner_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// Guards against a request that is refused by its own last part, and against names of
// parts of unbounded length.
func TestSharedParts(t *testing.T) {
	is := is.New(t)
	is.Equal(len(quarantiner.SharedParts("m", []mulberrybeam.PromptPart{{ID: "own"}})), 0)
	is.Equal(quarantiner.SharedParts("m", []mulberrybeam.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}), []mulberrybeam.SharedPart{"m/a", "m/b"})
	long := quarantiner.SharedParts("m", []mulberrybeam.PromptPart{{ID: strings.Repeat("x", 9000)}, {ID: "own"}})
	is.True(len(long[0]) < 100)
	is.Equal(len(quarantiner.SharedParts("m", make([]mulberrybeam.PromptPart, 500))), 16)
}

// Guards against refusals before parts are cleared, against a second run of an
// interrupted request with a suspected part, and against trials by several hosts.
func TestDecideParts(t *testing.T) {
	last := 10 * time.Second
	hosts := []mulberrybeam.ProcessID{"a", "b", "c"}
	suspect := func(crashes, failedTrials int) mulberrybeam.PartSuspicion {
		return mulberrybeam.PartSuspicion{Crashes: crashes, FailedTrials: failedTrials, Since: last, LastCrashAt: last}
	}
	cases := []struct {
		name        string
		suspicion   mulberrybeam.PartSuspicion
		now         time.Duration
		interrupted bool
		trials      int
		want        quarantiner.Verdict
	}{
		{"two crashes", suspect(2, 0), last, false, 0, quarantiner.RunNormally},
		{"two crashes, interrupted", suspect(2, 0), last, true, 0, quarantiner.Wait},
		{"two crashes, interrupted, decided", suspect(2, 0), last + time.Second, true, 0, quarantiner.RunNormally},
		{"three crashes, undecided", suspect(3, 0), last, false, 0, quarantiner.Wait},
		{"three crashes", suspect(3, 0), last + time.Second, false, 0, quarantiner.Refuse},
		{"first trial", suspect(3, 0), last + 8*time.Second, false, 1, quarantiner.Refuse},
		{"first trial, interrupted", suspect(3, 0), last + 8*time.Second, true, 0, quarantiner.Refuse},
		{"end of a turn", suspect(3, 0), last + 10*time.Second, false, 0, quarantiner.Refuse},
		{"after a failed trial", suspect(4, 1), last + 23*time.Second, false, 0, quarantiner.Refuse},
		{"third turn", suspect(3, 0), last + 14*time.Second, false, 1, quarantiner.Refuse},
		{"after half a minute without requests", suspect(3, 0), last + 33*time.Second, false, 1, quarantiner.Refuse},
		{"second trial", suspect(4, 1), last + 24*time.Second, false, 1, quarantiner.Refuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			trials := 0
			for _, host := range hosts {
				decision := quarantiner.DecideParts(quarantiner.PartQuery{
					Parts: []mulberrybeam.SharedPart{"m/sound", "m/p"}, Suspects: map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{"m/p": c.suspicion},
					Hosts: hosts, Self: host, Now: c.now, Interrupted: c.interrupted,
				})
				if decision.Verdict == quarantiner.RunIsolated {
					trials++
					is.True(decision.TrialEnd > c.now)
					continue
				}
				is.Equal(decision.Verdict, c.want)
			}
			is.Equal(trials, c.trials)
		})
	}
}

// Guards against trials by several hosts at once after a time without requests, and
// against a host that never has a turn.
func TestHostsTakeTurnsWithTrials(t *testing.T) {
	is := is.New(t)
	const maxHosts, seconds = 9, 90
	var hosts []mulberrybeam.ProcessID
	for len(hosts) < maxHosts {
		hosts = append(hosts, mulberrybeam.ProcessID(fmt.Sprint("host-", len(hosts))))
		hadTurn := map[mulberrybeam.ProcessID]bool{}
		for now := time.Duration(0); now < seconds*time.Second; now += 100 * time.Millisecond {
			trials := 0
			for _, host := range hosts {
				decision := quarantiner.DecideParts(quarantiner.PartQuery{
					Parts: []mulberrybeam.SharedPart{"m/p"}, Suspects: map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{"m/p": {Crashes: 3}},
					Hosts: hosts, Self: host, Now: now,
				})
				if decision.Verdict == quarantiner.RunIsolated {
					hadTurn[host] = true
					trials++
				}
			}
			is.True(trials <= 1)
		}
		is.Equal(len(hadTurn), len(hosts))
	}
}

// Guards against two trials by one host with requests that have two convicted parts.
func TestTrialNamesAllConvictedParts(t *testing.T) {
	is := is.New(t)
	suspicion := mulberrybeam.PartSuspicion{Crashes: 3}
	decision := quarantiner.DecideParts(quarantiner.PartQuery{
		Parts:    []mulberrybeam.SharedPart{"m/p", "m/q"},
		Suspects: map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{"m/p": suspicion, "m/q": suspicion},
		Hosts:    []mulberrybeam.ProcessID{"a"}, Self: "a", Now: 8 * time.Second,
	})
	is.Equal(decision.Verdict, quarantiner.RunIsolated)
	is.Equal(decision.Trials, []mulberrybeam.SharedPart{"m/p", "m/q"})
}

// Guards against callers that retry before a refused part can be tried again, and
// against a not-run refusal of a request that ran.
func TestPartRefusal(t *testing.T) {
	is := is.New(t)
	var failure *mulberrybeam.Failure
	is.True(errors.As(quarantiner.PartRefusal(quarantiner.PartDecision{Part: "m/p", RetryAfter: 5 * time.Second}, false), &failure))
	is.Equal(failure.RetryAfter, 5*time.Second)
	is.True(!failure.NotRun)
}

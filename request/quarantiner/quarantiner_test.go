package quarantiner_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// Guards against a verdict that does not match the number of crashes, and against
// a not-run refusal of a request that ran.
func TestDecide(t *testing.T) {
	one, zero := mulberrybeam.CrashFact{Count: 1}, mulberrybeam.CrashFact{}
	cases := []struct {
		name      string
		suspicion quarantiner.Suspicion
		want      quarantiner.Verdict
		code      mulberrybeam.Code
		notRun    bool
	}{
		{"no crash", quarantiner.Suspicion{}, quarantiner.RunNormally, "", false},
		{"cleared", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{zero, zero}}, quarantiner.RunNormally, "", false},
		{"one crash", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{zero, one}}, quarantiner.RunIsolated, "", false},
		{"copy is running", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{one}, Copies: 1}, quarantiner.Wait, mulberrybeam.CodeOverloaded, true},
		{"two crashes", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{one, one}}, quarantiner.Refuse, mulberrybeam.CodeCrashesTargets, true},
		{"own crash not in the snapshot", quarantiner.Suspicion{BrokenAttempts: 1}, quarantiner.RunIsolated, "", false},
		{"own crash in the snapshot", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{one}, BrokenAttempts: 1}, quarantiner.RunIsolated, "", false},
		{"own crash after an earlier one", quarantiner.Suspicion{Facts: []mulberrybeam.CrashFact{one}, CrashesBefore: 1, BrokenAttempts: 1}, quarantiner.Refuse, mulberrybeam.CodeCrashesTargets, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdict, crashes := quarantiner.Decide(c.suspicion)
			is.Equal(verdict, c.want)
			var failure *mulberrybeam.Failure
			is.Equal(errors.As(quarantiner.Refusal(verdict, crashes, c.suspicion), &failure), c.code != "")
			if c.code != "" {
				is.Equal(failure.Code, c.code)
				is.Equal(failure.NotRun, c.notRun)
			}
		})
	}
}

// Guards against requests that stay suspects after a broken network path to a
// live target.
func TestSurvivingTargetClearsItsRequests(t *testing.T) {
	is := is.New(t)
	facts := slices.Concat(
		quarantiner.CrashFacts("a", "1", []mulberrybeam.Fingerprint{{1}, {2}, {1}}),
		quarantiner.CrashFacts("a", "2", []mulberrybeam.Fingerprint{{1}}),
	)
	is.Equal(len(facts), 3)
	clearing := quarantiner.ClearSurvived("a", "1", facts)
	is.Equal(len(clearing), 2)
	is.Equal(clearing[0].Key, facts[0].Key)
	is.Equal(clearing[0].Crash.Count, 0)
	is.Equal(len(quarantiner.ClearSurvived("a", "1", clearing)), 0)
	is.Equal(len(quarantiner.ClearSurvived("a", "", facts)), 0)
}

const crasher = 0

// fleet is a set of hosts that send requests to targets. The crasher crashes each
// target that runs it. A verdict depends only on the facts of the sending host.
type fleet struct {
	*rapid.T
	facts     []map[string]mulberrybeam.Fact // by host
	instances []int                          // by target
	runs      map[int]int                    // by request
}

func fingerprint(request int) mulberrybeam.Fingerprint {
	return mulberrybeam.Fingerprint{byte(request)}
}

func (f *fleet) verdict(host, request int) quarantiner.Verdict {
	var suspicion quarantiner.Suspicion
	for _, fact := range f.facts[host] {
		if fact.Crash.Fingerprint == fingerprint(request) {
			suspicion.Facts = append(suspicion.Facts, *fact.Crash)
		}
	}
	verdict, _ := quarantiner.Decide(suspicion)
	return verdict
}

// spreadFacts gives the facts of all hosts to each host. Cleared facts take
// precedence, because they have the later stamp.
func (f *fleet) spreadFacts() {
	all := map[string]mulberrybeam.Fact{}
	for _, facts := range f.facts {
		for key, fact := range facts {
			if known, found := all[key]; !found || known.Crash.Count > 0 {
				all[key] = fact
			}
		}
	}
	for host := range f.facts {
		f.facts[host] = maps.Clone(all)
	}
}

func (f *fleet) publish(host int, facts []mulberrybeam.Fact) {
	for _, fact := range facts {
		f.facts[host][fact.Key] = fact
	}
}

// run runs the requests in senders, each sent by the host that it maps to,
// concurrently at one target.
func (f *fleet) run(target int, senders map[int]int) {
	name := mulberrybeam.TargetID(fmt.Sprint(target))
	instance := mulberrybeam.InstanceID(fmt.Sprint(f.instances[target]))
	_, crashes := senders[crasher]
	if crashes {
		f.instances[target]++
	}
	for request, host := range senders {
		f.runs[request]++
		if crashes {
			f.publish(host, quarantiner.CrashFacts(name, instance, []mulberrybeam.Fingerprint{fingerprint(request)}))
		} else {
			f.publish(host, quarantiner.ClearCompleted(fingerprint(request), slices.Collect(maps.Values(f.facts[host]))))
		}
	}
}

func (f *fleet) draw(label string, below int) int {
	return rapid.IntRange(0, below-1).Draw(f.T, label)
}

// Guards against a crasher that crashes one target after another, and against
// innocent requests that are refused because they ran at the same targets.
func TestCrasherRunsTwiceAndInnocentRequestsGetThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, targets, innocents := 4, 3, 6
		f := &fleet{T: t, instances: make([]int, targets), runs: map[int]int{}}
		for range hosts {
			f.facts = append(f.facts, map[string]mulberrybeam.Fact{})
		}
		for range rapid.IntRange(1, 12).Draw(t, "sends of the crasher") {
			host, target := f.draw("host", hosts), f.draw("target", targets)
			// No suspect runs beside the crasher, because its run may be isolated.
			senders := map[int]int{}
			for request := 1; request <= innocents; request++ {
				sender := f.draw("sender", hosts)
				if f.verdict(sender, request) == quarantiner.RunNormally && rapid.Bool().Draw(t, "in flight") {
					senders[request] = sender
				}
			}
			if f.verdict(host, crasher) != quarantiner.Refuse {
				senders[crasher] = host
			}
			f.run(target, senders)
			f.spreadFacts()
			for request := 1; request <= innocents; request++ {
				sender := f.draw("sender of the second run", hosts)
				if f.verdict(sender, request) == quarantiner.RunIsolated && rapid.Bool().Draw(t, "runs again") {
					f.run(f.draw("target of the second run", targets), map[int]int{request: sender})
					f.spreadFacts()
				}
				if f.verdict(sender, request) == quarantiner.Refuse {
					t.Fatalf("innocent request %d was refused", request)
				}
			}
		}
		if f.runs[crasher] > quarantiner.RefusalThreshold {
			t.Fatalf("the crasher ran %d times", f.runs[crasher])
		}
	})
}

// Guards against a crasher that runs without limit while facts do not spread, and
// against more runs after they have spread.
func TestBeforeFactsSpreadEachHostStopsTheCrasherAfterTwoRuns(t *testing.T) {
	is := is.New(t)
	const hosts = 4
	f := &fleet{instances: make([]int, 1), runs: map[int]int{}}
	for range hosts {
		f.facts = append(f.facts, map[string]mulberrybeam.Fact{})
	}
	for send := range 10 * hosts {
		if host := send % hosts; f.verdict(host, crasher) != quarantiner.Refuse {
			f.run(0, map[int]int{crasher: host})
		}
	}
	is.Equal(f.runs[crasher], hosts*quarantiner.RefusalThreshold)
	f.spreadFacts()
	for host := range hosts {
		is.Equal(f.verdict(host, crasher), quarantiner.Refuse)
	}
}

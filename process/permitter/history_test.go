package permitter_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/permitter/permittertest"
)

var seeds = flag.Uint64("history.seeds", 1, "number of seeds per history test")

type variant = permittertest.Variant

// world is a simulated fleet into which tests inject faults.
type world struct {
	*permittertest.Simulation
	// injected is the number of injected faults.
	injected int
}

// startWorld runs a fleet until the slots are balanced and traffic is flowing.
// One target restarts every 0.7 s, so that there are always cold ones. Slow
// requests need no restarts: few of them complete, and targets stay cold.
func startWorld(seed uint64, v variant) *world {
	w := &world{Simulation: permittertest.New(seed, v)}
	w.Fleet.Start(controllertest.Hosts(permittertest.Zones, permittertest.ProcessesPerZone)...)
	w.Fleet.Run(10 * time.Second)
	var churn func()
	churn = func() {
		w.Restart(w.IDs[w.Rand.IntN(len(w.IDs))])
		w.Fleet.After(700*time.Millisecond, churn)
	}
	if !v.SlowRequests {
		churn()
	}
	w.Fleet.Run(15 * time.Second)
	return w
}

// randomHost returns a random host of zone z1.
func (w *world) randomHost() string {
	return fmt.Sprintf("z1h%d", 1+w.Rand.IntN(permittertest.ProcessesPerZone))
}

// holderHost returns the host that holds the slot of the first target.
func (w *world) holderHost() string { return w.Owner(w.IDs[0]).Name }

// expectTakeover records a violation unless the slot of the first target is
// held by another process than before.
func (w *world) expectTakeover(before mulberrybeam.ProcessID) {
	if now := w.Owner(w.IDs[0]); now == nil || now.ID == before {
		w.AddViolation("slot was not taken over from %s", before)
	}
}

type scenario struct {
	name   string
	faults []controllertest.Fault
	v      variant
	run    func(w *world)
}

func pauseFor(w *world, host string, duration time.Duration) {
	w.Fleet.Pause(host)
	w.Fleet.Run(duration)
	w.Fleet.Resume(host)
}

func platformDownFor(w *world, duration time.Duration) {
	w.Fleet.Platform.SetDown(true)
	w.Fleet.Run(duration)
	w.Fleet.Platform.SetDown(false)
}

func shortExtensionLimit() []leaser.Option {
	timing := leaser.DefaultTiming()
	timing.ExtensionLimit = 20 * time.Second
	return []leaser.Option{leaser.WithTiming(timing)}
}

func driftClocks(w *world) {
	for i, process := range w.Fleet.Processes() {
		w.Fleet.SetDrift(process.Name, []float64{-0.02, 0.02, 0}[i%3], 0)
	}
}

// pauseBeforeSends pauses owners that have just granted themselves a permit,
// one at a time.
func pauseBeforeSends(w *world, duration time.Duration) {
	next := w.Fleet.Now()
	w.PauseBeforeSend = func(host string) {
		if w.Fleet.Now() < next {
			return
		}
		next = w.Fleet.Now() + duration + 10*time.Second
		w.Fleet.Pause(host)
		w.Fleet.After(duration, func() { w.Fleet.Resume(host) })
	}
}

func processScenarios() []scenario {
	type faults = []controllertest.Fault
	return []scenario{
		{"calm", nil, variant{}, func(*world) {}},
		{"holder dies and comes back", faults{controllertest.FaultProcessDown}, variant{}, func(w *world) {
			old := w.Owner(w.IDs[0])
			w.Fleet.Kill(old.Name)
			w.Fleet.Run(20 * time.Second)
			w.expectTakeover(old.ID)
			w.Fleet.Restart(old.Name)
		}},
		{"immediate restart", nil, variant{}, func(w *world) {
			old := w.Owner(w.IDs[0])
			w.Fleet.Restart(old.Name)
			w.Fleet.Run(20 * time.Second)
			w.expectTakeover(old.ID)
		}},
		{"graceful shutdown", nil, variant{}, func(w *world) {
			old := w.Owner(w.IDs[0])
			w.Fleet.Post(old.Name, mulberrybeam.ShutdownRequested{})
			w.Fleet.Run(8 * time.Second)
			w.expectTakeover(old.ID)
			w.Fleet.Run(10 * time.Second)
			w.Fleet.Restart(old.Name)
		}},
		{"pause longer than a lease", faults{controllertest.FaultPaused}, variant{}, func(w *world) {
			old := w.Owner(w.IDs[0])
			pauseFor(w, old.Name, 18*time.Second)
			w.expectTakeover(old.ID)
		}},
		{"pause between grant and send", faults{controllertest.FaultPaused}, variant{}, func(w *world) {
			pauseBeforeSends(w, 18*time.Second)
			w.Fleet.Run(60 * time.Second)
		}},
		{"short platform outage", faults{controllertest.FaultPlatformDown}, variant{}, func(w *world) { platformDownFor(w, 5*time.Second) }},
		{"platform outage, electors extend", faults{controllertest.FaultPlatformDown}, variant{}, func(w *world) {
			w.Fleet.After(38*time.Second, func() { w.expectOwners(w.IDs, true) })
			platformDownFor(w, 40*time.Second)
		}},
		{"platform outage beyond the extension limit", faults{controllertest.FaultPlatformDown}, variant{Leaser: shortExtensionLimit()}, func(w *world) {
			w.Fleet.After(21*time.Second, func() { w.expectOwners(w.IDs, false) })
			platformDownFor(w, 50*time.Second)
		}},
		{"lost answers", faults{controllertest.FaultAnswerLost}, variant{}, func(w *world) { w.Fleet.Platform.AnswerLossRate = 0.5 }},
		{"messages lost", faults{controllertest.FaultLoss}, variant{}, func(w *world) { w.Fleet.Network.LossRate = 0.2 }},
	}
}

func networkScenarios() []scenario {
	type faults = []controllertest.Fault
	return []scenario{
		{"zone cut off from platform and other zones", faults{controllertest.FaultLinkCut, controllertest.FaultPlatformCut}, variant{}, func(w *world) {
			w.Fleet.Platform.SetZoneCut("z1", true)
			w.Fleet.Network.CutZones("z1", "z2")
			w.Fleet.Network.CutZones("z1", "z3")
			w.Fleet.Run(30 * time.Second)
			w.Fleet.Platform.SetZoneCut("z1", false)
			w.Fleet.Network.RemoveCuts()
		}},
		{"one-way cut", faults{controllertest.FaultLinkCut}, variant{}, func(w *world) {
			w.Fleet.Network.Cut("z1h1", "z1h2")
			w.Fleet.Network.Cut("z1h2", "z1h3")
			w.Fleet.Run(30 * time.Second)
			w.Fleet.Network.RemoveCuts()
		}},
	}
}

func mixedScenarios() []scenario {
	type faults = []controllertest.Fault
	return []scenario{
		{"one holder cut off from the platform", nil, variant{}, func(w *world) { w.cutOffFor(w.holderHost(), 40*time.Second) }},
		{"drift", nil, variant{}, func(w *world) {
			driftClocks(w)
			w.Fleet.Run(10 * time.Second)
			if clocks := w.Fleet.Processes(); clocks[1].Now()-clocks[0].Now() < 300*time.Millisecond {
				w.AddViolation("clocks do not drift")
			}
		}},
		{"clock drift and pause", faults{controllertest.FaultPaused}, variant{}, func(w *world) {
			driftClocks(w)
			pauseFor(w, w.randomHost(), 18*time.Second)
		}},
		{"platform outage, holder dies", faults{controllertest.FaultPlatformDown, controllertest.FaultProcessDown}, variant{}, func(w *world) {
			w.Fleet.After(8*time.Second, func() { w.Fleet.Kill("z1h1") })
			platformDownFor(w, 30*time.Second)
		}},
		{"holder and elector die", faults{controllertest.FaultProcessDown}, variant{Leaser: shortExtensionLimit()}, func(w *world) {
			var orphans []mulberrybeam.TargetID
			for _, id := range w.IDs {
				if owner := w.Owner(id).Name; owner == "z1h1" || owner == "z1h2" {
					orphans = append(orphans, id)
				}
			}
			w.Fleet.Kill("z1h1")
			w.Fleet.Kill("z1h2")
			w.Fleet.Run(16 * time.Second)
			w.expectOwners(orphans, false)
			w.Fleet.Run(14 * time.Second)
			w.expectOwners(orphans, true)
		}},
		{"target leaves", nil, variant{}, func(w *world) {
			for _, id := range w.IDs[:permittertest.TargetsPerZone] {
				w.Targets[id].LeavingSince = w.Fleet.Now()
			}
			w.Fleet.Run(20 * time.Second)
		}},
		{"lost answers, one holder cut off from the platform", faults{controllertest.FaultAnswerLost}, variant{}, func(w *world) {
			w.Fleet.Platform.AnswerLossRate = 0.5
			w.cutOffFor(w.holderHost(), 30*time.Second)
		}},
		{"zone cut off from the platform, restart", faults{controllertest.FaultPlatformCut}, variant{}, func(w *world) {
			w.Fleet.Platform.SetZoneCut("z1", true)
			w.Fleet.Run(8 * time.Second)
			w.Fleet.Restart(w.randomHost())
			w.Fleet.Run(20 * time.Second)
			w.Fleet.Platform.SetZoneCut("z1", false)
		}},
	}
}

// expectOwners records a violation for each target that has an owner although
// none is expected, or the other way round.
func (w *world) expectOwners(ids []mulberrybeam.TargetID, owned bool) {
	for _, id := range ids {
		if (w.Owner(id) != nil) != owned {
			w.AddViolation("%s has an owner: %v", id, !owned)
		}
	}
}

// Guards against violations of the invariants under each fault: load above the
// limit of a cold target, new requests for a target that has been leaving for
// 5 s, two holders of one slot, and decreasing epochs.
func TestFaultHistories(t *testing.T) {
	for _, s := range slices.Concat(processScenarios(), networkScenarios(), mixedScenarios()) {
		for seed := range *seeds {
			t.Run(fmt.Sprintf("%s/%d", s.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := startWorld(seed+1, s.v)
				granted := w.Granted
				s.run(w)
				w.Fleet.Run(20 * time.Second)
				for _, fault := range s.faults {
					is.True(w.Fleet.FaultCount(fault) > 0)
				}
				is.True(w.Granted > granted)
				w.reportViolations(t)
			})
		}
	}
}

// reportViolations reports the first violations as test errors.
func (w *world) reportViolations(t *testing.T) {
	t.Helper()
	for _, violation := range w.Violations[:min(len(w.Violations), 5)] {
		t.Error(violation)
	}
}

// Parts of the violations that a Simulation records.
const (
	twoHolders = "both hold"
	overload   = "whose limit is"
)

// Guards against checks that cannot fail: a run with one broken rule must show
// the violation, and the same run without the broken rule must pass.
func TestChecksDetectBrokenRules(t *testing.T) {
	fastPoll := leaser.DefaultTiming()
	fastPoll.PollInterval = 100 * time.Millisecond
	noMargin := fastPoll
	noMargin.MaxClockDrift, noMargin.ClockMargin = 0, 0
	timing := func(timing leaser.Timing) variant {
		return variant{Leaser: []leaser.Option{leaser.WithTiming(timing)}}
	}
	cases := []struct {
		name string
		// seed is the first of up to three seeds that must show the violation.
		seed            uint64
		violation       string
		broken, correct variant
		run             func(w *world)
	}{
		{"no drift margin", 6, twoHolders, timing(noMargin), timing(fastPoll), func(w *world) {
			driftClocks(w)
			for range 6 {
				pauseFor(w, w.randomHost(), 18*time.Second)
				w.Fleet.Run(10 * time.Second)
			}
		}},
		{"no fencing before a takeover", 3, twoHolders, variant{Wrap: withoutFencing}, variant{}, func(w *world) { w.cutOffFor("z1h1", 60*time.Second) }},
		{"requests of the former holder not counted", 2, overload, variant{Wrap: withoutRunningRequests, SlowRequests: true}, variant{SlowRequests: true}, func(w *world) {
			for range 3 {
				host := w.randomHost()
				w.Fleet.Post(host, mulberrybeam.ShutdownRequested{})
				w.Fleet.Run(15 * time.Second)
				w.Fleet.Restart(host)
				w.Fleet.Run(5 * time.Second)
			}
		}},
		{"no instance check after a reconnect", 8, overload, variant{SkipInstanceCheck: true}, variant{}, func(*world) {}},
		{"no permit check before the send", 2, overload, variant{SkipPermitCheck: true, SlowRequests: true}, variant{SlowRequests: true}, func(w *world) {
			pauseBeforeSends(w, 18*time.Second)
			w.Fleet.Run(60 * time.Second)
		}},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for seed := s.seed; seed < s.seed+3 && found == 0; seed++ {
				broken, correct := startWorld(seed, s.broken), startWorld(seed, s.correct)
				s.run(broken)
				s.run(correct)
				correct.reportViolations(t)
				for _, violation := range broken.Violations {
					if found == 0 && strings.Contains(violation, s.violation) {
						t.Logf("seed %d: %s", seed, violation)
						found++
					}
				}
			}
			is.New(t).True(found > 0)
		})
	}
}

// Guards against more writes to the object API than one renewal per slot every
// 3 s, the rate that its capacity is planned for.
func TestRenewalRateIsBounded(t *testing.T) {
	t.Parallel()
	w := startWorld(1, variant{})
	w.Fleet.Run(20 * time.Second) // until the slots are balanced
	count := func(op mulberrybeam.ObjectOp) (calls int) {
		for _, process := range w.Fleet.Processes() {
			calls += process.Traffic.ObjectCalls[op]
		}
		return calls
	}
	writes, reads := count(mulberrybeam.OpUpdate), count(mulberrybeam.OpGet)
	w.Fleet.Run(time.Minute)
	writes, reads = count(mulberrybeam.OpUpdate)-writes, count(mulberrybeam.OpGet)-reads
	slots := len(w.Tables.Zones) * 3
	t.Logf("%d slots in a minute: %d writes, %d reads", slots, writes, reads)
	is.New(t).True(writes <= slots*60/3)
}

// Guards against a takeover during an outage of the object API and against the
// release at shutdown getting lost. Reports how long a target has no owner after
// the holder of its slot was killed or shut down.
func TestTargetGetsNewOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var afterKill, afterOutage, afterShutdown []time.Duration
	for seed := range *seeds {
		w := startWorld(seed+1, variant{})
		w.Fleet.Kill(w.holderHost())
		afterKill = append(afterKill, w.timeToOwner(is))
		w = startWorld(seed+1, variant{})
		host := w.holderHost()
		w.Fleet.Post(host, mulberrybeam.ShutdownRequested{})
		// A process without requests ends 1.5 s after the start of its
		// shutdown.
		w.Fleet.After(1500*time.Millisecond, func() { w.Fleet.Kill(host) })
		afterShutdown = append(afterShutdown, w.timeToOwner(is))
		is.True(afterShutdown[seed] < leaser.DefaultTiming().LeaseDuration)
		w = startWorld(seed+1, variant{})
		w.Fleet.Platform.SetDown(true)
		w.Fleet.Run(12 * time.Second)
		w.Fleet.Kill(w.holderHost())
		w.Fleet.Run(20 * time.Second)
		is.Equal(w.Owner(w.IDs[0]), nil) // no takeover during an outage
		w.Fleet.Platform.SetDown(false)
		afterOutage = append(afterOutage, w.timeToOwner(is))
		w.reportViolations(t)
	}
	slices.Sort(afterKill)
	slices.Sort(afterShutdown)
	slices.Sort(afterOutage)
	t.Logf("killed: %v; shut down: %v; after the end of an outage: %v", afterKill, afterShutdown, afterOutage)
}

// timeToOwner returns how long it takes until the first target has an owner.
func (w *world) timeToOwner(is *is.I) time.Duration {
	from := w.Fleet.Now()
	is.True(w.Fleet.RunUntil(2*time.Minute, func() bool { return w.Owner(w.IDs[0]) != nil }))
	return w.Fleet.Now() - from
}

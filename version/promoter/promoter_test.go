package promoter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

const (
	seeds = 3
	hosts = 16
	ended = orderAt + duration + time.Second
)

// failing returns the fault of a version that fails with a probability.
func failing(probability float64) fault {
	return func(m *model, _ mulberrybeam.SoftwareVersion, _ bool, _ string) bool {
		return m.random.Float64() < probability
	}
}

// scenario changes a model and says how the rollout must end. change returns what
// happens at which time.
type scenario struct {
	change func(m *model) map[time.Duration]func()
	want   mulberrybeam.RolloutState
}

type fault = func(*model, mulberrybeam.SoftwareVersion, bool, string) bool

func (s scenario) run(m *model) []string {
	var at map[time.Duration]func()
	if s.change != nil {
		at = s.change(m)
	}
	return m.run(ended, at).check(s.want)
}

// rolledBack returns the scenario of a version with a fault.
func rolledBack(isBad fault) scenario {
	return scenario{func(m *model) map[time.Duration]func() { m.isBad = isBad; return nil }, mulberrybeam.RolloutRolledBack}
}

// succeeds returns the scenario of a good version and a change to the traffic.
func succeeds(change func(m *model)) scenario {
	return scenario{func(m *model) map[time.Duration]func() { change(m); return nil }, mulberrybeam.RolloutSucceeded}
}

// disturbed returns the scenario of a disturbance, of a good version if probability
// is 0 and otherwise of one that fails with it.
func disturbed(probability float64, at time.Duration, disturb func(m *model)) scenario {
	want := mulberrybeam.RolloutSucceeded
	if probability > 0 {
		want = mulberrybeam.RolloutRolledBack
	}
	return scenario{func(m *model) map[time.Duration]func() {
		m.isBad = failing(probability)
		return map[time.Duration]func(){at: func() { disturb(m) }}
	}, want}
}

func (m *model) leader() *host {
	for _, h := range m.hosts {
		if m.lease != nil && h.id == m.leaseRecord().Lease.Holder {
			return h
		}
	}
	return m.hosts[0]
}

func freezeLeader(m *model) { m.leader().frozen = true }

func restartLeader(m *model) { m.start(m.leader()) }

func loseLease(m *model) {
	m.lease = nil
	for _, h := range m.hosts {
		m.deliver(h, mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectLease, SentAt: m.now})
	}
}

// runScenarios runs scenarios over seeds.
func runScenarios(t *testing.T, scenarios map[string]scenario) {
	for name, test := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				for _, problem := range test.run(newModel(seed, hosts)) {
					t.Errorf("seed %d: %s", seed, problem)
				}
			}
		})
	}
}

// Guards against exposure, rollback or completion that do not hold for some kind
// of version or load.
func TestRollouts(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"good":        {nil, mulberrybeam.RolloutSucceeded},
		"bad at once": rolledBack(failing(0.3)),
		"bad later": rolledBack(func(m *model, _ mulberrybeam.SoftwareVersion, _ bool, _ string) bool {
			return m.now > orderAt+3*time.Second && m.random.Float64() < 0.4
		}),
		"slow": {func(m *model) map[time.Duration]func() {
			m.slow, m.isBad = 4, failing(0.3)
			return nil
		}, mulberrybeam.RolloutRolledBack},
		"bad under load": rolledBack(func(m *model, _ mulberrybeam.SoftwareVersion, loaded bool, _ string) bool {
			return loaded && m.random.Float64() < 0.5
		}),
		"bad on one route": rolledBack(func(m *model, _ mulberrybeam.SoftwareVersion, _ bool, route string) bool {
			return route == "b" && m.random.Float64() < 0.6
		}),
		"one faulty target": succeeds(func(m *model) { m.faulty = "v21" }),
		"few requests":      succeeds(func(m *model) { m.rate = 4 }),
		// A good version whose requests do not suffice for a verdict is rolled back.
		"too few requests": {func(m *model) map[time.Duration]func() { m.rate = 27; return nil }, mulberrybeam.RolloutRolledBack},
		"weakly bad with few requests": {func(m *model) map[time.Duration]func() {
			m.rate, m.isBad = 27, failing(0.08)
			return nil
		}, mulberrybeam.RolloutRolledBack},
		"idle":          succeeds(func(m *model) { m.rate = 0 }),
		"long requests": succeeds(func(m *model) { m.runTime = 3 * time.Second }),
	})
}

// Guards against exposure, rollback or completion that do not hold when a host, a
// link or the store fails.
func TestRolloutsWithDisturbances(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"zone is cut off": {func(m *model) map[time.Duration]func() {
			zone := append(m.hosts[:hosts/3:hosts/3], m.leader())
			return map[time.Duration]func(){
				2 * time.Second: func() {
					for _, h := range zone {
						h.cut = true
					}
				},
				7 * time.Second: func() {
					for _, h := range zone {
						m.heal(h)
					}
				},
			}
		}, mulberrybeam.RolloutSucceeded},
		"hosts restart": {func(m *model) map[time.Duration]func() {
			m.isBad = failing(0.15)
			at := map[time.Duration]func(){}
			for i, h := range m.hosts {
				at[2*time.Second+time.Duration(i)*4*step] = func() { m.start(h) }
			}
			return at
		}, mulberrybeam.RolloutRolledBack},
		"leader dies in sample": disturbed(0, 3*time.Second, freezeLeader),
		"leader dies in load":   disturbed(0, 6*time.Second, freezeLeader),
		"leader dies at full":   disturbed(0, 7200*time.Millisecond, freezeLeader),
		"leader restarts":       disturbed(0, 4*time.Second, restartLeader),
		"lease is lost":         disturbed(0, 3*time.Second, loseLease),
		"host is dead":          succeeds(func(m *model) { m.hosts[5].frozen = true }),
		"host is cut off":       disturbed(0.2, 2*time.Second, func(m *model) { m.hosts[3].cut = true }),
		"leader pauses in load": {func(m *model) map[time.Duration]func() {
			var paused *host
			return map[time.Duration]func(){
				5 * time.Second: func() { paused = m.leader(); paused.frozen = true },
				9 * time.Second: func() { paused.frozen = false },
			}
		}, mulberrybeam.RolloutSucceeded},
		"store is down": {func(m *model) map[time.Duration]func() {
			m.isBad = failing(0.3)
			return map[time.Duration]func(){
				2 * time.Second: func() { m.down = true },
				6 * time.Second: func() { m.down = false },
			}
		}, mulberrybeam.RolloutRolledBack},
	})
}

// Guards against a model in which the bounds hold whatever the code does.
func TestGuardsAreNeeded(t *testing.T) {
	for name, test := range map[string]struct {
		without guards
		scenario
	}{
		"account": {guards{account: true}, rolledBack(func(m *model, _ mulberrybeam.SoftwareVersion, _ bool, _ string) bool {
			return m.now > 6500*time.Millisecond
		})},
		"evidence of peers": {guards{evidence: true}, scenario{func(m *model) map[time.Duration]func() {
			m.rate, m.isBad = 60, failing(0.1)
			return nil
		}, mulberrybeam.RolloutRolledBack}},
		"drained targets":  {guards{drain: true}, succeeds(func(m *model) { m.runTime = 3 * time.Second })},
		"age of the stage": {guards{age: true}, disturbed(0.3, 2500*time.Millisecond, func(m *model) { m.hosts[3].cut = true })},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				m := newModel(seed, hosts)
				m.without = test.without
				if len(test.run(m)) > 0 {
					return
				}
			}
			t.Errorf("all bounds hold without this guard")
		})
	}
}

// Guards against a second order that leaves requests at the version of the first,
// or is not completed.
func TestSecondOrder(t *testing.T) {
	for name, at := range map[string]time.Duration{
		"in sample": 3 * time.Second, "in load": 6 * time.Second, "at full": 7300 * time.Millisecond,
	} {
		for _, to := range []mulberrybeam.SoftwareVersion{"v1", "v2", "v3"} {
			t.Run(name+" "+string(to), func(t *testing.T) {
				is := is.New(t)
				m := newModel(1, hosts)
				last := time.Duration(0)
				m.isBad = func(m *model, version mulberrybeam.SoftwareVersion, _ bool, _ string) bool {
					if version == "v2" {
						last = m.now
					}
					return false
				}
				m.run(at+duration+time.Second, map[time.Duration]func(){at: func() { m.putOrder(to) }})
				is.Equal(m.order.Status, mulberrybeam.RolloutStatus{State: mulberrybeam.RolloutSucceeded, To: to})
				if to != "v2" {
					is.True(last <= at+500*time.Millisecond)
				}
			})
		}
	}
}

// Guards against targets that no order ever allowed, and against those of a
// version that was rolled back, before and after a restart of the host.
func TestUsableVersions(t *testing.T) {
	usable := func(h *host) []mulberrybeam.InstanceID {
		pool := []mulberrybeam.FleetTarget{}
		for _, version := range []mulberrybeam.SoftwareVersion{"v1", "v2"} {
			pool = append(pool, mulberrybeam.FleetTarget{LiveTarget: *targetRecord(version, 0).Target})
		}
		snapshot := &mulberrybeam.Snapshot{Fleet: &mulberrybeam.Fleet{Targets: map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": pool}}}
		h.machine.FillSnapshot(snapshot)
		var ids []mulberrybeam.InstanceID
		for _, target := range snapshot.Fleet.Targets["s"] {
			ids = append(ids, target.ID)
		}
		return ids
	}
	is := is.New(t)
	m := newModel(1, 2)
	m.deliver(m.hosts[0], mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: "v20", Record: targetRecord("v2", 0)})
	is.Equal(usable(m.hosts[0]), []mulberrybeam.InstanceID{"v10"})
	m.isBad = failing(0.5)
	m.run(orderAt+time.Second, nil)
	is.Equal(usable(m.hosts[0]), []mulberrybeam.InstanceID{"v10", "v20"})
	m.run(ended, nil)
	is.Equal(usable(m.hosts[0]), []mulberrybeam.InstanceID{"v10"})
	m.start(m.hosts[0])
	is.Equal(usable(m.hosts[0]), []mulberrybeam.InstanceID{"v10"})
}

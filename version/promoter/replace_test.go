package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/version/promoter"
)

// single is one host whose feeds list orders before targets.
type single struct {
	machine *promoter.Promoter
	now     time.Duration
}

func newSingle(order *mulberrybeam.RolloutOrder, versions ...mulberrybeam.SoftwareVersion) *single {
	h := &single{machine: promoter.New("h0", bounds, platform.Encoder{})}
	orders, targets := map[string]mulberrybeam.Record{}, map[string]mulberrybeam.Record{}
	if order != nil {
		orders["s"] = mulberrybeam.Record{Rollout: order}
	}
	for _, version := range versions {
		targets[fmt.Sprint(version, 0)] = targetRecord(version, 0)
	}
	h.step(mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectRollout, Records: orders})
	h.step(mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectTarget, Records: targets})
	return h
}

func (h *single) step(event mulberrybeam.Event) []mulberrybeam.Action {
	h.now += time.Second
	return h.machine.Step(mulberrybeam.Turn{Now: h.now, Rand: rand.New(rand.NewPCG(1, 1))}, event)
}

func (h *single) register(version mulberrybeam.SoftwareVersion) {
	h.step(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: fmt.Sprint(version, 0), Record: targetRecord(version, 0)})
}

func (h *single) remove(version mulberrybeam.SoftwareVersion) {
	h.step(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: fmt.Sprint(version, 0), Removed: true})
}

func (h *single) put(order *mulberrybeam.RolloutOrder) {
	h.step(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectRollout, Name: "s", Record: mulberrybeam.Record{Rollout: order}, Removed: order == nil})
}

// usable returns the versions from v1 to v3 that may be used.
func (h *single) usable() string {
	pool := []mulberrybeam.FleetTarget{}
	for _, version := range []mulberrybeam.SoftwareVersion{"v1", "v2", "v3"} {
		pool = append(pool, mulberrybeam.FleetTarget{LiveTarget: *targetRecord(version, 0).Target})
	}
	snapshot := &mulberrybeam.Snapshot{Fleet: &mulberrybeam.Fleet{Targets: map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": pool}}}
	h.machine.FillSnapshot(snapshot)
	text := ""
	for _, target := range snapshot.Fleet.Targets["s"] {
		text += string(target.Software)
	}
	return text
}

func orderTo(to mulberrybeam.SoftwareVersion, state mulberrybeam.RolloutState, about mulberrybeam.SoftwareVersion) *mulberrybeam.RolloutOrder {
	return &mulberrybeam.RolloutOrder{
		Service: "s", To: to, Duration: duration, Revision: 5, Status: mulberrybeam.RolloutStatus{State: state, To: about},
	}
}

// Guards against a service that is left without targets although no order is under
// way, and against the use of a version that was rolled back.
func TestServiceKeepsTargetsWithoutOrder(t *testing.T) {
	for name, test := range map[string]struct {
		host *single
		act  func(h *single)
		want string
	}{
		"order is deleted before its success is seen": {newSingle(nil, "v1"), func(h *single) {
			h.register("v2")
			h.put(orderTo("v2", mulberrybeam.RolloutRunning, "v2"))
			h.put(nil)
			h.remove("v1")
		}, "v1v2"},
		"targets are replaced without an order": {newSingle(nil, "v1"), func(h *single) {
			h.register("v3")
			h.remove("v1")
		}, "v1v3"},
		"the old targets drain": {newSingle(nil, "v1"), func(h *single) {
			h.register("v3")
			record := targetRecord("v1", 0)
			record.Target.Draining = true
			h.step(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: "v10", Record: record})
		}, "v1v3"},
		"status names a version that is gone": {newSingle(orderTo("v2", mulberrybeam.RolloutSucceeded, "v2"), "v3"), nil, "v2v3"},
		"one of two versions was rolled back": {newSingle(orderTo("v2", mulberrybeam.RolloutRolledBack, "v2"), "v2"), func(h *single) {
			h.register("v3")
		}, "v3"},
		"only a rolled-back version is left": {newSingle(orderTo("v2", mulberrybeam.RolloutRolledBack, "v2"), "v2"), nil, ""},
		"an order is under way":              {newSingle(orderTo("v2", mulberrybeam.RolloutRunning, "v2"), "v2"), nil, "v2"},
		"a known version serves":             {newSingle(nil, "v1"), func(h *single) { h.register("v3") }, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			if test.act != nil {
				test.act(test.host)
			}
			is.New(t).Equal(test.host.usable(), test.want)
		})
	}
}

// Guards against a host that restarted during a rollout and refuses requests until
// an order back to the only version that it knows has gone through the stages.
func TestOrderBackAfterRestart(t *testing.T) {
	is := is.New(t)
	h := newSingle(orderTo("v2", mulberrybeam.RolloutRunning, "v2"), "v1", "v2")
	h.put(orderTo("v1", mulberrybeam.RolloutRunning, "v2"))
	is.Equal(h.usable(), "v1")
	snapshot := &mulberrybeam.Snapshot{Fleet: &mulberrybeam.Fleet{}}
	h.machine.FillSnapshot(snapshot)
	is.True(snapshot.Fleet.Rollouts["s"].Known)
}

// Guards against hosts that list the targets of a new version at their start,
// before there is an order to it, and then take it for one that needs no test.
func TestVersionListedBesideAnotherIsTested(t *testing.T) {
	for seed := range uint64(seeds) {
		is := is.New(t)
		m := newModel(seed, hosts)
		m.now, m.isBad, m.listsAll = 2*time.Second, failing(0.3), true
		for _, h := range m.hosts {
			m.start(h)
		}
		const at = 15 * time.Second
		m.run(at+duration, map[time.Duration]func(){at: func() { m.putOrder("v2") }})
		is.Equal(m.order.Status, mulberrybeam.RolloutStatus{State: mulberrybeam.RolloutRolledBack, To: "v2"})
		is.True(float64(m.exposed) <= bounds.ExposureShare*float64(m.requestsThen)+bounds.ExposureSlack)
	}
}

// Guards against a rollout that goes on, with status writes that fail, after its
// order was edited to content that cannot be carried out.
func TestUnusableOrderEndsRollout(t *testing.T) {
	elsewhere := orderTo("v2", mulberrybeam.RolloutRunning, "v2")
	elsewhere.Service = "other"
	for name, order := range map[string]*mulberrybeam.RolloutOrder{"undecodable": nil, "another service": elsewhere} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newSingle(nil, "v1")
			h.register("v2")
			h.put(orderTo("v2", mulberrybeam.RolloutRunning, "v2"))
			is.Equal(h.usable(), "v1v2")
			h.step(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectRollout, Name: "s", Record: mulberrybeam.Record{Rollout: order}})
			is.Equal(h.usable(), "v1")
		})
	}
}

// Guards against a deadline that stays, or a credit that is given again, when an
// order is written again with another duration.
func TestOrderWithAnotherDuration(t *testing.T) {
	const at = 7 * time.Second
	for seed := range uint64(seeds) {
		is := is.New(t)
		m := newModel(seed, hosts)
		m.isBad = func(m *model, _ mulberrybeam.SoftwareVersion, _ bool, _ string) bool {
			return m.random.Float64() < 0.1
		}
		m.rate = 27
		credit := 0.0
		m.run(at+2*duration, map[time.Duration]func(){
			at: func() {
				credit = m.hosts[0].rollout.InitialCredit
				m.revision++
				m.order.Duration, m.order.Revision = 2*duration, m.revision
				m.announce(mulberrybeam.ObjectRollout, "s", m.orderRecord())
			},
			at + 10*time.Second: func() {
				is.Equal(m.order.Status.State, mulberrybeam.RolloutRunning) // the last call of 24 s is after 20 s
				is.Equal(m.hosts[0].rollout.InitialCredit, credit)
			},
		})
		is.Equal(m.order.Status.State, mulberrybeam.RolloutRolledBack)
		is.True(m.doneAt > at+18*time.Second)
		is.True(float64(m.exposed) <= bounds.ExposureShare*float64(m.requestsThen)+bounds.ExposureSlack)
	}
}

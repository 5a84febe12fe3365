package gossiper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
)

// Lost messages must not cause a fact to be lost, and urgent facts must not
// wait for regular gossip rounds: all processes must know within 5 s that a
// zone or an engine was taken out.
func TestFactsSpread(t *testing.T) {
	const learnLimit = 5 * time.Second
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			is := is.New(t)
			fleet, probes := newFleet(15)
			fleet.Start(controllertest.Hosts(3, 3)...)
			fleet.Run(time.Minute)
			fleet.Network.LossRate = loss
			for i := range 20 {
				key := fmt.Sprintf("t%d", i)
				fleet.Post("z1h2", drainEvent(key))
				is.True(fleet.RunUntil(learnLimit, func() bool { return factReached(fleet, probes, key) }))
			}
			is.Equal(fleet.FaultCount(controllertest.FaultLoss) > 0, loss > 0)
		})
	}
}

// A process that was down must receive the facts that it missed, even after
// their transmit limit is reached: full exchanges repair this.
func TestFullExchangeRepairsFacts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(16)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	fleet.Kill("z1h3")
	for i := range 200 {
		fleet.Post("z1h2", drainEvent(fmt.Sprintf("t%03d", i)))
	}
	fleet.Run(2 * time.Minute)
	fleet.Restart("z1h3")
	fleet.Run(2 * time.Minute)
	for i := range 200 {
		is.True(factReached(fleet, probes, fmt.Sprintf("t%03d", i)))
	}
}

// Facts must expire even though processes keep forwarding them to each other,
// and a fact with a lower stamp must not replace one with a higher stamp.
func TestTimeToLiveAndStamps(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(17)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	crash := mulberrybeam.Fact{
		Kind: mulberrybeam.FactCrash, Key: "f/t/1", TTL: 30 * time.Second,
		Crash: &mulberrybeam.CrashFact{Fingerprint: mulberrybeam.Fingerprint{1}, Count: 1, Target: "t"},
	}
	second := crash
	second.Key = "f/t/2"
	fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: crash})
	fleet.Post("z2h1", mulberrybeam.FactChanged{Local: true, Fact: second})
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Crashes[mulberrybeam.Fingerprint{1}].Count, 2)
	}
	cleared := crash
	cleared.Crash = &mulberrybeam.CrashFact{Fingerprint: mulberrybeam.Fingerprint{1}, Target: "t"}
	fleet.Post("z3h1", mulberrybeam.FactChanged{Local: true, Fact: cleared})
	fleet.Run(5 * time.Second)
	stale := crash
	stale.Stamp = mulberrybeam.Stamp{Wall: 1, Process: "z9h9/1"}
	fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: stale})
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Crashes[mulberrybeam.Fingerprint{1}].Count, 1)
		is.Equal(probes[process.Name].facts["f/t/2"].Crash.Count, 1)
	}
	fleet.Run(30 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(len(process.Snapshot.Crashes), 0)
	}
}

// Many load reports must neither delay urgent facts nor exceed the size limit
// of a message.
func TestExchangeBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(18, gossiper.WithExchangeBytes(300))
	fleet.Start(controllertest.Hosts(1, 3)...)
	fleet.Run(time.Minute)
	for i := range 500 {
		fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
			Kind: mulberrybeam.FactLoad, Key: fmt.Sprintf("e%d", i), TTL: 3 * time.Second,
			Load: &mulberrybeam.LoadReport{Target: "e"},
		}})
	}
	fleet.Post("z1h1", drainEvent("t"))
	before := fleet.Process("z1h1").Traffic
	is.True(fleet.RunUntil(time.Second, func() bool { return factReached(fleet, probes, "t") }))
	fleet.Run(4 * time.Second)
	after := fleet.Process("z1h1").Traffic
	// Member records add less than 300 bytes to the facts of a message.
	is.True(after.SentBytes-before.SentBytes <= (after.Sent-before.Sent)*(600+controllertest.MessageOverhead))
	is.True(!factReached(fleet, probes, "e0"))
}

// The shares of the processes with published demand must not add up to more
// than a workspace's limit, and each process must have a share.
func TestShares(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(19)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	tables := &mulberrybeam.Tables{Workspaces: map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{"w": {Name: "w", RequestsPerSecond: 90}}}
	for _, process := range fleet.Processes() {
		fleet.Post(process.Name, mulberrybeam.ConfigurationChanged{Environment: &mulberrybeam.Environment{Revision: 1}, Tables: tables})
	}
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Shares["w"], 1.0/9)
	}
	rates := map[string]float64{"z1h1": 60, "z2h1": 30, "z3h1": 1}
	for range 20 {
		for host, rate := range rates {
			fleet.Post(host, mulberrybeam.UsageMeasured{
				Workspaces: map[mulberrybeam.WorkspaceName]float64{"w": rate},
				Links:      map[mulberrybeam.StoreID]float64{"s": rate},
			})
		}
		fleet.Run(time.Second)
	}
	is.Equal(fleet.Process("z1h1").Snapshot.Shares["w"], 60.0/90)
	is.Equal(fleet.Process("z2h1").Snapshot.Shares["w"], 30.0/90)
	// Its demand is too low to be published, so it keeps the minimum share.
	is.Equal(fleet.Process("z3h1").Snapshot.Shares["w"], 1.0/9)
	is.Equal(fleet.Process("z1h1").Snapshot.LinkUse["s"], 31.0)
	fleet.Run(30 * time.Second)
	is.Equal(fleet.Process("z1h1").Snapshot.Shares["w"], 1.0/9)
}

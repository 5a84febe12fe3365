package permitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/controller/controllertest"
)

func start(seed uint64, v variant) *world {
	hosts := controllertest.Hosts(zones, perZone)
	peers = peers[:0]
	for _, host := range hosts {
		peers = append(peers, host.Address)
	}
	w := newWorld(seed, v)
	w.fleet.Start(hosts...)
	return w
}

func TestCalm(t *testing.T) {
	is := is.New(t)
	w := start(1, variant{})
	for i := range 12 {
		w.fleet.Run(5 * time.Second)
		t.Log(i, w.requests, w.sent, w.granted, w.late, len(w.faults))
	}
	for _, process := range w.fleet.Processes() {
		t.Log(process.ID, process.Snapshot.Rights)
	}
	for _, id := range w.ids {
		t.Log(id, w.targets[id].completed, w.fleet.Process("z1h1").Snapshot.Targets[id].Phase)
	}
	is.Equal(w.faults, nil)
}

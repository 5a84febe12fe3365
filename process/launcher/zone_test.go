package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
)

// zoneOutTime is the time within which a zone that is taken out must stop
// receiving new work.
const zoneOutTime = 5 * time.Second

// setZone changes the state of a zone in the environment object and writes it
// as the given revision.
func setZone(t *testing.T, f *fleet.Fleet, zone mulberrybeam.ZoneName, from, to mulberrybeam.ZoneState, revision int) {
	t.Helper()
	objects, closer := f.Objects()
	defer closer()
	object, err := objects.Get(t.Context(), mulberrybeam.ObjectEnvironment, string(fleet.Environment))
	if err != nil {
		t.Fatal(err)
	}
	document := string(object.Data)
	state := func(of mulberrybeam.ZoneState) string {
		return fmt.Sprintf("{%q: %q, %q: %q}", "name", zone, "state", of)
	}
	if !strings.Contains(document, state(from)) {
		t.Fatalf("zone %s is not %s in %s", zone, from, document)
	}
	document = strings.Replace(document, state(from), state(to), 1)
	document = strings.Replace(document, fmt.Sprintf("\"revision\": %d", revision-1), fmt.Sprintf("\"revision\": %d", revision), 1)
	object.Data = []byte(document)
	if _, err := objects.Update(t.Context(), object); err != nil {
		t.Fatal(err)
	}
}

// workOf returns the number of prompts and calls that the targets of a zone have
// started.
func workOf(f *fleet.Fleet, zone mulberrybeam.ZoneName) int {
	sum := 0
	for id, engine := range f.Engines {
		if strings.HasPrefix(string(id), "engine-"+string(zone)) {
			sum += engine.Count("started")
		}
	}
	for id, service := range f.Services {
		if strings.HasPrefix(string(id), fleet.Service+"-"+string(zone)) {
			sum += service.Count("runs")
		}
	}
	return sum
}

// followWork records when the targets of a zone last started new work. The
// returned function ends the recording and returns that time.
func followWork(f *fleet.Fleet, zone mulberrybeam.ZoneName) (stop func() time.Time) {
	done, last := make(chan struct{}), make(chan time.Time)
	go func() {
		before, at := workOf(f, zone), time.Now()
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				last <- at
				return
			case <-ticker.C:
			}
			if now := workOf(f, zone); now != before {
				before, at = now, time.Now()
			}
		}
	}()
	return func() time.Time {
		close(done)
		return <-last
	}
}

// checkStock makes repeatable service calls at a constant rate. The returned
// function stops them and returns the failed ones.
func checkStock(ctx context.Context, f *fleet.Fleet) func() []string {
	running, cancel := context.WithCancel(ctx)
	failed, ended := []string{}, make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; running.Err() == nil; i++ {
			path := "/v1/services/" + fleet.Service + "/" + fleet.RepeatableCall
			status, _, text, err := post(ctx, f.Entries[i%len(f.Entries)], path, []byte(`{}`), nil)
			if err != nil || status != http.StatusOK {
				failed = append(failed, fmt.Sprint(status, text, err))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() []string {
		cancel()
		<-ended
		return failed
	}
}

// startStreams starts four long answers through each entry process. The returned
// function waits for them and returns their outcomes.
func startStreams(ctx context.Context, f *fleet.Fleet) func() []outcome {
	long := startLoad(ctx, 10*time.Millisecond, 700, func(i int) *fleet.Entry {
		if i >= 4*len(f.Entries) {
			return nil
		}
		return f.Entries[i%len(f.Entries)]
	})
	time.Sleep(time.Second)
	return long.stop
}

// Guards against new work for a zone that an operator has taken out, against
// streams that this cuts off, and against requests that fail while the zone is
// taken out or brought back.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := fleet.DefaultLayout()
	layout.Engine = func(s *engine.Settings) { s.MaxRunning = 32 }
	f := start(t, layout)
	steady := startLoad(t.Context(), 20*time.Millisecond, 20, func(i int) *fleet.Entry { return f.Entries[i%len(f.Entries)] })
	stock := checkStock(t.Context(), f)
	await(t, 20*time.Second, "an engine of the zone is warm", func() bool {
		states := f.Entries[0].Control.Snapshot().Targets
		return states["engine-a1"].Phase == mulberrybeam.PhaseWarm || states["engine-a2"].Phase == mulberrybeam.PhaseWarm
	})
	before := time.Now()
	time.Sleep(3 * time.Second)
	streams := startStreams(t.Context(), f)

	out := time.Now()
	setZone(t, f, "a", mulberrybeam.ZoneIn, mulberrybeam.ZoneOut, 2)
	stop := followWork(f, "a")
	time.Sleep(zoneOutTime + 2*time.Second)
	last := stop().Sub(out)
	is.True(last < zoneOutTime)

	back := time.Now()
	worked := workOf(f, "a")
	setZone(t, f, "a", mulberrybeam.ZoneOut, mulberrybeam.ZoneIn, 3)
	returned := await(t, 10*time.Second, "the zone has work again", func() bool { return workOf(f, "a") > worked })
	time.Sleep(3 * time.Second)

	outcomes, long := steady.stop(), streams()
	is.Equal(stock(), []string{})
	for name, phase := range map[string][]outcome{
		"before": between(outcomes, before, out),
		"during": between(outcomes, out, back),
		"after":  between(outcomes, back, time.Now()),
	} {
		whole, refused, failed := tally(phase)
		t.Logf("%s: %d complete, %d refused, %d failed, p95 time to first token %v", name, whole, refused, failed, p95(phase))
		is.True(whole > 0)
	}
	t.Logf("last new work %.2f s after the zone was taken out, first new work %.2f s after it was brought back", last.Seconds(), returned.Seconds())
	report(t, f, outcomes, nil)
	report(t, f, long, nil)
	is.True(ranInZone(f, long, "a") > 0) // streams ran in the zone that was taken out
	for _, o := range long {
		is.Equal(len(entriesOf(f, o.request, mulberrybeam.EntryRetry)), 0)
	}
}

// ranInZone returns the number of requests that were completed by engines of a
// zone.
func ranInZone(f *fleet.Fleet, outcomes []outcome, zone mulberrybeam.ZoneName) int {
	count := 0
	for _, o := range outcomes {
		for _, text := range entriesOf(f, o.request, mulberrybeam.EntryCompletion) {
			if strings.HasPrefix(text, "engine-"+string(zone)) {
				count++
			}
		}
	}
	return count
}

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

// zoneOutTimeout is the time within which a zone that is taken out must stop
// receiving new work.
const zoneOutTimeout = 5 * time.Second

// setZoneState changes the state of a zone in the environment object and writes
// it as the given revision.
func setZoneState(t *testing.T, f *fleet.Fleet, zone mulberrybeam.ZoneName, from, to mulberrybeam.ZoneState, revision int) {
	t.Helper()
	objects, closer := f.Objects()
	defer closer()
	object, err := objects.Get(t.Context(), mulberrybeam.ObjectEnvironment, string(fleet.Environment))
	if err != nil {
		t.Fatal(err)
	}
	document := string(object.Data)
	state := func(value mulberrybeam.ZoneState) string {
		return fmt.Sprintf("{%q: %q, %q: %q}", "name", zone, "state", value)
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

// countStartedWork returns the number of prompts and calls that the targets of
// a zone have started.
func countStartedWork(f *fleet.Fleet, zone mulberrybeam.ZoneName) int {
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

// trackLastWork records when the targets of a zone last started new work. The
// returned function ends the recording and returns that time.
func trackLastWork(f *fleet.Fleet, zone mulberrybeam.ZoneName) (stop func() time.Time) {
	done, last := make(chan struct{}), make(chan time.Time)
	go func() {
		before, lastStart := countStartedWork(f, zone), time.Now()
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				last <- lastStart
				return
			case <-ticker.C:
			}
			if now := countStartedWork(f, zone); now != before {
				before, lastStart = now, time.Now()
			}
		}
	}()
	return func() time.Time {
		close(done)
		return <-last
	}
}

// startServiceCalls makes repeatable service calls at a constant rate. The
// returned function stops them and returns the failed ones.
func startServiceCalls(ctx context.Context, f *fleet.Fleet) func() []string {
	callCtx, cancel := context.WithCancel(ctx)
	failed, done := []string{}, make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; callCtx.Err() == nil; i++ {
			path := "/v1/services/" + fleet.Service + "/" + fleet.RepeatableCall
			status, _, text, err := postCall(ctx, f.Entries[i%len(f.Entries)], path, []byte(`{}`), nil)
			if err != nil || status != http.StatusOK {
				failed = append(failed, fmt.Sprint(status, text, err))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() []string {
		cancel()
		<-done
		return failed
	}
}

// startStreams starts four long answers through each entry process. The returned
// function waits for them and returns their outcomes.
func startStreams(ctx context.Context, f *fleet.Fleet) func() []outcome {
	streams := startLoad(ctx, 10*time.Millisecond, 700, func(i int) *fleet.Entry {
		if i >= 4*len(f.Entries) {
			return nil
		}
		return f.Entries[i%len(f.Entries)]
	})
	time.Sleep(time.Second)
	return streams.stop
}

// Guards against new work for a zone that an operator has taken out, against
// streams that this cuts off, and against requests that fail while the zone is
// taken out or brought back.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := fleet.DefaultLayout()
	layout.Engine = func(s *engine.Settings) { s.MaxRunning = 32 }
	f := startFleet(t, layout)
	steadyLoad := startLoad(t.Context(), 20*time.Millisecond, 20, func(i int) *fleet.Entry { return f.Entries[i%len(f.Entries)] })
	stopServiceCalls := startServiceCalls(t.Context(), f)
	waitFor(t, 20*time.Second, "an engine of the zone is warm", func() bool {
		states := f.Entries[0].Controller.Snapshot().Targets
		return states["engine-a1"].Phase == mulberrybeam.PhaseWarm || states["engine-a2"].Phase == mulberrybeam.PhaseWarm
	})
	warmTime := time.Now()
	time.Sleep(3 * time.Second)
	stopStreams := startStreams(t.Context(), f)

	takenOutAt := time.Now()
	setZoneState(t, f, "a", mulberrybeam.ZoneIn, mulberrybeam.ZoneOut, 2)
	stopTracking := trackLastWork(f, "a")
	time.Sleep(zoneOutTimeout + 2*time.Second)
	lastWorkAfter := stopTracking().Sub(takenOutAt)
	is.True(lastWorkAfter < zoneOutTimeout)

	broughtBackAt := time.Now()
	workBefore := countStartedWork(f, "a")
	setZoneState(t, f, "a", mulberrybeam.ZoneOut, mulberrybeam.ZoneIn, 3)
	workResumedAfter := waitFor(t, 10*time.Second, "the zone has work again", func() bool { return countStartedWork(f, "a") > workBefore })
	time.Sleep(3 * time.Second)

	outcomes, streamOutcomes := steadyLoad.stop(), stopStreams()
	is.Equal(stopServiceCalls(), []string{})
	for name, phase := range map[string][]outcome{
		"before": outcomesBetween(outcomes, warmTime, takenOutAt),
		"during": outcomesBetween(outcomes, takenOutAt, broughtBackAt),
		"after":  outcomesBetween(outcomes, broughtBackAt, time.Now()),
	} {
		complete, refused, failed := countOutcomes(phase)
		t.Logf("%s: %d complete, %d refused, %d failed, p95 time to first token %v", name, complete, refused, failed, p95(phase))
		is.True(complete > 0)
	}
	t.Logf("last new work %.2f s after the zone was taken out, first new work %.2f s after it was brought back", lastWorkAfter.Seconds(), workResumedAfter.Seconds())
	reportUnexpected(t, f, outcomes, nil)
	reportUnexpected(t, f, streamOutcomes, nil)
	is.True(countCompletedInZone(f, streamOutcomes, "a") > 0) // streams ran in the zone that was taken out
	for _, o := range streamOutcomes {
		is.Equal(len(timelineEntries(f, o.request, mulberrybeam.EntryRetry)), 0)
	}
}

// countCompletedInZone returns the number of requests that were completed by
// engines of a zone.
func countCompletedInZone(f *fleet.Fleet, outcomes []outcome, zone mulberrybeam.ZoneName) int {
	count := 0
	for _, o := range outcomes {
		for _, text := range timelineEntries(f, o.request, mulberrybeam.EntryCompletion) {
			if strings.HasPrefix(text, "engine-"+string(zone)) {
				count++
			}
		}
	}
	return count
}

package crashtracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/crashtracker"
	"mulberrybeam/process/observer"
)

// driver feeds raised events back into the machine, as the control goroutine does.
type driver struct {
	machine *crashtracker.Tracker
	now     time.Duration
}

// step handles an event and returns the counts of the crash facts that it raised.
func (d *driver) step(event mulberrybeam.Event) []int {
	counts := []int{}
	for _, action := range d.machine.Step(mulberrybeam.Turn{Now: d.now}, event) {
		if raise, ok := action.(mulberrybeam.EmitEvent); ok {
			changed := raise.Event.(mulberrybeam.FactChanged)
			counts = append(counts, changed.Fact.Crash.Count)
			d.step(changed)
		}
	}
	return counts
}

func broken(requests ...mulberrybeam.Fingerprint) mulberrybeam.TargetSignal {
	return mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalBroken, Target: "e1", Instance: "i1", InFlight: requests}
}

// Guards against a crash that counts again for each request that reports it, and
// against a request that becomes a suspect again after it was cleared.
func TestCrashIsPublishedOnceAndStaysCleared(t *testing.T) {
	is := is.New(t)
	d := &driver{machine: crashtracker.New()}
	first, second := mulberrybeam.Fingerprint{1}, mulberrybeam.Fingerprint{2}
	is.Equal(d.step(broken(first, second)), []int{1, 1})
	is.Equal(d.step(broken(first)), []int{})

	is.Equal(d.step(mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalCompleted, Cleared: &first}), []int{0})
	is.Equal(d.step(broken(first)), []int{})

	d.now = 10 * time.Hour
	d.step(mulberrybeam.Tick{})
	is.Equal(d.step(broken(second)), []int{1}) // the expired facts were removed
}

// Guards against requests that stay suspects because of a broken network path, and
// against a crash that is cleared by a load report from before it.
func TestSameInstanceClearsItsRequests(t *testing.T) {
	is := is.New(t)
	d := &driver{machine: crashtracker.New()}
	d.now = time.Second
	d.step(broken(mulberrybeam.Fingerprint{1}))
	d.now = 2 * time.Second
	report := func(instance mulberrybeam.InstanceID, since time.Duration) observer.ReportPolled {
		return observer.ReportPolled{MeasuredAfter: since, TargetObserved: mulberrybeam.TargetObserved{
			Target: "e1", Report: mulberrybeam.LoadReport{Instance: instance},
		}}
	}
	is.Equal(d.step(report("i2", 1900*time.Millisecond)), []int{})
	is.Equal(d.step(report("i1", 900*time.Millisecond).TargetObserved), []int{})
	is.Equal(d.step(report("i1", 900*time.Millisecond)), []int{})
	is.Equal(d.step(report("i1", 1100*time.Millisecond)), []int{0})
}

package forwarder

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

// routeView is the input of a routing policy: a snapshot combined with the
// prefix index and this process's own counts of requests in flight.
type routeView struct {
	now      time.Duration
	index    mulberrybeam.PrefixIndex
	snapshot *mulberrybeam.Snapshot
	inFlight *inFlightRequests
}

func (v routeView) Tables() *mulberrybeam.Tables { return v.snapshot.Tables }

func (v routeView) Target(id mulberrybeam.TargetID) mulberrybeam.TargetState {
	return v.snapshot.Targets[id]
}

func (v routeView) CachedBlocks(id mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	if !v.describesInstance(id) {
		return 0
	}
	return v.index.CachedBlocks(v.now, id, keys)
}

func (v routeView) Holders(keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID {
	return slices.DeleteFunc(v.index.Holders(v.now, keys), func(id mulberrybeam.TargetID) bool { return !v.describesInstance(id) })
}

// describesInstance reports whether the index describes the instance of the
// target that the snapshot has.
func (v routeView) describesInstance(id mulberrybeam.TargetID) bool {
	instance := v.snapshot.Targets[id].Instance
	return instance == "" || v.index.Tracks(id, instance)
}

func (v routeView) InFlight(id mulberrybeam.TargetID) int { return v.inFlight.count(id) }

func (v routeView) LinkUse(id mulberrybeam.StoreID) float64 { return v.snapshot.LinkUse[id] }

// inFlightRequests counts this process's requests in flight at each target.
type inFlightRequests struct {
	byTarget sync.Map // of TargetID to *targetRequests
}

// targetRequests has the number and the fingerprints of the requests in flight
// at one target. The control loop never locks its mutex, and request
// goroutines lock it only at the start and the end of an attempt.
type targetRequests struct {
	count        atomic.Int64
	mutex        sync.Mutex
	fingerprints map[mulberrybeam.RequestID]mulberrybeam.Fingerprint
}

func (f *inFlightRequests) forTarget(target mulberrybeam.TargetID) *targetRequests {
	if found, ok := f.byTarget.Load(target); ok {
		return found.(*targetRequests)
	}
	created, _ := f.byTarget.LoadOrStore(target, &targetRequests{fingerprints: map[mulberrybeam.RequestID]mulberrybeam.Fingerprint{}})
	return created.(*targetRequests)
}

func (f *inFlightRequests) count(target mulberrybeam.TargetID) int {
	if found, ok := f.byTarget.Load(target); ok {
		return int(found.(*targetRequests).count.Load())
	}
	return 0
}

func (t *targetRequests) add(request *mulberrybeam.Request) {
	t.count.Add(1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fingerprints[request.ID] = request.Fingerprint
}

func (t *targetRequests) remove(request *mulberrybeam.Request) {
	t.count.Add(-1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.fingerprints, request.ID)
}

// allFingerprints returns the fingerprints of the requests in flight.
func (t *targetRequests) allFingerprints() []mulberrybeam.Fingerprint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]mulberrybeam.Fingerprint, 0, len(t.fingerprints))
	for _, fingerprint := range t.fingerprints {
		all = append(all, fingerprint)
	}
	return all
}

// failureOf returns the Failure that an error wraps. It turns any other error
// into a Failure without NotRun, since the request may have run.
func failureOf(err error) *mulberrybeam.Failure {
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepSend, Message: "unexpected error", Cause: err}
}

type discardRecorder struct{}

func (discardRecorder) Record(mulberrybeam.Entry) {}

type emptyIndex struct{}

func (emptyIndex) RecordSent(time.Duration, mulberrybeam.TargetID, mulberrybeam.InstanceID, []mulberrybeam.BlockKey) {
}

func (emptyIndex) Tracks(mulberrybeam.TargetID, mulberrybeam.InstanceID) bool { return false }

func (emptyIndex) CachedBlocks(time.Duration, mulberrybeam.TargetID, []mulberrybeam.BlockKey) int {
	return 0
}

func (emptyIndex) Holders(time.Duration, []mulberrybeam.BlockKey) []mulberrybeam.TargetID { return nil }

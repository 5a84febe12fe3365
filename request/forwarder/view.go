package forwarder

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

// view is the input of a routing policy: a snapshot combined with the prefix index
// and this process's own counts of requests in flight.
type view struct {
	now      time.Duration
	index    mulberrybeam.PrefixIndex
	snapshot *mulberrybeam.Snapshot
	flights  *flights
}

func (v view) Tables() *mulberrybeam.Tables { return v.snapshot.Tables }

func (v view) Target(id mulberrybeam.TargetID) mulberrybeam.TargetState {
	return v.snapshot.Targets[id]
}

func (v view) CachedBlocks(id mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	if !v.describes(id) {
		return 0
	}
	return v.index.CachedBlocks(v.now, id, keys)
}

func (v view) Holders(keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID {
	return slices.DeleteFunc(v.index.Holders(v.now, keys), func(id mulberrybeam.TargetID) bool { return !v.describes(id) })
}

// describes reports whether the index describes the instance of the target that
// the snapshot has.
func (v view) describes(id mulberrybeam.TargetID) bool {
	instance := v.snapshot.Targets[id].Instance
	return instance == "" || v.index.Describes(id, instance)
}

func (v view) InFlight(id mulberrybeam.TargetID) int { return v.flights.count(id) }

func (v view) LinkUse(id mulberrybeam.StoreID) float64 { return v.snapshot.LinkUse[id] }

// flights counts this process's requests in flight at each target.
type flights struct {
	byTarget sync.Map // of TargetID to *flight
}

// flight has the number and the fingerprints of the requests in flight at one
// target. The control loop never locks its mutex, and request goroutines lock it
// only at the start and the end of an attempt.
type flight struct {
	number       atomic.Int64
	mutex        sync.Mutex
	fingerprints map[mulberrybeam.RequestID]mulberrybeam.Fingerprint
}

func (f *flights) at(target mulberrybeam.TargetID) *flight {
	if found, ok := f.byTarget.Load(target); ok {
		return found.(*flight)
	}
	made, _ := f.byTarget.LoadOrStore(target, &flight{fingerprints: map[mulberrybeam.RequestID]mulberrybeam.Fingerprint{}})
	return made.(*flight)
}

func (f *flights) count(target mulberrybeam.TargetID) int {
	if found, ok := f.byTarget.Load(target); ok {
		return int(found.(*flight).number.Load())
	}
	return 0
}

func (f *flight) enter(request *mulberrybeam.Request) {
	f.number.Add(1)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fingerprints[request.ID] = request.Fingerprint
}

func (f *flight) leave(request *mulberrybeam.Request) {
	f.number.Add(-1)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.fingerprints, request.ID)
}

// list returns the fingerprints of the requests in flight.
func (f *flight) list() []mulberrybeam.Fingerprint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make([]mulberrybeam.Fingerprint, 0, len(f.fingerprints))
	for _, fingerprint := range f.fingerprints {
		all = append(all, fingerprint)
	}
	return all
}

// failureOf returns the Failure that an error wraps. It turns any other error into
// a Failure without NotRun, since the request may have run.
func failureOf(err error) *mulberrybeam.Failure {
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepSend, Message: "unexpected error", Cause: err}
}

type silent struct{}

func (silent) Record(mulberrybeam.Entry) {}

type noIndex struct{}

func (noIndex) Sent(time.Duration, mulberrybeam.TargetID, mulberrybeam.InstanceID, []mulberrybeam.BlockKey) {
}

func (noIndex) Describes(mulberrybeam.TargetID, mulberrybeam.InstanceID) bool { return false }

func (noIndex) CachedBlocks(time.Duration, mulberrybeam.TargetID, []mulberrybeam.BlockKey) int {
	return 0
}

func (noIndex) Holders(time.Duration, []mulberrybeam.BlockKey) []mulberrybeam.TargetID { return nil }

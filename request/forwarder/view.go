package forwarder

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

// view is a snapshot with this process's own counts, as a routing policy sees
// it.
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

// describes says whether the index is about the instance that control knows.
func (v view) describes(id mulberrybeam.TargetID) bool {
	instance := v.snapshot.Targets[id].Instance
	return instance == "" || v.index.Describes(id, instance)
}

func (v view) InFlight(id mulberrybeam.TargetID) int { return v.flights.count(id) }

func (v view) LinkUse(id mulberrybeam.StoreID) float64 { return v.snapshot.LinkUse[id] }

// flights counts this process's requests at each target.
type flights struct {
	byTarget sync.Map // of TargetID to *flight
}

// flight is the count of one target and the fingerprints in flight there. Only
// traffic goroutines take its mutex, and only at the start and end of a send.
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

// list returns the fingerprints in flight.
func (f *flight) list() []mulberrybeam.Fingerprint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make([]mulberrybeam.Fingerprint, 0, len(f.fingerprints))
	for _, fingerprint := range f.fingerprints {
		all = append(all, fingerprint)
	}
	return all
}

// failureOf returns the failure in an error. An error of another kind says
// nothing about whether the request ran.
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

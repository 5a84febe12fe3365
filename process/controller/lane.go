package controller

import (
	"time"

	"mulberrybeam"
)

// Lane is a class of events that wait for the control goroutine.
type Lane string

// Lanes, in the order in which the control goroutine takes events. Only LaneUrgent
// goes before the others, which take turns.
const (
	// LaneUrgent is for events that decide the configuration and its keys, drained
	// or removed targets, and zones that are taken out of service.
	LaneUrgent Lane = "urgent"
	// LaneDelivered is for other events of feeds and for results of actions.
	LaneDelivered Lane = "delivered"
	// LanePosted is for events of request handling.
	LanePosted Lane = "posted"
)

// LaneOf returns the lane of a delivered event. Registrations of targets may be many at
// a time; they wait behind what must take effect within a bound.
func LaneOf(event mulberrybeam.Event) Lane {
	urgent := false
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		urgent = isUrgentKind(event.Kind)
	case mulberrybeam.RecordChanged:
		urgent = isUrgentKind(event.Kind) && (event.Kind != mulberrybeam.ObjectTarget || !isAvailable(event))
	case mulberrybeam.FeedConfirmed:
		urgent = isUrgentKind(event.Kind)
	case mulberrybeam.FeedLost:
		// A list that came before the loss would remove targets without the time
		// to register again, so that both are in the same lane.
		urgent = isUrgentKind(event.Kind)
	}
	if urgent {
		return LaneUrgent
	}
	return LaneDelivered
}

func isUrgentKind(kind mulberrybeam.ObjectKind) bool {
	return kind == mulberrybeam.ObjectDeployment || kind == mulberrybeam.ObjectEvacuation || kind == mulberrybeam.ObjectTarget
}

// isAvailable reports whether the entry of a target lets it get requests.
func isAvailable(change mulberrybeam.RecordChanged) bool {
	return !change.Removed && change.Record.Target != nil && !change.Record.Target.Draining
}

// delivery is an event with its recipient, which is the index of one machine or
// allMachines.
type delivery struct {
	recipient int
	event     mulberrybeam.Event
	queuedAt  time.Duration
	// sequence increases with each event.
	sequence uint64
}

// overtaking knows which events of the urgent lane were taken before older ones of
// the other lane, so that an older state of an object never follows a newer one. Its
// zero value is ready for use by the control goroutine.
type overtaking struct {
	lists   map[mulberrybeam.ObjectKind]uint64
	objects map[objectName]uint64
}

type objectName struct {
	kind mulberrybeam.ObjectKind
	name string
}

// record records an event of the urgent lane.
func (o *overtaking) record(taken delivery) {
	switch event := taken.event.(type) {
	case mulberrybeam.RecordsListed:
		if o.lists == nil {
			o.lists = map[mulberrybeam.ObjectKind]uint64{}
		}
		o.lists[event.Kind] = taken.sequence
	case mulberrybeam.RecordChanged:
		if o.objects == nil {
			o.objects = map[objectName]uint64{}
		}
		o.objects[objectName{event.Kind, event.Name}] = taken.sequence
	}
}

// isOutdated reports whether an event of the other lane is older than what was
// recorded for its object.
func (o *overtaking) isOutdated(next delivery) bool {
	event, changed := next.event.(mulberrybeam.RecordChanged)
	if !changed {
		return false
	}
	return next.sequence < max(o.lists[event.Kind], o.objects[objectName{event.Kind, event.Name}])
}

// forget drops what was recorded. It may be called when no delivered event waits: the
// feed of a kind delivers its events in order, so that all older ones of it have been
// taken.
func (o *overtaking) forget() {
	clear(o.lists)
	clear(o.objects)
}

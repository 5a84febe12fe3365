package controller

import (
	"time"

	"mulberrybeam"
)

// Lane is a class of events that wait for the control goroutine, in their order.
type Lane string

// Lanes. The control goroutine takes all events of LaneUrgent first, then all of
// LaneTargets; the others take turns.
const (
	// LaneUrgent is for what decides the configuration and its keys, and zones that are
	// taken out of service, and for a new history of the store.
	LaneUrgent Lane = "urgent"
	// LaneTargets is for the targets. Their registrations wait with their removals, so
	// that a removal never goes before an older registration, and the confirmation of the
	// feed never before a change.
	LaneTargets Lane = "targets"
	// LaneDelivered is for other events of feeds and for results of actions.
	LaneDelivered Lane = "delivered"
	// LanePosted is for events of request handling.
	LanePosted Lane = "posted"
)

// LaneOf returns the lane of a delivered event. All events of a feed are in one lane.
func LaneOf(event mulberrybeam.Event) Lane {
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		return laneOfKind(event.Kind)
	case mulberrybeam.RecordChanged:
		return laneOfKind(event.Kind)
	case mulberrybeam.FeedConfirmed:
		return laneOfKind(event.Kind)
	case mulberrybeam.FeedLost:
		return laneOfKind(event.Kind)
	case mulberrybeam.StoreEraChanged:
		return LaneUrgent
	}
	return LaneDelivered
}

func laneOfKind(kind mulberrybeam.ObjectKind) Lane {
	switch kind {
	case mulberrybeam.ObjectDeployment, mulberrybeam.ObjectEvacuation:
		return LaneUrgent
	case mulberrybeam.ObjectTarget:
		return LaneTargets
	}
	return LaneDelivered
}

// delivery is an event with its recipient, which is the index of one machine or
// allMachines.
type delivery struct {
	recipient int
	event     mulberrybeam.Event
	queuedAt  time.Duration
}

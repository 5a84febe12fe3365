package sweeper_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/sweeper"
	"mulberrybeam/request/intender"
)

// keyAt returns a version 7 UUID for a time.
func keyAt(at time.Time) string {
	key := uuid.Must(uuid.NewV7())
	millis := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(millis >> (8 * (5 - i)))
	}
	return key.String()
}

// driver runs the machine and answers its calls from a set of records.
type driver struct {
	machine *sweeper.Sweeper
	now     time.Duration
	wall    time.Time
	records map[string]string
	lists   int
	deleted []string
}

func (d *driver) step(event mulberrybeam.Event) {
	turn := mulberrybeam.Turn{Now: d.now, Wall: d.wall.Add(d.now)}
	for _, action := range d.machine.Step(turn, event) {
		call := action.(mulberrybeam.CallObject)
		reply := mulberrybeam.ObjectReplied{Ticket: call.Ticket}
		switch call.Op {
		case mulberrybeam.OpList:
			d.lists++
			for name, key := range d.records {
				reply.Items = append(reply.Items, mulberrybeam.Object{Kind: call.Object.Kind, Name: name, Data: []byte(key)})
			}
		case mulberrybeam.OpDelete:
			d.deleted = append(d.deleted, call.Object.Name)
			delete(d.records, call.Object.Name)
		}
		d.step(reply)
	}
}

func (d *driver) run(duration time.Duration) {
	for end := d.now + duration; d.now < end; d.now += 100 * time.Millisecond {
		d.step(mulberrybeam.Tick{})
	}
}

// Guards against deleting a record whose key may still be accepted, and against
// records that are never deleted.
func TestHolderDeletesOnlyRecordsPastTheirRetention(t *testing.T) {
	is := is.New(t)
	wall := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &driver{wall: wall, records: map[string]string{
		"old":     keyAt(wall.Add(-25 * time.Hour)),
		"older":   keyAt(wall.Add(-48 * time.Hour)),
		"young":   keyAt(wall.Add(-23 * time.Hour)),
		"damaged": "",
	}}
	d.machine = sweeper.New(func(data []byte) (intender.Record, error) {
		if len(data) == 0 {
			return intender.Record{}, errors.New("damaged")
		}
		return intender.Record{Key: string(data)}, nil
	})
	d.step(mulberrybeam.ConfigurationChanged{Environment: &mulberrybeam.Environment{
		Regions: []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "b"}, {Name: "a"}}}},
		Limits:  mulberrybeam.Limits{IdempotencyRetention: 24 * time.Hour},
	}})
	d.run(time.Minute)
	is.Equal(d.lists, 0) // the process does not hold the slot
	d.step(mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{Slot: mulberrybeam.Slot{Zone: "b"}, Until: time.Hour}})
	d.run(time.Minute)
	is.Equal(d.lists, 0) // only the holder of the slot of zone a deletes records

	d.step(mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{Slot: mulberrybeam.Slot{Zone: "a"}, Until: 2 * time.Hour}})
	d.run(time.Minute)
	is.Equal(len(d.deleted), 2)
	is.Equal(len(d.records), 2)
	d.run(90 * time.Minute)
	is.Equal(len(d.deleted), 3) // the retention of the young record has ended
	_, kept := d.records["damaged"]
	is.True(kept)

	lists := d.lists
	d.now = 3 * time.Hour
	d.run(time.Minute)
	is.Equal(d.lists, lists) // the process no longer holds the slot
}

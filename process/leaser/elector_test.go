package leaser_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// Guards against an elector that extends an epoch after it was fenced.
func TestFencedEpochIsNeverExtended(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1")
	slot := mulberrybeam.Slot{Zone: "a"}
	ask := func(message mulberrybeam.Message) mulberrybeam.Message {
		return h.step(mulberrybeam.MessageReceived{Message: message})[0].(mulberrybeam.Reply).Message
	}
	is.Equal(ask(mulberrybeam.Extend{Slot: slot, Epoch: 3}), mulberrybeam.ExtendReply{Granted: true})
	h.now += 4 * time.Second
	is.Equal(ask(mulberrybeam.Fence{Slot: slot, Epoch: 3}), mulberrybeam.FenceReply{Fenced: true, Remaining: 6 * time.Second})
	is.Equal(ask(mulberrybeam.Extend{Slot: slot, Epoch: 3}), mulberrybeam.ExtendReply{})
	is.Equal(ask(mulberrybeam.Extend{Slot: slot, Epoch: 4}), mulberrybeam.ExtendReply{Granted: true})
}

// Guards against a restarted process that answers a Fence meant for its
// predecessor at the same address, whose extensions it does not know, as if none
// were running.
func TestRestartedElectorReportsFullLeaseRemaining(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/2")
	h.now = 3 * time.Second
	reply := h.step(mulberrybeam.MessageReceived{Message: mulberrybeam.Fence{Epoch: 3}})[0].(mulberrybeam.Reply)
	is.Equal(reply.Message, mulberrybeam.FenceReply{Fenced: true, Remaining: 8 * time.Second})
}

package controllertest

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/peerencoder"
)

// Bounds of the one-way delay of a message, within a zone and between zones.
// The design assumes low latency between the zones of a region.
const (
	minZoneDelay      = 200 * time.Microsecond
	maxZoneDelay      = 1 * time.Millisecond
	minCrossZoneDelay = 1 * time.Millisecond
	maxCrossZoneDelay = 5 * time.Millisecond
)

// MessageOverhead is the number of bytes added to the size of each encoded
// message: about 30 for the drpc frames and the method name, 22 for a TLS
// record, and 52 each for the TCP/IP headers of the packet and of its
// acknowledgement.
const MessageOverhead = 156

// Network holds the injected faults of the network between processes.
type Network struct {
	// LossRate is the fraction of messages that are lost, both requests and
	// replies.
	LossRate float64

	hostCuts map[[2]string]bool
	zoneCuts map[[2]mulberrybeam.ZoneName]bool
}

func newNetwork() Network {
	return Network{hostCuts: map[[2]string]bool{}, zoneCuts: map[[2]mulberrybeam.ZoneName]bool{}}
}

// Cut drops all messages from one host to another, in this direction only.
func (n *Network) Cut(from, to string) { n.hostCuts[[2]string{from, to}] = true }

// CutZones drops all messages between two zones, in both directions.
func (n *Network) CutZones(a, b mulberrybeam.ZoneName) {
	n.zoneCuts[[2]mulberrybeam.ZoneName{a, b}] = true
	n.zoneCuts[[2]mulberrybeam.ZoneName{b, a}] = true
}

// RemoveCuts removes all cuts. It does not change LossRate.
func (n *Network) RemoveCuts() {
	clear(n.hostCuts)
	clear(n.zoneCuts)
}

// Reaches reports whether messages from one host to another are not dropped by
// a cut.
func (n *Network) Reaches(from, to Host) bool {
	return !n.hostCuts[[2]string{from.Name, to.Name}] && !n.zoneCuts[[2]mulberrybeam.ZoneName{from.Zone, to.Zone}]
}

// pendingCall is a call that has not been answered yet.
type pendingCall struct {
	caller  *Process
	call    mulberrybeam.Call
	sentAt  time.Duration
	onReply func(mulberrybeam.Message)
}

func (f *Fleet) call(caller *Process, call mulberrybeam.Call) {
	f.lastTicket++
	ticket := f.lastTicket
	f.pending[ticket] = pendingCall{caller: caller, call: call, sentAt: caller.Now()}
	f.After(caller.inFleetTime(call.Timeout), func() {
		f.completeCall(ticket, nil, newFailure(mulberrybeam.CodePeerUnreachable, "call to peer timed out"))
	})
	target := f.processes[f.byAddress[call.Address]]
	if target == nil {
		f.After(0, func() {
			f.completeCall(ticket, nil, newFailure(mulberrybeam.CodePeerUnreachable, "no host has this address"))
		})
		return
	}
	message, size := reencode(call.Message)
	caller.Traffic.Sent++
	caller.Traffic.SentBytes += size
	delay, lost := f.simulateTransit(caller.Host, target.Host)
	if lost {
		return
	}
	f.After(delay, func() { f.deliverCall(ticket, caller, call.Address, message, size) })
}

func (f *Fleet) deliverCall(ticket mulberrybeam.Ticket, caller *Process, address string, message mulberrybeam.Message, size int) {
	target := f.processes[f.byAddress[address]]
	if !target.running {
		f.countHit(FaultProcessDown)
		delay, lost := f.simulateTransit(target.Host, caller.Host)
		if lost {
			return
		}
		f.After(delay, func() {
			f.completeCall(ticket, nil, newFailure(mulberrybeam.CodePeerUnreachable, "connection refused"))
		})
		return
	}
	target.Traffic.Received++
	target.Traffic.ReceivedBytes += size
	target.deliver(mulberrybeam.MessageReceived{From: caller.ID, Message: message, Ticket: ticket})
}

func (f *Fleet) reply(from *Process, reply mulberrybeam.Reply) {
	pending, exists := f.pending[reply.Ticket]
	if !exists {
		return
	}
	if pending.onReply != nil {
		delete(f.pending, reply.Ticket)
		pending.onReply(reply.Message)
		return
	}
	message, size := reencode(reply.Message)
	from.Traffic.Sent++
	from.Traffic.SentBytes += size
	delay, lost := f.simulateTransit(from.Host, pending.caller.Host)
	if lost {
		return
	}
	f.After(delay, func() {
		if _, exists := f.pending[reply.Ticket]; exists {
			pending.caller.Traffic.Received++
			pending.caller.Traffic.ReceivedBytes += size
		}
		f.completeCall(reply.Ticket, message, nil)
	})
}

// completeCall completes a call with a reply, an error or a timeout, whichever
// comes first. Later results are ignored.
func (f *Fleet) completeCall(ticket mulberrybeam.Ticket, message mulberrybeam.Message, err error) {
	pending, exists := f.pending[ticket]
	if !exists {
		return
	}
	delete(f.pending, ticket)
	pending.caller.deliver(mulberrybeam.ReplyReceived{
		From: pending.call.To, Ticket: pending.call.Ticket, Message: message, Err: err, SentAt: pending.sentAt,
	})
}

func (f *Fleet) simulateTransit(from, to Host) (delay time.Duration, lost bool) {
	if !f.Network.Reaches(from, to) {
		f.countHit(FaultLinkCut)
		return 0, true
	}
	if f.Network.LossRate > 0 && f.rand.Float64() < f.Network.LossRate {
		f.countHit(FaultLoss)
		return 0, true
	}
	if from.Zone == to.Zone {
		return f.randomDelay(minZoneDelay, maxZoneDelay), false
	}
	return f.randomDelay(minCrossZoneDelay, maxCrossZoneDelay), false
}

// reencode encodes and decodes a message with the production encoder, so that
// its size is realistic and processes share no memory.
func reencode(message mulberrybeam.Message) (mulberrybeam.Message, int) {
	data, err := peerencoder.Encode(message)
	if err != nil {
		panic(err)
	}
	decoded, err := peerencoder.Decode(data)
	if err != nil {
		panic(err)
	}
	return decoded, len(data) + MessageOverhead
}

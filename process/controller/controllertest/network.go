package controllertest

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/peerencoder"
)

// One-way delays of a message. The design's network has low latency between
// zones of a region.
const (
	zoneDelayLow    = 200 * time.Microsecond
	zoneDelayHigh   = 1 * time.Millisecond
	remoteDelayLow  = 1 * time.Millisecond
	remoteDelayHigh = 5 * time.Millisecond
)

// MessageOverhead is added to the size of each encoded message, in bytes: about
// 30 of drpc frames and call name, 22 of a TLS record, and 52 each for the
// TCP/IP headers of the packet and of its acknowledgement.
const MessageOverhead = 156

// Network holds the faults of the network between processes.
type Network struct {
	// Loss is the share of messages lost, requests and replies alike.
	Loss float64

	hostCuts map[[2]string]bool
	zoneCuts map[[2]mulberrybeam.ZoneName]bool
}

func newNetwork() Network {
	return Network{hostCuts: map[[2]string]bool{}, zoneCuts: map[[2]mulberrybeam.ZoneName]bool{}}
}

// Cut drops what one host sends to another, in this direction only.
func (n *Network) Cut(from, to string) { n.hostCuts[[2]string{from, to}] = true }

// CutZones drops everything between two zones.
func (n *Network) CutZones(a, b mulberrybeam.ZoneName) {
	n.zoneCuts[[2]mulberrybeam.ZoneName{a, b}] = true
	n.zoneCuts[[2]mulberrybeam.ZoneName{b, a}] = true
}

// Heal removes all cuts. Loss stays.
func (n *Network) Heal() {
	clear(n.hostCuts)
	clear(n.zoneCuts)
}

// Reaches says whether no cut is between two hosts in this direction.
func (n *Network) Reaches(from, to Host) bool {
	return !n.hostCuts[[2]string{from.Name, to.Name}] && !n.zoneCuts[[2]mulberrybeam.ZoneName{from.Zone, to.Zone}]
}

// pendingCall is a message that was not answered yet.
type pendingCall struct {
	caller   *Process
	call     mulberrybeam.Call
	sentAt   time.Duration
	answered func(mulberrybeam.Message)
}

func (f *Fleet) call(caller *Process, call mulberrybeam.Call) {
	f.tickets++
	ticket := f.tickets
	f.pending[ticket] = pendingCall{caller: caller, call: call, sentAt: caller.Now()}
	f.After(caller.inFleetTime(call.Timeout), func() {
		f.finish(ticket, nil, failure(mulberrybeam.CodePeerUnreachable, "peer did not answer in time"))
	})
	target := f.processes[f.byAddress[call.Address]]
	if target == nil {
		f.After(0, func() {
			f.finish(ticket, nil, failure(mulberrybeam.CodePeerUnreachable, "address is unknown"))
		})
		return
	}
	message, size := transfer(call.Message)
	caller.Traffic.Sent++
	caller.Traffic.SentBytes += size
	delay, lost := f.transit(caller.Host, target.Host)
	if lost {
		return
	}
	f.After(delay, func() { f.arrive(ticket, caller, call.Address, message, size) })
}

func (f *Fleet) arrive(ticket mulberrybeam.Ticket, caller *Process, address string, message mulberrybeam.Message, size int) {
	target := f.processes[f.byAddress[address]]
	if !target.running {
		f.hit(FaultDead)
		delay, lost := f.transit(target.Host, caller.Host)
		if lost {
			return
		}
		f.After(delay, func() {
			f.finish(ticket, nil, failure(mulberrybeam.CodePeerUnreachable, "connection refused"))
		})
		return
	}
	target.Traffic.Received++
	target.Traffic.ReceivedBytes += size
	target.deliver(mulberrybeam.MessageReceived{From: caller.ID, Message: message, Ticket: ticket})
}

func (f *Fleet) reply(from *Process, reply mulberrybeam.Reply) {
	pending, waiting := f.pending[reply.Ticket]
	if !waiting {
		return
	}
	if pending.answered != nil {
		delete(f.pending, reply.Ticket)
		pending.answered(reply.Message)
		return
	}
	message, size := transfer(reply.Message)
	from.Traffic.Sent++
	from.Traffic.SentBytes += size
	delay, lost := f.transit(from.Host, pending.caller.Host)
	if lost {
		return
	}
	f.After(delay, func() {
		if _, waiting := f.pending[reply.Ticket]; waiting {
			pending.caller.Traffic.Received++
			pending.caller.Traffic.ReceivedBytes += size
		}
		f.finish(reply.Ticket, message, nil)
	})
}

// finish answers a call once: with the reply, an error or the timeout,
// whichever comes first.
func (f *Fleet) finish(ticket mulberrybeam.Ticket, message mulberrybeam.Message, err error) {
	pending, waiting := f.pending[ticket]
	if !waiting {
		return
	}
	delete(f.pending, ticket)
	pending.caller.deliver(mulberrybeam.ReplyReceived{
		From: pending.call.To, Ticket: pending.call.Ticket, Message: message, Err: err, SentAt: pending.sentAt,
	})
}

func (f *Fleet) transit(from, to Host) (delay time.Duration, lost bool) {
	if !f.Network.Reaches(from, to) {
		f.hit(FaultCut)
		return 0, true
	}
	if f.Network.Loss > 0 && f.rand.Float64() < f.Network.Loss {
		f.hit(FaultLoss)
		return 0, true
	}
	if from.Zone == to.Zone {
		return f.between(zoneDelayLow, zoneDelayHigh), false
	}
	return f.between(remoteDelayLow, remoteDelayHigh), false
}

// transfer sends a message through the encoder of the real connections, so
// that sizes are real and processes share no memory.
func transfer(message mulberrybeam.Message) (mulberrybeam.Message, int) {
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

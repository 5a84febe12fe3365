package loadencoder

import (
	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

// maxTickets limits the loans of each kind in a datagram.
const maxTickets = 500

// wireShareUpdate is the encoded form of a mulberrybeam.ShareUpdate.
type wireShareUpdate struct {
	Asks     wireAsks
	Grants   wireTickets
	Returned wireTickets
	Held     wireTickets
}

// wireAsk is the encoded form of a mulberrybeam.ShareAsk.
type wireAsk struct {
	Target string
	Ticket uint64
}

type (
	wireAsks    []wireAsk
	wireTickets []uint64
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *wireAsks) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxTickets, (*[]wireAsk)(a))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *wireTickets) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxTickets, (*[]uint64)(t))
}

func isEmpty(update mulberrybeam.ShareUpdate) bool {
	return len(update.Asks) == 0 && len(update.Grants) == 0 && len(update.Returned) == 0 && len(update.Held) == 0
}

// encodeShares returns the encoded form, with as many elements as a datagram may hold.
func encodeShares(update mulberrybeam.ShareUpdate) wireShareUpdate {
	wire := wireShareUpdate{Grants: encodeTickets(update.Grants), Returned: encodeTickets(update.Returned), Held: encodeTickets(update.Held)}
	for _, ask := range update.Asks[:min(len(update.Asks), maxTickets)] {
		wire.Asks = append(wire.Asks, wireAsk{string(ask.Target), uint64(ask.Ticket)})
	}
	return wire
}

func encodeTickets(tickets []mulberrybeam.ShareTicket) wireTickets {
	var wire wireTickets
	for _, ticket := range tickets[:min(len(tickets), maxTickets)] {
		wire = append(wire, uint64(ticket))
	}
	return wire
}

// update returns the decoded form.
func (s wireShareUpdate) update() mulberrybeam.ShareUpdate {
	update := mulberrybeam.ShareUpdate{Grants: s.Grants.tickets(), Returned: s.Returned.tickets(), Held: s.Held.tickets()}
	for _, ask := range s.Asks {
		update.Asks = append(update.Asks, mulberrybeam.ShareAsk{Target: mulberrybeam.InstanceID(ask.Target), Ticket: mulberrybeam.ShareTicket(ask.Ticket)})
	}
	return update
}

func (t wireTickets) tickets() []mulberrybeam.ShareTicket {
	var tickets []mulberrybeam.ShareTicket
	for _, ticket := range t {
		tickets = append(tickets, mulberrybeam.ShareTicket(ticket))
	}
	return tickets
}

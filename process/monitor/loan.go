package monitor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/chooser"
)

const (
	// askInterval is the time between two asks of this process for a share at a target of
	// one service, which covers a round trip to another zone.
	askInterval = 25 * time.Millisecond
	// grantTime is how long after its ask a grant is accepted, and startTime how long after
	// the grant a request may be sent with the borrowed share.
	grantTime = 100 * time.Millisecond
	startTime = 100 * time.Millisecond
	// missingTime is the age from which on a loan is over that its borrower does not list.
	// It is longer than grantTime and the way of two datagrams.
	missingTime = 300 * time.Millisecond
	// silentTime is how long a loan lasts whose borrower is not heard. It is several times
	// the usual 0.5 s between two datagrams of a peer in a large fleet.
	silentTime = 2 * time.Second
	// outboxSize limits the messages that wait to be sent. More are dropped, like lost
	// datagrams.
	outboxSize = 256
)

// loan is a share of a fragile target that one process lends to another.
type loan struct {
	ticket mulberrybeam.ShareTicket
	peer   mulberrybeam.ProcessID
	// at is when the lender granted it, or when the borrower received that. heardAt is
	// when the lender last heard of it from the borrower.
	at, heardAt time.Duration
}

// pendingAsk is an ask of this process for which no grant has come.
type pendingAsk struct {
	ticket mulberrybeam.ShareTicket
	lender mulberrybeam.ProcessID
	target mulberrybeam.InstanceID
	at     time.Duration
}

// loans is the state of loans that belongs to no target.
type loans struct {
	loanMutex sync.Mutex
	asks      []pendingAsk
	// askedAt is when this process last asked for a share, by service.
	askedAt   map[mulberrybeam.ServiceName]time.Duration
	lentCount atomic.Int64
	// fragileUntil is the time.Duration until which any target counts as fragile.
	fragileUntil atomic.Int64
	outbox       chan mulberrybeam.ShareMessage
}

func newLoans() loans {
	return loans{askedAt: map[mulberrybeam.ServiceName]time.Duration{}, outbox: make(chan mulberrybeam.ShareMessage, outboxSize)}
}

// Outbox returns the messages on shares that are to be sent to peers.
func (m *Monitor) Outbox() <-chan mulberrybeam.ShareMessage { return m.outbox }

// noteFragile records that a target counts as fragile until a time.
func (m *Monitor) noteFragile(until time.Duration) {
	for {
		known := m.fragileUntil.Load()
		if int64(until) <= known || m.fragileUntil.CompareAndSwap(known, int64(until)) {
			return
		}
	}
}

func (m *Monitor) post(message mulberrybeam.ShareMessage) {
	select {
	case m.outbox <- message:
	default:
	}
}

// Borrow asks another process for a share of a fragile target of the service, unless it
// did so within askInterval.
func (m *Monitor) Borrow(random *rand.Rand, fleet *mulberrybeam.Fleet, self mulberrybeam.ProcessID, service mulberrybeam.ServiceName) {
	now := m.now()
	if now >= time.Duration(m.fragileUntil.Load()) {
		return
	}
	m.loanMutex.Lock()
	defer m.loanMutex.Unlock()
	if at, asked := m.askedAt[service]; asked && now-at < askInterval {
		return
	}
	target, lender := chooser.Lender(now, random, fleet, m, self, service)
	if lender == "" {
		return
	}
	m.askedAt[service] = now
	m.asks = slices.DeleteFunc(m.asks, func(a pendingAsk) bool { return now-a.at >= grantTime })
	ask := pendingAsk{ticket: mulberrybeam.ShareTicket(random.Uint64()), lender: lender, target: target.ID, at: now}
	m.asks = append(m.asks, ask)
	m.post(mulberrybeam.ShareMessage{To: lender, ShareUpdate: mulberrybeam.ShareUpdate{Asks: []mulberrybeam.ShareAsk{{Target: target.ID, Ticket: ask.ticket}}}})
}

// ReceiveShares handles what a peer says about shares.
func (m *Monitor) ReceiveShares(from, self mulberrybeam.ProcessID, fleet *mulberrybeam.Fleet, update mulberrybeam.ShareUpdate) {
	if fleet == nil || len(update.Asks) == 0 && len(update.Grants) == 0 && len(update.Returned) == 0 && m.lentCount.Load() == 0 {
		return
	}
	m.settleLoans(from, update)
	for _, ask := range update.Asks {
		if target := findTarget(fleet, ask.Target); target != nil && m.lend(from, self, fleet, target, ask.Ticket) {
			m.post(mulberrybeam.ShareMessage{To: from, ShareUpdate: mulberrybeam.ShareUpdate{Grants: []mulberrybeam.ShareTicket{ask.Ticket}}})
		}
	}
	for _, ticket := range update.Grants {
		m.accept(ticket)
	}
}

func findTarget(fleet *mulberrybeam.Fleet, id mulberrybeam.InstanceID) *mulberrybeam.FleetTarget {
	for _, targets := range fleet.Targets {
		for i := range targets {
			if targets[i].ID == id {
				return &targets[i]
			}
		}
	}
	return nil
}

// lend lends a share of a target if one is free.
func (m *Monitor) lend(to, self mulberrybeam.ProcessID, fleet *mulberrybeam.Fleet, target *mulberrybeam.FleetTarget, ticket mulberrybeam.ShareTicket) bool {
	state := m.lockTarget(target.ID)
	defer state.mutex.Unlock()
	f, now := &state.fragile, state.usedAt
	if !f.isFragile(now) || state.usedShares() >= chooser.Shares(fleet.EntryHosts, self, target, f.maxRefusals) {
		return false
	}
	f.lent = append(f.lent, loan{ticket: ticket, peer: to, at: now, heardAt: now})
	m.lentCount.Add(1)
	return true
}

// settleLoans ends the loans that a borrower returns or does not list any more, and those
// whose borrowers are silent.
func (m *Monitor) settleLoans(from mulberrybeam.ProcessID, update mulberrybeam.ShareUpdate) {
	if m.lentCount.Load() == 0 {
		return
	}
	now := m.now()
	for _, state := range m.allTargets() {
		state.mutex.Lock()
		before := len(state.fragile.lent)
		state.fragile.lent = slices.DeleteFunc(state.fragile.lent, func(l loan) bool {
			missing := now-l.at >= missingTime && !slices.Contains(update.Held, l.ticket)
			return l.peer == from && (missing || slices.Contains(update.Returned, l.ticket)) || now-l.heardAt >= silentTime
		})
		for i := range state.fragile.lent {
			if l := &state.fragile.lent[i]; l.peer == from {
				l.heardAt = now
			}
		}
		m.lentCount.Add(int64(len(state.fragile.lent) - before))
		state.mutex.Unlock()
	}
}

// accept uses a share that was granted, if it was asked for a short while ago.
func (m *Monitor) accept(ticket mulberrybeam.ShareTicket) {
	m.loanMutex.Lock()
	defer m.loanMutex.Unlock()
	at := slices.IndexFunc(m.asks, func(a pendingAsk) bool { return a.ticket == ticket })
	if at < 0 {
		return
	}
	ask := m.asks[at]
	m.asks = slices.Delete(m.asks, at, at+1)
	if now := m.now(); now-ask.at < grantTime {
		state := m.lockTarget(ask.target)
		state.fragile.borrowed = append(state.fragile.borrowed, loan{ticket: ticket, peer: ask.lender, at: now})
		state.mutex.Unlock()
	}
}

// returnShares gives back the borrowed shares that hold no request. own is the number of
// shares that the process has itself.
func (m *Monitor) returnShares(state *targetStats, own int) {
	f, now := &state.fragile, state.usedAt
	for len(f.borrowed) > 0 && now-f.borrowed[0].at >= startTime && state.usedShares() < own+len(f.borrowed) {
		l := f.borrowed[0]
		f.borrowed = f.borrowed[1:]
		// Said twice, since a share whose return is lost is not used until a later datagram.
		for range 2 {
			m.post(mulberrybeam.ShareMessage{To: l.peer, ShareUpdate: mulberrybeam.ShareUpdate{Returned: []mulberrybeam.ShareTicket{l.ticket}}})
		}
	}
}

// ReturnShares gives back the borrowed shares of all targets that hold no request. It
// returns those that are kept.
func (m *Monitor) ReturnShares() (held []mulberrybeam.ShareTicket) {
	states := maps.Collect(m.allTargets())
	// The order is fixed so that a run in virtual time can be repeated.
	for _, id := range slices.Sorted(maps.Keys(states)) {
		state := states[id]
		state.mutex.Lock()
		if len(state.fragile.borrowed) > 0 {
			state.usedAt = m.now()
			m.returnShares(state, state.fragile.ownShares)
			for _, l := range state.fragile.borrowed {
				held = append(held, l.ticket)
			}
		}
		state.mutex.Unlock()
	}
	return held
}

// Package gossiper is the state machine for cluster membership and for facts,
// which are replicated by a gossip protocol. Processes of a zone exchange
// heartbeats and facts with random peers; the two relays of a zone do the same
// with the relays of other zones. The object API is used only to find the first
// peers.
//
// The machine tracks all members of its own zone and two relays of each other
// zone. Each process detects failures by itself: it measures the time since a
// member's heartbeat last increased on its own monotonic clock. Detection thus
// does not depend on wall clocks, and no process declares a member dead because
// another one says so.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// Intervals, timeouts and limits of the gossip protocol.
const (
	// ExchangeInterval is the time between two gossip rounds.
	ExchangeInterval = time.Second
	// SuspectAfter and DeadAfter are the times without an increase of its
	// heartbeat after which a member is considered suspect or dead.
	SuspectAfter = 5 * time.Second
	DeadAfter    = 15 * time.Second

	// peersPerRound is the number of members contacted in each round.
	peersPerRound = 2
	// largeZoneSize is the number of members above which a process learns
	// most heartbeats indirectly, through other members.
	largeZoneSize = 8
	// smallZoneBytesRatio is the size limit of the facts in a message in a zone
	// that is not large, relative to the limit in a large one. The records of
	// few members leave room for more facts.
	smallZoneBytesRatio = 1.6
	// maxJoinBytes limits the facts sent to a joining process. With the
	// lower limit of other exchanges, the process would learn the owners of
	// targets only after 10 s.
	maxJoinBytes = 64 << 10
	// roundsPerFullExchange is the number of rounds between two full
	// exchanges, which carry complete records and a digest of the stored
	// facts.
	roundsPerFullExchange = 10
	// roundsPerReconnect is the number of rounds between two attempts to
	// contact a dead member or a seed never heard from, so that partitions
	// heal.
	roundsPerReconnect = 5
	// transmitLimit is the number of messages in which a process sends a
	// new fact or the complete record of a new member.
	transmitLimit = 3
	// minPushInterval is the minimum time between two rounds when urgent
	// facts must spread faster than one round per second allows.
	minPushInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two steps from which on the
	// process must have been paused. Ticks come every 100 ms.
	pauseThreshold = 2 * time.Second
	// zoneTimeout and remoteTimeout are the timeouts of an exchange within
	// the zone and with another zone.
	zoneTimeout   = time.Second
	remoteTimeout = 2 * time.Second
)

// LocalMember identifies the local process.
type LocalMember struct {
	ID      mulberrybeam.ProcessID
	Zone    mulberrybeam.ZoneName
	Address string
	// CallerAddress is the address for callers, empty if unknown.
	CallerAddress string
}

// Gossiper is the state machine of one process. It is not safe for concurrent
// use: only the control goroutine calls it.
type Gossiper struct {
	self          mulberrybeam.Member
	exchangeBytes int
	encode        func([]mulberrybeam.Member) []byte
	decode        func([]byte) ([]mulberrybeam.Member, error)

	stamps  *stamper.Clock
	members roster
	relays  roster
	// activeRelays has the relays of other zones that are in use.
	activeRelays roster
	// reviewPending requests a review of the members at the end of this
	// step.
	reviewPending bool
	seeds         map[mulberrybeam.ZoneName][]mulberrybeam.Member
	// configuredSeeds are used in addition to the processes of the
	// directory.
	configuredSeeds  map[mulberrybeam.ZoneName][]mulberrybeam.Member
	facts            factStore
	directory        directoryState
	summary          factSummary
	pendingExchanges map[mulberrybeam.Ticket]pendingExchange

	turn        mulberrybeam.Turn
	actions     []mulberrybeam.Action
	lastStepAt  time.Duration
	nextRoundAt time.Duration
	lastRoundAt time.Duration
	round       int
	// pushPending is set when urgent facts or a new revision are to be sent
	// before the next round.
	pushPending bool
	// pushedRevision is the revision sent by the last push.
	pushedRevision mulberrybeam.Revision
	announced      announcement
	// slotHeldUntil is until when this process holds slot 0 of its zone.
	slotHeldUntil time.Duration
	started       bool
	lastReviewAt  time.Duration
	// joined is set once a process of the zone has replied. The reply to a
	// joining process contains the facts known there, up to maxJoinBytes.
	joined bool
}

// pendingExchange is a sent Exchange whose reply is outstanding.
type pendingExchange struct {
	to    mulberrybeam.ProcessID
	zone  mulberrybeam.ZoneName
	facts []mulberrybeam.Fact
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithDirectory sets the codec of the directory objects. Without it the process
// does not use the object API.
func WithDirectory(encode func([]mulberrybeam.Member) []byte, decode func([]byte) ([]mulberrybeam.Member, error)) Option {
	return func(g *Gossiper) { g.encode, g.decode = encode, decode }
}

// WithSeeds adds configured processes to contact in addition to those listed in
// the directory. Their ids may be empty.
func WithSeeds(seeds ...mulberrybeam.Member) Option {
	return func(g *Gossiper) {
		for _, seed := range seeds {
			g.seeds[seed.Zone] = append(g.seeds[seed.Zone], seed)
			g.configuredSeeds[seed.Zone] = append(g.configuredSeeds[seed.Zone], seed)
		}
	}
}

// WithExchangeBytes limits the estimated size of the facts in one message.
// Messages to other zones get a quarter of it.
func WithExchangeBytes(limit int) Option {
	return func(g *Gossiper) { g.exchangeBytes = limit }
}

// WithHeartbeat sets the initial heartbeat. Benchmarks use it because the
// records of members that have run for days are larger.
func WithHeartbeat(first uint64) Option {
	return func(g *Gossiper) { g.self.Heartbeat = first }
}

// New returns a Gossiper for a process.
func New(self LocalMember, options ...Option) *Gossiper {
	gossiper := &Gossiper{
		self: mulberrybeam.Member{
			ID: self.ID, Zone: self.Zone, Address: self.Address, CallerAddress: self.CallerAddress,
			Heartbeat: 1, State: mulberrybeam.MemberAlive,
		},
		exchangeBytes:    defaultExchangeBytes,
		stamps:           stamper.New(self.ID),
		members:          newRoster(),
		relays:           newRoster(),
		activeRelays:     newRoster(),
		seeds:            map[mulberrybeam.ZoneName][]mulberrybeam.Member{},
		configuredSeeds:  map[mulberrybeam.ZoneName][]mulberrybeam.Member{},
		facts:            newFactStore(),
		summary:          newFactSummary(),
		pendingExchanges: map[mulberrybeam.Ticket]pendingExchange{},
	}
	for _, option := range options {
		option(gossiper)
	}
	return gossiper
}

// Step handles one event and returns the resulting actions.
func (g *Gossiper) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	g.turn, g.actions = turn, nil
	g.compensateForPause()
	switch event := event.(type) {
	case mulberrybeam.Tick:
		g.tick()
	case mulberrybeam.MessageReceived:
		if message, matches := event.Message.(mulberrybeam.Exchange); matches {
			g.handleExchange(event.Ticket, message)
		}
	case mulberrybeam.ReplyReceived:
		g.handleExchangeReply(event)
	case mulberrybeam.ObjectReplied:
		g.handleDirectoryReply(event)
	case mulberrybeam.FactChanged:
		if event.Local {
			g.publishFact(event.Fact)
		}
	case mulberrybeam.UsageMeasured:
		g.publishUse(event)
	case mulberrybeam.ConfigurationChanged:
		g.handleConfiguration(event)
	case mulberrybeam.SlotOwnershipChanged:
		if event.Ownership.Slot == (mulberrybeam.Slot{Zone: g.self.Zone}) {
			g.slotHeldUntil = event.Ownership.Until
		}
	case mulberrybeam.ShutdownRequested:
		g.leave()
	}
	if g.reviewPending {
		g.reviewPending = false
		g.announceChanges()
	}
	return g.actions
}

// FillSnapshot sets the members, relays, crashes, link use and workspace shares of a
// snapshot.
func (g *Gossiper) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	snapshot.Members = slices.Clone(g.announced.members)
	snapshot.Relays = slices.Clone(g.announced.relays)
	snapshot.Crashes = g.summary.crashes
	snapshot.LinkUse = g.summary.links
	snapshot.Shares = g.summary.shares
}

// compensateForPause compensates for a pause of this process, during which it
// could not receive heartbeats, so that it does not suspect all other members.
func (g *Gossiper) compensateForPause() {
	gap := g.turn.Now - g.lastStepAt
	g.lastStepAt = g.turn.Now
	if !g.started || gap < pauseThreshold {
		return
	}
	for _, roster := range []roster{g.members, g.relays} {
		for member := range maps.Values(roster.byID) {
			member.lastIncreaseAt += gap
		}
	}
}

// tick calls the object API, reviews members and facts once per
// ExchangeInterval, and starts the exchanges that are due.
func (g *Gossiper) tick() {
	now := g.turn.Now
	if !g.started {
		g.started = true
		g.nextRoundAt = now + jitter(g.turn, ExchangeInterval)
	}
	g.pollDirectory()
	if now-g.lastReviewAt >= ExchangeInterval {
		g.lastReviewAt = now
		g.reviewPending = true
		g.expireFacts()
		g.recomputeUse()
	}
	switch {
	case now >= g.nextRoundAt:
		g.exchangeRound()
	case g.pushPending && now-g.lastRoundAt >= minPushInterval:
		g.pushRound()
	}
}

// leave announces at the first call that the process is leaving, and at the
// second that it has left.
func (g *Gossiper) leave() {
	if g.self.State == mulberrybeam.MemberAlive {
		g.self.State = mulberrybeam.MemberLeaving
	} else {
		g.self.State = mulberrybeam.MemberLeft
	}
	g.self.Heartbeat++
	g.reviewPending = true
	g.exchangeRound()
}

// handleConfiguration applies a new configuration. A higher revision is
// announced to the peers without waiting for the next round.
func (g *Gossiper) handleConfiguration(event mulberrybeam.ConfigurationChanged) {
	g.summary.tables = event.Tables
	g.summary.stale = true
	g.recomputeUse()
	if event.Environment.Revision <= g.self.Revision {
		return
	}
	g.self.Revision = event.Environment.Revision
	g.self.Heartbeat++
	g.reviewPending, g.pushPending = true, true
}

func (g *Gossiper) emit(action mulberrybeam.Action) { g.actions = append(g.actions, action) }

func (g *Gossiper) logEntry(kind mulberrybeam.EntryKind, subject, text string) {
	g.emit(mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
		Stamp: g.stamps.Next(g.turn.Wall), Process: g.self.ID, Kind: kind, Subject: subject, Text: text,
	}})
}

// jitter returns a random duration from 0 to below the given maximum.
func jitter(turn mulberrybeam.Turn, limit time.Duration) time.Duration {
	return time.Duration(turn.Rand.Int64N(int64(limit)))
}

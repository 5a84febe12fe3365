// Package gossiper is the control machine for membership and facts. Processes
// of a zone exchange heartbeats and facts with random peers; the two relays
// of a zone do so with the relays of other zones. The object API is used only
// to find the first peers.
//
// The machine keeps the full membership of its own zone and two relays of
// each other zone. A process judges each member by the increase of its
// heartbeat on its own monotonic clock, so that no wall clock matters and no
// process can declare another dead on behalf of a third.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// Times and counts of membership.
const (
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = time.Second
	// SuspectAfter and DeadAfter are the times without an increase of a
	// member's heartbeat after which it is suspect and dead.
	SuspectAfter = 5 * time.Second
	DeadAfter    = 15 * time.Second

	// peersPerRound is the number of live members exchanged with each round.
	peersPerRound = 2
	// largeZone is the number of members above which a process hears of
	// each heartbeat mostly through others.
	largeZone = 8
	// joinBytes bounds the facts for a new process. Within the bound of
	// other exchanges it learned the owners of targets only after 10 s.
	joinBytes = 64 << 10
	// fullEvery is the number of rounds between two full comparisons.
	fullEvery = 10
	// lostEvery is the number of rounds between two attempts to reach a
	// member that is dead or was never heard of, which heals partitions.
	lostEvery = 5
	// transmitBudget is the number of exchanges that carry a new fact or
	// the whole record of a new member.
	transmitBudget = 3
	// pushGap is the least time between two rounds, for news that must
	// spread faster than one round a second.
	pushGap = 200 * time.Millisecond
	// pauseGap is the time between two steps from which the process must
	// have been paused. Ticks come every 100 ms.
	pauseGap = 2 * time.Second
	// zoneTimeout and remoteTimeout bound an exchange within the zone and
	// across zones.
	zoneTimeout   = time.Second
	remoteTimeout = 2 * time.Second
)

// Self is what a process knows of itself when it starts.
type Self struct {
	ID      mulberrybeam.ProcessID
	Zone    mulberrybeam.ZoneName
	Address string
	// CallerAddress is where callers reach the process, empty if unknown.
	CallerAddress string
}

// Gossiper is the machine. It is driven by the control goroutine only.
type Gossiper struct {
	self          mulberrybeam.Member
	exchangeBytes int
	encode        func([]mulberrybeam.Member) []byte
	decode        func([]byte) ([]mulberrybeam.Member, error)

	stamps  *stamper.Stamper
	members roster
	relays  roster
	// active are the relays of other zones that count now.
	active roster
	// changed asks for a review before the next second.
	changed bool
	seeds   map[mulberrybeam.ZoneName][]mulberrybeam.Member
	// settled are the seeds of the settings, kept beside the directory.
	settled   map[mulberrybeam.ZoneName][]mulberrybeam.Member
	facts     store
	directory directory
	uses      uses
	pending   map[mulberrybeam.Ticket]exchange

	turn      mulberrybeam.Turn
	out       []mulberrybeam.Action
	steppedAt time.Duration
	nextRound time.Duration
	lastRound time.Duration
	round     int
	urgent    bool
	// pushedRevision is the revision told by the last push.
	pushedRevision mulberrybeam.Revision
	announced      announcement
	zoneSlot       time.Duration
	started        bool
	lastReview     time.Duration
	// joined says that a process of the zone has sent all its facts.
	joined bool
}

// exchange is an Exchange that was not answered yet.
type exchange struct {
	to    mulberrybeam.ProcessID
	zone  mulberrybeam.ZoneName
	facts []mulberrybeam.Fact
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithDirectory sets the codec of the directory object. Without it the
// process does not use the object API.
func WithDirectory(encode func([]mulberrybeam.Member) []byte, decode func([]byte) ([]mulberrybeam.Member, error)) Option {
	return func(g *Gossiper) { g.encode, g.decode = encode, decode }
}

// WithSeeds names processes of the settings to contact besides those of the
// directory. Their ids may be empty.
func WithSeeds(seeds ...mulberrybeam.Member) Option {
	return func(g *Gossiper) {
		for _, seed := range seeds {
			g.seeds[seed.Zone] = append(g.seeds[seed.Zone], seed)
			g.settled[seed.Zone] = append(g.settled[seed.Zone], seed)
		}
	}
}

// WithExchangeBytes bounds the estimated bytes of facts in one exchange.
// Exchanges across zones carry a quarter of it.
func WithExchangeBytes(limit int) Option {
	return func(g *Gossiper) { g.exchangeBytes = limit }
}

// WithHeartbeat sets the first heartbeat. Measurements use it, since the rows
// of members that have run for days are longer.
func WithHeartbeat(first uint64) Option {
	return func(g *Gossiper) { g.self.Heartbeat = first }
}

// New returns the machine of a process.
func New(self Self, options ...Option) *Gossiper {
	gossiper := &Gossiper{
		self: mulberrybeam.Member{
			ID: self.ID, Zone: self.Zone, Address: self.Address, CallerAddress: self.CallerAddress,
			Heartbeat: 1, State: mulberrybeam.MemberAlive,
		},
		exchangeBytes: defaultExchangeBytes,
		stamps:        stamper.New(self.ID),
		members:       newRoster(),
		relays:        newRoster(),
		active:        newRoster(),
		seeds:         map[mulberrybeam.ZoneName][]mulberrybeam.Member{},
		settled:       map[mulberrybeam.ZoneName][]mulberrybeam.Member{},
		facts:         newStore(),
		uses:          newUses(),
		pending:       map[mulberrybeam.Ticket]exchange{},
	}
	for _, option := range options {
		option(gossiper)
	}
	return gossiper
}

// Step takes one event.
func (g *Gossiper) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	g.turn, g.out = turn, nil
	g.excusePause()
	switch event := event.(type) {
	case mulberrybeam.Tick:
		g.tick()
	case mulberrybeam.MessageReceived:
		if message, matches := event.Message.(mulberrybeam.Exchange); matches {
			g.answer(event.Ticket, message)
		}
	case mulberrybeam.ReplyReceived:
		g.conclude(event)
	case mulberrybeam.ObjectReplied:
		g.directoryReplied(event)
	case mulberrybeam.FactChanged:
		if event.Local {
			g.state(event.Fact)
		}
	case mulberrybeam.UseMeasured:
		g.measure(event)
	case mulberrybeam.ConfigurationChanged:
		g.configured(event)
	case mulberrybeam.RightChanged:
		if event.Right.Slot == (mulberrybeam.Slot{Zone: g.self.Zone}) {
			g.zoneSlot = event.Right.Until
		}
	case mulberrybeam.ShutdownAsked:
		g.leave()
	}
	if g.changed {
		g.changed = false
		g.announce()
	}
	return g.out
}

// Fill writes the members, the relays and what facts say of crashes, links
// and shares.
func (g *Gossiper) Fill(snapshot *mulberrybeam.Snapshot) {
	snapshot.Members = slices.Clone(g.announced.members)
	snapshot.Relays = slices.Clone(g.announced.relays)
	snapshot.Crashes = g.uses.crashes
	snapshot.LinkUse = g.uses.links
	snapshot.Shares = g.uses.shares
}

// excusePause moves the last signs of life of all members forward by the time
// in which this process itself was paused and could not hear them.
func (g *Gossiper) excusePause() {
	gap := g.turn.Now - g.steppedAt
	g.steppedAt = g.turn.Now
	if !g.started || gap < pauseGap {
		return
	}
	for _, roster := range []roster{g.members, g.relays} {
		for known := range maps.Values(roster.byID) {
			known.risenAt += gap
		}
	}
}

func (g *Gossiper) tick() {
	now := g.turn.Now
	if !g.started {
		g.started = true
		g.nextRound = now + jitter(g.turn, ExchangeInterval)
	}
	g.directoryTick()
	if now-g.lastReview >= ExchangeInterval {
		g.lastReview = now
		g.changed = true
		g.expire()
		g.recompute()
	}
	switch {
	case now >= g.nextRound:
		g.exchangeRound()
	case g.urgent && now-g.lastRound >= pushGap:
		g.pushRound()
	}
}

// leave announces that the process is leaving, and at the second call that it
// has left.
func (g *Gossiper) leave() {
	if g.self.State == mulberrybeam.MemberAlive {
		g.self.State = mulberrybeam.MemberLeaving
	} else {
		g.self.State = mulberrybeam.MemberLeft
	}
	g.self.Heartbeat++
	g.changed = true
	g.exchangeRound()
}

func (g *Gossiper) configured(event mulberrybeam.ConfigurationChanged) {
	g.uses.tables = event.Tables
	g.uses.stale = true
	g.recompute()
	if event.Environment.Revision <= g.self.Revision {
		return
	}
	g.self.Revision = event.Environment.Revision
	g.self.Heartbeat++
	g.changed, g.urgent = true, true
}

func (g *Gossiper) emit(action mulberrybeam.Action) { g.out = append(g.out, action) }

func (g *Gossiper) note(kind mulberrybeam.EntryKind, subject, text string) {
	g.emit(mulberrybeam.Note{Entry: mulberrybeam.Entry{
		Stamp: g.stamps.Next(g.turn.Wall), Process: g.self.ID, Kind: kind, Subject: subject, Text: text,
	}})
}

// jitter returns a random part of a duration.
func jitter(turn mulberrybeam.Turn, most time.Duration) time.Duration {
	return time.Duration(turn.Rand.Int64N(int64(most)))
}

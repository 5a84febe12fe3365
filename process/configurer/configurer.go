// Package configurer is the control machine for configuration revisions. The
// relays of a zone watch the environment object; all other processes hear of a
// revision from their peers and fetch the document from one that has it. A
// poll of the object API is the backstop.
//
// A process takes only a higher revision than the one in force, whatever the
// source.
package configurer

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/gossiper"
	"mulberrybeam/version/compiler"
)

const (
	// pollInterval is the time between two polls of the object API, of
	// which pollJitter is random.
	pollInterval = 60 * time.Second
	pollJitter   = 20 * time.Second
	// firstBackoff and maxBackoff bound the full-jitter backoff of polls
	// while no configuration is in force, and of watches that break off. The
	// longest leaves 6 of the 10 s for the way from a relay to all others.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// fetchTimeout bounds one fetch from a peer, which may be in another
	// zone. fetchGap is the time between two fetches.
	fetchTimeout = 2 * time.Second
	fetchGap     = 200 * time.Millisecond
	// maxSources bounds the peers remembered as having a newer revision.
	maxSources = 4
	// watchDelay is how long a process must have been a relay before it
	// watches. A process that has just started knows no members and takes
	// itself for a relay.
	watchDelay = 5 * time.Second
	// refusedFor is how long a revision whose document is invalid is not
	// fetched again.
	refusedFor = 30 * time.Second
)

// Rule says whether a revision replaces the one in force.
type Rule func(inForce, offered mulberrybeam.Revision) bool

// Higher is the rule of the design: never to a lower revision.
func Higher(inForce, offered mulberrybeam.Revision) bool { return offered > inForce }

// Parse reads and checks a document.
type Parse func(document []byte) (*mulberrybeam.Environment, error)

// Configurer is the machine. It is driven by the control goroutine only.
type Configurer struct {
	self  gossiper.Self
	name  mulberrybeam.EnvironmentName
	parse Parse
	rule  Rule

	tables   *mulberrybeam.Tables
	revision mulberrybeam.Revision
	document []byte
	refused  map[mulberrybeam.Revision]time.Duration
	// objectVersion is the version of the last object seen.
	objectVersion string
	// badObject is the version of the last object that was refused, so
	// that polls do not note it again.
	badObject string

	relay   bool
	watch   attempt
	poll    attempt
	fetch   attempt
	sources []mulberrybeam.RevisionSeen

	turn mulberrybeam.Turn
	out  []mulberrybeam.Action
}

// attempt is work that is repeated: at most one at a time, not before next.
type attempt struct {
	busy     bool
	ticket   mulberrybeam.Ticket
	next     time.Duration
	failures int
}

// Option configures a Configurer.
type Option func(*Configurer)

// WithRule replaces Higher. It exists for tests that show that a check for
// reverted configurations fails when the rule is broken.
func WithRule(rule Rule) Option { return func(c *Configurer) { c.rule = rule } }

// New returns the machine of a process for one environment.
func New(self gossiper.Self, name mulberrybeam.EnvironmentName, parse Parse, options ...Option) *Configurer {
	configurer := &Configurer{
		self: self, name: name, parse: parse, rule: Higher,
		refused: map[mulberrybeam.Revision]time.Duration{},
	}
	for _, option := range options {
		option(configurer)
	}
	return configurer
}

// Step takes one event.
func (c *Configurer) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	c.turn, c.out = turn, nil
	switch event := event.(type) {
	case mulberrybeam.Tick:
		c.tick()
	case mulberrybeam.MembersChanged:
		c.setRelay(slices.Contains(gossiper.RelaysOf(c.self.Zone, event.Members), c.self.ID))
	case mulberrybeam.RevisionSeen:
		c.seen(event)
	case mulberrybeam.MessageReceived:
		if message, matches := event.Message.(mulberrybeam.FetchEnvironment); matches {
			c.serve(event.Ticket, message)
		}
	case mulberrybeam.ReplyReceived:
		c.fetched(event)
	case mulberrybeam.ObjectReplied:
		c.polled(event)
	case mulberrybeam.ObjectChanged:
		if event.Object.Kind == mulberrybeam.ObjectEnvironment && event.Object.Name == string(c.name) && !event.Deleted {
			c.watch.failures = 0
			c.offerObject(event.Object)
		}
	case mulberrybeam.WatchEnded:
		if event.Kind == mulberrybeam.ObjectEnvironment && event.Name == string(c.name) {
			c.watchEnded()
		}
	}
	return c.out
}

// Fill writes the tables. The process is not ready without them.
func (c *Configurer) Fill(snapshot *mulberrybeam.Snapshot) {
	snapshot.Tables = c.tables
	snapshot.Ready = c.tables != nil
}

func (c *Configurer) setRelay(relay bool) {
	if relay && !c.relay {
		c.watch.next = max(c.watch.next, c.turn.Now+watchDelay)
	}
	c.relay = relay
}

func (c *Configurer) tick() {
	if c.poll.due(c.turn.Now) {
		c.poll.begin(c.turn)
		c.emit(mulberrybeam.CallObject{Op: mulberrybeam.OpGet, Ticket: c.poll.ticket, Object: mulberrybeam.Object{
			Kind: mulberrybeam.ObjectEnvironment, Name: string(c.name),
		}})
	}
	if c.relay && c.watch.due(c.turn.Now) {
		c.watch.begin(c.turn)
		c.emit(mulberrybeam.WatchObject{
			Kind: mulberrybeam.ObjectEnvironment, Name: string(c.name), Version: c.objectVersion,
		})
	}
	c.tryFetch()
}

func (c *Configurer) polled(event mulberrybeam.ObjectReplied) {
	if !c.poll.concludes(event.Ticket) {
		return
	}
	if event.Err == nil {
		c.offerObject(event.Object)
	}
	if c.tables == nil {
		c.poll.retry(c.turn)
		return
	}
	c.poll.failures = 0
	c.poll.next = c.turn.Now + pollInterval - pollJitter + time.Duration(c.turn.Rand.Int64N(int64(pollJitter)))
}

// watchEnded opens the watch again after a while, without a version, since
// the last one may have expired.
func (c *Configurer) watchEnded() {
	c.watch.busy = false
	c.objectVersion = ""
	c.watch.retry(c.turn)
}

// offerObject takes in the object. An invalid one is noted once.
func (c *Configurer) offerObject(object mulberrybeam.Object) {
	if object.Version == c.objectVersion && c.tables != nil || object.Version == c.badObject {
		return
	}
	c.objectVersion = object.Version
	environment, err := c.check(object.Data)
	if err != nil {
		c.badObject = object.Version
		c.note("object version " + object.Version + " refused: " + err.Error())
		return
	}
	if environment.Revision < c.revision {
		c.note(fmt.Sprintf("object version %s has revision %d, below revision %d in force", object.Version, environment.Revision, c.revision))
	}
	c.accept(environment, object.Data)
}

func (c *Configurer) check(document []byte) (*mulberrybeam.Environment, error) {
	environment, err := c.parse(document)
	if err != nil {
		return nil, err
	}
	if environment.Name != c.name {
		return nil, fmt.Errorf("document is of environment %q, this process serves %q", environment.Name, c.name)
	}
	return environment, nil
}

// accept puts a checked document in force if the rule allows it.
func (c *Configurer) accept(environment *mulberrybeam.Environment, document []byte) {
	if !c.rule(c.revision, environment.Revision) {
		return
	}
	c.revision, c.document = environment.Revision, document
	c.tables = compiler.Compile(environment)
	c.forget()
	c.note(fmt.Sprintf("revision %d in force", c.revision))
	c.emit(mulberrybeam.Raise{Event: mulberrybeam.ConfigurationChanged{Environment: environment, Tables: c.tables}})
	c.emit(mulberrybeam.Publish{})
}

func (c *Configurer) emit(action mulberrybeam.Action) { c.out = append(c.out, action) }

func (c *Configurer) note(text string) {
	c.emit(mulberrybeam.Note{Entry: mulberrybeam.Entry{
		Process: c.self.ID, Kind: mulberrybeam.EntryConfiguration, Subject: string(c.name), Text: text,
	}})
}

func (a *attempt) due(now time.Duration) bool { return !a.busy && now >= a.next }

func (a *attempt) begin(turn mulberrybeam.Turn) {
	a.busy = true
	a.ticket = mulberrybeam.Ticket(turn.Rand.Uint64())
}

// concludes says whether a ticket is that of the work under way, and ends it.
func (a *attempt) concludes(ticket mulberrybeam.Ticket) bool {
	if !a.busy || a.ticket != ticket {
		return false
	}
	a.busy = false
	return true
}

// retry sets the next attempt by exponential backoff with full jitter.
func (a *attempt) retry(turn mulberrybeam.Turn) {
	backoff := min(maxBackoff, firstBackoff<<min(a.failures, 10))
	a.failures++
	a.next = turn.Now + time.Duration(turn.Rand.Int64N(int64(backoff)))
}

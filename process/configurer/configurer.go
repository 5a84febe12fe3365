// Package configurer is the state machine that distributes configuration
// revisions. The relays of a zone watch the environment object; all other
// processes learn of a new revision from their peers by gossip and fetch the
// document from a peer that has it. In addition, every process polls the object
// API now and then.
//
// Whatever the source, a process applies only a revision higher than the one in
// force.
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
	// pollInterval is the longest time between two polls of the object API.
	// Jitter shortens it by up to pollJitter.
	pollInterval = 60 * time.Second
	pollJitter   = 20 * time.Second
	// initialBackoff and maxBackoff limit the exponential backoff with full
	// jitter of polls while no configuration is in force, and of watches
	// that ended. A revision must be in force everywhere within 10 s;
	// maxBackoff leaves 6 s of that for the distribution from a relay to
	// all others.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fetchTimeout is the timeout of one fetch from a peer, which may be in
	// another zone. minFetchInterval is the minimum time from the end of a
	// fetch to the next one.
	fetchTimeout     = 2 * time.Second
	minFetchInterval = 200 * time.Millisecond
	// maxSources limits the number of peers remembered as having a newer
	// revision.
	maxSources = 4
	// watchDelay is how long a process must have been a relay before it
	// opens a watch. A process that has just started knows no other members
	// and therefore considers itself a relay.
	watchDelay = 5 * time.Second
	// rejectionPeriod is how long a revision is not fetched again after its
	// document was invalid.
	rejectionPeriod = 30 * time.Second
)

// RevisionRule decides whether an offered revision replaces the one in force.
type RevisionRule func(inForce, offered mulberrybeam.Revision) bool

// OnlyHigherRevisions is the default RevisionRule. It never goes back to a lower revision.
func OnlyHigherRevisions(inForce, offered mulberrybeam.Revision) bool { return offered > inForce }

// Parser parses and validates an environment document.
type Parser func(document []byte) (*mulberrybeam.Environment, error)

// Configurer is the state machine of one process. It is not safe for concurrent
// use: only the control goroutine calls it.
type Configurer struct {
	self  gossiper.LocalMember
	name  mulberrybeam.EnvironmentName
	parse Parser
	rule  RevisionRule

	tables   *mulberrybeam.Tables
	revision mulberrybeam.Revision
	document []byte
	// rejectedUntil has the revisions with an invalid document, and until
	// when each is not fetched again.
	rejectedUntil map[mulberrybeam.Revision]time.Duration
	// objectVersion is the version of the last object received, from which
	// a watch starts. It is empty after a watch ended.
	objectVersion string
	// rejectedVersion is the version of the last object that was rejected,
	// so that polls do not report it again.
	rejectedVersion string

	relay   bool
	watch   operation
	poll    operation
	fetch   operation
	sources []mulberrybeam.RevisionSeen

	turn    mulberrybeam.Turn
	actions []mulberrybeam.Action
}

// operation is the schedule of a repeated call: at most one runs at a time, and
// none starts before nextAt.
type operation struct {
	running  bool
	ticket   mulberrybeam.Ticket
	nextAt   time.Duration
	failures int
}

// Option configures a Configurer.
type Option func(*Configurer)

// WithRule replaces OnlyHigherRevisions. Tests use a broken rule to show that their check
// for reverted configurations can fail.
func WithRule(rule RevisionRule) Option { return func(c *Configurer) { c.rule = rule } }

// New returns a Configurer for a process that serves the named environment.
func New(self gossiper.LocalMember, name mulberrybeam.EnvironmentName, parse Parser, options ...Option) *Configurer {
	configurer := &Configurer{
		self: self, name: name, parse: parse, rule: OnlyHigherRevisions,
		rejectedUntil: map[mulberrybeam.Revision]time.Duration{},
	}
	for _, option := range options {
		option(configurer)
	}
	return configurer
}

// Step handles one event and returns the resulting actions.
func (c *Configurer) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	c.turn, c.actions = turn, nil
	switch event := event.(type) {
	case mulberrybeam.Tick:
		c.tick()
	case mulberrybeam.MembersChanged:
		c.setRelay(slices.Contains(gossiper.RelaysOf(c.self.Zone, event.Members), c.self.ID))
	case mulberrybeam.RevisionSeen:
		c.addSource(event)
	case mulberrybeam.MessageReceived:
		if message, matches := event.Message.(mulberrybeam.FetchEnvironment); matches {
			c.answerFetch(event.Ticket, message)
		}
	case mulberrybeam.ReplyReceived:
		c.handleFetchReply(event)
	case mulberrybeam.ObjectReplied:
		c.handlePollReply(event)
	case mulberrybeam.ObjectChanged:
		if event.Object.Kind == mulberrybeam.ObjectEnvironment && event.Object.Name == string(c.name) && !event.Deleted {
			c.watch.failures = 0
			c.applyObject(event.Object)
		}
	case mulberrybeam.WatchEnded:
		if event.Kind == mulberrybeam.ObjectEnvironment && event.Name == string(c.name) {
			c.handleWatchEnd()
		}
	}
	return c.actions
}

// FillSnapshot sets the tables of a snapshot. The process is not ready without them.
func (c *Configurer) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	snapshot.Tables = c.tables
	snapshot.Ready = c.tables != nil
}

// setRelay records whether this process is a relay, and delays the watch of a
// new one.
func (c *Configurer) setRelay(relay bool) {
	if relay && !c.relay {
		c.watch.nextAt = max(c.watch.nextAt, c.turn.Now+watchDelay)
	}
	c.relay = relay
}

// tick starts the poll, watch and fetch that are due.
func (c *Configurer) tick() {
	if c.poll.due(c.turn.Now) {
		c.poll.start(c.turn)
		c.emit(mulberrybeam.CallObject{Op: mulberrybeam.OpGet, Ticket: c.poll.ticket, Object: mulberrybeam.Object{
			Kind: mulberrybeam.ObjectEnvironment, Name: string(c.name),
		}})
	}
	if c.relay && c.watch.due(c.turn.Now) {
		c.watch.start(c.turn)
		c.emit(mulberrybeam.WatchObject{
			Kind: mulberrybeam.ObjectEnvironment, Name: string(c.name), Version: c.objectVersion,
		})
	}
	c.tryFetch()
}

// handlePollReply applies the result of a poll and schedules the next one.
func (c *Configurer) handlePollReply(event mulberrybeam.ObjectReplied) {
	if !c.poll.finish(event.Ticket) {
		return
	}
	if event.Err == nil {
		c.applyObject(event.Object)
	}
	if c.tables == nil {
		c.poll.scheduleRetry(c.turn)
		return
	}
	c.poll.failures = 0
	c.poll.nextAt = c.turn.Now + pollInterval - pollJitter + time.Duration(c.turn.Rand.Int64N(int64(pollJitter)))
}

// handleWatchEnd schedules a new watch. It starts without a version, since the
// last known one may have expired.
func (c *Configurer) handleWatchEnd() {
	c.watch.running = false
	c.objectVersion = ""
	c.watch.scheduleRetry(c.turn)
}

// applyObject applies an environment object if it has changed. An invalid
// object is reported once.
func (c *Configurer) applyObject(object mulberrybeam.Object) {
	if object.Version == c.objectVersion && c.tables != nil || object.Version == c.rejectedVersion {
		return
	}
	c.objectVersion = object.Version
	environment, err := c.parseDocument(object.Data)
	if err != nil {
		c.rejectedVersion = object.Version
		c.logEntry("rejected environment object version " + object.Version + ": " + err.Error())
		return
	}
	if environment.Revision < c.revision {
		c.logEntry(fmt.Sprintf("environment object version %s has revision %d, lower than revision %d in force", object.Version, environment.Revision, c.revision))
	}
	c.applyDocument(environment, object.Data)
}

// parseDocument parses a document and verifies that it is for this environment.
func (c *Configurer) parseDocument(document []byte) (*mulberrybeam.Environment, error) {
	environment, err := c.parse(document)
	if err != nil {
		return nil, err
	}
	if environment.Name != c.name {
		return nil, fmt.Errorf("document is for environment %q, but this process serves %q", environment.Name, c.name)
	}
	return environment, nil
}

// applyDocument puts a valid document in force if the rule allows its revision.
func (c *Configurer) applyDocument(environment *mulberrybeam.Environment, document []byte) {
	if !c.rule(c.revision, environment.Revision) {
		return
	}
	c.revision, c.document = environment.Revision, document
	c.tables = compiler.Compile(environment)
	c.removeObsolete()
	c.logEntry(fmt.Sprintf("applied revision %d", c.revision))
	c.emit(mulberrybeam.EmitEvent{Event: mulberrybeam.ConfigurationChanged{Environment: environment, Tables: c.tables}})
	c.emit(mulberrybeam.PublishSnapshot{})
}

func (c *Configurer) emit(action mulberrybeam.Action) { c.actions = append(c.actions, action) }

func (c *Configurer) logEntry(text string) {
	c.emit(mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
		Process: c.self.ID, Kind: mulberrybeam.EntryConfiguration, Subject: string(c.name), Text: text,
	}})
}

// due reports whether the operation may start now.
func (o *operation) due(now time.Duration) bool { return !o.running && now >= o.nextAt }

// start marks the operation as running under a new ticket.
func (o *operation) start(turn mulberrybeam.Turn) {
	o.running = true
	o.ticket = mulberrybeam.Ticket(turn.Rand.Uint64())
}

// finish marks the running operation as finished if the ticket belongs to it,
// and reports whether it does.
func (o *operation) finish(ticket mulberrybeam.Ticket) bool {
	if !o.running || o.ticket != ticket {
		return false
	}
	o.running = false
	return true
}

// scheduleRetry schedules the next attempt by exponential backoff with full
// jitter.
func (o *operation) scheduleRetry(turn mulberrybeam.Turn) {
	backoff := min(maxBackoff, initialBackoff<<min(o.failures, 10))
	o.failures++
	o.nextAt = turn.Now + time.Duration(turn.Rand.Int64N(int64(backoff)))
}

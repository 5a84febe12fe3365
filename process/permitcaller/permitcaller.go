// Package permitcaller asks the owner of a target for permits, in this
// process or in another one.
package permitcaller

import (
	"context"
	"sync"
	"time"

	"mulberrybeam"
)

// zoneTimeout and remoteTimeout bound a call of the owner within the zone and
// across zones. A request's own deadline is minutes away, and an owner that is
// paused would hold the request up until then.
const (
	zoneTimeout   = time.Second
	remoteTimeout = 2 * time.Second
)

// noOwnerRetry is when a caller may try again while a target's slot has no
// known holder. A lapsed lease is taken over after about this time.
const noOwnerRetry = time.Second

// AskFunc gives a message to the control state of this process.
type AskFunc func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error)

// silentTime is how long an owner that did not answer is not asked again. A
// paused owner would otherwise cost each request that picks one of its targets
// a whole timeout.
const silentTime = 2 * time.Second

// silence remembers the processes that did not answer. Only traffic takes its
// mutex.
type silence struct {
	mutex sync.Mutex
	until map[mulberrybeam.ProcessID]time.Time
}

func (s *silence) holds(process mulberrybeam.ProcessID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.until[process])
}

// note keeps the outcome of a call. Entries of processes that are gone stay,
// a few dozen a day.
func (s *silence) note(process mulberrybeam.ProcessID, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil {
		delete(s.until, process)
		return
	}
	s.until[process] = time.Now().Add(silentTime)
}

// Caller implements mulberrybeam.PermitClient.
type Caller struct {
	snapshot func() *mulberrybeam.Snapshot
	ask      AskFunc
	peers    mulberrybeam.PeerClient
	silent   silence
}

var _ mulberrybeam.PermitClient = (*Caller)(nil)

// New returns a permit client over the control state of this process and the
// client of its peers.
func New(snapshot func() *mulberrybeam.Snapshot, ask AskFunc, peers mulberrybeam.PeerClient) *Caller {
	return &Caller{
		snapshot: snapshot, ask: ask, peers: peers,
		silent: silence{until: map[mulberrybeam.ProcessID]time.Time{}},
	}
}

// Ask asks the owner of the target. It returns a Failure with CodeNoPermit
// when no owner is known, and with CodePeerUnreachable when it cannot be
// reached. In both cases nothing was sent to the target.
func (c *Caller) Ask(ctx context.Context, target mulberrybeam.TargetID, ask mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, error) {
	snapshot := c.snapshot()
	ask.From = snapshot.Self
	owner := snapshot.Targets[target].Owner
	if c.silent.holds(owner) {
		return mulberrybeam.AskPermitReply{}, noPermit(target, "the owner of the target did not answer a moment ago")
	}
	if limit := askLimit(snapshot); limit > 0 {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = bounded
	}
	answer, err := c.send(ctx, snapshot, target, ask)
	c.silent.note(owner, err)
	if err != nil {
		return mulberrybeam.AskPermitReply{}, err
	}
	reply, ok := answer.(mulberrybeam.AskPermitReply)
	if !ok {
		return mulberrybeam.AskPermitReply{}, noPermit(target, "the owner's answer is not a permit")
	}
	return reply, nil
}

// Release gives a permit back. A release that is lost is reclaimed by the
// owner once the target's load reports allow it.
func (c *Caller) Release(ctx context.Context, target mulberrybeam.TargetID, release mulberrybeam.ReleasePermit) {
	snapshot := c.snapshot()
	release.From = snapshot.Self
	_, _ = c.send(ctx, snapshot, target, release)
}

func (c *Caller) send(ctx context.Context, snapshot *mulberrybeam.Snapshot, target mulberrybeam.TargetID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	state := snapshot.Targets[target]
	switch {
	case state.Owner == "":
		return nil, noPermit(target, "no process is known to hold the target's slot")
	case state.Owner == snapshot.Self:
		return c.ask(ctx, snapshot.Self, message)
	default:
		ctx, cancel := context.WithTimeout(ctx, timeout(snapshot, target))
		defer cancel()
		return c.peers.Call(ctx, state.OwnerAddress, message)
	}
}

// askLimit leaves most of the time that a request may wait for other targets:
// a paused owner in another zone took all of it. It is 0 for no limit.
func askLimit(snapshot *mulberrybeam.Snapshot) time.Duration {
	if snapshot.Tables == nil || snapshot.Tables.Environment == nil {
		return 0
	}
	return snapshot.Tables.Environment.Limits.QueueTimeout / 4
}

func timeout(snapshot *mulberrybeam.Snapshot, target mulberrybeam.TargetID) time.Duration {
	if declared, found := snapshot.Tables.Targets[target]; found && declared.Zone == snapshot.Zone {
		return zoneTimeout
	}
	return remoteTimeout
}

func noPermit(target mulberrybeam.TargetID, message string) error {
	return &mulberrybeam.Failure{
		Code:       mulberrybeam.CodeNoPermit,
		Step:       mulberrybeam.StepPermit,
		Peer:       string(target),
		Message:    message,
		NotRun:     true,
		RetryAfter: noOwnerRetry,
	}
}

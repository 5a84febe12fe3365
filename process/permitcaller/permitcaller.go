// Package permitcaller implements the client for permits. It sends permit
// messages to the owner of a target, which is this process or a peer.
package permitcaller

import (
	"context"
	"sync"
	"time"

	"mulberrybeam"
)

// zoneTimeout and remoteTimeout are the timeouts of a call to an owner in the
// same zone and in another one. Without them a paused owner would block a
// request until its own deadline, which is minutes away.
const (
	zoneTimeout   = time.Second
	remoteTimeout = 2 * time.Second
)

// noOwnerRetry is the retry delay returned while no owner of a target can be
// asked. An expired lease is taken over after about this time.
const noOwnerRetry = time.Second

// AskFunc delivers a message to the control loop of this process and returns its
// answer.
type AskFunc func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error)

// ownerBackoff is how long an owner that did not answer is not called again.
// Otherwise a paused owner would delay each request that selects one of its
// targets by the whole timeout.
const ownerBackoff = 2 * time.Second

// ownerBackoffs tracks the processes that did not answer. Its mutex is taken by
// traffic goroutines only, never by the control goroutine.
type ownerBackoffs struct {
	mutex sync.Mutex
	until map[mulberrybeam.ProcessID]time.Time
}

// active reports whether a process is in its backoff and must not be called.
func (b *ownerBackoffs) active(process mulberrybeam.ProcessID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.until[process])
}

// record starts the backoff of a process after a failed call and ends it after
// a successful one. Entries of processes that no longer exist are not removed,
// since there are only a few dozen a day.
func (b *ownerBackoffs) record(process mulberrybeam.ProcessID, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err == nil {
		delete(b.until, process)
		return
	}
	b.until[process] = time.Now().Add(ownerBackoff)
}

// Caller implements mulberrybeam.PermitClient. It is safe for concurrent use.
type Caller struct {
	snapshot func() *mulberrybeam.Snapshot
	ask      AskFunc
	peers    mulberrybeam.PeerClient
	backoffs ownerBackoffs
}

var _ mulberrybeam.PermitClient = (*Caller)(nil)

// New returns a permit client that finds owners in the snapshot, and calls them
// through ask if the owner is this process and through peers otherwise.
func New(snapshot func() *mulberrybeam.Snapshot, ask AskFunc, peers mulberrybeam.PeerClient) *Caller {
	return &Caller{
		snapshot: snapshot, ask: ask, peers: peers,
		backoffs: ownerBackoffs{until: map[mulberrybeam.ProcessID]time.Time{}},
	}
}

// Ask asks the owner of the target for a permit. It returns a Failure with
// CodeNoPermit if no owner is known or it did not answer shortly before, and
// with CodePeerUnreachable if the owner cannot be reached. In these cases
// nothing was sent to the target.
func (c *Caller) Ask(ctx context.Context, target mulberrybeam.TargetID, ask mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, error) {
	snapshot := c.snapshot()
	ask.From = snapshot.Self
	owner := snapshot.Targets[target].Owner
	if c.backoffs.active(owner) {
		return mulberrybeam.AskPermitReply{}, noPermit(target, "the owner of the target recently did not answer")
	}
	if timeout := askTimeout(snapshot); timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	answer, err := c.send(ctx, snapshot, target, ask)
	c.backoffs.record(owner, err)
	if err != nil {
		return mulberrybeam.AskPermitReply{}, err
	}
	reply, ok := answer.(mulberrybeam.AskPermitReply)
	if !ok {
		return mulberrybeam.AskPermitReply{}, noPermit(target, "the owner of the target sent an unexpected type of reply")
	}
	return reply, nil
}

// Release releases a permit. If the message is lost, the owner reclaims the
// permit once load reports show that the request may have ended.
func (c *Caller) Release(ctx context.Context, target mulberrybeam.TargetID, release mulberrybeam.ReleasePermit) {
	snapshot := c.snapshot()
	release.From = snapshot.Self
	_, _ = c.send(ctx, snapshot, target, release)
}

// send sends a message to the owner of a target and returns the reply.
func (c *Caller) send(ctx context.Context, snapshot *mulberrybeam.Snapshot, target mulberrybeam.TargetID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	state := snapshot.Targets[target]
	switch {
	case state.Owner == "":
		return nil, noPermit(target, "the target has no known owner")
	case state.Owner == snapshot.Self:
		return c.ask(ctx, snapshot.Self, message)
	default:
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout(snapshot, target))
		defer cancel()
		return c.peers.Call(ctx, state.OwnerAddress, message)
	}
}

// askTimeout returns the maximum time to wait for a permit, or 0 for no limit.
// It is a quarter of the queue timeout, since a paused owner in another zone
// could otherwise use up the time that a request may spend on trying other
// targets.
func askTimeout(snapshot *mulberrybeam.Snapshot) time.Duration {
	if snapshot.Tables == nil || snapshot.Tables.Environment == nil {
		return 0
	}
	return snapshot.Tables.Environment.Limits.QueueTimeout / 4
}

// ownerTimeout returns the timeout of a call to the owner of a target.
func ownerTimeout(snapshot *mulberrybeam.Snapshot, target mulberrybeam.TargetID) time.Duration {
	if declared, found := snapshot.Tables.Targets[target]; found && declared.Zone == snapshot.Zone {
		return zoneTimeout
	}
	return remoteTimeout
}

// noPermit returns the Failure of a request that got no permit.
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

package monitor

import (
	"container/list"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

const (
	// peerLoadTTL is how long the last load update of a peer counts. It spans
	// several rounds of updates, but is short enough that the load of a host
	// that died does not keep requests away from targets for long.
	peerLoadTTL = 1500 * time.Millisecond
	// restartGap is the distance by which a sequence number must be below the last
	// one to mean that the peer restarted.
	restartGap = 20
	// noExpiry is the expiry time while no load of a peer counts.
	noExpiry = math.MaxInt64
)

// peers holds the last load update of each peer. Its lock is taken to apply an
// update and to withdraw expired ones. Requests do not wait for it.
type peers struct {
	mutex sync.Mutex
	byID  map[mulberrybeam.ProcessID]*peerLoad
	// counted has the peers whose load is part of the sums, by the time of their
	// update, oldest first.
	counted *list.List
	// nextExpiry is the time.Duration at which the first of them expires.
	nextExpiry atomic.Int64
}

// peerLoad is the last load update from another entry host.
type peerLoad struct {
	sequence   uint64
	receivedAt time.Duration
	// targets is the load that is part of the sums.
	targets map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad
	// element is the peer's place in peers.counted, or nil.
	element *list.Element
}

func newPeers() *peers {
	p := &peers{byID: map[mulberrybeam.ProcessID]*peerLoad{}, counted: list.New()}
	p.nextExpiry.Store(noExpiry)
	return p
}

// ReceiveUpdate stores the load update of a peer unless a newer one is known, and
// replaces the peer's part of the sums. A sequence number far below the last one
// means that the peer restarted.
func (m *Monitor) ReceiveUpdate(update mulberrybeam.LoadUpdate) {
	m.peers.mutex.Lock()
	defer m.peers.mutex.Unlock()
	now := m.now()
	m.withdrawExpired(now)
	peer := m.peers.byID[update.From]
	switch {
	case peer == nil:
		peer = &peerLoad{}
		m.peers.byID[update.From] = peer
	case update.Sequence < peer.sequence && peer.sequence-update.Sequence < restartGap:
		return
	}
	targets := make(map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad, len(update.Targets))
	for _, shared := range update.Targets {
		targets[shared.Target] = shared.Load
	}
	for id, load := range targets {
		m.changePeerLoad(id, peer.targets[id], load)
	}
	for id, load := range peer.targets {
		if _, stays := targets[id]; !stays {
			m.changePeerLoad(id, load, mulberrybeam.TargetLoad{})
		}
	}
	peer.sequence, peer.receivedAt, peer.targets = update.Sequence, now, targets
	if peer.element == nil {
		peer.element = m.peers.counted.PushBack(peer)
	} else {
		m.peers.counted.MoveToBack(peer.element)
	}
	m.peers.setNextExpiry()
}

// PeerReports returns the number of peers whose load counts, and the age of the update
// that was received last, or 0 if there is none.
func (m *Monitor) PeerReports() (peers int, age time.Duration) {
	m.peers.mutex.Lock()
	defer m.peers.mutex.Unlock()
	now := m.now()
	m.withdrawExpired(now)
	if newest := m.peers.counted.Back(); newest != nil {
		age = now - newest.Value.(*peerLoad).receivedAt
	}
	return m.peers.counted.Len(), age
}

// changePeerLoad replaces a peer's part of the sum at one target.
func (m *Monitor) changePeerLoad(id mulberrybeam.InstanceID, before, after mulberrybeam.TargetLoad) {
	if before == after {
		return
	}
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.PeerLoad = state.PeerLoad.Minus(before).Plus(after)
}

// expirePeers withdraws the load of peers that have been silent for peerLoadTTL. A
// request does this itself only if no other goroutine is changing the sums.
func (m *Monitor) expirePeers(now time.Duration) {
	if now < time.Duration(m.peers.nextExpiry.Load()) || !m.peers.mutex.TryLock() {
		return
	}
	defer m.peers.mutex.Unlock()
	m.withdrawExpired(now)
}

// withdrawExpired requires the lock of the peers.
func (m *Monitor) withdrawExpired(now time.Duration) {
	for front := m.peers.counted.Front(); front != nil; front = m.peers.counted.Front() {
		peer := front.Value.(*peerLoad)
		if now-peer.receivedAt < peerLoadTTL {
			break
		}
		for id, load := range peer.targets {
			m.changePeerLoad(id, load, mulberrybeam.TargetLoad{})
		}
		m.peers.counted.Remove(front)
		peer.targets, peer.element = nil, nil
	}
	m.peers.setNextExpiry()
}

// setNextExpiry requires the lock of the peers.
func (p *peers) setNextExpiry() {
	next := time.Duration(noExpiry)
	if front := p.counted.Front(); front != nil {
		next = front.Value.(*peerLoad).receivedAt + peerLoadTTL
	}
	p.nextExpiry.Store(int64(next))
}

// removeIdlePeers removes peers without recent updates. Until then, their sequence
// numbers are needed to recognize late updates.
func (m *Monitor) removeIdlePeers(now time.Duration) {
	m.peers.mutex.Lock()
	defer m.peers.mutex.Unlock()
	m.withdrawExpired(now)
	for id, peer := range m.peers.byID {
		if now-peer.receivedAt > idleTTL {
			delete(m.peers.byID, id)
		}
	}
}

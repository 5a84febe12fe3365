// Package broadcaster shares the load that this host puts on targets with the
// other entry hosts, in UDP datagrams, and receives theirs. Each datagram
// replaces the sender's previous one, so lost datagrams need no retransmission.
package broadcaster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/loadencoder"
)

const (
	// minInterval is the time between two rounds in a small fleet. In a
	// larger one the interval is intervalPerPeer for each peer, which keeps
	// the cost of sending per host about constant.
	minInterval     = 100 * time.Millisecond
	intervalPerPeer = 4 * time.Millisecond
	// maxPeersPerRound limits the number of peers contacted in one round. A
	// larger fleet is covered by a random selection in each round.
	maxPeersPerRound = 32
	// maxDatagramBytes is the size of the receive buffer in bytes, that of the largest
	// UDP datagram. The counts of a rollout on many routes take more than the loads of
	// a few hundred targets.
	maxDatagramBytes = 64 << 10
	// maxTargetsPerDatagram limits the number of targets in one datagram.
	maxTargetsPerDatagram = 200
	// readRetryDelay is the delay before the next read after a failed one.
	readRetryDelay = 100 * time.Millisecond
)

// Broadcaster sends and receives target loads.
type Broadcaster struct {
	Self mulberrybeam.ProcessID
	// Fleet returns the current fleet, or nil if it is not known yet.
	Fleet func() *mulberrybeam.Fleet
	// Loads returns the current load of this process on each target.
	Loads func() []mulberrybeam.SharedLoad
	// Rollouts returns the reports of this process on rollouts, and the incarnation
	// that they belong to. It is nil where rollouts are not in use.
	Rollouts func() (incarnation uint64, reports []mulberrybeam.RolloutReport)
	// Streams returns the streams of this process that peers must know.
	Streams func() mulberrybeam.StreamUpdate
	// Isolated reports whether this process reaches no target. It may be nil.
	Isolated func() bool
	// Fragile returns the fragile targets that this process has heard of. It may be nil.
	Fragile func() []mulberrybeam.SharedFragility
	// Messages are the messages on shares for single peers, and Held returns the loans that
	// this process has. Both may be nil.
	Messages <-chan mulberrybeam.ShareMessage
	Held     func() []mulberrybeam.ShareTicket
	// Receive is called with the loads received from a peer.
	Receive func(share mulberrybeam.LoadUpdate)
	// OnError is called when loads cannot be sent, received or decoded.
	OnError func(err error)
}

// Listen opens a UDP socket at the address and starts sending and receiving in
// the background. The returned function stops both and closes the socket.
func (b *Broadcaster) Listen(address string) (func(), error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		b.sendLoop(ctx, conn)
		done <- struct{}{}
	}()
	go func() {
		b.receiveLoop(ctx, conn)
		done <- struct{}{}
	}()
	return func() {
		cancel()
		_ = conn.Close()
		<-done
		<-done
	}, nil
}

// sendLoop sends the loads to peers at regular intervals. When there is no
// load, one empty message is sent and then nothing until there is load again.
func (b *Broadcaster) sendLoop(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	sequence := uint64(0)
	idle := false
	for {
		var peers []string
		var message mulberrybeam.ShareMessage
		select {
		case <-ctx.Done():
			return
		case message = <-b.Messages:
			peers = b.addressOf(message.To)
		case <-timer.C:
			peers = b.selectPeers()
			timer.Reset(max(minInterval, time.Duration(len(peers))*intervalPerPeer))
		}
		share := b.update(message)
		unused := message.To == "" && len(share.Targets) == 0 && len(share.Rollouts) == 0 && share.Streams.Run == 0 &&
			len(share.Fragile) == 0 && len(share.Shares.Held) == 0 && !share.Isolated
		if unused && idle {
			continue
		}
		idle = unused
		sequence++
		share.Sequence = sequence
		datagram, err := loadencoder.Encode(share)
		if err != nil {
			b.OnError(err)
			continue
		}
		b.send(conn, peers, datagram)
	}
}

// update returns the content of a datagram, with a message on shares.
func (b *Broadcaster) update(message mulberrybeam.ShareMessage) mulberrybeam.LoadUpdate {
	loads := b.Loads()
	share := mulberrybeam.LoadUpdate{From: b.Self, Targets: loads[:min(len(loads), maxTargetsPerDatagram)], Shares: message.ShareUpdate}
	if b.Rollouts != nil {
		share.Incarnation, share.Rollouts = b.Rollouts()
	}
	if b.Streams != nil {
		share.Streams = b.Streams()
	}
	// A message to one host may be sent many times between two rounds.
	if b.Fragile != nil && message.To == "" {
		share.Fragile = b.Fragile()
	}
	if b.Held != nil {
		share.Shares.Held = b.Held()
	}
	share.Isolated = b.Isolated != nil && b.Isolated()
	return share
}

// addressOf returns the address of a peer, or none if it is not registered.
func (b *Broadcaster) addressOf(id mulberrybeam.ProcessID) []string {
	if fleet := b.Fleet(); fleet != nil {
		for _, peer := range fleet.Peers {
			if peer.ID == id && peer.Address != "" {
				return []string{peer.Address}
			}
		}
	}
	return nil
}

// send sends a datagram to each peer. Write errors are ignored: they mean that
// the host is down or unreachable, which its missing datagrams show as well.
func (b *Broadcaster) send(conn net.PacketConn, peers []string, datagram []byte) {
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			b.OnError(err)
			continue
		}
		_, _ = conn.WriteTo(datagram, address)
	}
}

// selectPeers returns the addresses to contact in one round: all peers, or a
// random selection if there are more than maxPeersPerRound.
func (b *Broadcaster) selectPeers() []string {
	fleet := b.Fleet()
	if fleet == nil {
		return nil
	}
	peers := fleet.PeerAddresses
	if len(peers) <= maxPeersPerRound {
		return peers
	}
	selected := make([]string, 0, maxPeersPerRound)
	for _, at := range rand.Perm(len(peers))[:maxPeersPerRound] {
		selected = append(selected, peers[at])
	}
	// The leader of rollouts must know of all hosts within a round.
	if leader := fleet.RolloutLeader; leader != "" && len(fleet.Rollouts) > 0 && slices.Contains(peers, leader) && !slices.Contains(selected, leader) {
		selected = append(selected, leader)
	}
	return selected
}

// receiveLoop receives datagrams until the context is cancelled.
func (b *Broadcaster) receiveLoop(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			b.OnError(err)
			time.Sleep(readRetryDelay)
			continue
		}
		share, err := loadencoder.Decode(buffer[:n])
		if err != nil {
			b.OnError(err)
			continue
		}
		b.Receive(share)
	}
}

// Package broadcaster shares the load that this host puts on targets with the
// other entry hosts, in UDP datagrams, and receives theirs. Each datagram
// replaces the sender's previous one, so lost datagrams need no retransmission.
package broadcaster

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/loadencoder"
)

const (
	// shortestInterval is the time between two rounds in a small fleet. In a
	// larger one the interval is intervalPerPeer for each peer, which keeps
	// the cost of sending per host about constant.
	shortestInterval = 100 * time.Millisecond
	intervalPerPeer  = 4 * time.Millisecond
	// maxPeers limits the number of peers contacted in one round. A larger
	// fleet is covered by a random selection in each round.
	maxPeers = 32
	// maxDatagram is the size of the receive buffer in bytes, enough for the
	// loads of a few hundred targets.
	maxDatagram = 16 << 10
	// maxTargets limits the number of targets in one datagram.
	maxTargets = 200
	// readPause is the delay before the next read after a failed one.
	readPause = 100 * time.Millisecond
)

// Broadcaster sends and receives target loads.
type Broadcaster struct {
	Self mulberrybeam.ProcessID
	// Fleet returns the current fleet, or nil if it is not known yet.
	Fleet func() *mulberrybeam.Fleet
	// Loads returns the current load of this process on each target.
	Loads func() []mulberrybeam.SharedLoad
	// Take is called with the loads received from a peer.
	Take func(share mulberrybeam.LoadShare)
	// Dropped is called when loads cannot be sent, received or decoded.
	Dropped func(err error)
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
		b.tell(ctx, conn)
		done <- struct{}{}
	}()
	go func() {
		b.listen(ctx, conn)
		done <- struct{}{}
	}()
	return func() {
		cancel()
		_ = conn.Close()
		<-done
		<-done
	}, nil
}

// tell sends the loads to peers at regular intervals. When there is no load, one
// empty message is sent and then nothing until there is load again.
func (b *Broadcaster) tell(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTimer(shortestInterval)
	defer timer.Stop()
	sequence := uint64(0)
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := b.peers()
		timer.Reset(max(shortestInterval, time.Duration(len(peers))*intervalPerPeer))
		loads := b.Loads()
		if len(loads) == 0 && idle {
			continue
		}
		idle = len(loads) == 0
		sequence++
		share := mulberrybeam.LoadShare{From: b.Self, Sequence: sequence, Targets: loads[:min(len(loads), maxTargets)]}
		datagram, err := loadencoder.Encode(share)
		if err != nil {
			b.Dropped(err)
			continue
		}
		b.send(conn, peers, datagram)
	}
}

// send sends a datagram to each peer. Write errors are ignored: they mean that
// the host is down or unreachable, which its missing datagrams show as well.
func (b *Broadcaster) send(conn net.PacketConn, peers []string, datagram []byte) {
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			b.Dropped(err)
			continue
		}
		_, _ = conn.WriteTo(datagram, address)
	}
}

// peers returns the addresses to contact in one round: all peers, or a random
// selection if there are more than maxPeers.
func (b *Broadcaster) peers() []string {
	fleet := b.Fleet()
	if fleet == nil {
		return nil
	}
	peers := fleet.PeerAddresses
	if len(peers) <= maxPeers {
		return peers
	}
	chosen := make([]string, 0, maxPeers)
	for _, at := range rand.Perm(len(peers))[:maxPeers] {
		chosen = append(chosen, peers[at])
	}
	return chosen
}

// listen receives datagrams until the context is cancelled.
func (b *Broadcaster) listen(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			b.Dropped(err)
			time.Sleep(readPause)
			continue
		}
		share, err := loadencoder.Decode(buffer[:n])
		if err != nil {
			b.Dropped(err)
			continue
		}
		b.Take(share)
	}
}

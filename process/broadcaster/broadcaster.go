// Package broadcaster tells the other entry hosts of this host's work at
// targets, and takes what they tell. A lost datagram is replaced by the next
// one, so that neither connections nor repeats are needed.
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
	// shortestInterval is the time between two rounds of a small fleet, and
	// intervalPerPeer lengthens it, so that a host of a large one spends
	// about the same on telling.
	shortestInterval = 100 * time.Millisecond
	intervalPerPeer  = 4 * time.Millisecond
	// maxPeers bounds the peers that are told in one round. Others are told
	// in later ones.
	maxPeers = 32
	// maxDatagram fits the loads of some hundred targets.
	maxDatagram = 16 << 10
	// maxTargets bounds the targets in one datagram.
	maxTargets = 200
	// readPause is the wait after a read that failed.
	readPause = 100 * time.Millisecond
)

// Broadcaster tells and takes loads.
type Broadcaster struct {
	Self mulberrybeam.ProcessID
	// Fleet returns the latest fleet.
	Fleet func() *mulberrybeam.Fleet
	// Loads returns this process's work at targets.
	Loads func() []mulberrybeam.SharedLoad
	// Take accepts what a peer told.
	Take func(share mulberrybeam.LoadShare)
	// Dropped is told of a datagram that cannot be read.
	Dropped func(err error)
}

// Listen opens the host's address and starts to tell and to take. The clean-up
// function stops both.
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

// tell sends the loads to peers at even intervals.
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

// send writes a datagram to each peer. An address that cannot be written to
// belongs to a host that is gone or cut off, which its silence tells as well.
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

// peers returns the peers of one round, at random when there are many.
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

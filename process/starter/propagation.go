package starter

import (
	"context"
	"net"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/dialer"
	"mulberrybeam/connection/propagator"
	"mulberrybeam/process/followerchooser"
)

// newPropagator returns the source of the feeds, which passes on what the store
// says between the entry hosts of a zone.
func (p *Process) newPropagator(settings mulberrybeam.HostSettings, store mulberrybeam.ObjectFeed) *propagator.Propagator {
	return propagator.New(propagator.Config{
		Self: settings.ID, Store: store, Policies: Policies(settings.Bounds), Now: p.now,
		Plan: func() mulberrybeam.PropagationPlan {
			if !p.propagates.Load() {
				return mulberrybeam.PropagationPlan{}
			}
			return followerchooser.Plan(settings.ID, settings.Zone, p.peers())
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.New(0).DialContext(ctx, "tcp", address)
		},
		IsPeer: p.isPeer,
		OnResult: func(kind mulberrybeam.ObjectKind, source string, age time.Duration) {
			p.observeFeed(kind, source, age)
		},
		OnEvent: p.recordPlatform,
	})
}

// servePropagation answers the asks of other entry hosts. Without a peer address
// or with one that another process listens at, this host has no part in the propagation.
func (p *Process) servePropagation(settings mulberrybeam.HostSettings) {
	if settings.PeerAddress == "" {
		return
	}
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		p.recordEvent("propagation", "follows the store by itself, since other hosts cannot ask it: "+err.Error())
		return
	}
	p.cleanups = append(p.cleanups, p.propagator.Serve(listener))
	p.propagates.Store(true)
}

// peers returns the registered entry hosts.
func (p *Process) peers() []mulberrybeam.EntryHost {
	if fleet := p.fleet(); fleet != nil {
		return fleet.Peers
	}
	return nil
}

// isPeer reports whether a registered entry host has the IP address.
func (p *Process) isPeer(address string) bool {
	for _, peer := range p.peers() {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil && host == address {
			return true
		}
	}
	return false
}

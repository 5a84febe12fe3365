// Package dialer makes TCP connections that notice a silent peer.
package dialer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepIdle, keepInterval and keepCount find a peer that fell silent
	// within about three seconds, since a connection may go silent without a
	// reset.
	keepIdle     = time.Second
	keepInterval = time.Second
	keepCount    = 2
	// ackTimeout bounds the time that sent bytes may stay unacknowledged.
	ackTimeout = 2500 * time.Millisecond
	// dialTimeout bounds making a connection of Client.
	dialTimeout = 800 * time.Millisecond
	// idleTimeout bounds the idle time of a connection of Client.
	idleTimeout = 10 * time.Second
)

// New returns a dialer with keep-alive probes and a limit on unacknowledged
// data.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
		Control:         control,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Client returns an HTTP client whose connections come from New, and the
// function that closes the idle ones.
func Client() (*http.Client, func()) {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return New(dialTimeout).DialContext(ctx, network, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

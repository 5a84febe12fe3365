// Package dialer opens TCP connections that detect an unresponsive peer within
// seconds.
package dialer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulberrybeam/connection/responsechecker"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP
	// keep-alive settings. They detect within about three seconds a peer that
	// stopped responding without resetting the connection. Since ackTimeout is set,
	// Linux does not look at the count: it gives up at the first probe that is due
	// after ackTimeout, which is the same time.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// ackTimeout limits the time for which sent data may stay unacknowledged, or a peer
	// that acknowledges may refuse to receive more.
	ackTimeout = 2500 * time.Millisecond
	// dialTimeout limits the time in which a client from Client opens a
	// connection.
	dialTimeout = 800 * time.Millisecond
	// maxHeadBytes limits the head of a response to such a client, with interim
	// responses.
	maxHeadBytes = 64 << 10
	// idleTimeout limits the idle time of pooled connections of such a client.
	idleTimeout = 10 * time.Second
)

// New returns a dialer whose connections have keep-alive probes and a limit on
// the time that data may stay unacknowledged.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// NewClient returns an HTTP client that opens its connections with New, and a
// function that closes the idle connections.
func NewClient() (*http.Client, func()) {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return New(dialTimeout).DialContext(ctx, network, address)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &http.Client{Transport: responsechecker.Transport{RoundTripper: transport}}, transport.CloseIdleConnections
}

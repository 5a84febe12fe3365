package starter

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is kept for files and for connections to the platform's store,
	// context stores and peers, but at most a quarter of all descriptors.
	reservedDescriptors = 200
	// callerFraction is the fraction of the other descriptors that callers' connections
	// may use. A request needs a connection to a target besides, and rarely a second one.
	callerFraction = 0.45
	// receiveBuffer bounds what the kernel receives for a connection of a caller before
	// the process reads it, in bytes. The kernel doubles it for its own use.
	receiveBuffer = 64 << 10
)

// MaxCallerConnections returns the largest number of callers' connections of a process
// that may have this many file descriptors, or 0, for no limit, if it is not known.
func MaxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	rest := descriptors - min(reservedDescriptors, descriptors/4)
	return max(int(callerFraction*float64(rest)), 1)
}

// listenForCallers opens a listener whose connections have small receive buffers.
func listenForCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", address)
}

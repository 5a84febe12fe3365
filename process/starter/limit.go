package starter

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"mulberrybeam/process/meter"
	"mulberrybeam/process/reserver"
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

// limitGauges returns the metrics of the limits on callers.
func (p *Process) limitGauges() []meter.Gauge {
	memory := func(name, description, unit string, read func(reserver.Stats) int64) meter.Gauge {
		return meter.Gauge{Name: name, Description: description, Unit: unit, Read: func() int64 { return read(p.memory.Stats()) }}
	}
	connections := func(name, description string, read func(replaced, rejected int) int) meter.Gauge {
		return meter.Gauge{Name: name, Description: description, Read: func() int64 { return int64(read(p.drainer.Refused())) }}
	}
	return []meter.Gauge{
		memory("mulberrybeam.held-bytes", "Memory held for callers and targets.", "By", func(s reserver.Stats) int64 { return s.HeldBytes }),
		memory("mulberrybeam.holders", "Connections and requests that hold memory.", "", func(s reserver.Stats) int64 { return s.Holders }),
		memory("mulberrybeam.memory-refusals", "Requests refused for lack of memory since the start.", "", func(s reserver.Stats) int64 { return s.Refused }),
		memory("mulberrybeam.memory-evictions", "Callers interrupted for lack of memory since the start.", "", func(s reserver.Stats) int64 { return s.Evicted }),
		connections("mulberrybeam.connections-replaced", "Connections closed to make room for others since the start.", func(replaced, _ int) int { return replaced }),
		connections("mulberrybeam.connections-rejected", "New connections closed because of their limit since the start.", func(_, rejected int) int { return rejected }),
	}
}

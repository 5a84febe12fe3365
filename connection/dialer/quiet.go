package dialer

import (
	"net"

	"golang.org/x/sys/unix"
)

// Quiet says whether an idle connection is open and has nothing to read. Bytes
// that arrive while no request is waiting belong to no request. Connections
// that are not over TCP count as quiet.
func Quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

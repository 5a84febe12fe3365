package dialer

import (
	"net"

	"golang.org/x/sys/unix"
)

// CanReuse reports whether an idle connection is open and has no unread data. Data
// that arrives while no request is in progress belongs to no request, so such a
// connection can't be reused. Connections other than TCP count as quiet.
func CanReuse(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

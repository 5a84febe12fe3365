package carrier

import (
	"net"

	"golang.org/x/sys/unix"
)

// quiet says whether an idle connection is open and has nothing to read.
// Bytes that arrive while no request is waiting belong to no request.
func (l *link) quiet() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := l.conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = err == unix.EAGAIN
	})
	return err == nil && sound
}

package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a link treats the traffic.
type Mode string

// Modes of links, in this order: forward the data, delay it, hold back the data
// of both directions, hold back only the responses, and reset all connections.
const (
	ModePass   Mode = "pass"
	ModeDelay  Mode = "delay"
	ModeSilent Mode = "silent"
	ModeDeaf   Mode = "deaf"
	ModeReset  Mode = "reset"
)

const (
	// linkDelay is the delay of ModeDelay for each block of data read.
	linkDelay = 150 * time.Millisecond
	linkBytes = 16 << 10
)

// Link is a TCP proxy on the loopback interface that forwards to one address and
// can simulate network faults.
type Link struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	mode    Mode
	changed chan struct{}
	open    map[net.Conn]bool
}

// NewLink starts a proxy to the target address on a free loopback port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, mode: ModePass, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the listening address as "ip:port".
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode for open and future connections.
func (l *Link) Set(mode Mode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	if mode == ModeReset {
		l.reset()
	}
}

// Close stops the proxy and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Set(ModeReset)
}

// reset closes all open connections with a TCP RST. The caller must hold the
// mutex.
func (l *Link) reset() {
	for conn := range l.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.open)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(near net.Conn) {
	if !l.keep(near) {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil || !l.keep(far) {
		l.drop(near)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.copy(far, near, ModeSilent, ModeSilent) })
	group.Go(func() { l.copy(near, far, ModeSilent, ModeDeaf) })
	group.Wait()
	l.drop(near)
	l.drop(far)
}

func (l *Link) keep(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[conn] = true
	if l.mode == ModeReset {
		l.reset()
		return false
	}
	return true
}

func (l *Link) drop(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, conn)
	_ = conn.Close()
}

// copy forwards the data of one direction. It holds the data back while the link
// is in one of the two given modes.
func (l *Link) copy(to, from net.Conn, held, alsoHeld Mode) {
	buffer := make([]byte, linkBytes)
	for {
		count, err := from.Read(buffer)
		l.hold(held, alsoHeld)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// hold blocks while the link is in one of the two given modes, and delays the
// data in ModeDelay.
func (l *Link) hold(held, alsoHeld Mode) {
	for {
		l.mutex.Lock()
		mode, changed := l.mode, l.changed
		l.mutex.Unlock()
		switch mode {
		case held, alsoHeld:
			<-changed
		case ModeDelay:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}

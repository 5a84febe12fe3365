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
	ModePass          Mode = "pass"
	ModeDelay         Mode = "delay"
	ModeHold          Mode = "silent"
	ModeHoldResponses Mode = "deaf"
	ModeReset         Mode = "reset"
)

const (
	// linkDelay is the delay of ModeDelay for each block of data read.
	linkDelay  = 150 * time.Millisecond
	bufferSize = 16 << 10
)

// Proxy is a TCP proxy on the loopback interface that forwards to one address and
// can simulate network faults.
type Proxy struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy starts a proxy to the target address on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Proxy{listener: listener, target: target, mode: ModePass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the listening address as "ip:port".
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// Set changes the mode for open and future connections.
func (l *Proxy) Set(mode Mode) {
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
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.Set(ModeReset)
}

// reset closes all open connections with a TCP RST. The caller must hold the
// mutex.
func (l *Proxy) reset() {
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Proxy) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Proxy) forward(client net.Conn) {
	if !l.track(client) {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil || !l.track(server) {
		l.closeConn(client)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.forwardData(server, client, ModeHold, ModeHold) })
	group.Go(func() { l.forwardData(client, server, ModeHold, ModeHoldResponses) })
	group.Wait()
	l.closeConn(client)
	l.closeConn(server)
}

func (l *Proxy) track(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[conn] = true
	if l.mode == ModeReset {
		l.reset()
		return false
	}
	return true
}

func (l *Proxy) closeConn(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// forwardData forwards the data of one direction. It holds the data back while
// the link is in one of the two given modes.
func (l *Proxy) forwardData(to, from net.Conn, heldMode, otherMode Mode) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		l.delayData(heldMode, otherMode)
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

// delayData blocks while the link is in one of the two given modes, and delays
// the data in ModeDelay.
func (l *Proxy) delayData(heldMode, otherMode Mode) {
	for {
		l.mutex.Lock()
		mode, changed := l.mode, l.changed
		l.mutex.Unlock()
		switch mode {
		case heldMode, otherMode:
			<-changed
		case ModeDelay:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}

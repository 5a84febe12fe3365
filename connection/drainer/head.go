package drainer

import (
	"context"
	"net/http"
	"time"

	"mulberrybeam"
)

const (
	// headBase and headFactor estimate the memory of a head that arrives: the buffers of
	// its connection, and what each byte takes in a map of short fields.
	headBase   = 8 << 10
	headFactor = 8
)

// errNoRoom ends a connection whose head finds no room.
var errNoRoom = &mulberrybeam.Failure{
	Code: mulberrybeam.CodeOverloaded, Step: mulberrybeam.StepAccept, Message: "no room for the head of a request", NotRun: true,
}

// reserveHead reserves the memory of n bytes of a head that were read.
func (c *Conn) reserveHead(n int) error {
	if c.drainer.memory == nil || c.handling.Load() {
		return nil
	}
	bytes := int64(headFactor * n)
	head := c.head.Load()
	if head == nil {
		head = c.drainer.memory.Open("", c.evict)
		c.head.Store(head)
		bytes += headBase
	}
	if c.evicted.Load() || !head.TryGrow(bytes) {
		return errNoRoom
	}
	head.Progress(n)
	return nil
}

// evict makes the server close the connection while it reads a head.
func (c *Conn) evict() {
	c.evicted.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func (c *Conn) releaseHead() {
	if head := c.head.Swap(nil); head != nil {
		head.Close()
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Handler returns a handler that tells the drainer when a request has been read. Its
// own reservations replace that of the head.
func (d *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, found := request.Context().Value(connKey{}).(*Conn)
		if found {
			c.handling.Store(true)
			defer c.handling.Store(false)
			c.releaseHead()
		}
		next.ServeHTTP(writer, request)
	})
}

// withConn adds the connection to the contexts of its requests.
func withConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

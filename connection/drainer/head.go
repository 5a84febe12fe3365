package drainer

import (
	"context"
	"net/http"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// Handler returns a handler that tells the drainer when a request has been read.
func (d *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, found := request.Context().Value(connKey{}).(*Conn)
		if found {
			c.handling.Store(true)
			defer c.handling.Store(false)
		}
		next.ServeHTTP(writer, request)
	})
}

// withConn adds the connection to the contexts of its requests.
func withConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

package requester

import (
	"errors"
	"io"
)

// errTooLong is returned for a response head, or a body that is skipped, beyond
// its limit.
var errTooLong = errors.New("the target sent more bytes than a response may have")

// boundedReader limits the bytes that may be read from a connection before the
// response to a request begins. The limit does not apply to the response's body.
type boundedReader struct {
	source    io.Reader
	bounded   bool
	remaining int
}

// limit allows n more bytes.
func (b *boundedReader) limit(n int) { b.bounded, b.remaining = true, n }

// unlimit removes the limit.
func (b *boundedReader) unlimit() { b.bounded = false }

// Read implements io.Reader.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if !b.bounded {
		return b.source.Read(buffer)
	}
	if b.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := b.source.Read(buffer[:min(len(buffer), b.remaining)])
	b.remaining -= n
	return n, err
}

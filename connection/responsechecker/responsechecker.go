// Package responsechecker finds responses that are invalid or incomplete although the
// HTTP library accepts them.
package responsechecker

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// minFinalStatus and maxStatus are the bounds of the status of a final response, as
	// in RFC 9110, section 15.
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckStatus returns an error if a final response may not have the status. Status 101
// is an error too, because no request asks for another protocol.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("invalid status %03d", status)
	}
	return nil
}

// IsInterim reports whether a response with the status is followed by another one.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// IsFramed reports whether the end of a response is marked. Otherwise its body ends with
// its connection.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// NewBody returns a reader of a body that ends with its connection. At the end it calls
// awaitWritten, which returns the result of writing the request, and it reports
// io.ErrUnexpectedEOF unless the request was written completely. A connection reports
// its reset once: if a write gets the error, the read after it gets the end of the body.
func NewBody(body io.Reader, awaitWritten func() error) io.Reader {
	return &unframedBody{Reader: body, awaitWritten: awaitWritten}
}

type unframedBody struct {
	io.Reader
	awaitWritten func() error
	end          error
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.Reader.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	b.end = io.EOF
	if err := b.awaitWritten(); err != nil {
		b.end = fmt.Errorf("%w: the request was not written: %w", io.ErrUnexpectedEOF, err)
	}
	return n, b.end
}

package relayer

import (
	"mime"
	"net/http"

	"mulberrybeam/connection/requester"
)

// continuesStream reports whether a response can continue a stream whose header
// the caller has: it is a stream of the same content type. Any other body would
// end up in the middle of the caller's stream.
func (a *attempt) continuesStream(response *requester.Answer) bool {
	return response.Status == http.StatusOK &&
		mediaType(response.Header) == mediaType(a.writer.Header())
}

// isEventStream reports whether a response consists of events. One without a
// content type on a streaming route does.
func isEventStream(response *requester.Answer) bool {
	kind := mediaType(response.Header)
	return kind == "" || kind == "text/event-stream"
}

// mediaType returns the content type of a header without its parameters.
func mediaType(header http.Header) string {
	value := header.Get("Content-Type")
	if parsed, _, err := mime.ParseMediaType(value); err == nil {
		return parsed
	}
	return value
}

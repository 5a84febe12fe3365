package requester_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
)

// Guards against a request that reaches a target although its caller has left or
// its connection was closed by a stop.
func TestEndedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(_, _ int, id string) string { return httpResponse(id, "ok") })
	client := newRequester(t)
	_, err := sendAndRead(client, s, "r1")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		_, err := client.Send(ctx, s.target(), 0, newMessage("r2"))
		var failure *mulberrybeam.Failure
		is.True(errors.As(err, &failure))
		is.True(failure.NotRun)
	}
	body, err := sendAndRead(client, s, "r3")
	is.NoErr(err)
	is.Equal(body, "ok")
}

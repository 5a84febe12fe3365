package enginecaller_test

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
)

// generateComplete runs a call and reads its complete response.
func generateComplete(t *testing.T, caller *enginecaller.Caller, call mulberrybeam.EngineCall) {
	t.Helper()
	is := is.New(t)
	stream, err := caller.Generate(t.Context(), call)
	is.NoErr(err)
	_, err = readTokens(stream)
	is.Equal(err, io.EOF)
}

// Guards against a prompt that was routed to a warm instance but reaches the
// cold instance that replaced it, over a pooled or a new connection.
func TestPromptForAnotherInstanceIsNotSent(t *testing.T) {
	is := is.New(t)
	fake, caller, target := setUp(t)
	call := newCall(target, "r1")
	call.Instance = mulberrybeam.InstanceID(fake.Instance())
	generateComplete(t, caller, call)

	fake.Crash()
	is.NoErr(fake.Restart())
	for range 2 {
		_, err := caller.Generate(t.Context(), call)
		checkFailure(t, err, mulberrybeam.CodeNoPermit, true)
	}
	is.Equal(fake.Count("started"), 1) // only the first call

	call.Instance = mulberrybeam.InstanceID(fake.Instance())
	generateComplete(t, caller, call)
}

// Guards against reporting a refused connection as a broken one: the transport
// may return the error of its own read instead, and the prompt would then count
// as one that may have run.
func TestRefusedConnectionIsNeverReportedAsBroken(t *testing.T) {
	const engines, restarts = 8, 30 // the fault occurred in about 1 of 60 restarts
	for range engines {
		t.Run("engine", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fake, caller, target := setUp(t)
			for range restarts {
				call := newCall(target, "r1")
				call.Instance = mulberrybeam.InstanceID(fake.Instance())
				generateComplete(t, caller, call)
				fake.Crash()
				is.NoErr(fake.Restart())
				_, err := caller.Generate(t.Context(), call)
				checkFailure(t, err, mulberrybeam.CodeNoPermit, true)
			}
		})
	}
}

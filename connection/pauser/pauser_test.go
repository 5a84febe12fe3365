package pauser_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/pauser"
)

// Guards against a pause that continues after its context is done, which would
// delay a shutdown, and against reporting an interrupted pause as complete.
func TestPause(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(pauser.Pause(t.Context(), 0))
	is.True(pauser.Pause(t.Context(), time.Millisecond))
	is.True(!pauser.Pause(ended, 0))
	is.True(!pauser.Pause(ended, time.Hour))
}

package demo_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberrybeam/command"
	"mulberrybeam/cmd/mulberrybeam/factory/factorytest"
)

// The demo must end on its own and exit with 0, and its output must show that the
// order sent twice ran once.
func TestDemoSucceeds(t *testing.T) {
	is := is.New(t)
	f, stdout, stderr := factorytest.New(nil)
	code := command.Run(f, []string{"demo"})
	t.Log(stdout.String(), stderr.String())
	is.Equal(code, command.ExitOK)
	is.True(strings.Contains(stdout.String(), "ran the order 1 time(s)"))
}

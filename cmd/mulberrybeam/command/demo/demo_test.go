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
func TestDemoKeepsItsPromises(t *testing.T) {
	is := is.New(t)
	f, out, errors := factorytest.New(nil)
	code := command.Run(f, []string{"demo"})
	t.Log(out.String(), errors.String())
	is.Equal(code, command.ExitOK)
	is.True(strings.Contains(out.String(), "ran the order 1 time(s)"))
}

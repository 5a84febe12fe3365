// Package factory provides the dependencies of commands and builds them on
// demand.
package factory

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/objectcaller"
)

// requestTimeout limits one request to the operator listener of an entry process.
const requestTimeout = 10 * time.Second

// Streams holds the standard input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal reports whether In and Out are both terminals, so that the
	// command can ask for confirmation.
	Terminal bool
}

// Factory holds the dependencies of commands and the functions that build them.
type Factory struct {
	Streams Streams
	// Objects returns a client for an environment's objects and a cleanup
	// function.
	Objects func(platform string, environment mulberrybeam.EnvironmentName) (mulberrybeam.ObjectClient, func(), error)
	HTTP    *http.Client
}

// NewSystem returns a Factory for the standard streams and the real object API.
func NewSystem() *Factory {
	return &Factory{
		Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stdin) && isTerminal(os.Stdout)},
		Objects: newObjectClient,
		HTTP:    &http.Client{Timeout: requestTimeout},
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func newObjectClient(platform string, environment mulberrybeam.EnvironmentName) (mulberrybeam.ObjectClient, func(), error) {
	if platform == "" {
		return nil, nil, errors.New("no platform address given; use --platform URL or set MULBERRYBEAM_PLATFORM")
	}
	client, cleanup := objectcaller.New(platform, environment)
	return client, cleanup, nil
}

// Confirm asks the user to confirm, and returns ErrCancelled if the answer is not
// yes. Without a terminal it fails unless yes is set, so that a script never
// blocks on the prompt.
func (s Streams) Confirm(yes bool, question string) error {
	if yes {
		return nil
	}
	if !s.Terminal {
		return errors.New("cannot ask for confirmation without a terminal; use --yes to skip the prompt")
	}
	_, _ = fmt.Fprintf(s.Out, "%s [y/N] ", question)
	var answer string
	_, _ = fmt.Fscanln(s.In, &answer)
	if !strings.EqualFold(answer, "y") && !strings.EqualFold(answer, "yes") {
		return ErrCancelled
	}
	return nil
}

// ErrCancelled is returned when the user does not confirm an operation.
var ErrCancelled = errors.New("cancelled")

// ExitError sets the exit code of a command that has already printed its errors.
type ExitError struct{ Code int }

// Error implements error.
func (e *ExitError) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

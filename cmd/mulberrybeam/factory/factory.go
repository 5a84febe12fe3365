// Package factory builds the dependencies of commands when a command needs
// them.
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

// requestTimeout bounds one call of an entry process's operators' listener.
const requestTimeout = 10 * time.Second

// Streams are the input and output of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal says that a person reads Out and answers on In.
	Terminal bool
}

// Factory holds the functions that build dependencies.
type Factory struct {
	Streams Streams
	// Objects returns a client of an environment's objects and a clean-up
	// function.
	Objects func(platform string, environment mulberrybeam.EnvironmentName) (mulberrybeam.ObjectClient, func(), error)
	HTTP    *http.Client
}

// System returns the dependencies of the running process.
func System() *Factory {
	return &Factory{
		Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal(os.Stdin) && terminal(os.Stdout)},
		Objects: objects,
		HTTP:    &http.Client{Timeout: requestTimeout},
	}
}

func terminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func objects(platform string, environment mulberrybeam.EnvironmentName) (mulberrybeam.ObjectClient, func(), error) {
	if platform == "" {
		return nil, nil, errors.New("no platform address; give --platform URL or set MULBERRYBEAM_PLATFORM")
	}
	client, cleanup := objectcaller.New(platform, environment)
	return client, cleanup, nil
}

// Confirm asks a person to go on. Without a terminal it refuses unless yes is
// set, so that a script never waits for an answer.
func (s Streams) Confirm(yes bool, question string) error {
	if yes {
		return nil
	}
	if !s.Terminal {
		return errors.New("no terminal to ask at; give --yes to go on without asking")
	}
	_, _ = fmt.Fprintf(s.Out, "%s [y/N] ", question)
	var answer string
	_, _ = fmt.Fscanln(s.In, &answer)
	if !strings.EqualFold(answer, "y") && !strings.EqualFold(answer, "yes") {
		return ErrCancelled
	}
	return nil
}

// ErrCancelled says that a person answered no.
var ErrCancelled = errors.New("cancelled")

// SilentError ends a command with an exit code whose reason was printed.
type SilentError struct{ Code int }

// Error returns the exit code.
func (e *SilentError) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

package soak_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/soak"
	"mulberrybeam/process/soaker"
)

func command(run soak.RunFunc) soak.Command {
	c := soak.New(run)
	c.Options = soak.Options{Seed: 5, Seeds: 3, Jobs: 2, Hosts: 1, Faults: time.Second, Gap: time.Second}
	return c
}

// Guards against a violation, or a test that could not be completed, that is not
// reflected in the exit code.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	c := command(func(_ context.Context, _ soaker.Options, seed uint64) (soaker.Report, error) {
		switch seed {
		case 6:
			return soaker.Report{Violations: []soaker.Violation{{Rule: "once", Text: "ran twice"}}}, nil
		case 7:
			return soaker.Report{}, errors.New("no port is free")
		}
		return soaker.Report{}, nil
	})
	c.Dir = t.TempDir()
	var out bytes.Buffer
	err := c.Run(t.Context(), &out)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "2 of 3 seeds failed"))
	for _, want := range []string{"seed 5: 0 requests, 0 arrivals, 0 violations", "once: ran twice", "seed 7: test not completed: no port is free"} {
		is.True(strings.Contains(out.String(), want))
	}
}

// Guards against arguments with which no test would run.
func TestArguments(t *testing.T) {
	is := is.New(t)
	c := command(nil)
	c.Seeds, c.Gap = 0, 0
	err := c.Run(t.Context(), &bytes.Buffer{})
	is.True(err != nil)
	is.Equal(err.Error(), "--seeds is 0, must be at least 1\n--gap is 0s, must be positive")
}

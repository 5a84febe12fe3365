// Package soak is the command that plays faults against entry processes and
// checks their promises.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"mulberrybeam/process/soaker"
)

// Options are the arguments of the command.
type Options struct {
	Entry  string        `required:"" placeholder:"FILE" help:"Program of the entry process on the platform." type:"existingfile"`
	Seed   uint64        `default:"1" help:"First seed."`
	Seeds  int           `default:"1" help:"Number of seeds."`
	Jobs   int           `default:"2" help:"Runs at a time."`
	Hosts  int           `default:"4" help:"Entry processes of a run."`
	Faults time.Duration `default:"12s" help:"Time in which faults begin."`
	Gap    time.Duration `default:"800ms" help:"Longest time between two faults."`
	Dir    string        `placeholder:"DIR" help:"Directory of settings and logs, a new temporary one by default." type:"path"`
}

// RunFunc plays one seed.
type RunFunc func(ctx context.Context, options soaker.Options, seed uint64) (soaker.Report, error)

// Command is the soak command.
type Command struct {
	Options `embed:""`

	run RunFunc
}

// New returns the command with the function that plays a seed.
func New(run RunFunc) Command { return Command{run: run} }

// Run plays the seeds and prints one line for each.
func (c *Command) Run(ctx context.Context, stdout io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	seeds := make(chan uint64)
	var group sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	for range c.Jobs {
		group.Go(func() {
			for seed := range seeds {
				text, sound := c.play(ctx, filepath.Join(dir, fmt.Sprint("seed-", seed)), seed)
				mutex.Lock()
				if !sound {
					failed++
				}
				// What was printed before cannot be taken back either.
				_, _ = io.WriteString(stdout, text)
				mutex.Unlock()
			}
		})
	}
	for i := 0; i < c.Seeds && ctx.Err() == nil; i++ {
		seeds <- c.Seed + uint64(i)
	}
	close(seeds)
	group.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; settings and logs are in %s", failed, c.Seeds, dir)
	}
	return ctx.Err()
}

func (c *Command) check() error {
	var problems []error
	for _, count := range []struct {
		name  string
		value int
	}{{"seeds", c.Seeds}, {"jobs", c.Jobs}, {"hosts", c.Hosts}} {
		if count.value < 1 {
			problems = append(problems, fmt.Errorf("--%s is %d, at least 1 is needed", count.name, count.value))
		}
	}
	for _, length := range []struct {
		name  string
		value time.Duration
	}{{"faults", c.Faults}, {"gap", c.Gap}} {
		if length.value <= 0 {
			problems = append(problems, fmt.Errorf("--%s is %s, a positive time is needed", length.name, length.value))
		}
	}
	return errors.Join(problems...)
}

// play returns the lines for a seed, and whether no promise was broken.
func (c *Command) play(ctx context.Context, dir string, seed uint64) (string, bool) {
	err := os.MkdirAll(dir, 0o700)
	var report soaker.Report
	if err == nil {
		report, err = c.run(ctx, soaker.Options{Entry: c.Entry, Dir: dir, Hosts: c.Hosts, Faults: c.Faults, Gap: c.Gap}, seed)
	}
	if err != nil {
		return fmt.Sprintf("seed %d: not played: %v\n", seed, err), false
	}
	text := fmt.Sprintf("seed %d: %d requests, %d arrivals, %d promises broken\n",
		seed, len(report.History.Results), len(report.History.Arrivals), len(report.Violations))
	for _, violation := range report.Violations {
		text += fmt.Sprintf("  %s: %s\n", violation.Rule, violation.Text)
	}
	return text, len(report.Violations) == 0
}

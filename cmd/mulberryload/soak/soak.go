// Package soak implements the command that injects faults into entry processes
// and checks their guarantees.
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

// Options are the flags of the command.
type Options struct {
	Entry    string        `required:"" placeholder:"FILE" help:"Executable of the entry process of the platform." type:"existingfile"`
	Seed     uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"1" help:"Number of seeds."`
	Jobs     int           `default:"2" help:"Number of seeds that run at the same time."`
	Hosts    int           `default:"4" help:"Number of entry processes per seed."`
	Faults   time.Duration `default:"12s" help:"Length of the phase in which faults are injected."`
	Gap      time.Duration `default:"800ms" help:"Maximum time between the starts of two faults."`
	Traffic  []string      `default:"silence,split-heads,crashing-part" enum:"silence,split-heads,crashing-part" placeholder:"NAME" help:"Faults that depend on the traffic (${enum})."`
	Restores bool          `help:"Also restore the store from copies that are 0.1 to 10 s old, while engines load weights."`
	Dir      string        `placeholder:"DIR" help:"Directory for settings and logs. The default is a new temporary directory." type:"path"`
}

// RunFunc runs the soak test for one seed.
type RunFunc func(ctx context.Context, options soaker.Options, seed uint64) (soaker.Report, error)

// Command is the soak command.
type Command struct {
	Options `embed:""`

	run RunFunc
}

// New returns a command that uses run for each seed.
func New(run RunFunc) Command { return Command{run: run} }

// Run runs the soak test for all seeds and prints a line for each, followed by
// its violations.
func (c *Command) Run(ctx context.Context, stdout io.Writer) error {
	if err := c.validate(); err != nil {
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
				text, passed := c.runSeed(ctx, filepath.Join(dir, fmt.Sprint("seed-", seed)), seed)
				mutex.Lock()
				if !passed {
					failed++
				}
				// A failed write must not stop the other seeds.
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

func (c *Command) validate() error {
	var errs []error
	for _, count := range []struct {
		name  string
		value int
	}{{"seeds", c.Seeds}, {"jobs", c.Jobs}, {"hosts", c.Hosts}} {
		if count.value < 1 {
			errs = append(errs, fmt.Errorf("--%s is %d, must be at least 1", count.name, count.value))
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{{"faults", c.Faults}, {"gap", c.Gap}} {
		if duration.value <= 0 {
			errs = append(errs, fmt.Errorf("--%s is %s, must be positive", duration.name, duration.value))
		}
	}
	return errors.Join(errs...)
}

// runSeed runs the soak test for a seed. It returns the output and reports
// whether the test completed without violations.
func (c *Command) runSeed(ctx context.Context, dir string, seed uint64) (string, bool) {
	err := os.MkdirAll(dir, 0o700)
	var report soaker.Report
	if err == nil {
		report, err = c.run(ctx, soaker.Options{Entry: c.Entry, Dir: dir, Hosts: c.Hosts, TrafficFaults: c.Traffic, FaultPhase: c.Faults, MaxFaultGap: c.Gap, Restores: c.Restores}, seed)
	}
	if err != nil {
		return fmt.Sprintf("seed %d: test not completed: %v\n", seed, err), false
	}
	text := fmt.Sprintf("seed %d: %d requests, %d arrivals, %d violations\n",
		seed, len(report.History.Results), len(report.History.Arrivals), len(report.Violations))
	for _, violation := range report.Violations {
		text += fmt.Sprintf("  %s: %s\n", violation.Rule, violation.Text)
	}
	return text, len(report.Violations) == 0
}

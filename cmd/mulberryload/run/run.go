// Package run implements the command that sends load to entry processes.
package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"mulberrybeam/cmd/mulberryload/process/planner"
	"mulberrybeam/cmd/mulberryload/process/runner"
)

// Options are the arguments and flags of the command.
type Options struct {
	File  string   `arg:"" help:"Load description, in JSON with comments." type:"path"`
	Entry []string `help:"Address of an entry process, as ip:port. Overrides the addresses in the file."`
}

// StartFunc runs a load with the options of the command and prints the results.
type StartFunc func(ctx context.Context, options Options, stdout io.Writer) error

// Command is the run command.
type Command struct {
	Options `embed:""`

	start StartFunc
}

// New returns a command that uses start to run a load.
func New(start StartFunc) Command { return Command{start: start} }

// Run runs the load.
func (c *Command) Run(ctx context.Context, stdout io.Writer) error {
	return c.start(ctx, c.Options, stdout)
}

// file is the description of a load. Durations use the format of Go, such as
// "1.5s".
type file struct {
	Entries    []string `json:"entries"`
	Seed       uint64   `json:"seed"`
	Duration   string   `json:"duration"`
	Rate       float64  `json:"rate"`
	Workspaces []struct {
		Name  string  `json:"name"`
		Key   string  `json:"key"`
		Share float64 `json:"share"`
	} `json:"workspaces"`
	Model              string  `json:"model"`
	MaxTokens          int     `json:"max-tokens"`
	FirstBytes         int     `json:"first-prompt-bytes"`
	GrowthBytes        int     `json:"growth-bytes"`
	ReturnMin          string  `json:"return-min"`
	ReturnShape        float64 `json:"return-shape"`
	MaxTurns           int     `json:"max-turns"`
	ServiceShare       float64 `json:"service-share"`
	NonRepeatableShare float64 `json:"non-repeatable-share"`
	ResendShare        float64 `json:"resend-share"`
	Service            string  `json:"service"`
	RepeatableCall     string  `json:"repeatable-call"`
	NonRepeatableCall  string  `json:"non-repeatable-call"`
	Timeout            string  `json:"timeout"`
}

// Parse parses the description of a load. Missing fields have their default
// values; unknown fields are errors.
func Parse(document []byte) (runner.Settings, error) {
	standardJSON, err := hujson.Standardize(document)
	if err != nil {
		return runner.Settings{}, err
	}
	f := file{
		Seed: 1, Duration: "10s", Rate: 10, Model: "summary", MaxTokens: 16,
		FirstBytes: 8192, GrowthBytes: 1024, ReturnMin: "1s", ReturnShape: 1.1, MaxTurns: 8,
		Service: "orders", RepeatableCall: "list", NonRepeatableCall: "place", Timeout: "30s",
	}
	if err := decode(standardJSON, &f); err != nil {
		return runner.Settings{}, err
	}
	return f.settings()
}

func decode(standardJSON []byte, f *file) error {
	decoder := json.NewDecoder(bytes.NewReader(standardJSON))
	decoder.DisallowUnknownFields()
	return decoder.Decode(f)
}

func (f file) settings() (runner.Settings, error) {
	var errs []error
	duration := func(name, text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		return d
	}
	settings := runner.Settings{
		Entries: f.Entries, Model: f.Model, MaxTokens: f.MaxTokens, Service: f.Service,
		RepeatableCall: f.RepeatableCall, NonRepeatableCall: f.NonRepeatableCall,
		Timeout: duration("timeout", f.Timeout),
		Plan: planner.Plan{
			Seed: f.Seed, Duration: duration("duration", f.Duration), Rate: f.Rate,
			FirstBytes: f.FirstBytes, GrowthBytes: f.GrowthBytes,
			ReturnMin: duration("return-min", f.ReturnMin), ReturnShape: f.ReturnShape, MaxTurns: f.MaxTurns,
			ServiceShare: f.ServiceShare, NonRepeatableShare: f.NonRepeatableShare, ResendShare: f.ResendShare,
		},
	}
	for _, w := range f.Workspaces {
		settings.Plan.Workspaces = append(settings.Plan.Workspaces, planner.Workspace{Name: w.Name, Key: w.Key, Share: w.Share})
	}
	if f.MaxTokens < 1 {
		errs = append(errs, errors.New("max-tokens must be greater than 0"))
	}
	return settings, errors.Join(errors.Join(errs...), planner.Validate(settings.Plan))
}

// Start runs the load described in a file and prints the results as JSON.
func Start(ctx context.Context, options Options, stdout io.Writer) error {
	document, err := os.ReadFile(options.File)
	if err != nil {
		return err
	}
	settings, err := Parse(document)
	if err != nil {
		return fmt.Errorf("%s: %w", options.File, err)
	}
	if len(options.Entry) > 0 {
		settings.Entries = options.Entry
	}
	if len(settings.Entries) == 0 {
		return errors.New("no entry address in the file or in --entry")
	}
	loadRunner, closeRunner := runner.New(settings)
	defer closeRunner()
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(loadRunner.Run(ctx))
}

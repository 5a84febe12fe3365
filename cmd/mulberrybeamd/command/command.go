// Package command implements the command line of mulberrybeamd.
package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"mulberrybeam/process/launcher"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Options holds the flags of mulberrybeamd and the dependencies of the command.
type Options struct {
	Settings string `help:"Settings file in JSON with comments." required:"" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`

	log    *logrus.Logger
	stdout io.Writer
	run    RunFunc
}

// RunFunc runs an entry process until ctx is done, and then shuts it down.
type RunFunc func(ctx context.Context, settings launcher.Settings, log *logrus.Logger) error

// exitPanic is the panic value that carries the exit code from kong to Run, after
// kong has printed the help.
type exitPanic struct{ code int }

// Run parses the arguments, runs the entry process and returns the exit code. If
// run is nil, it runs the real process.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer, run RunFunc) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case exitPanic:
			code = recovered.code
		default:
			panic(recovered)
		}
	}()
	log := logrus.New()
	log.SetOutput(stderr)
	if run == nil {
		run = runProcess
	}
	options := &Options{log: log, stdout: stdout, run: run}
	parser := kong.Must(options,
		kong.Name("mulberrybeamd"),
		kong.Description("Entry process of a mulberrybeam fleet."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic{code}) }),
	)
	if _, err := parser.Parse(arguments); err != nil {
		_, _ = fmt.Fprintf(stderr, "mulberrybeamd: %v\nRun \"mulberrybeamd --help\" for usage.\n", err)
		return ExitUsage
	}
	if err := options.start(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitOK
}

func (o *Options) start(ctx context.Context) error {
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		return err
	}
	settings, err := launcher.ParseSettings(data)
	if err != nil {
		return fmt.Errorf("%s:\n%w", o.Settings, err)
	}
	if o.Check {
		_, err = fmt.Fprintf(o.stdout, "%s is valid\n", o.Settings)
		return err
	}
	return o.run(ctx, settings, o.log)
}

func runProcess(ctx context.Context, settings launcher.Settings, log *logrus.Logger) error {
	process, shutdown, err := launcher.Start(settings)
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{
		"process":  process.ID,
		"zone":     settings.Zone,
		"caller":   process.CallerAddress,
		"peer":     process.PeerAddress,
		"operator": process.OperatorAddress,
	}).Info("started")
	<-ctx.Done()
	log.WithField("process", process.ID).Info("shutting down")
	err = shutdown(context.Background())
	log.WithField("process", process.ID).Info("stopped")
	return err
}

// Package command implements the command line of mulberryentry.
package command

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/process/starter"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// RunFunc runs the entry process until it receives a signal to stop.
type RunFunc func(options Options, settings mulberrybeam.HostSettings, stdout io.Writer) error

// Options holds the flags of mulberryentry.
type Options struct {
	Settings    string `default:"${settings}" help:"Settings file that the platform provides." type:"path"`
	MetricsPort int    `default:"0" help:"Port of the metrics endpoint, or 0 for none."`
	Check       bool   `help:"Check the settings and exit."`
}

// exitPanic is the panic value that carries the exit code from kong to Run, after
// kong has printed the help.
type exitPanic struct{ code int }

// Run parses the arguments, runs the process and returns the exit code. If run is
// nil, it runs the real process.
func Run(arguments []string, stdout, stderr io.Writer, run RunFunc) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case exitPanic:
			code = recovered.code
		default:
			panic(recovered)
		}
	}()
	if run == nil {
		run = runProcess
	}
	var options Options
	parser := kong.Must(&options,
		kong.Name("mulberryentry"),
		kong.Description("Entry process on a host of the platform."),
		kong.Vars{"settings": os.Getenv(platform.SettingsVariable)},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic{code}) }),
	)
	if _, err := parser.Parse(arguments); err != nil {
		_, _ = fmt.Fprintf(stderr, "mulberryentry: %v\nRun \"mulberryentry --help\" for usage.\n", err)
		return ExitUsage
	}
	if err := options.start(stdout, run); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitOK
}

func (o Options) start(stdout io.Writer, run RunFunc) error {
	if o.Settings == "" {
		return fmt.Errorf("no settings file; set --settings or %s", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return err
	}
	if o.Check {
		_, err = fmt.Fprintf(stdout, "%s is valid\n", o.Settings)
		return err
	}
	return run(o, settings, stdout)
}

// runProcess runs the process until SIGTERM or SIGINT. SIGHUP reloads the settings.
func runProcess(options Options, settings mulberrybeam.HostSettings, stdout io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	process, err := starter.Start(settings, options.MetricsPort, stdout)
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		process.Reload(platform.ReadSettings(options.Settings))
	}
	process.Shutdown()
	return nil
}

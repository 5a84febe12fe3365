// Package command is the command line of mulberryentry.
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

// RunFunc runs the process until it is told to stop.
type RunFunc func(options Options, settings mulberrybeam.HostSettings, out io.Writer) error

// Options are the arguments of the command.
type Options struct {
	Settings    string `default:"${settings}" help:"Settings file of the platform." type:"path"`
	MetricsPort int    `default:"0" help:"Port of the metrics, 0 for none."`
	Check       bool   `help:"Check the settings and exit."`
}

// exit carries an exit code out of the parser.
type exit struct{ code int }

// Run parses the arguments, runs the process and returns the exit code. A nil
// run stands for the real one.
func Run(arguments []string, out, errors io.Writer, run RunFunc) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case exit:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	if run == nil {
		run = serve
	}
	var options Options
	parser := kong.Must(&options,
		kong.Name("mulberryentry"),
		kong.Description("Entry process on a host of the platform."),
		kong.Vars{"settings": os.Getenv(platform.SettingsVariable)},
		kong.Writers(out, errors),
		kong.Exit(func(code int) { panic(exit{code}) }),
	)
	if _, err := parser.Parse(arguments); err != nil {
		_, _ = fmt.Fprintf(errors, "mulberryentry: %v\nRun \"mulberryentry --help\" for the flags.\n", err)
		return ExitUsage
	}
	if err := options.start(out, run); err != nil {
		_, _ = fmt.Fprintln(errors, err)
		return ExitFailure
	}
	return ExitOK
}

func (o Options) start(out io.Writer, run RunFunc) error {
	if o.Settings == "" {
		return fmt.Errorf("no settings file; state one with --settings or %s", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return err
	}
	if o.Check {
		_, err = fmt.Fprintf(out, "%s is valid\n", o.Settings)
		return err
	}
	return run(o, settings, out)
}

// serve runs the process until SIGTERM. SIGHUP reads the settings again.
func serve(options Options, settings mulberrybeam.HostSettings, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	process, err := starter.Start(settings, options.MetricsPort, out)
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

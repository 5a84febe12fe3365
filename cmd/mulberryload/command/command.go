// Package command parses the command line and runs the selected command.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"mulberrybeam/cmd/mulberryload/losses"
	"mulberrybeam/cmd/mulberryload/run"
	"mulberrybeam/cmd/mulberryload/serve"
	"mulberrybeam/cmd/mulberryload/soak"
	"mulberrybeam/process/soaker"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type commands struct {
	Serve  serve.Command  `cmd:"" help:"Run a fake server until it is interrupted."`
	Run    run.Command    `cmd:"" help:"Send load to entry processes and print the results as JSON."`
	Soak   soak.Command   `cmd:"" help:"Inject faults into entry processes of the platform and check their guarantees."`
	Losses losses.Command `cmd:"" help:"Show the losses in reports of the benchmark by cause."`
}

// Main runs the command given by the arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	exit := -1
	root := commands{Serve: serve.New(serve.Start), Run: run.New(run.Start), Soak: soak.New(soaker.Run)}
	parser, err := kong.New(&root, kong.Name("mulberryload"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }))
	if err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return exitFailure
	}
	selected, err := parser.Parse(args)
	if exit >= 0 { // kong has printed the help
		return exit
	}
	if err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return exitUsage
	}
	selected.BindTo(ctx, (*context.Context)(nil))
	selected.BindTo(stdout, (*io.Writer)(nil))
	if err := selected.Run(); err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return exitFailure
	}
	return 0
}

// Package command reads the command line and runs the command on it.
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
	codeFailed = 1
	codeUsage  = 2
)

type commands struct {
	Serve  serve.Command  `cmd:"" help:"Run a fake until it is interrupted."`
	Run    run.Command    `cmd:"" help:"Put load on entry processes and print the results as JSON."`
	Soak   soak.Command   `cmd:"" help:"Play faults against entry processes of the platform and check their promises."`
	Losses losses.Command `cmd:"" help:"Draw what days of the users' bench lost, by cause."`
}

// Main runs the command of the arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	exit := -1
	line := commands{Serve: serve.New(serve.Start), Run: run.New(run.Start), Soak: soak.New(soaker.Run)}
	parser, err := kong.New(&line, kong.Name("mulberryload"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }))
	if err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return codeFailed
	}
	chosen, err := parser.Parse(args)
	if exit >= 0 { // help was printed
		return exit
	}
	if err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return codeUsage
	}
	chosen.BindTo(ctx, (*context.Context)(nil))
	chosen.BindTo(stdout, (*io.Writer)(nil))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(stderr, "mulberryload:", err)
		return codeFailed
	}
	return 0
}

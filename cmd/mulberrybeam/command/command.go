// Package command is the root of the operators' command line.
package command

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/command/demo"
	"mulberrybeam/cmd/mulberrybeam/command/environment/apply"
	"mulberrybeam/cmd/mulberrybeam/command/environment/diff"
	"mulberrybeam/cmd/mulberrybeam/command/environment/get"
	"mulberrybeam/cmd/mulberrybeam/command/environment/promote"
	"mulberrybeam/cmd/mulberrybeam/command/environment/schema"
	"mulberrybeam/cmd/mulberrybeam/command/environment/validate"
	"mulberrybeam/cmd/mulberrybeam/command/explain"
	"mulberrybeam/cmd/mulberrybeam/command/status"
	"mulberrybeam/cmd/mulberrybeam/command/timeline"
	"mulberrybeam/cmd/mulberrybeam/command/zone/change"
	"mulberrybeam/cmd/mulberrybeam/command/zone/list"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Exit codes.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitCancelled = 4
)

// Grammar is the tree of commands.
type Grammar struct {
	Demo        demo.Options     `cmd:"" help:"Run entry processes and stand-ins in one process and show what they do."`
	Environment environment      `cmd:"" help:"Check, apply and promote configuration documents."`
	Zone        zone             `cmd:"" help:"Take availability zones out and bring them back."`
	Status      status.Options   `cmd:"" help:"Show hosts, slots and targets."`
	Timeline    timeline.Options `cmd:"" help:"Show the events of entry hosts in causal order."`
	Explain     explain.Options  `cmd:"" help:"Show what was decided about one request."`
}

type environment struct {
	Validate validate.Options `cmd:"" help:"Check a document."`
	Get      get.Options      `cmd:"" help:"Print the document in force."`
	Diff     diff.Options     `cmd:"" help:"Show how a document differs from the one in force."`
	Apply    apply.Options    `cmd:"" help:"Put a document in force."`
	Promote  promote.Options  `cmd:"" help:"Put the exact revision of one environment in force in another."`
	Schema   schema.Options   `cmd:"" help:"Print the JSON schema of the document, for editors."`
}

type zone struct {
	List      list.Options   `cmd:"" help:"List availability zones."`
	TakeOut   change.Options `cmd:"" help:"Take a zone out: it gets no new work."`
	BringBack change.Options `cmd:"" help:"Bring a zone back: its targets start cold."`
}

// New returns the tree of commands over their dependencies.
func New(f *factory.Factory) *Grammar {
	return &Grammar{
		Demo: demo.New(f, nil),
		Environment: environment{
			Validate: validate.New(f, nil),
			Get:      get.New(f, nil),
			Diff:     diff.New(f, nil),
			Apply:    apply.New(f, nil),
			Promote:  promote.New(f, nil),
			Schema:   schema.New(f, nil),
		},
		Zone: zone{
			List:      list.New(f, nil),
			TakeOut:   change.New(f, mulberrybeam.ZoneOut, nil),
			BringBack: change.New(f, mulberrybeam.ZoneIn, nil),
		},
		Status:   status.New(f, nil),
		Timeline: timeline.New(f, nil),
		Explain:  explain.New(f, nil),
	}
}

// helpShown unwinds the parser after it printed help.
type helpShown struct{ code int }

// Run parses the arguments, runs the command and returns the exit code.
func Run(f *factory.Factory, arguments []string) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case helpShown:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	parser, err := kong.New(New(f),
		kong.Name("mulberrybeam"),
		kong.Description("Operate a mulberrybeam fleet."),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.Exit(func(code int) { panic(helpShown{code}) }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(f.Streams.Err, err)
		return ExitFailure
	}
	selected, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(f.Streams.Err, "mulberrybeam: %v\nRun \"mulberrybeam --help\" for the commands.\n", err)
		return ExitUsage
	}
	return exitCode(f, selected.Run())
}

func exitCode(f *factory.Factory, err error) int {
	if err == nil {
		return ExitOK
	}
	var silent *factory.SilentError
	if errors.As(err, &silent) {
		return silent.Code
	}
	_, _ = fmt.Fprintln(f.Streams.Err, err)
	var conflict *editor.Conflict
	switch {
	case errors.Is(err, factory.ErrCancelled):
		return ExitCancelled
	case errors.As(err, &conflict):
		return ExitConflict
	default:
		return ExitFailure
	}
}

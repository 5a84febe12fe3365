// Package command defines the command tree of the mulberrybeam command line, runs
// the selected command and maps errors to exit codes.
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

// Exit codes of the mulberrybeam command.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitCancelled = 4
)

// Tree is the command tree, as kong parses it.
type Tree struct {
	Demo        demo.Options        `cmd:"" help:"Run a demo with entry processes and stand-in backends in one process."`
	Environment environmentCommands `cmd:"" help:"Validate, apply and promote configuration documents."`
	Zone        zoneCommands        `cmd:"" help:"List availability zones, take them out of service and bring them back."`
	Status      status.Options      `cmd:"" help:"Show entry hosts, slots and targets."`
	Timeline    timeline.Options    `cmd:"" help:"Show events of entry hosts in causal order."`
	Explain     explain.Options     `cmd:"" help:"Show the decisions made for one request."`
}

type environmentCommands struct {
	Validate validate.Options `cmd:"" help:"Validate a document without applying it."`
	Get      get.Options      `cmd:"" help:"Print the document in force."`
	Diff     diff.Options     `cmd:"" help:"Compare a document with the one in force."`
	Apply    apply.Options    `cmd:"" help:"Apply a document to its environment."`
	Promote  promote.Options  `cmd:"" help:"Apply a revision of one environment to another environment."`
	Schema   schema.Options   `cmd:"" help:"Print the JSON schema of the document, for use in text editors."`
}

type zoneCommands struct {
	List      list.Options   `cmd:"" help:"List availability zones."`
	TakeOut   change.Options `cmd:"" help:"Take a zone out of service: it gets no new requests."`
	BringBack change.Options `cmd:"" help:"Bring a zone back into service: its targets start in the cold phase."`
}

// New returns the command tree. The commands take their dependencies from f.
func New(f *factory.Factory) *Tree {
	return &Tree{
		Demo: demo.New(f, nil),
		Environment: environmentCommands{
			Validate: validate.New(f, nil),
			Get:      get.New(f, nil),
			Diff:     diff.New(f, nil),
			Apply:    apply.New(f, nil),
			Promote:  promote.New(f, nil),
			Schema:   schema.New(f, nil),
		},
		Zone: zoneCommands{
			List:      list.New(f, nil),
			TakeOut:   change.New(f, mulberrybeam.ZoneOut, nil),
			BringBack: change.New(f, mulberrybeam.ZoneIn, nil),
		},
		Status:   status.New(f, nil),
		Timeline: timeline.New(f, nil),
		Explain:  explain.New(f, nil),
	}
}

// helpExit is the panic value that stops the parser after it printed help, since
// kong would otherwise go on after its exit function returns.
type helpExit struct{ code int }

// Run parses the arguments, runs the command and returns the exit code.
func Run(f *factory.Factory, arguments []string) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case helpExit:
			code = recovered.code
		default:
			panic(recovered)
		}
	}()
	parser, err := kong.New(New(f),
		kong.Name("mulberrybeam"),
		kong.Description("Operate a mulberrybeam fleet."),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.Exit(func(code int) { panic(helpExit{code}) }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(f.Streams.Err, err)
		return ExitFailure
	}
	selected, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(f.Streams.Err, "mulberrybeam: %v\nRun \"mulberrybeam --help\" for usage.\n", err)
		return ExitUsage
	}
	return exitCode(f, selected.Run())
}

func exitCode(f *factory.Factory, err error) int {
	if err == nil {
		return ExitOK
	}
	var silent *factory.ExitError
	if errors.As(err, &silent) {
		return silent.Code
	}
	_, _ = fmt.Fprintln(f.Streams.Err, err)
	var conflict *editor.ConflictError
	switch {
	case errors.Is(err, factory.ErrCancelled):
		return ExitCancelled
	case errors.As(err, &conflict):
		return ExitConflict
	default:
		return ExitFailure
	}
}

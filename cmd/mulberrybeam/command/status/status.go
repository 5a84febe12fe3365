// Package status implements the status command, which shows the hosts, slots
// and targets known to entry hosts.
package status

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/cmd/mulberrybeam/reader"
	"mulberrybeam/process/operator"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Entry []string `help:"Operator listener address of an entry host, one for each zone." required:""`
	JSON  bool     `help:"Print the status as JSON." name:"json"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = status
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func status(o *Options) error {
	statuses, errs := reader.GetAll[operator.Status](o.factory.HTTP, o.Entry, "/operator/status", nil)
	if o.JSON {
		if err := json.NewEncoder(o.factory.Streams.Out).Encode(statuses); err != nil {
			return err
		}
		return errs
	}
	for _, status := range statuses {
		if err := printStatus(o.factory.Streams.Out, status); err != nil {
			return err
		}
	}
	return errs
}

func printStatus(out io.Writer, status operator.Status) error {
	_, _ = fmt.Fprintf(out, "zone %s, entry host %s, environment %s, revision %d, ready %t\n",
		status.Zone, status.Process, status.Environment, status.Revision, status.Ready)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "HOST\tADDRESS\tSTATE\tREVISION")
	for _, member := range status.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", member.Process, member.Address, member.State, member.Revision)
	}
	_, _ = fmt.Fprintln(table, "TARGET\tPHASE\tRUNNING\tWAITING\tOWNER")
	for _, target := range status.Targets {
		if target.Zone != status.Zone {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", target.ID, target.Phase, target.Running, target.Waiting, target.Owner)
	}
	return table.Flush()
}

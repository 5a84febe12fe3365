// Package timeline implements the timeline command, which merges the events of
// several entry hosts in causal order.
package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/cmd/mulberrybeam/reader"
	"mulberrybeam/process/operator"
	"mulberrybeam/process/stamper"
)

// followInterval is the time between two polls for new events with --follow.
const followInterval = time.Second

// Options holds the arguments and dependencies of the command.
type Options struct {
	Entry   []string                 `help:"Operator listener address of an entry host. Repeat for each host." required:""`
	Kind    []mulberrybeam.EntryKind `help:"Show only events of these kinds."`
	Request mulberrybeam.RequestID   `help:"Show only events of one request."`
	Follow  bool                     `help:"Keep polling and show new events."`
	JSON    bool                     `help:"Print one JSON object per line." name:"json"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = timeline
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func timeline(o *Options) error {
	printed := map[operator.Entry]bool{}
	for {
		entries, errs := Collect(o.factory, o.Entry, o.Request)
		for _, entry := range entries {
			if printed[entry] || len(o.Kind) > 0 && !slices.Contains(o.Kind, entry.Kind) {
				continue
			}
			printed[entry] = true
			if err := Print(o.factory.Streams.Out, entry, o.JSON); err != nil {
				return err
			}
		}
		if !o.Follow {
			return errs
		}
		time.Sleep(followInterval)
	}
}

// Collect returns the events of all entry hosts, sorted by hybrid logical clock
// timestamp, and the joined errors of hosts that did not answer. An empty request
// selects all events.
func Collect(f *factory.Factory, addresses []string, request mulberrybeam.RequestID) ([]operator.Entry, error) {
	query := url.Values{}
	if request != "" {
		query.Set("request", string(request))
	}
	lists, errs := reader.GetAll[[]operator.Entry](f.HTTP, addresses, "/operator/timeline", query)
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b operator.Entry) int {
		return stamper.Compare(a.Stamp(), b.Stamp())
	})
	return merged, errs
}

// Print writes one event as a line of text or JSON.
func Print(out io.Writer, entry operator.Entry, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(entry)
	}
	_, err := fmt.Fprintf(out, "%s %s %s %s %s %s\n", time.UnixMilli(entry.WallMS).UTC().Format("15:04:05.000"),
		entry.Process, entry.Kind, entry.Request, entry.Subject, entry.Text)
	return err
}

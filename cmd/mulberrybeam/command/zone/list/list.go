// Package list implements the zone list command, which shows the availability zones
// of an environment.
package list

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/compiler"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Environment mulberrybeam.EnvironmentName `arg:"" help:"Name of the environment."`
	Platform    string                       `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`
	JSON        bool                         `help:"Print the list as JSON." name:"json"`

	factory *factory.Factory
	run     func(*Options) error
}

// Row is the listing entry of one availability zone.
type Row struct {
	Region  mulberrybeam.RegionName `json:"region"`
	Zone    mulberrybeam.ZoneName   `json:"zone"`
	State   mulberrybeam.ZoneState  `json:"state"`
	Slots   int                     `json:"slots"`
	Targets int                     `json:"targets"`
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = list
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func list(o *Options) error {
	current, _, cleanup, err := editor.Open(context.Background(), o.factory, o.Platform, o.Environment)
	defer cleanup()
	if err != nil {
		return err
	}
	tables := compiler.Compile(current.Environment)
	rows := []Row{}
	for _, region := range current.Environment.Regions {
		for _, zone := range region.Zones {
			rows = append(rows, Row{region.Name, zone.Name, zone.State, zone.Slots, len(tables.TargetsByZone[zone.Name])})
		}
	}
	if o.JSON {
		return json.NewEncoder(o.factory.Streams.Out).Encode(rows)
	}
	table := tabwriter.NewWriter(o.factory.Streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REGION\tZONE\tSTATE\tSLOTS\tTARGETS")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", row.Region, row.Zone, row.State, row.Slots, row.Targets)
	}
	return table.Flush()
}

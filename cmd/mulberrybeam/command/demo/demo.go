// Package demo runs entry processes and stand-ins in one process.
package demo

import "mulberrybeam/cmd/mulberrybeam/factory"

// Options are the dependencies and arguments of the command.
type Options struct {
	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	return Options{factory: f, run: run}
}

// Run runs the command.
func (o *Options) Run() error { return o.run(o) }

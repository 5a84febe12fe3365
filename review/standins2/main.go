//go:build review2

// Command standins2 runs the scripts of the second review: stand-ins of the
// platform, its engines and its clients around real entry processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins2 engine|CASE")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(exitNotRun)
	}()
	code, err := run(d)
	d.stop()
	if err != nil {
		d.note("the case could not run: %v", err)
		code = exitNotRun
	}
	d.note("exit code %d", code)
	_ = d.record.Close()
	os.Exit(code)
}

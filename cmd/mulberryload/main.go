// Mulberryload runs fake engines, stores, services and platforms as processes,
// generates load for entry processes, and runs soak tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mulberrybeam/cmd/mulberryload/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

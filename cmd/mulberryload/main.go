// Mulberryload runs the fakes of engines, stores, services and the platform
// as processes, and puts load on entry processes.
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

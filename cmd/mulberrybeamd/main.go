// Command mulberrybeamd runs an entry process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mulberrybeam/cmd/mulberrybeamd/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, nil))
}

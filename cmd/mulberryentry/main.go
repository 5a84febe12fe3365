// Command mulberryentry runs the entry process on a host of the platform.
package main

import (
	"os"

	"mulberrybeam/cmd/mulberryentry/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, nil))
}

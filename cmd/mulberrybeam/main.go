// Command mulberrybeam is the operators' command line.
package main

import (
	"os"

	"mulberrybeam/cmd/mulberrybeam/command"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

func main() {
	os.Exit(command.Run(factory.System(), os.Args[1:]))
}

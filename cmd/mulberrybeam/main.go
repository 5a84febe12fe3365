// Command mulberrybeam is the command line tool for operators.
package main

import (
	"os"

	"mulberrybeam/cmd/mulberrybeam/command"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

func main() {
	os.Exit(command.Run(factory.NewSystem(), os.Args[1:]))
}

// Command agategap serves online and batch inference on one shared fleet. Package internal/cmd has the subcommands.
package main

import (
	"os"

	"github.com/agategap/agategap/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

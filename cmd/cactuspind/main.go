// Command cactuspind runs the daemon of an entry host.
package main

import (
	"os"

	"github.com/cactuspin/cactuspin/internal/app/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }

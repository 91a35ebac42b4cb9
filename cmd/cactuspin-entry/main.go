// Command cactuspin-entry runs an entry host of the packet path.
package main

import (
	"os"

	"github.com/cactuspin/cactuspin/internal/app/entry"
)

func main() { os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr)) }

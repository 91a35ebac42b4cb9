// Command cactuspin-standin runs stand-ins of the fabric, the platform, targets and
// callers, for tests and demos.
package main

import (
	"os"

	"github.com/cactuspin/cactuspin/internal/app/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command cactuspin-standin stands in for fabric, platform, targets and callers.
package main

import (
	"os"

	"github.com/cactuspin/cactuspin/internal/app/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }

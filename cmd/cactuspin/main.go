// Command cactuspin is the operators' command-line client.
package main

import (
	"os"

	"github.com/cactuspin/cactuspin/internal/app/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }

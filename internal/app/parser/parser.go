// Package parser parses command lines.
package parser

import "github.com/alecthomas/kingpin/v2"

// terminated is the value of the panic that ends the parsing after kingpin has
// printed help or the version.
type terminated struct{}

// Parse parses args and returns the full name of the selected command. If help or
// the version was printed, done is true and the program must exit with code 0.
func Parse(a *kingpin.Application, args []string) (command string, done bool, err error) {
	a.Terminate(func(int) { panic(terminated{}) })
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(terminated); !ok {
				panic(r)
			}
			done = true
		}
	}()
	command, err = a.Parse(args)
	return command, false, err
}

// Package parser parses command lines.
package parser

import "github.com/alecthomas/kingpin/v2"

// printed ends the parsing after help or the version was printed.
type printed struct{}

// Parse parses the arguments. It reports printed if help or the version was
// asked for, after which the program is to exit with 0.
func Parse(a *kingpin.Application, args []string) (command string, done bool, err error) {
	a.Terminate(func(int) { panic(printed{}) })
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(printed); !ok {
				panic(r)
			}
			done = true
		}
	}()
	command, err = a.Parse(args)
	return command, false, err
}

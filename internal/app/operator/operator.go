// Package operator implements the operators' command-line client. It changes the
// system only by submitting bundles.
package operator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/app/parser"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
)

// Build is the version of the program, set by the linker.
var Build = "dev"

// Exit codes of the client.
const (
	ExitSuccess        = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitInvalidBundle  = 3
	ExitConflict       = 4
	ExitOutcomeUnknown = 5
)

// callTimeout limits a call to a host or to the platform.
const callTimeout = 3 * time.Second

// Errors that have their own exit codes.
var (
	errInvalidBundle  = errors.New("the bundle has faults")
	errConflict       = errors.New("the bundle was not accepted")
	errOutcomeUnknown = errors.New("it is not known whether the bundle was accepted; ask again")
)

// console holds the output streams of a command.
type console struct {
	out    io.Writer
	errOut io.Writer
}

// command is a command of the client.
type command interface {
	// register declares the command with its arguments and flags.
	register(a *kingpin.Application) *kingpin.CmdClause
	run(ctx context.Context, c console) error
}

// Main runs the command that args select and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := kingpin.New("cactuspin", "Operators' client of the cactuspin load balancer.")
	a.UsageWriter(out)
	a.ErrorWriter(errOut)
	a.DefaultEnvars()
	a.Version(Build)
	commands := make(map[string]command)
	for _, c := range []command{
		&keyCommand{}, &checkCommand{}, &diffCommand{}, &signCommand{},
		&applyCommand{}, &statusCommand{}, &explainCommand{}, &traceCommand{}, &entryCommand{}, &whereCommand{},
	} {
		commands[c.register(a).FullCommand()] = c
	}
	name, done, e := parser.Parse(a, args)
	if done {
		return ExitSuccess
	}
	if e != nil {
		_, _ = io.WriteString(errOut, "cactuspin: "+e.Error()+"\n")
		return ExitUsage
	}
	c, ok := commands[name]
	if !ok {
		return ExitSuccess
	}
	e = c.run(context.Background(), console{out: out, errOut: errOut})
	if e != nil {
		_, _ = io.WriteString(errOut, "cactuspin: "+e.Error()+"\n")
	}
	return exitCode(e)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, errInvalidBundle):
		return ExitInvalidBundle
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

func newClient(endpoint string) *platformclient.Client {
	return platformclient.NewClient(platformclient.Config{Endpoint: endpoint, HTTP: &http.Client{Timeout: callTimeout}})
}

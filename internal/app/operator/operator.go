// Package operator is the operators' client. It acts on the system through
// bundles alone.
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

// Build is the version of the program; the linker sets it.
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

// callTimeout bounds a call to a host or the platform.
const callTimeout = 3 * time.Second

// Errors with exit codes of their own.
var (
	errFaults     = errors.New("the bundle has faults")
	errSuperseded = errors.New("the bundle was not accepted")
	errUnknown    = errors.New("it is not known whether the bundle was accepted; ask again")
)

// console is where commands write.
type console struct {
	out io.Writer
	err io.Writer
}

// command is one command of the client.
type command interface {
	// register declares the command's flags.
	register(a *kingpin.Application) *kingpin.CmdClause
	run(ctx context.Context, c console) error
}

// Main runs one command and returns its exit code.
func Main(args []string, out, err io.Writer) int {
	a := kingpin.New("cactuspin", "Operators' client of the cactuspin load balancer.")
	a.UsageWriter(out)
	a.ErrorWriter(err)
	a.DefaultEnvars()
	a.Version(Build)
	commands := make(map[string]command)
	for _, c := range []command{
		&keyCommand{}, &checkCommand{}, &diffCommand{}, &signCommand{},
		&applyCommand{}, &statusCommand{}, &explainCommand{}, &traceCommand{}, &entryCommand{},
	} {
		commands[c.register(a).FullCommand()] = c
	}
	name, done, e := parser.Parse(a, args)
	if done {
		return ExitSuccess
	}
	if e != nil {
		_, _ = io.WriteString(err, "cactuspin: "+e.Error()+"\n")
		return ExitUsage
	}
	c, ok := commands[name]
	if !ok {
		return ExitSuccess
	}
	e = c.run(context.Background(), console{out: out, err: err})
	if e != nil {
		_, _ = io.WriteString(err, "cactuspin: "+e.Error()+"\n")
	}
	return exitCode(e)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, errFaults):
		return ExitInvalidBundle
	case errors.Is(err, errSuperseded):
		return ExitConflict
	case errors.Is(err, errUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

func newClient(endpoint string) *platformclient.Client {
	return platformclient.NewClient(platformclient.Config{Endpoint: endpoint, HTTP: &http.Client{Timeout: callTimeout}})
}

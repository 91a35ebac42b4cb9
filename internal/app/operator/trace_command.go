package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/diagnosis/tracer"
)

// traceCommand shows what happened to a request of the packet path.
type traceCommand struct {
	id       string
	files    []string
	from, to string
	input    io.Reader
}

func (k *traceCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("trace", "Show what happened to a request, from the hosts' logs.")
	c.Arg("request", "ID of the request.").Required().StringVar(&k.id)
	c.Arg("file", "Log of one or more hosts; without files, the logs are read from standard input.").ExistingFilesVar(&k.files)
	c.Flag("from", "Earliest time of the request, such as 2026-05-23T19:01:35Z.").StringVar(&k.from)
	c.Flag("to", "Latest time of the request.").StringVar(&k.to)
	k.input = os.Stdin
	return c
}

func (k *traceCommand) run(_ context.Context, c console) (err error) {
	config := tracer.Config{Request: k.id}
	if config.From, err = parseTime("from", k.from); err != nil {
		return err
	}
	if config.To, err = parseTime("to", k.to); err != nil {
		return err
	}
	files := k.files
	if len(files) == 0 {
		name, spoolErr := spool(k.input)
		if spoolErr != nil {
			return spoolErr
		}
		defer func() { err = errors.CombineErrors(err, os.Remove(name)) }()
		files = []string{name}
	}
	for _, name := range files {
		config.Inputs = append(config.Inputs, func() (io.ReadCloser, error) { return os.Open(name) })
	}
	r, err := tracer.Trace(config)
	if err != nil {
		return err
	}
	printLines := func(title string, lines []tracer.Line) {
		_, _ = fmt.Fprintln(c.out, title)
		for _, l := range lines {
			_, _ = fmt.Fprintln(c.out, "  "+l.Text)
		}
	}
	printLines("The flow of the request:", r.Flow)
	printLines("What hosts learned around it:", r.StateChanges)
	_, _ = fmt.Fprintln(c.out, "What this shows:")
	for _, conclusion := range r.Conclusions {
		_, _ = fmt.Fprintln(c.out, "  - "+conclusion)
	}
	if len(r.Conclusions) == 0 {
		_, _ = fmt.Fprintln(c.out, "  - no reset, repeated packet or time-out of this request is logged: no host saw it fail")
	}
	return nil
}

// parseTime parses the time of a flag; an empty text is no limit.
func parseTime(flag, text string) (t time.Time, err error) {
	if text == "" {
		return t, nil
	}
	t, err = time.Parse(time.RFC3339Nano, text)
	return t, errors.Wrapf(err, "--%s", flag)
}

// spool copies the input to a temporary file, since logs are read twice, and returns
// its name.
func spool(input io.Reader) (name string, err error) {
	defer func() { err = errors.Wrap(err, "copy standard input") }()
	f, err := os.CreateTemp("", "cactuspin-trace-*.log")
	if err != nil {
		return "", errors.WithStack(err)
	}
	_, err = io.Copy(f, input)
	return f.Name(), errors.CombineErrors(err, f.Close())
}

package standin

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/diagnosis/plotter"
)

// reportCommand writes an HTML page with plots of the scores in the journal.
func reportCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("report", "Write an HTML page with plots of all scores in the journal.")
	dir := c.Flag("journal", "Directory of the journal entries.").Default("journal").ExistingDir()
	path := c.Flag("out", "File for the page.").Default("bin/report.html").String()
	return c, func(context.Context) (err error) {
		runs, err := plotter.Read(*dir)
		if err != nil {
			return err
		}
		f, err := os.Create(*path)
		if err != nil {
			return errors.WithStack(err)
		}
		defer func() { err = errors.CombineErrors(err, f.Close()) }()
		if err := plotter.Write(f, runs); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%d scores in %s\n", len(runs), *path)
		return errors.WithStack(err)
	}
}

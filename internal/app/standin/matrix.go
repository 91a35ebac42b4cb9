package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
	"github.com/cactuspin/cactuspin/internal/standin/tester"
)

// emulatorFlags holds the arguments that all commands of the emulator share.
type emulatorFlags struct {
	file    *string
	bundles *[]string
}

func newEmulatorFlags(c *kingpin.CmdClause) emulatorFlags {
	return emulatorFlags{
		file:    c.Arg("file", "Matrix file, which sets the seed and the testbed.").Required().String(),
		bundles: c.Flag("bundle", "The first and the second bundle.").Required().Strings(),
	}
}

func (f emulatorFlags) load() (tester.Matrix, error) { return tester.Load(*f.file, *f.bundles...) }

// matrixCommand runs the fault matrix. The last line of its output is
// "N passed, N failed".
func matrixCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("matrix", "Run the fault matrix in the emulator.")
	flags := newEmulatorFlags(c)
	part := c.Flag("part", "Run one of every N cells.").Default("1").Int()
	cell := c.Flag("cell", "Run only the cell with this name, and trace it.").String()
	return c, func(ctx context.Context) error {
		m, err := flags.load()
		if err != nil {
			return err
		}
		cells, err := m.Cells(*part)
		if err != nil {
			return err
		}
		if *cell != "" {
			return traceCell(&m, cells, *cell, out)
		}
		results, err := m.Run(ctx, cells)
		if err != nil {
			return err
		}
		return printResults(results, m.Seed, out)
	}
}

func printResults(results []tester.Result, seed uint64, out io.Writer) error {
	failed := 0
	output := ""
	for _, r := range results {
		if len(r.Violations) == 0 {
			continue
		}
		failed++
		output += fmt.Sprintf("FAILED %s (seed %d)\n", r.Cell, r.Cell.Seed)
		for _, v := range r.Violations {
			output += "    " + v + "\n"
		}
	}
	output += fmt.Sprintf("seed %d\n%d passed, %d failed\n", seed, len(results)-failed, failed)
	if _, err := io.WriteString(out, output); err != nil {
		return errors.Wrap(err, "print results")
	}
	if failed > 0 {
		return errors.New("cells failed")
	}
	return nil
}

func traceCell(m *tester.Matrix, cells []tester.Cell, name string, out io.Writer) error {
	for _, c := range cells {
		if c.String() != name {
			continue
		}
		violations, err := m.TraceCell(c, func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision) {
			_, _ = fmt.Fprintf(out, "%9.4f host %s %s: %s caller=%s token=%s target=%s host=%s\n",
				now.Sub(emulator.Start).Seconds(), h, d.Kind, d.Reason, d.Caller, d.Token, d.Target, d.Host)
		})
		if err != nil {
			return err
		}
		return printResults([]tester.Result{{Cell: c, Violations: violations}}, m.Seed, out)
	}
	return errors.Newf("no cell is called %q", name)
}

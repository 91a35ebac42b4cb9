// Package tester runs the fault matrix in the emulator: every fault at every step of
// every operation. The oracle checks the guarantees in each cell.
package tester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"
)

// Fault is a fault that the matrix injects.
type Fault struct {
	Name string `yaml:"name"`
	// Do is the kind of fault, For its duration.
	Do  string        `yaml:"do"`
	For time.Duration `yaml:"for"`
	// Planned is set for planned changes, which no caller may notice.
	Planned bool `yaml:"planned"`
}

// Matrix describes the cells to run.
type Matrix struct {
	Seed       uint64   `yaml:"seed"`
	Steps      int      `yaml:"steps"`
	Pairs      int      `yaml:"pairs"`
	Operations []string `yaml:"operations"`
	Faults     []Fault  `yaml:"faults"`
	// Bundles are the texts of the first and the second bundle.
	Bundles [2][]byte `yaml:"-"`
}

// Injection is a fault at a step of an operation.
type Injection struct {
	Fault Fault
	Step  int
}

// Cell is one run of the matrix: an operation with the faults injected into it.
type Cell struct {
	Operation  string
	Injections []Injection
	Seed       uint64
}

// String returns the name of the cell in reports.
func (c Cell) String() string {
	s := c.Operation
	for _, x := range c.Injections {
		s += fmt.Sprintf(" %s@%d", x.Fault.Name, x.Step)
	}
	return s
}

// Result is a cell with the guarantees that were violated in it.
type Result struct {
	Cell       Cell
	Violations []string
}

// Load reads a matrix and the two bundles that it uses.
func Load(file string, bundles ...string) (m Matrix, err error) {
	defer func() { err = errors.Wrap(err, "load matrix") }()
	text, err := os.ReadFile(file)
	if err != nil {
		return m, errors.WithStack(err)
	}
	if err := yaml.Unmarshal(text, &m); err != nil {
		return m, errors.WithStack(err)
	}
	for i, b := range bundles {
		if m.Bundles[i], err = os.ReadFile(b); err != nil {
			return m, errors.WithStack(err)
		}
	}
	return m, nil
}

// Cells generates the cells. If part is greater than 1, it returns only every part-th.
func (m *Matrix) Cells(part int) (cells []Cell, err error) {
	for _, op := range m.Operations {
		count, err := m.countSteps(op)
		if err != nil {
			return nil, err
		}
		for _, f := range m.Faults {
			for _, step := range spread(count, m.Steps) {
				cells = append(cells, Cell{Operation: op, Injections: []Injection{{f, step}}, Seed: m.Seed})
			}
		}
	}
	cells = append(cells, m.pairs(cells)...)
	if part <= 1 {
		return cells, nil
	}
	var selected []Cell
	for i := 0; i < len(cells); i += part {
		selected = append(selected, cells[i])
	}
	return selected, nil
}

// pairs returns randomly drawn cells with two faults, which may be the same fault twice.
func (m *Matrix) pairs(singles []Cell) (cells []Cell) {
	r := rand.New(rand.NewPCG(m.Seed, 2))
	for range m.Pairs {
		a := singles[r.IntN(len(singles))]
		f := m.Faults[r.IntN(len(m.Faults))]
		step := a.Injections[0].Step + r.IntN(m.Steps)
		cells = append(cells, Cell{Operation: a.Operation, Injections: []Injection{a.Injections[0], {f, step}}, Seed: r.Uint64()})
	}
	return cells
}

// spread returns at most n of the steps 0 to count-1, evenly spaced.
func spread(count, n int) (steps []int) {
	if count <= n {
		for i := range count {
			steps = append(steps, i)
		}
		return steps
	}
	for i := range n {
		steps = append(steps, i*count/n)
	}
	return steps
}

// Run runs the cells in parallel and returns the results in the order of the cells.
func (m *Matrix) Run(ctx context.Context, cells []Cell) (results []Result, err error) {
	results = make([]Result, len(cells))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, c := range cells {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			violations, err := m.RunCell(c)
			results[i] = Result{Cell: c, Violations: violations}
			return err
		})
	}
	return results, g.Wait()
}

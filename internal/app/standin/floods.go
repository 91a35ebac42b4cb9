package standin

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cactuspin/cactuspin/internal/standin/emulator"
	"github.com/cactuspin/cactuspin/internal/standin/tester"
)

// floods prints what each kind of work keeps in floods, beside the baselines.
func floods(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("floods", "Measure floods in the emulator and with simple baselines.")
	site := newSite(c)
	return c, func(context.Context) error {
		m, err := site.load()
		if err != nil {
			return err
		}
		if _, err := fmt.Fprint(out, floodHeader); err != nil {
			return err
		}
		if err := printFlood(&m, nil, 1, out); err != nil {
			return err
		}
		for _, flooded := range [][]string{{"stock"}, {"order"}, {"order", "stock"}} {
			for _, times := range []int{2, 10, 50} {
				if err := printFlood(&m, flooded, times, out); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

const floodHeader = `| balancer | flooded | times capacity | order: in time (p50 / p99) | stock: in time (p50 / p99) | useful work |
| --- | --- | --- | --- | --- | --- |
`

// printFlood prints the rows of one flood.
func printFlood(m *tester.Matrix, flooded []string, times int, out io.Writer) error {
	row, err := m.Flood(flooded, times)
	if err != nil {
		return err
	}
	rows := []tester.FloodRow{row}
	for _, b := range tester.Baselines {
		rows = append(rows, tester.FloodBaseline(b, flooded, times, m.Seed))
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(out, r); err != nil {
			return err
		}
	}
	return nil
}

// balance prints how evenly flows and busy slots are spread.
func balance(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("balance", "Measure the balance of flows and of busy slots in the emulator.")
	site := newSite(c)
	return c, func(context.Context) error {
		m, err := site.load()
		if err != nil {
			return err
		}
		for _, n := range []int{280, 1400, 7000, 28000} {
			worst, err := m.FlowImbalance(n)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(out, "| %d flows | %.2f | |\n", n, worst); err != nil {
				return err
			}
		}
		if err := printBusy(&m, out); err != nil {
			return err
		}
		return printCosts(&m, out)
	}
}

// costs are the runs in which the cost of control is measured.
var costs = []struct {
	name  string
	steps []tester.Step
}{
	{"at rest, 600 feeds held", []tester.Step{{Do: "feeds", Count: 600}}},
	{"two hosts replaced, 600 feeds held", []tester.Step{
		{Do: "feeds", Count: 600},
		{At: 4 * time.Second, Do: "join", Host: 1},
		{At: 6 * time.Second, Do: "stop", Host: 1},
		{At: 10 * time.Second, Do: "join", Host: 2},
		{At: 12 * time.Second, Do: "stop", Host: 2},
	}},
	{"orders flood at twice the capacity", []tester.Step{
		{Do: "orders", Count: 80000, Every: 250 * time.Microsecond, Flows: 1000},
	}},
}

func printCosts(m *tester.Matrix, out io.Writer) error {
	for _, c := range costs {
		cost, err := m.ControlCost(c.steps)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "| %s | %.0f B/s | %.2f calls/s |\n", c.name, cost.Bytes, cost.Calls); err != nil {
			return err
		}
	}
	return nil
}

func printBusy(m *tester.Matrix, out io.Writer) error {
	for _, d := range []tester.Disturbance{
		tester.DisturbanceNone, tester.DisturbanceCold, tester.DisturbanceSheds, tester.DisturbanceLeaving,
	} {
		worst, whole, err := m.BusyImbalance(d)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "| busy slots, %s | %.2f | %.2f %% |\n", d, worst, 100*whole); err != nil {
			return err
		}
	}
	return nil
}

// ends prints how the orders of each story ended.
func ends(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("ends", "Show how the orders of each story ended.")
	site := newSite(c)
	stories := c.Flag("story", "Story file; can be repeated.").Required().Strings()
	return c, func(context.Context) error {
		m, err := site.load()
		if err != nil {
			return err
		}
		for _, f := range *stories {
			if err := printEnds(&m, f, out); err != nil {
				return err
			}
		}
		return nil
	}
}

func printEnds(m *tester.Matrix, file string, out io.Writer) error {
	s, err := tester.LoadScript(file)
	if err != nil {
		return err
	}
	n, err := m.OrderOutcomes(s)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "| %s | %d | %d | %d | %d |\n",
		s.Name, n[emulator.OutcomeWhole], n[emulator.OutcomeNotRun], n[emulator.OutcomeMayHaveRun], n[emulator.OutcomePending])
	return err
}

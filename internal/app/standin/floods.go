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

// floodsCommand prints which share of each kind of request completes in time during
// floods, for the emulator and for the baselines.
func floodsCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("floods", "Measure the effect of floods in the emulator and on simple baselines.")
	flags := newEmulatorFlags(c)
	return c, func(context.Context) error {
		m, err := flags.load()
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
			for _, factor := range []int{2, 10, 50} {
				if err := printFlood(&m, flooded, factor, out); err != nil {
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

// printFlood prints the table rows of a flood for the emulator and the baselines.
func printFlood(m *tester.Matrix, flooded []string, factor int, out io.Writer) error {
	row, err := m.Flood(flooded, factor)
	if err != nil {
		return err
	}
	rows := []tester.FloodRow{row}
	for _, b := range tester.Baselines {
		rows = append(rows, tester.FloodBaseline(b, flooded, factor, m.Seed))
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(out, r); err != nil {
			return err
		}
	}
	return nil
}

// balanceCommand prints how evenly flows and busy slots are distributed, and the
// cost of control traffic.
func balanceCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("balance", "Measure the balance of flows and of busy slots in the emulator.")
	flags := newEmulatorFlags(c)
	return c, func(context.Context) error {
		m, err := flags.load()
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
		if err := printBusyImbalance(&m, out); err != nil {
			return err
		}
		return printControlCosts(&m, out)
	}
}

// controlCostRuns are the runs in which the cost of control traffic is measured.
var controlCostRuns = []struct {
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

func printControlCosts(m *tester.Matrix, out io.Writer) error {
	for _, run := range controlCostRuns {
		cost, err := m.ControlCost(run.steps)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "| %s | %.0f B/s | %.2f calls/s |\n", run.name, cost.Bytes, cost.Calls); err != nil {
			return err
		}
	}
	return nil
}

func printBusyImbalance(m *tester.Matrix, out io.Writer) error {
	for _, fault := range []tester.TargetFault{
		tester.TargetFaultNone, tester.TargetFaultCold, tester.TargetFaultSheds, tester.TargetFaultLeaving,
	} {
		worst, completed, err := m.BusyImbalance(fault)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "| busy slots, %s | %.2f | %.2f %% |\n", fault, worst, 100*completed); err != nil {
			return err
		}
	}
	return nil
}

// endsCommand prints the outcomes of the orders of each script.
func endsCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("ends", "Show the outcomes of the orders of each script.")
	flags := newEmulatorFlags(c)
	scripts := c.Flag("story", "Script file; can be repeated.").Required().Strings()
	return c, func(context.Context) error {
		m, err := flags.load()
		if err != nil {
			return err
		}
		for _, f := range *scripts {
			if err := printOutcomes(&m, f, out); err != nil {
				return err
			}
		}
		return nil
	}
}

func printOutcomes(m *tester.Matrix, file string, out io.Writer) error {
	s, err := tester.LoadScript(file)
	if err != nil {
		return err
	}
	outcomes, err := m.OrderOutcomes(s)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "| %s | %d | %d | %d | %d |\n",
		s.Name, outcomes[emulator.OutcomeWhole], outcomes[emulator.OutcomeNotRun], outcomes[emulator.OutcomeMayHaveRun], outcomes[emulator.OutcomePending])
	return err
}

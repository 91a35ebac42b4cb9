package loadgenerator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/caller"
	"github.com/cactuspin/cactuspin/internal/standin/responder"
)

// Evaluate compares what callers were told with what the targets ran.
func (g *Generator) Evaluate(targets []responder.Counts) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make(map[string]int)
	wrong := make(map[string]int)
	for _, t := range targets {
		for id, n := range t.Runs {
			runs[id] += n
		}
		wrong[t.Service] += t.WrongService
	}
	c := g.report.Kinds[KindOrder]
	for id, n := range runs {
		if !strings.HasPrefix(id, g.cfg.RunID+"-") {
			continue
		}
		if n > 1 {
			c.Duplicated++
		}
		if g.outcomes[id] == caller.OutcomeNotRun {
			g.report.FalseRefusals++
		}
	}
	c.WrongService += wrong[g.cfg.OrderService]
	g.report.Kinds[KindDiagram].WrongService += wrong[g.cfg.DiagramService]
	g.report.FlowImbalance = imbalance(g.feedsPerTarget)
	return g.report
}

// imbalance returns the largest count divided by the mean. Targets without feeds are
// left out, because they were drained.
func imbalance(ns []int) float64 {
	sum, most, targets := 0, 0, 0
	for _, n := range ns {
		sum += n
		most = max(most, n)
		if n > 0 {
			targets++
		}
	}
	if sum == 0 {
		return 1
	}
	return float64(most) * float64(targets) / float64(sum)
}

// Print writes the report. Its last line is one JSON object.
func (r *Report) Print(w io.Writer) error {
	format := "%-9s %7s %7s %8s %13s %6s %11s %14s\n"
	text := fmt.Sprintf(format, "kind", "sent", "whole", "not run", "may have run", "lost", "duplicated", "wrong service")
	for _, k := range []string{KindOrder, KindDiagram, KindFeed} {
		c := r.Kinds[k]
		text += fmt.Sprintf("%-9s %7d %7d %8d %13d %6d %11d %14d\n",
			k, c.Sent, c.Whole, c.NotRun, c.MayHaveRun, c.Lost, c.Duplicated, c.WrongService)
	}
	text += fmt.Sprintf("broken flows %d, feeds set up again %d, refusals that were not true %d, imbalance of flows %.2f\n",
		r.BrokenFlows, r.FeedRestarts, r.FalseRefusals, r.FlowImbalance)
	b, err := json.Marshal(r)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = io.WriteString(w, text+string(b)+"\n")
	return errors.Wrap(err, "print report")
}

// Passed reports whether every guarantee held.
func (r *Report) Passed() bool {
	for _, c := range r.Kinds {
		if c.Duplicated > 0 || c.WrongService > 0 {
			return false
		}
	}
	return r.FalseRefusals == 0 && r.BrokenFlows == 0
}

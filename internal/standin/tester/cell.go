package tester

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// Times of a cell.
const (
	warmUp       = 3 * time.Second
	cellTime     = 20 * time.Second
	recoveryTime = 25 * time.Second
	// feedSilence is the longest that a feed may be silent after any fault.
	feedSilence = 5 * time.Second
)

// Services of the site that the matrix runs on.
const (
	orderService   = "order-desk"
	diagramService = "diagram-shelf"
)

// zones of the site, with six hosts.
var zones = []cactuspin.ZoneID{"lima-a", "lima-b", "lima-c"}

const hosts = 6

// cell is a run under way.
type cell struct {
	e      *emulator.Emulator
	matrix *Matrix
	// host and target are where the last step happened.
	host   *emulator.Host
	target *emulator.Target
	steps  int
	caller *emulator.Caller
	// idle is a caller that orders before a change and long after it.
	idle   *emulator.Caller
	feed   *emulator.Feed
	order  *emulator.Exchange
	longer time.Duration
	raced  bool
	// planned is set when no change of the run is a failure.
	planned bool
	// flows are the callers that order in a story.
	flows      []*emulator.Caller
	orderFlows int
	ordered    int
}

// Trace gets a line for each decision of a cell, if it is set.
type Trace func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision)

func (m *Matrix) newCell(seed uint64, trace Trace) (c *cell, err error) {
	e, err := emulator.New(emulator.Config{
		Seed: seed, Hosts: hosts, Zones: zones, Bundle: m.Bundles[0],
		ZoneDelay: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond,
		ServiceTime: 20 * time.Millisecond, Trace: trace,
	})
	if err != nil {
		return nil, err
	}
	e.Run(warmUp)
	c = &cell{e: e, matrix: m, planned: true}
	c.host = e.Hosts()[0]
	c.target = e.Targets(orderService)[0]
	return c, nil
}

// countSteps runs an operation without faults.
func (m *Matrix) countSteps(op string) (n int, err error) {
	c, err := m.newCell(m.Seed, nil)
	if err != nil {
		return 0, err
	}
	c.e.OnStep = func(*emulator.Host, *emulator.Target) { c.steps++ }
	if err := c.begin(op); err != nil {
		return 0, err
	}
	c.e.Run(operationTime)
	return max(c.steps, 1), nil
}

// operationTime is the time in which the steps of an operation are counted.
const operationTime = 2 * time.Second

// RunCell runs one cell and returns the promises that were broken.
func (m *Matrix) RunCell(x Cell) (faults []string, err error) { return m.TraceCell(x, nil) }

// TraceCell runs one cell with a trace of all decisions.
func (m *Matrix) TraceCell(x Cell, trace Trace) (faults []string, err error) {
	defer func() { err = errors.Wrapf(err, "cell %s", x) }()
	c, err := m.newCell(x.Seed, trace)
	if err != nil {
		return nil, err
	}
	for _, s := range x.Injections {
		c.planned = c.planned && s.Fault.Planned
	}
	c.e.OnStep = func(h *emulator.Host, t *emulator.Target) {
		if h != nil {
			c.host = h
		}
		if t != nil {
			c.target = t
		}
		for _, s := range x.Injections {
			if s.Step == c.steps {
				c.strike(s.Fault)
			}
		}
		c.steps++
	}
	if err := c.begin(x.Operation); err != nil {
		return nil, err
	}
	c.e.Run(cellTime + c.longer)
	c.judge(x)
	return c.e.Oracle.Violations, nil
}

// judge checks every promise when the faults are over.
func (c *cell) judge(x Cell) {
	e := c.e
	e.OnStep = nil
	e.Oracle.CheckFeedsLive(feedSilence)
	if c.planned {
		e.Oracle.CheckNoFeedRestarts()
		e.Oracle.CheckAllWhole("order")
	}
	var alive []*emulator.Host
	for _, h := range e.Hosts() {
		if h.Alive {
			alive = append(alive, h)
		}
	}
	e.Oracle.CheckInForce(alive...)
	c.recovers()
	c.finalState()
	e.Oracle.CheckOutcomes()
}

// recovers checks that after the faults new work is served.
func (c *cell) recovers() {
	order := c.e.NewCaller(orderService).Order(0, nil)
	diagram := c.e.NewCaller(diagramService).Diagram(0, nil)
	c.e.RunUntil(recoveryTime, func() bool {
		return order.Outcome != emulator.OutcomePending && diagram.Outcome != emulator.OutcomePending
	})
	for _, x := range []*emulator.Exchange{order, diagram} {
		if x.Outcome != emulator.OutcomeWhole {
			c.e.Oracle.Fail("%s was told %d after the faults were over", x.ID, x.Outcome)
		}
	}
}

// finalState checks that the last state reaches every feed.
func (c *cell) finalState() {
	for _, t := range c.e.Targets(orderService) {
		for t.State() < finalState {
			t.Publish()
		}
	}
	c.e.Run(feedSilence)
	c.e.Oracle.CheckFeedStates(finalState)
}

// finalState is a state that no target has before the end of a run.
const finalState = 10

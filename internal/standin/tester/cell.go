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
	// maxFeedGap is the longest gap between notifications of a feed after any fault.
	maxFeedGap = 5 * time.Second
)

// Services of the emulated testbed.
const (
	orderService   = "order-desk"
	diagramService = "diagram-shelf"
)

// zones are the zones of the emulated testbed.
var zones = []cactuspin.ZoneID{"lima-a", "lima-b", "lima-c"}

const hosts = 6

// cell is a running cell or script.
type cell struct {
	e      *emulator.Emulator
	matrix *Matrix
	// host and target are where the last step happened.
	host   *emulator.Host
	target *emulator.Target
	steps  int
	caller *emulator.Caller
	// idle is a caller that sends an order before a change and the next long after it.
	idle      *emulator.Caller
	feed      *emulator.Feed
	order     *emulator.Exchange
	extraTime time.Duration
	raced     bool
	// planned is set while all faults of the run are planned changes.
	planned bool
	// flows are the callers that send the orders of a script.
	flows      []*emulator.Caller
	orderFlows int
	orderCount int
}

// Trace is called for each decision of a run, unless it is nil.
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

// countSteps runs an operation without faults and returns the number of its steps.
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

// operationTime is the time for which the steps of an operation are counted.
const operationTime = 2 * time.Second

// RunCell runs one cell and returns the violated guarantees.
func (m *Matrix) RunCell(x Cell) (violations []string, err error) { return m.TraceCell(x, nil) }

// TraceCell runs one cell, like RunCell, and calls trace for each decision.
func (m *Matrix) TraceCell(x Cell, trace Trace) (violations []string, err error) {
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
				c.inject(s.Fault)
			}
		}
		c.steps++
	}
	if err := c.begin(x.Operation); err != nil {
		return nil, err
	}
	c.e.Run(cellTime + c.extraTime)
	c.check(x)
	return c.e.Oracle.Violations, nil
}

// check checks every guarantee once the faults are over.
func (c *cell) check(x Cell) {
	e := c.e
	e.OnStep = nil
	e.Oracle.CheckFeedsLive(maxFeedGap)
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
	c.checkRecovery()
	c.checkFinalState()
	e.Oracle.CheckOutcomes()
}

// checkRecovery checks that new requests are answered after the faults.
func (c *cell) checkRecovery() {
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

// checkFinalState checks that the last state reaches every feed.
func (c *cell) checkFinalState() {
	for _, t := range c.e.Targets(orderService) {
		for t.State() < finalState {
			t.Publish()
		}
	}
	c.e.Run(maxFeedGap)
	c.e.Oracle.CheckFeedStates(finalState)
}

// finalState is a state number that no target reaches before the end of a run.
const finalState = 10

package tester

import (
	"cmp"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// Script is a scenario read from a file: steps at given times and what is expected at
// the end.
type Script struct {
	Name  string `yaml:"name"`
	Seed  uint64 `yaml:"seed"`
	Steps []Step `yaml:"steps"`
	// Length is the duration of the run.
	Length time.Duration `yaml:"length"`
	Expect Expect        `yaml:"expect"`
}

// Step is a fault or a piece of work at a given time.
type Step struct {
	At time.Duration `yaml:"at"`
	// Do is a fault of the matrix, or one of feeds, plain_feeds, publish, orders,
	// diagrams, apply and restart_all_but.
	Do string `yaml:"do"`
	// Host and Target are the numbers, from 1, of the host and the target that a fault
	// affects.
	Host   int           `yaml:"host"`
	Target int           `yaml:"target"`
	For    time.Duration `yaml:"for"`
	Count  int           `yaml:"count"`
	Every  time.Duration `yaml:"every"`
	// Flows is the number of flows that send orders in turn; 0 means 50.
	Flows int `yaml:"flows"`
	// Bundle is the number, from 1, of the bundle to apply.
	Bundle int `yaml:"bundle"`
}

// Expect lists what must hold at the end of a script, in addition to the guarantees.
type Expect struct {
	// NoFeedRestarts requires that no feed was registered again.
	NoFeedRestarts bool `yaml:"unbroken"`
	// MaxFeedGap is the longest gap between notifications of a feed; 0 means the
	// guaranteed limit.
	MaxFeedGap time.Duration `yaml:"silence"`
	// WholeOrders requires that all orders got a complete answer.
	WholeOrders bool `yaml:"whole_orders"`
	// WholeDiagrams requires the same of all diagrams.
	WholeDiagrams bool `yaml:"whole_diagrams"`
	// Version is the bundle that must be in force on all hosts.
	Version cactuspin.BundleVersion `yaml:"version"`
	// InForceWithin limits the time from a bundle's acceptance until it is in force.
	InForceWithin time.Duration `yaml:"in_force_within"`
}

// LoadScript reads a script from a file.
func LoadScript(file string) (s Script, err error) {
	defer func() { err = errors.Wrapf(err, "load script %s", file) }()
	text, err := os.ReadFile(file)
	if err != nil {
		return s, errors.WithStack(err)
	}
	return s, errors.WithStack(yaml.Unmarshal(text, &s))
}

// RunScript runs a script and returns the violated guarantees and expectations.
func (m *Matrix) RunScript(s Script, trace Trace) (violations []string, err error) {
	o, err := m.execute(s, trace)
	if err != nil {
		return nil, err
	}
	return o.Violations, nil
}

// OrderOutcomes runs a script and returns the number of its orders by outcome.
func (m *Matrix) OrderOutcomes(s Script) (outcomes map[emulator.Outcome]int, err error) {
	o, err := m.execute(s, nil)
	if err != nil {
		return nil, err
	}
	return o.CountOutcomes("order"), nil
}

func (m *Matrix) execute(s Script, trace Trace) (o *emulator.Oracle, err error) {
	defer func() { err = errors.Wrapf(err, "script %q", s.Name) }()
	c, err := m.newCell(s.Seed, trace)
	if err != nil {
		return nil, err
	}
	for _, x := range s.Steps {
		c.e.After(x.At, func() { c.runStep(x) })
	}
	c.e.Run(s.Length)
	c.checkExpectations(s.Expect)
	c.e.Oracle.CheckOutcomes()
	return c.e.Oracle, nil
}

func (c *cell) runStep(x Step) {
	switch x.Do {
	case "feeds":
		c.repeat(x, func() { c.e.NewFeed(orderService) })
	case "plain_feeds":
		c.repeat(x, func() { c.e.NewFeedWithoutRefresh(orderService) })
	case "publish":
		c.repeat(x, c.publish)
	case "orders":
		c.orderFlows = cmp.Or(x.Flows, defaultScriptFlows)
		c.repeat(x, c.nextOrder)
	case "diagrams":
		c.repeat(x, func() { c.e.NewCaller(diagramService).Diagram(0, nil) })
	case "apply":
		c.apply(c.matrix.Bundles[x.Bundle-1])
	case "restart_all_but":
		for _, h := range c.e.Hosts() {
			if int(h.ID) != x.Host {
				h.Kill()
				c.e.After(restartTime, h.Restart)
			}
		}
	default:
		if x.Host > 0 {
			c.host = c.e.Host(cactuspin.HostID(x.Host))
		}
		if x.Target > 0 {
			c.target = c.e.Targets(orderService)[x.Target-1]
		}
		c.inject(Fault{Do: x.Do, For: x.For})
	}
}

// defaultScriptFlows is the default number of flows that send orders in a script.
// They take turns, so that each request carries a cookie that was issued earlier.
const defaultScriptFlows = 50

// publish makes all targets of the order service publish a new state.
func (c *cell) publish() {
	for _, t := range c.e.Targets(orderService) {
		t.Publish()
	}
}

func (c *cell) nextOrder() {
	if len(c.flows) < c.orderFlows {
		c.flows = append(c.flows, c.e.NewCaller(orderService))
	}
	c.flows[c.orderCount%len(c.flows)].Order(0, nil)
	c.orderCount++
}

func (c *cell) repeat(x Step, f func()) {
	for i := range x.Count {
		c.e.After(time.Duration(i)*x.Every, f)
	}
}

func (c *cell) checkExpectations(x Expect) {
	o := c.e.Oracle
	if x.MaxFeedGap == 0 {
		x.MaxFeedGap = maxFeedGap
	}
	o.CheckFeedsLive(x.MaxFeedGap)
	if x.NoFeedRestarts {
		o.CheckNoFeedRestarts()
	}
	if x.WholeOrders {
		o.CheckAllWhole("order")
	}
	if x.WholeDiagrams {
		o.CheckAllWhole("diagram")
	}
	if x.Version == 0 {
		return
	}
	o.CheckInForce(c.e.Hosts()...)
	if v := c.e.Platform.Accepted().Version; v != x.Version {
		o.Fail("bundle %d was accepted, %d expected", v, x.Version)
	}
	if x.InForceWithin > 0 {
		c.checkInForceWithin(x)
	}
}

func (c *cell) checkInForceWithin(x Expect) {
	for _, h := range c.e.Hosts() {
		at, ok := h.InForceSince[x.Version]
		if took := at.Sub(c.e.Oracle.AcceptedAt(x.Version)); h.Alive && (!ok || took > x.InForceWithin) {
			c.e.Oracle.Fail("bundle %d came into force on host %s after %s", x.Version, h.ID, took)
		}
	}
}

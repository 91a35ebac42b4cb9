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

// Script is a story of one run, read from a file.
type Script struct {
	Name  string `yaml:"name"`
	Seed  uint64 `yaml:"seed"`
	Steps []Step `yaml:"steps"`
	// Length is how long the run takes.
	Length time.Duration `yaml:"length"`
	Expect Expect        `yaml:"expect"`
}

// Step is something that happens at a time.
type Step struct {
	At time.Duration `yaml:"at"`
	// Do is a fault of the matrix, or work: feeds, orders, diagrams, apply, push,
	// restart_all_but.
	Do string `yaml:"do"`
	// Host and Target number where a fault strikes, from 1.
	Host   int           `yaml:"host"`
	Target int           `yaml:"target"`
	For    time.Duration `yaml:"for"`
	Count  int           `yaml:"count"`
	Every  time.Duration `yaml:"every"`
	// Flows is the number of flows that order, one after another; 0 means 50.
	Flows int `yaml:"flows"`
	// Bundle numbers the bundle to apply, from 1.
	Bundle int `yaml:"bundle"`
}

// Expect is what must be true at the end, besides every promise.
type Expect struct {
	// Unbroken demands that no feed was set up again.
	Unbroken bool `yaml:"unbroken"`
	// MaxFeedGap is the longest silence of a feed; 0 means the promise's.
	MaxFeedGap time.Duration `yaml:"silence"`
	// WholeOrders demands that all orders were answered whole.
	WholeOrders bool `yaml:"whole_orders"`
	// WholeDiagrams demands the same of diagrams.
	WholeDiagrams bool `yaml:"whole_diagrams"`
	// Version is the bundle in force on all hosts.
	Version cactuspin.BundleVersion `yaml:"version"`
	// InForceWithin bounds the time from acceptance.
	InForceWithin time.Duration `yaml:"in_force_within"`
}

// LoadScript reads a script.
func LoadScript(file string) (s Script, err error) {
	defer func() { err = errors.Wrapf(err, "load script %s", file) }()
	text, err := os.ReadFile(file)
	if err != nil {
		return s, errors.WithStack(err)
	}
	return s, errors.WithStack(yaml.Unmarshal(text, &s))
}

// RunScript runs a script and returns the promises and expectations that were
// broken.
func (m *Matrix) RunScript(s Script, trace Trace) (faults []string, err error) {
	o, err := m.play(s, trace)
	if err != nil {
		return nil, err
	}
	return o.Violations, nil
}

// OrderOutcomes runs a script and returns how its orders ended.
func (m *Matrix) OrderOutcomes(s Script) (ends map[emulator.Outcome]int, err error) {
	o, err := m.play(s, nil)
	if err != nil {
		return nil, err
	}
	return o.CountOutcomes("order"), nil
}

func (m *Matrix) play(s Script, trace Trace) (o *emulator.Oracle, err error) {
	defer func() { err = errors.Wrapf(err, "script %q", s.Name) }()
	c, err := m.newCell(s.Seed, trace)
	if err != nil {
		return nil, err
	}
	for _, x := range s.Steps {
		c.e.After(x.At, func() { c.perform(x) })
	}
	c.e.Run(s.Length)
	c.expect(s.Expect)
	c.e.Oracle.CheckOutcomes()
	return c.e.Oracle, nil
}

func (c *cell) perform(x Step) {
	switch x.Do {
	case "feeds":
		c.every(x, func() { c.e.NewFeed(orderService) })
	case "plain_feeds":
		c.every(x, func() { c.e.NewPlainFeed(orderService) })
	case "publish":
		c.every(x, c.publish)
	case "orders":
		c.orderFlows = cmp.Or(x.Flows, storyFlows)
		c.every(x, c.nextOrder)
	case "diagrams":
		c.every(x, func() { c.e.NewCaller(diagramService).Diagram(0, nil) })
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
		c.strike(Fault{Do: x.Do, For: x.For})
	}
}

// storyFlows is the usual number of flows that order in a story. Each comes back
// under a cookie that is some time old.
const storyFlows = 50

// publish changes the state of all targets.
func (c *cell) publish() {
	for _, t := range c.e.Targets(orderService) {
		t.Publish()
	}
}

func (c *cell) nextOrder() {
	if len(c.flows) < c.orderFlows {
		c.flows = append(c.flows, c.e.NewCaller(orderService))
	}
	c.flows[c.ordered%len(c.flows)].Order(0, nil)
	c.ordered++
}

func (c *cell) every(x Step, f func()) {
	for i := range x.Count {
		c.e.After(time.Duration(i)*x.Every, f)
	}
}

func (c *cell) expect(x Expect) {
	o := c.e.Oracle
	if x.MaxFeedGap == 0 {
		x.MaxFeedGap = feedSilence
	}
	o.CheckFeedsLive(x.MaxFeedGap)
	if x.Unbroken {
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
		c.inForceWithin(x)
	}
}

func (c *cell) inForceWithin(x Expect) {
	for _, h := range c.e.Hosts() {
		at, ok := h.InForceSince[x.Version]
		if took := at.Sub(c.e.Oracle.AcceptedAt(x.Version)); h.Alive && (!ok || took > x.InForceWithin) {
			c.e.Oracle.Fail("bundle %d came into force on host %s after %s", x.Version, h.ID, took)
		}
	}
}

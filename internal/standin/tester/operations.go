package tester

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// initialFeeds is the number of observations that are open when an operation starts.
const initialFeeds = 6

// begin starts an operation. Its steps are counted from the messages that follow.
func (c *cell) begin(op string) error {
	run, ok := operations[op]
	if !ok {
		return errors.Newf("unknown operation %q", op)
	}
	run(c)
	return nil
}

var operations = map[string]func(c *cell){
	"order":          (*cell).newOrder,
	"repeated_order": (*cell).repeatedOrder,
	"diagram":        (*cell).diagram,
	"feed":           (*cell).liveFeed,
	"handover":       (*cell).handover,
	"rollout":        (*cell).rollout,
	"drain":          (*cell).drain,
}

func (c *cell) newOrder() {
	c.caller = c.e.NewCaller(orderService)
	c.order = c.caller.Order(0, nil)
}

// repeatedOrder sends further copies of every datagram to random hosts for half a
// minute. Later copies come from the caller's new address.
func (c *cell) repeatedOrder() {
	const copies, copyWindow = 6, 30 * time.Second
	c.caller = c.e.NewCaller(orderService)
	c.caller.ExtraCopies = copies
	c.caller.CopyWindow = copyWindow
	c.order = c.caller.Order(0, nil)
	c.e.After(firstMove, c.caller.Move)
	c.extraTime = copyWindow
}

// firstMove is when the caller of a repeated order gets a new address.
const firstMove = 15 * time.Millisecond

func (c *cell) diagram() {
	c.caller = c.e.NewCaller(diagramService)
	c.caller.Diagram(0, nil)
}

func (c *cell) liveFeed() {
	c.feed = c.e.NewFeed(orderService)
	c.e.After(time.Second, c.e.Targets(orderService)[0].Publish)
}

// load opens feeds and sends orders, before and while the operation makes its change.
func (c *cell) load() {
	for range initialFeeds {
		c.feed = c.e.NewFeed(orderService)
	}
	idle := c.e.NewCaller(orderService)
	idle.Order(0, nil)
	c.e.Run(time.Second)
	c.e.After(idleTime, func() { idle.Order(0, nil) })
	c.idle = idle
	c.newOrder()
	for i := range followUpOrders {
		c.e.After(time.Duration(i)*followUpInterval, func() { c.caller.Order(0, nil) })
	}
}

// Orders sent while an operation makes its change, with cookies issued before it.
const (
	followUpOrders   = 12
	followUpInterval = 700 * time.Millisecond
	// idleTime is when the caller that is idle during the change sends its next order.
	idleTime = 5 * time.Second
)

func (c *cell) handover() {
	c.load()
	h := c.authority()
	h.Stop()
	c.e.After(stopTime, c.e.Platform.Publish)
}

// authority returns the host that owns the idle caller's flow, so that the caller's
// next order depends on the handover.
func (c *cell) authority() *emulator.Host {
	if h := c.e.Host(c.e.OwnerOf(c.idle)); h != nil {
		return h
	}
	return c.e.Hosts()[0]
}

// stopTime is the delay until the platform's list reflects that a host was stopped.
const stopTime = 4 * time.Second

func (c *cell) rollout() {
	c.load()
	c.apply(c.matrix.Bundles[1])
}

func (c *cell) drain() {
	c.load()
	c.apply(c.matrix.Bundles[1])
	c.e.Platform.MarkTargetLeaving(c.e.Targets(orderService)[1].Address)
}

// apply does what the operators' client does: it writes the bundle, writes it again
// if the answer is lost, and pushes the accepted bundle to the hosts.
func (c *cell) apply(text []byte) {
	for range applyAttempts {
		r, err := c.e.Platform.Apply(text)
		if err != nil {
			c.e.Oracle.Fail("apply: %s", err)
			return
		}
		if r == emulator.ResultSuperseded {
			return
		}
		if r == emulator.ResultAccepted {
			c.accepted(text)
			return
		}
	}
	c.e.After(applyRetryDelay, func() { c.apply(text) })
}

const (
	applyAttempts   = 3
	applyRetryDelay = 1 * time.Second
)

func (c *cell) accepted(text []byte) {
	c.e.Platform.Push()
	b, err := bundleparser.Parse(text)
	if err != nil {
		return
	}
	for i := range b.Services {
		for _, t := range b.Services[i].Targets {
			if t.State == cactuspin.StateLeaving {
				c.e.Oracle.MarkLeaving(t.Address)
			}
		}
	}
}

// race lets another operator apply a bundle of the same version first.
func (c *cell) race() {
	if c.raced {
		return
	}
	c.raced = true
	mine := c.matrix.Bundles[1]
	other := bytes.Replace(mine, []byte("retry_after: 2s"), []byte("retry_after: 3s"), 1)
	c.apply(other)
	c.apply(mine)
	c.e.Oracle.CheckOneAccepted(2)
}

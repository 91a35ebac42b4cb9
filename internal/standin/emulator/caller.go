package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Timers of callers.
const (
	firstRetransmit   = 1 * time.Second
	callerTimeout     = 20 * time.Second
	feedCheckInterval = 250 * time.Millisecond
	feedRefreshAfter  = 1500 * time.Millisecond
	feedTimeout       = 3 * time.Second
)

// Outcome is the result of a request as its caller sees it.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomePending Outcome = iota
	OutcomeWhole
	OutcomeNotRun
	OutcomeRefused
	OutcomeMayHaveRun
	OutcomeCorrupt
)

// Exchange is one request of a caller, with all its messages.
type Exchange struct {
	ID      string
	Outcome Outcome
	// ResponseTime is the time from the first datagram to the answer.
	ResponseTime time.Duration
	// FirstSent is when the first datagram was sent.
	FirstSent cactuspin.Time
	// Retransmits counts the retransmissions of the caller.
	Retransmits int

	e       *Emulator
	kind    string
	service netip.AddrPort
	caller  netip.AddrPort
	request cactuspin.Request
	done    func(x *Exchange)
	attempt int
	blocks  []string
	tag     string
	// Restarts counts how often the transfer of a diagram was restarted.
	Restarts int
}

// Caller is a client with one flow to a service. It keeps the cookie of the flow.
type Caller struct {
	e          *Emulator
	address    netip.AddrPort
	service    netip.AddrPort
	name       string
	cookie     []byte
	cookieTime cactuspin.Time
	messageID  uint16
	pending    map[cactuspin.Token]*Exchange
	// ExtraCopies is the number of additional copies of each datagram that are sent
	// to random hosts, each at a random time within CopyWindow.
	ExtraCopies int
	CopyWindow  time.Duration
}

// NewCaller opens a flow to a service.
func (e *Emulator) NewCaller(service string) *Caller {
	c := &Caller{e: e, address: e.newAddress(), name: service, pending: make(map[cactuspin.Token]*Exchange)}
	c.service = e.address(service)
	c.messageID = uint16(e.random.UintN(1 << 16))
	e.callers[c.address] = c
	return c
}

func (e *Emulator) address(service string) netip.AddrPort {
	for _, h := range e.hosts {
		for _, s := range h.Engine.View().Services() {
			if s.Service.Name == service {
				return s.Service.Address
			}
		}
	}
	return e.Oracle.addresses[service]
}

// Move gives the caller a new address, as when a NAT device loses its mapping.
func (c *Caller) Move() {
	delete(c.e.callers, c.address)
	c.address = c.e.newAddress()
	c.e.callers[c.address] = c
}

// OwnerOf returns the host that currently owns the caller's flow.
func (e *Emulator) OwnerOf(c *Caller) cactuspin.HostID {
	for _, h := range e.hosts {
		if h.Alive {
			return h.Engine.Explain(c.address, c.service, "POST", "/orders").Host
		}
	}
	return 0
}

// Order sends a request that is not idempotent.
func (c *Caller) Order(deadline time.Duration, done func(x *Exchange)) *Exchange {
	x := c.e.Oracle.newExchange(c, "order", done)
	x.request = cactuspin.Request{
		Method: cactuspin.MethodPost, Path: "/orders", Payload: []byte(x.ID), Deadline: deadline,
	}
	c.begin(x)
	return x
}

// Diagram fetches an answer that is transferred in blocks.
func (c *Caller) Diagram(deadline time.Duration, done func(x *Exchange)) *Exchange {
	x := c.e.Oracle.newExchange(c, "diagram", done)
	x.request = cactuspin.Request{Method: cactuspin.MethodGet, Path: "/diagrams/" + x.ID, Deadline: deadline}
	c.begin(x)
	return x
}

// Read sends an idempotent request whose answer fits into one block.
func (c *Caller) Read(path string, deadline time.Duration, done func(x *Exchange)) *Exchange {
	x := c.e.Oracle.newExchange(c, "read", done)
	x.request = cactuspin.Request{Method: cactuspin.MethodGet, Path: path + "/" + x.ID, Deadline: deadline}
	c.begin(x)
	return x
}

// begin sends the next request message of an exchange and starts its
// retransmission timer.
func (c *Caller) begin(x *Exchange) {
	c.messageID++
	x.attempt++
	x.request.MessageID = c.messageID
	x.request.Confirmable = true
	x.request.Token = cactuspin.NewToken(fmt.Appendf(nil, "%08x", c.e.random.Uint32()))
	x.request.Service = c.service
	x.request.Cookie = c.cookie
	if x.kind == "diagram" {
		n := uint32(len(x.blocks))
		x.request.BlockNumber = n
		x.request.Options = []cactuspin.Option{{Number: optionBlock2, Value: []byte{byte(n << 4)}}}
	}
	c.pending[x.request.Token] = x
	c.retransmit(x, x.attempt, firstRetransmit)
}

func (c *Caller) retransmit(x *Exchange, attempt int, wait time.Duration) {
	if x.attempt != attempt || x.Outcome != OutcomePending {
		return
	}
	if c.e.now.Sub(x.FirstSent) > callerTimeout {
		return
	}
	c.send(x.request)
	c.e.After(wait, func() {
		if x.attempt == attempt && x.Outcome == OutcomePending {
			x.Retransmits++
		}
		c.retransmit(x, attempt, 2*wait)
	})
}

func (c *Caller) send(r cactuspin.Request) {
	c.e.step(nil, nil)
	r.Caller = c.address
	c.e.sendToHosts(func(h *Host) { deliverRequest(h, r) })
	for range c.ExtraCopies {
		d := time.Duration(c.e.random.Int64N(int64(c.CopyWindow) + 1))
		c.e.After(d, func() {
			if h := c.e.Platform.anyHost(); h != nil {
				deliverRequest(h, r)
			}
		})
	}
}

func deliverRequest(h *Host, r cactuspin.Request) {
	h.e.step(h, nil)
	h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { h.Engine.Request(now, r, out) })
}

func (c *Caller) receive(a cactuspin.Answer) {
	x := c.pending[a.Token]
	if x == nil || x.Outcome != OutcomePending {
		return
	}
	c.e.step(nil, nil)
	delete(c.pending, a.Token)
	if len(a.Cookie) > 0 {
		c.cookie = a.Cookie
		c.cookieTime = c.e.now
	}
	switch {
	case a.Code == cactuspin.CodeUnauthorized:
		c.begin(x)
	case a.Code == cactuspin.CodeServiceUnavailable:
		c.finish(x, OutcomeNotRun)
	case a.Code == cactuspin.CodeTooManyRequests:
		c.finish(x, OutcomeRefused)
	case !a.Code.Success():
		c.finish(x, OutcomeMayHaveRun)
	case x.kind == "diagram":
		c.receiveBlock(x, a)
	default:
		want := "done " + x.ID
		if x.kind == "order" && string(a.Payload) != want {
			c.finish(x, OutcomeCorrupt)
			return
		}
		c.finish(x, OutcomeWhole)
	}
}

// receiveBlock processes one block of a diagram. Blocks with different entity tags are
// never combined: when the tag changes, the transfer starts again.
func (c *Caller) receiveBlock(x *Exchange, a cactuspin.Answer) {
	tag := ""
	more := false
	for _, o := range a.Options {
		switch o.Number {
		case optionETag:
			tag = string(o.Value)
		case optionBlock2:
			more = o.Value[0]&8 != 0
		}
	}
	if len(x.blocks) > 0 && tag != x.tag {
		x.blocks = nil
		x.Restarts++
		c.begin(x)
		return
	}
	x.tag = tag
	x.blocks = append(x.blocks, string(a.Payload))
	if more {
		c.begin(x)
		return
	}
	outcome := OutcomeWhole
	if !wholeBlocks(c.name, x.blocks) {
		outcome = OutcomeCorrupt
	}
	c.finish(x, outcome)
}

func wholeBlocks(service string, blocks []string) bool {
	if len(blocks) != Blocks {
		return false
	}
	epoch := strings.Split(blocks[0], " block ")[0]
	for i, b := range blocks {
		if b != fmt.Sprintf("%s block %d;", epoch, i) || !strings.HasPrefix(b, service+" ") {
			return false
		}
	}
	return true
}

func (c *Caller) finish(x *Exchange, outcome Outcome) {
	x.Outcome = outcome
	x.ResponseTime = c.e.now.Sub(x.FirstSent)
	if x.done != nil {
		x.done(x)
	}
}

package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Times of callers.
const (
	firstRetransmit = 1 * time.Second
	callerPatience  = 20 * time.Second
	feedCheck       = 250 * time.Millisecond
	feedRefresh     = 1500 * time.Millisecond
	feedPatience    = 3 * time.Second
)

// Outcome is what a caller knows of its request.
type Outcome uint8

// The ends of a request as its caller sees them.
const (
	OutcomePending Outcome = iota
	OutcomeWhole
	OutcomeNotRun
	OutcomeRefused
	OutcomeMayHaveRun
	OutcomeCorrupt
)

// Exchange is one request of a caller.
type Exchange struct {
	ID      string
	Outcome Outcome
	// ResponseTime is the time from the first datagram to the answer.
	ResponseTime time.Duration
	// FirstSent is when the first datagram was sent.
	FirstSent cactuspin.Time
	// Retransmits counts copies that the caller sent.
	Retransmits int

	e       *Emulator
	kind    string
	service netip.AddrPort
	caller  netip.AddrPort
	request cactuspin.Request
	done    func(x *Exchange)
	life    int
	blocks  []string
	tag     string
	// Restarts counts how often a diagram was begun again.
	Restarts int
}

// Caller keeps the cookie of a flow.
type Caller struct {
	e       *Emulator
	address netip.AddrPort
	service netip.AddrPort
	name    string
	cookie  []byte
	at      cactuspin.Time
	number  uint16
	waiting map[cactuspin.Token]*Exchange
	// ExtraCopies are further copies of each datagram of a request to other hosts, each
	// at a time up to SprayTime later.
	ExtraCopies int
	CopyWindow  time.Duration
}

// NewCaller opens a flow to a service.
func (e *Emulator) NewCaller(service string) *Caller {
	c := &Caller{e: e, address: e.newAddress(), name: service, waiting: make(map[cactuspin.Token]*Exchange)}
	c.service = e.address(service)
	c.number = uint16(e.random.UintN(1 << 16))
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

// Move gives the caller a new address, as when a translator forgot the old one.
func (c *Caller) Move() {
	delete(c.e.callers, c.address)
	c.address = c.e.newAddress()
	c.e.callers[c.address] = c
}

// OwnerOf returns the host that the caller's flow belongs to now.
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

// Diagram fetches an answer in blocks.
func (c *Caller) Diagram(deadline time.Duration, done func(x *Exchange)) *Exchange {
	x := c.e.Oracle.newExchange(c, "diagram", done)
	x.request = cactuspin.Request{Method: cactuspin.MethodGet, Path: "/diagrams/" + x.ID, Deadline: deadline}
	c.begin(x)
	return x
}

// Read sends an idempotent request for one block.
func (c *Caller) Read(path string, deadline time.Duration, done func(x *Exchange)) *Exchange {
	x := c.e.Oracle.newExchange(c, "read", done)
	x.request = cactuspin.Request{Method: cactuspin.MethodGet, Path: path + "/" + x.ID, Deadline: deadline}
	c.begin(x)
	return x
}

// begin sends a new message of an exchange and retransmits it.
func (c *Caller) begin(x *Exchange) {
	c.number++
	x.life++
	x.request.MessageID = c.number
	x.request.Confirmable = true
	x.request.Token = cactuspin.NewToken(fmt.Appendf(nil, "%08x", c.e.random.Uint32()))
	x.request.Service = c.service
	x.request.Cookie = c.cookie
	if x.kind == "diagram" {
		n := uint32(len(x.blocks))
		x.request.BlockNumber = n
		x.request.Options = []cactuspin.Option{{Number: optionBlock2, Value: []byte{byte(n << 4)}}}
	}
	c.waiting[x.request.Token] = x
	c.retransmit(x, x.life, firstRetransmit)
}

func (c *Caller) retransmit(x *Exchange, life int, wait time.Duration) {
	if x.life != life || x.Outcome != OutcomePending {
		return
	}
	if c.e.now.Sub(x.FirstSent) > callerPatience {
		return
	}
	c.send(x.request)
	c.e.After(wait, func() {
		if x.life == life && x.Outcome == OutcomePending {
			x.Retransmits++
		}
		c.retransmit(x, life, 2*wait)
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
	x := c.waiting[a.Token]
	if x == nil || x.Outcome != OutcomePending {
		return
	}
	c.e.step(nil, nil)
	delete(c.waiting, a.Token)
	if len(a.Cookie) > 0 {
		c.cookie = a.Cookie
		c.at = c.e.now
	}
	switch {
	case a.Code == cactuspin.CodeUnauthorized:
		c.begin(x)
	case a.Code == cactuspin.CodeServiceUnavailable:
		c.tell(x, OutcomeNotRun)
	case a.Code == cactuspin.CodeTooManyRequests:
		c.tell(x, OutcomeRefused)
	case !a.Code.Success():
		c.tell(x, OutcomeMayHaveRun)
	case x.kind == "diagram":
		c.block(x, a)
	default:
		want := "done " + x.ID
		if x.kind == "order" && string(a.Payload) != want {
			c.tell(x, OutcomeCorrupt)
			return
		}
		c.tell(x, OutcomeWhole)
	}
}

// block takes one block of a diagram. Blocks of two contents are never joined.
func (c *Caller) block(x *Exchange, a cactuspin.Answer) {
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
	told := OutcomeWhole
	if !wholeBlocks(c.name, x.blocks) {
		told = OutcomeCorrupt
	}
	c.tell(x, told)
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

func (c *Caller) tell(x *Exchange, t Outcome) {
	x.Outcome = t
	x.ResponseTime = c.e.now.Sub(x.FirstSent)
	if x.done != nil {
		x.done(x)
	}
}

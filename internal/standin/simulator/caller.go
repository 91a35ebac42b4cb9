package simulator

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	deadline      = 1500 * time.Millisecond
	openTimeout   = 1400 * time.Millisecond
	maxTries      = 3
	thinkTime     = time.Second
	firstRetry    = 200 * time.Millisecond
	requestLength = 100
	answerLength  = 4000
	errorLength   = 180
)

// caller makes requests: an idempotent one keeps its connection open.
type caller struct {
	sim        *Simulation
	zone       cactuspin.ZoneID
	address    netip.Addr
	port       uint16
	idempotent bool
	route      netip.AddrPort
	open       *connection
}

// request is one request of a caller, over all its tries.
type request struct {
	id       string
	route    netip.AddrPort
	began    cactuspin.Time
	tries    int
	repeat   bool
	done     bool
	taken    *target
	sent     bool
	canRerun bool
}

// connection is a flow as its caller sees it.
type connection struct {
	caller   *caller
	address  netip.AddrPort
	service  netip.AddrPort
	cookie   cactuspin.Cookie
	target   *target
	opened   bool
	openedAt cactuspin.Time
	ended    bool
	sequence uint32
	received uint32
	// strayed counts packets that reached another target.
	strayed int
	current *request
}

func (c *caller) loop() {
	pause := thinkTime/2 + time.Duration(c.sim.random.Int64N(int64(thinkTime)))
	c.sim.after(pause, func() {
		c.ask()
		c.loop()
	})
}

func (c *caller) ask() {
	c.sim.nextID++
	r := &request{id: "r" + strconv.Itoa(c.sim.nextID), began: c.sim.now, route: c.route, repeat: c.idempotent}
	c.sim.oracle.asked(r)
	c.sim.after(deadline, func() {
		if !r.done {
			r.done = true
			c.sim.oracle.ended(r, false)
			if c.open != nil && c.open.current == r {
				c.open.close()
			}
		}
	})
	c.try(r)
}

// try sends a request on the open connection or on a new one.
func (c *caller) try(r *request) {
	r.tries++
	if c.idempotent && c.open != nil && c.open.opened && c.open.current == nil {
		c.open.send(r)
		return
	}
	c.port++
	n := &connection{
		caller: c, service: c.route, current: r, sequence: c.sim.random.Uint32(),
		address: netip.AddrPortFrom(c.address, c.port),
	}
	c.open = n
	n.synchronise()
}

// synchronise sends the first packet and its copies.
func (c *connection) synchronise() {
	s := c.caller.sim
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		s.after(d, func() {
			if !c.opened && !c.ended {
				c.packet(cactuspin.Packet{Flags: cactuspin.FlagSYN, Acknowledgement: uint32(i), Sequence: c.sequence}, nil)
			}
		})
	}
	s.after(openTimeout, func() {
		if !c.opened && !c.ended {
			c.fail()
		}
	})
}

// packet sends a packet, with the request that its data holds, to the host that
// the routers choose now.
func (c *connection) packet(p cactuspin.Packet, r *request) {
	s := c.caller.sim
	p.Caller, p.Service, p.Cookie = c.address, c.service, c.cookie
	if p.Flags == cactuspin.FlagSYN {
		p.Cookie = 0
	}
	h := s.routers.route(c)
	if h == nil || s.random.Float64() < s.lossy {
		return
	}
	s.after(s.callerWay(), func() {
		if !h.cut {
			h.packet(c, p, r)
		}
	})
}

// accepted takes a target's answer to the first packet.
func (c *connection) accepted(t *target, cookie cactuspin.Cookie) {
	if c.ended {
		return
	}
	c.cookie = cookie
	if c.opened {
		return
	}
	c.opened, c.target, c.openedAt = true, t, c.caller.sim.now
	c.sequence++
	c.packet(cactuspin.Packet{Flags: cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1}, nil)
	if c.current != nil {
		c.send(c.current)
	}
}

// send sends a request and repeats it until it is answered.
func (c *connection) send(r *request) {
	c.current = r
	r.sent = true
	c.sequence += requestLength
	c.repeat(r, firstRetry)
}

func (c *connection) repeat(r *request, wait time.Duration) {
	if c.ended || r.done || c.current != r {
		return
	}
	c.packet(cactuspin.Packet{
		Flags: cactuspin.FlagACK, Length: requestLength,
		Sequence: c.sequence - requestLength, Acknowledgement: 1 + c.received,
	}, r)
	c.caller.sim.after(wait, func() { c.repeat(r, min(2*wait, 1600*time.Millisecond)) })
}

// answered takes a target's answer; a target that sheds has not run it.
func (c *connection) answered(t *target, r *request, ok bool) {
	s := c.caller.sim
	if c.ended || c.current != r || c.target != t {
		return
	}
	c.current = nil
	if !ok {
		r.canRerun = true
		c.close()
		c.caller.retry(r)
		return
	}
	c.received += answerLength
	c.packet(cactuspin.Packet{Flags: cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1 + c.received}, nil)
	if !r.done {
		r.done = true
		s.oracle.ended(r, true)
	}
	if !c.caller.idempotent {
		c.close()
	}
}

// refused takes an error from a target.
func (c *connection) refused(t *target, r *request) {
	if c.ended || c.current != r || c.target != t {
		return
	}
	c.received += errorLength
	c.close()
	c.current = nil
	c.caller.retry(r)
}

// reset takes a reset of a host or of a target.
func (c *connection) reset(h *host, t *target, why cactuspin.VerdictReason) {
	if c.ended {
		return
	}
	if h != nil {
		c.caller.sim.oracle.reset(h, c, why)
	}
	c.fail()
}

// fail ends the connection and tries the request again where that is safe.
func (c *connection) fail() {
	r := c.current
	c.ended = true
	if c.caller.open == c {
		c.caller.open = nil
	}
	if r == nil || r.done {
		return
	}
	c.current = nil
	c.caller.retry(r)
}

func (c *caller) retry(r *request) {
	if r.done || r.tries >= maxTries || (!r.repeat && r.sent && !r.canRerun) {
		return
	}
	r.canRerun = false
	r.sent = false
	c.try(r)
}

func (c *connection) close() {
	if c.ended {
		return
	}
	if c.opened {
		c.packet(cactuspin.Packet{Flags: cactuspin.FlagFIN | cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1 + c.received}, nil)
	}
	c.ended = true
	if c.caller.open == c {
		c.caller.open = nil
	}
}

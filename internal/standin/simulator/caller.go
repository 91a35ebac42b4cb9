package simulator

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	deadline                 = 1500 * time.Millisecond
	latencyObjective         = 180 * time.Millisecond
	openTimeout              = 1400 * time.Millisecond
	maxAttempts              = 3
	thinkTime                = time.Second
	initialRetransmitTimeout = 200 * time.Millisecond
	requestLength            = 100
	responseLength           = 4000
	errorLength              = 180
)

// caller sends requests; a caller whose requests are idempotent keeps its connection
// open.
type caller struct {
	sim        *Simulation
	zone       cactuspin.ZoneID
	address    netip.Addr
	port       uint16
	idempotent bool
	route      netip.AddrPort
	connection *connection
}

// request is one request of a caller, across all its attempts.
type request struct {
	id          string
	route       netip.AddrPort
	startedAt   cactuspin.Time
	attempts    int
	idempotent  bool
	done        bool
	receivedBy  *target
	sent        bool
	safeToRetry bool
}

// connection is a flow as seen by its caller.
type connection struct {
	caller        *caller
	address       netip.AddrPort
	service       netip.AddrPort
	cookie        cactuspin.Cookie
	target        *target
	established   bool
	establishedAt cactuspin.Time
	closed        bool
	sequence      uint32
	receivedBytes uint32
	// misdirected counts packets that reached another target.
	misdirected int
	request     *request
}

func (c *caller) run() {
	pause := thinkTime/2 + time.Duration(c.sim.random.Int64N(int64(thinkTime)))
	c.sim.after(pause, func() {
		c.startRequest()
		c.run()
	})
}

func (c *caller) startRequest() {
	c.sim.lastID++
	r := &request{id: "r" + strconv.Itoa(c.sim.lastID), startedAt: c.sim.now, route: c.route, idempotent: c.idempotent}
	c.sim.oracle.requestStarted(r)
	c.sim.after(deadline, func() {
		if !r.done {
			r.done = true
			c.sim.oracle.requestEnded(r, false)
			if c.connection != nil && c.connection.request == r {
				c.connection.close()
			}
		}
	})
	c.attempt(r)
}

// attempt sends a request on the open connection or on a new one.
func (c *caller) attempt(r *request) {
	r.attempts++
	if c.idempotent && c.connection != nil && c.connection.established && c.connection.request == nil {
		c.connection.sendRequest(r)
		return
	}
	c.port++
	n := &connection{
		caller: c, service: c.route, request: r, sequence: c.sim.random.Uint32(),
		address: netip.AddrPortFrom(c.address, c.port),
	}
	c.connection = n
	n.sendSYN()
}

// sendSYN sends the SYN packet and its retransmissions.
func (c *connection) sendSYN() {
	s := c.caller.sim
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		s.after(d, func() {
			if !c.established && !c.closed {
				c.sendPacket(cactuspin.Packet{Flags: cactuspin.FlagSYN, Acknowledgement: uint32(i), Sequence: c.sequence}, nil)
			}
		})
	}
	s.after(openTimeout, func() {
		if !c.established && !c.closed {
			c.abort()
		}
	})
}

// sendPacket sends a packet, and the request that it carries, to the host that the
// routers select at this moment.
func (c *connection) sendPacket(p cactuspin.Packet, r *request) {
	s := c.caller.sim
	p.Caller, p.Service, p.Cookie = c.address, c.service, c.cookie
	if p.Flags == cactuspin.FlagSYN {
		p.Cookie = 0
	}
	h := s.routers.route(c)
	if h == nil || s.random.Float64() < s.lossRate {
		return
	}
	s.after(s.delayToCaller(), func() {
		if !h.isolated {
			h.handlePacket(c, p, r)
		}
	})
}

// handleSYNACK processes a target's answer to the SYN packet.
func (c *connection) handleSYNACK(t *target, cookie cactuspin.Cookie) {
	if c.closed {
		return
	}
	c.cookie = cookie
	if c.established {
		return
	}
	c.established, c.target, c.establishedAt = true, t, c.caller.sim.now
	c.sequence++
	c.sendPacket(cactuspin.Packet{Flags: cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1}, nil)
	if c.request != nil {
		c.sendRequest(c.request)
	}
}

// sendRequest sends a request and retransmits it until it is answered.
func (c *connection) sendRequest(r *request) {
	c.request = r
	r.sent = true
	c.sequence += requestLength
	c.retransmit(r, initialRetransmitTimeout)
}

func (c *connection) retransmit(r *request, timeout time.Duration) {
	if c.closed || r.done || c.request != r {
		return
	}
	c.sendPacket(cactuspin.Packet{
		Flags: cactuspin.FlagACK, Length: requestLength,
		Sequence: c.sequence - requestLength, Acknowledgement: 1 + c.receivedBytes,
	}, r)
	c.caller.sim.after(timeout, func() { c.retransmit(r, min(2*timeout, 1600*time.Millisecond)) })
}

// handleResponse processes a target's response. A target that sheds load has not
// executed the request, so that it is safe to retry.
func (c *connection) handleResponse(t *target, r *request, executed bool) {
	s := c.caller.sim
	if c.closed || c.request != r || c.target != t {
		return
	}
	c.request = nil
	if !executed {
		r.safeToRetry = true
		c.close()
		c.caller.retry(r)
		return
	}
	c.receivedBytes += responseLength
	c.sendPacket(cactuspin.Packet{Flags: cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1 + c.receivedBytes}, nil)
	if !r.done {
		r.done = true
		s.oracle.requestEnded(r, true)
	}
	if !c.caller.idempotent {
		c.close()
	}
}

// handleError processes an error response of a target.
func (c *connection) handleError(t *target, r *request) {
	if c.closed || c.request != r || c.target != t {
		return
	}
	c.receivedBytes += errorLength
	c.close()
	c.request = nil
	c.caller.retry(r)
}

// handleReset processes a reset from a host or a target.
func (c *connection) handleReset(h *host, t *target, reason cactuspin.VerdictReason) {
	if c.closed {
		return
	}
	if h != nil {
		c.caller.sim.oracle.checkReset(h, c, reason)
	}
	c.abort()
}

// abort ends the connection and retries the request where that is safe.
func (c *connection) abort() {
	r := c.request
	c.closed = true
	if c.caller.connection == c {
		c.caller.connection = nil
	}
	if r == nil || r.done {
		return
	}
	c.request = nil
	c.caller.retry(r)
}

func (c *caller) retry(r *request) {
	if r.done || r.attempts >= maxAttempts || (!r.idempotent && r.sent && !r.safeToRetry) {
		return
	}
	r.safeToRetry = false
	r.sent = false
	c.attempt(r)
}

func (c *connection) close() {
	if c.closed {
		return
	}
	if c.established {
		c.sendPacket(cactuspin.Packet{Flags: cactuspin.FlagFIN | cactuspin.FlagACK, Sequence: c.sequence, Acknowledgement: 1 + c.receivedBytes}, nil)
	}
	c.closed = true
	if c.caller.connection == c {
		c.caller.connection = nil
	}
}

package simulator

import (
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	slots               = 3
	meanWorkTime        = 55 * time.Millisecond
	maxQueueLength      = 12
	registrationTimeout = 3600 * time.Millisecond
)

// target models a back end.
type target struct {
	location
	sim          *Simulation
	registration cactuspin.RegisteredTarget
	// alive reports that the process runs; draining that it closes flows after their
	// responses.
	alive, draining bool
	flows           map[*connection]bool
	activeRequests  int
	queue           []func()
	// receiveDelay delays every packet that reaches the target.
	receiveDelay time.Duration
	// failureMode is how the target fails each request while its registration stays
	// healthy: "errors", "reset" or "mute". An empty mode means that it does not fail.
	failureMode string
	// drainingSince is when the store recorded that the target is draining or removed.
	drainingSince cactuspin.Time
}

// registered reports whether the store lists the target.
func (t *target) registered() bool {
	_, ok := t.sim.store.targets[t.registration.ID]
	return ok
}

// register writes the registration if the target is alive and can reach the store.
func (t *target) register() {
	if t.alive && !t.registered() && !t.isolated {
		t.sim.store.putTarget(t.registration)
	}
}

// handleSYN processes the first packet of a flow.
func (t *target) handleSYN(c *connection, cookie cactuspin.Cookie) {
	t.flows[c] = true
	t.sim.after(t.sim.delayToCaller(), func() { c.handleSYNACK(t, cookie) })
}

// handleRequest processes a request; retransmissions of one already received are
// ignored.
func (t *target) handleRequest(c *connection, r *request) {
	// Reset a flow that this target never opened or that is open at another target, even
	// if this target answered a retransmitted SYN.
	if !t.flows[c] || c.target != t {
		t.sim.oracle.checkMisdirected(c)
		t.sim.after(t.sim.delayToCaller(), func() { c.handleReset(nil, t, 0) })
		return
	}
	if r.receivedBy == t {
		return
	}
	r.receivedBy = t
	if t.failureMode != "" {
		t.failRequest(c, r)
		return
	}
	run := func() { t.processRequest(c, r) }
	if t.activeRequests < slots {
		run()
		return
	}
	if len(t.queue) >= maxQueueLength {
		r.receivedBy = nil
		t.sim.after(t.sim.delayToCaller(), func() { c.handleResponse(t, r, false) })
		return
	}
	t.queue = append(t.queue, run)
}

// failRequest fails a request immediately, as the failure mode says.
func (t *target) failRequest(c *connection, r *request) {
	t.sim.oracle.requestExecuted(t, r)
	switch t.failureMode {
	case "errors":
		t.sim.after(t.sim.delayToCaller(), func() { c.handleError(t, r) })
	case "reset":
		delete(t.flows, c)
		t.sim.after(t.sim.delayToCaller(), func() { c.handleReset(nil, t, 0) })
	}
}

func (t *target) processRequest(c *connection, r *request) {
	t.activeRequests++
	t.sim.oracle.requestExecuted(t, r)
	work := meanWorkTime/2 + time.Duration(t.sim.random.Int64N(int64(meanWorkTime)))
	t.sim.after(work, func() {
		t.activeRequests--
		if !t.alive {
			return
		}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		closing := t.draining
		if closing {
			delete(t.flows, c)
		}
		t.sim.after(t.sim.delayToCaller(), func() {
			c.handleResponse(t, r, true)
			if closing {
				c.close()
			}
		})
	})
}

// drain performs a planned stop: the target reports draining, keeps serving until a
// second after the drain bound and then stops.
func (t *target) drain() {
	t.draining = true
	t.registration.State = cactuspin.TargetDraining
	t.registerDraining()
}

func (t *target) registerDraining() {
	if !t.sim.store.putTarget(t.registration) {
		t.sim.after(readyInterval, t.registerDraining)
		return
	}
	t.drainingSince = t.sim.now
	t.sim.trace("target %s: drains", t.registration.ID)
	t.sim.after(drainBound+time.Second, func() {
		t.alive = false
		t.sim.oracle.startGracePeriod(t)
		t.sim.store.removeTarget(t.registration.ID)
	})
}

// crash stops the target immediately; its registration expires later.
func (t *target) crash() {
	t.alive = false
	t.flows = map[*connection]bool{}
	t.sim.oracle.startGracePeriod(t)
	t.sim.trace("target %s: crashes", t.registration.ID)
	t.sim.after(registrationTimeout, func() {
		if t.sim.store.unavailable {
			return
		}
		if !t.alive {
			t.sim.store.removeTarget(t.registration.ID)
			t.drainingSince = t.sim.now
		}
	})
}

// restart starts a crashed target again under the same ID.
func (t *target) restart() {
	t.alive = true
	t.activeRequests, t.queue = 0, nil
	t.drainingSince = 0
	t.registration.Started = int64(t.sim.now) / int64(time.Millisecond)
	t.sim.store.putTarget(t.registration)
}

// deliver sends a forwarded packet to every live target at the address.
func (s *Simulation) deliver(h *host, c *connection, p *cactuspin.Packet, v *cactuspin.Verdict, r *request) {
	copied := *p
	for _, t := range s.targets {
		if t.registration.Address != v.TargetAddress || !t.alive {
			continue
		}
		s.transmit(&h.location, &t.location, func() {
			s.after(t.receiveDelay, func() { t.handlePacket(h, c, &copied, v.TargetNumber, r) })
		})
	}
}

// handlePacket processes a packet that a host forwarded, if it is addressed to this
// target's number.
func (t *target) handlePacket(h *host, c *connection, p *cactuspin.Packet, number uint64, r *request) {
	if !t.alive {
		return
	}
	if t.registration.Number != number {
		return
	}
	t.sim.oracle.checkPacket(h, t, c, p)
	switch {
	case p.Flags == cactuspin.FlagSYN:
		t.handleSYN(c, p.Cookie)
	case p.Length > 0:
		t.handleRequest(c, r)
	}
}

// probe returns what a connection from the host to the address shows, and how long
// that takes.
func (s *Simulation) probe(h *host, a netip.AddrPort) (f balancer.Finding, duration time.Duration) {
	for _, t := range s.targets {
		if t.registration.Address == a && t.alive && !s.blocked(&h.location, &t.location) {
			return balancer.FindingAlive, 2 * s.delay(&h.location, &t.location)
		}
	}
	return balancer.FindingSilent, probeTimeout
}

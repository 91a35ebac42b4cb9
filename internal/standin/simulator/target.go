package simulator

import (
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	slots     = 3
	workTime  = 55 * time.Millisecond
	maxQueue  = 12
	lapseTime = 3600 * time.Millisecond
)

// target models a back end.
type target struct {
	place
	sim   *Simulation
	entry cactuspin.RegisteredTarget
	// alive says that the process runs, leaving that it closes flows.
	alive, leaving bool
	flows          map[*connection]bool
	busy           int
	queue          []func()
	// stall delays all that reaches the target.
	stall time.Duration
	// fails says how the target fails each request, though it is well: "errors",
	// "reset" or "mute".
	fails string
	// drainAt is when the store acknowledged that the target drains or is gone.
	drainAt cactuspin.Time
}

// registered tells whether the store lists the target.
func (t *target) registered() bool {
	_, ok := t.sim.store.targets[t.entry.ID]
	return ok
}

// register writes the entry if the target lives and the store takes it.
func (t *target) register() {
	if t.alive && !t.registered() && !t.cut {
		t.sim.store.putTarget(t.entry)
	}
}

// syn takes the first packet of a flow.
func (t *target) syn(c *connection, cookie cactuspin.Cookie) {
	t.flows[c] = true
	t.sim.after(t.sim.callerWay(), func() { c.accepted(t, cookie) })
}

// request takes a request; copies of one that is held are ignored.
func (t *target) request(c *connection, r *request) {
	// A target that did not open the flow does not hold it, though it answered a
	// copy of the first packet.
	if !t.flows[c] || c.target != t {
		t.sim.oracle.strayed(c)
		t.sim.after(t.sim.callerWay(), func() { c.reset(nil, t, 0) })
		return
	}
	if r.taken == t {
		return
	}
	r.taken = t
	if t.fails != "" {
		t.fail(c, r)
		return
	}
	run := func() { t.run(c, r) }
	if t.busy < slots {
		run()
		return
	}
	if len(t.queue) >= maxQueue {
		r.taken = nil
		t.sim.after(t.sim.callerWay(), func() { c.answered(t, r, false) })
		return
	}
	t.queue = append(t.queue, run)
}

// fail fails a request at once.
func (t *target) fail(c *connection, r *request) {
	t.sim.oracle.ran(t, r)
	switch t.fails {
	case "errors":
		t.sim.after(t.sim.callerWay(), func() { c.refused(t, r) })
	case "reset":
		delete(t.flows, c)
		t.sim.after(t.sim.callerWay(), func() { c.reset(nil, t, 0) })
	}
}

func (t *target) run(c *connection, r *request) {
	t.busy++
	t.sim.oracle.ran(t, r)
	work := workTime/2 + time.Duration(t.sim.random.Int64N(int64(workTime)))
	t.sim.after(work, func() {
		t.busy--
		if !t.alive {
			return
		}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		closing := t.leaving
		if closing {
			delete(t.flows, c)
		}
		t.sim.after(t.sim.callerWay(), func() {
			c.answered(t, r, true)
			if closing {
				c.close()
			}
		})
	})
}

// drain is a planned stop: draining for the bound and a little longer, then gone.
func (t *target) drain() {
	t.leaving = true
	t.entry.State = cactuspin.TargetDraining
	t.tryDrain()
}

func (t *target) tryDrain() {
	if !t.sim.store.putTarget(t.entry) {
		t.sim.after(readyInterval, t.tryDrain)
		return
	}
	t.drainAt = t.sim.now
	t.sim.trace("target %s: drains", t.entry.ID)
	t.sim.after(drainBound+time.Second, func() {
		t.alive = false
		t.sim.oracle.disturb(t)
		t.sim.store.removeTarget(t.entry.ID)
	})
}

// crash ends the target at once; its entry lapses later.
func (t *target) crash() {
	t.alive = false
	t.flows = map[*connection]bool{}
	t.sim.oracle.disturb(t)
	t.sim.trace("target %s: crashes", t.entry.ID)
	t.sim.after(lapseTime, func() {
		if t.sim.store.down {
			return
		}
		if !t.alive {
			t.sim.store.removeTarget(t.entry.ID)
			t.drainAt = t.sim.now
		}
	})
}

// restart starts a crashed target anew under its id.
func (t *target) restart() {
	t.alive = true
	t.busy, t.queue = 0, nil
	t.drainAt = 0
	t.entry.Started = int64(t.sim.now) / int64(time.Millisecond)
	t.sim.store.putTarget(t.entry)
}

// deliver carries a forwarded packet to whatever target is at the address.
func (s *Simulation) deliver(h *host, c *connection, p *cactuspin.Packet, v *cactuspin.Verdict, r *request) {
	copied := *p
	for _, t := range s.targets {
		if t.entry.Address != v.TargetAddress || !t.alive {
			continue
		}
		s.carry(&h.place, &t.place, func() {
			s.after(t.stall, func() { t.take(h, c, &copied, v.TargetNumber, r) })
		})
	}
}

// take takes a packet that a host forwarded.
func (t *target) take(h *host, c *connection, p *cactuspin.Packet, number uint64, r *request) {
	if !t.alive {
		return
	}
	if t.entry.Number != number {
		return
	}
	t.sim.oracle.arrived(h, t, c, p)
	switch {
	case p.Flags == cactuspin.FlagSYN:
		t.syn(c, p.Cookie)
	case p.Length > 0:
		t.request(c, r)
	}
}

// probe tells whether an address takes a connection from a host, and how long
// that takes.
func (s *Simulation) probe(h *host, a netip.AddrPort) (answered bool, took time.Duration) {
	for _, t := range s.targets {
		if t.entry.Address == a && t.alive && !s.blocked(&h.place, &t.place) {
			return true, 2 * s.delay(&h.place, &t.place)
		}
	}
	return false, probeTimeout
}

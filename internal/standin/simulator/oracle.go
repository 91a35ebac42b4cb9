package simulator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Result is what a run showed.
type Result struct {
	Requests, Served, Failed int
	// Violations are the promises that were broken.
	Violations []string
	// StoreCalls counts the calls of the store.
	StoreCalls int
	// PeerBytes counts what hosts sent to each other in datagrams.
	PeerBytes int
	// RecoveryTime is how long after all hosts were killed a span began in which nine
	// tenths of the requests were served.
	RecoveryTime time.Duration
}

// recoverySpan is the span by which service counts as back.
const recoverySpan = 500 * time.Millisecond

// tally counts requests and those that were served.
type tally struct{ asked, served int }

// oracle sees what callers, targets and the operator see.
type oracle struct {
	sim    *Simulation
	asks   int
	served int
	failed int
	calls  int
	// peerBytes counts what hosts sent to each other.
	peerBytes int
	broken    []string
	// runs counts how often each request ran.
	runs map[string]int
	// calmFrom is when hosts, targets and the store are calm again.
	calmFrom map[any]cactuspin.Time
	storeAt  cactuspin.Time
	// changes are the accepted configurations with their moments.
	changes []acceptance
	// recoverAt is when service has to be back; afterAsked and afterServed count
	// the requests from then on.
	recoverAt               cactuspin.Time
	afterAsked, afterServed int
	// killedAt is when all hosts were killed, spans counts the requests since then.
	killedAt cactuspin.Time
	spans    map[int]tally
}

// acceptance is when a routing was accepted.
type acceptance struct {
	at      cactuspin.Time
	routing *cactuspin.Routing
}

func (o *oracle) breaks(rule, format string, arguments ...any) {
	line := rule + ": " + fmt.Sprintf(format, arguments...)
	o.sim.trace("BROKEN %s", line)
	if len(o.broken) < 20 {
		o.broken = append(o.broken, line)
	}
}

// disturb notes that something is not calm from now for the calm time.
func (o *oracle) disturb(x any) { o.calmFrom[x] = o.sim.now.Add(calmTime) }

func (o *oracle) disturbStore() { o.storeAt = o.sim.now.Add(calmTime) }

func (o *oracle) calm(x any) bool { return o.sim.now >= o.calmFrom[x] }

// inTouch tells whether bounds in time hold for a host.
func (o *oracle) inTouch(h *host) bool {
	return o.calm(h) && o.sim.now >= o.storeAt && !o.sim.blockedStore(h) && !o.sim.store.down && !o.sim.store.refused[h]
}

func (o *oracle) asked(*request) { o.asks++ }

func (o *oracle) ended(r *request, served bool) {
	if !served && o.lackedSince(r.route, r.began.Add(-applyBound)) {
		return
	}
	if o.killedAt != 0 && r.began >= o.killedAt {
		n := int(r.began.Sub(o.killedAt) / recoverySpan)
		span := o.spans[n]
		span.asked++
		if served {
			span.served++
		}
		o.spans[n] = span
	}
	late := o.recoverAt != 0 && r.began >= o.recoverAt
	if late {
		o.afterAsked++
	}
	if !served {
		o.failed++
		o.sim.trace("request %s of %v failed after %d tries", r.id, r.began.Sub(start.Add(o.sim.story.lead())), r.tries)
		return
	}
	o.served++
	if late {
		o.afterServed++
	}
}

// steered notes a verdict: the version of a process never goes back.
func (o *oracle) steered(h *host, v *cactuspin.Verdict) {
	if v.Version < h.version {
		o.breaks("CONFIG", "host %d goes from version %d back to %d", h.index, h.version, v.Version)
	}
	h.version = v.Version
}

// arrived notes a packet that a target takes.
func (o *oracle) arrived(h *host, t *target, c *connection, p *cactuspin.Packet) {
	if p.Flags != cactuspin.FlagSYN {
		return
	}
	if !o.allowed(c, t) {
		o.breaks("ROUTE", "target %s of %s takes a flow to %s", t.entry.ID, t.entry.Service, c.service)
	}
	if t.drainAt != 0 && o.sim.now.Sub(t.drainAt) > drainBound && o.inTouch(h) {
		o.breaks("DRAIN", "target %s takes a flow %s after it drains, from host %d", t.entry.ID, o.sim.now.Sub(t.drainAt), h.index)
	}
	if o.dropped(c) && o.inTouch(h) {
		o.breaks("CONFIG", "host %d opens a flow on dropped route %s", h.index, c.service)
	}
}

// allowed tells whether any configuration led the flow's route to the service.
func (o *oracle) allowed(c *connection, t *target) bool {
	for _, a := range o.changes {
		for i := range a.routing.Routes {
			r := &a.routing.Routes[i]
			if r.Address == c.service && r.Services[0].Service == t.entry.Service {
				return true
			}
		}
	}
	return false
}

// dropped tells whether the flow's route has been gone for longer than hosts
// may take to learn it.
func (o *oracle) dropped(c *connection) bool { return !o.present(c, applyBound) }

// present tells whether any configuration in force within the bound has the
// flow's route.
func (o *oracle) present(c *connection, bound interface{ Nanoseconds() int64 }) bool {
	for i, a := range o.changes {
		replaced := i+1 < len(o.changes) && o.sim.now.Sub(o.changes[i+1].at).Nanoseconds() > bound.Nanoseconds()
		if !replaced && slices.ContainsFunc(a.routing.Routes, func(r cactuspin.Route) bool { return r.Address == c.service }) {
			return true
		}
	}
	return false
}

// lackedSince tells whether a configuration in force at or after a moment has
// no such route. Requests on it are not owed an answer, and its flows may end.
func (o *oracle) lackedSince(route netip.AddrPort, since cactuspin.Time) bool {
	for i, a := range o.changes {
		replaced := i+1 < len(o.changes) && o.changes[i+1].at < since
		if !replaced && !slices.ContainsFunc(a.routing.Routes, func(r cactuspin.Route) bool { return r.Address == route }) {
			return true
		}
	}
	return false
}

// strayed notes that a target gets data of a flow that is open elsewhere.
func (o *oracle) strayed(c *connection) {
	if c.target == nil || !c.target.alive {
		return
	}
	if c.strayed++; c.strayed >= 3 {
		o.breaks("FLOW", "packets of a flow at target %s go elsewhere", c.target.entry.ID)
	}
}

// ran notes that a target begins to work on a request.
func (o *oracle) ran(t *target, r *request) {
	o.runs[r.id]++
	if o.runs[r.id] > 1 && !r.repeat {
		o.breaks("UNASKED", "order %s runs again, at target %s", r.id, t.entry.ID)
	}
}

// reset notes a reset that a host sent.
func (o *oracle) reset(h *host, c *connection, why cactuspin.VerdictReason) {
	if !c.opened {
		if why == cactuspin.ReasonNoRoute && o.inTouch(h) && o.settledRoute(c) {
			o.breaks("CONFIG", "host %d refuses a flow to %s for want of a route", h.index, c.service)
		}
		return
	}
	if c.target.alive && o.calm(c.target) && o.inTouch(h) && !o.lackedSince(c.service, c.openedAt) && !o.sim.blocked(&h.place, &c.target.place) &&
		o.sim.now.Sub(c.openedAt) < maxFlowAge {
		o.breaks("FLOW", "host %d resets a flow at living target %s (%s)", h.index, c.target.entry.ID, why)
	}
}

// settledRoute tells whether the flow's route has been in force for longer than
// hosts may take to learn it.
func (o *oracle) settledRoute(c *connection) bool {
	var newest *acceptance
	for i := range o.changes {
		if o.sim.now.Sub(o.changes[i].at) > applyBound {
			newest = &o.changes[i]
		}
	}
	for i := range o.changes {
		a := &o.changes[i]
		if newest != nil && a.at < newest.at {
			continue
		}
		if newest == nil || !slices.ContainsFunc(a.routing.Routes, func(r cactuspin.Route) bool { return r.Address == c.service }) {
			return false
		}
	}
	return newest != nil
}

func (o *oracle) result() Result {
	if o.afterAsked > 0 && 4*o.afterServed < o.afterAsked {
		o.breaks("RECOVER", "%d of %d requests served after all hosts were killed", o.afterServed, o.afterAsked)
	}
	return Result{
		Requests: o.asks, Served: o.served, Failed: o.failed, Violations: o.broken, StoreCalls: o.calls, PeerBytes: o.peerBytes,
		RecoveryTime: o.recovered(),
	}
}

// recovered returns when service was back after all hosts were killed.
func (o *oracle) recovered() time.Duration {
	for _, n := range slices.Sorted(maps.Keys(o.spans)) {
		if x := o.spans[n]; 10*x.served >= 9*x.asked {
			return time.Duration(n) * recoverySpan
		}
	}
	return o.sim.story.Length.Duration
}

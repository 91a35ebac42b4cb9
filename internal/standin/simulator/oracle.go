package simulator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Result holds the results of a run.
type Result struct {
	Requests, Served, Failed int
	// InTime is the number of served requests that were answered within the latency
	// objective.
	InTime int
	// Violations lists the violated invariants.
	Violations []string
	// StoreCalls counts the calls of the store.
	StoreCalls int
	// PeerBytes counts the bytes that hosts sent to each other in datagrams.
	PeerBytes int
	// RecoveryTime is the time from the last kill_all until the start of an interval in
	// which nine tenths of the requests were served.
	RecoveryTime time.Duration
}

// recoveryInterval is the interval over which the share of served requests decides
// whether service has recovered.
const recoveryInterval = 500 * time.Millisecond

// requestCounts counts requests and those that were served.
type requestCounts struct{ total, served int }

// oracle checks invariants on what callers, targets and the operator observe.
type oracle struct {
	sim        *Simulation
	requests   int
	served     int
	inTime     int
	failed     int
	storeCalls int
	// peerBytes counts the bytes that hosts sent to each other in datagrams.
	peerBytes  int
	violations []string
	// executions counts how often each request was executed.
	executions map[string]int
	// gracePeriodEnds holds when the time bounds apply again to a host or target,
	// storeGracePeriodEnd when they do after a fault of the store.
	gracePeriodEnds     map[any]cactuspin.Time
	storeGracePeriodEnd cactuspin.Time
	// zones holds the zones that were evacuated.
	zones map[cactuspin.ZoneID]*zoneRecord
	// restoreBegan is when the store last became unavailable for a restore, or 0.
	restoreBegan cactuspin.Time
	// configurations holds the accepted configurations in order of time.
	configurations []acceptedRouting
	// recoveryDeadline is when service must have recovered; requestsAfterRecovery and
	// servedAfterRecovery count the requests from then on.
	recoveryDeadline                           cactuspin.Time
	requestsAfterRecovery, servedAfterRecovery int
	// killedAt is when all hosts were last killed; intervals counts the requests since
	// then by recovery interval.
	killedAt  cactuspin.Time
	intervals map[int]requestCounts
}

// acceptedRouting is a routing with the time at which the store accepted it.
type acceptedRouting struct {
	at      cactuspin.Time
	routing *cactuspin.Routing
}

func (o *oracle) reportViolation(rule, format string, arguments ...any) {
	line := rule + ": " + fmt.Sprintf(format, arguments...)
	o.sim.trace("BROKEN %s", line)
	if len(o.violations) < 20 {
		o.violations = append(o.violations, line)
	}
}

// startGracePeriod exempts a host or target from the time bounds for the grace period.
func (o *oracle) startGracePeriod(x any) { o.gracePeriodEnds[x] = o.sim.now.Add(gracePeriod) }

func (o *oracle) startStoreGracePeriod() { o.storeGracePeriodEnd = o.sim.now.Add(gracePeriod) }

func (o *oracle) gracePeriodOver(x any) bool { return o.sim.now >= o.gracePeriodEnds[x] }

// boundsApply reports whether the time bounds apply to a host.
func (o *oracle) boundsApply(h *host) bool {
	return o.gracePeriodOver(h) && o.sim.now >= o.storeGracePeriodEnd && !o.sim.storeBlocked(h) && !o.sim.store.unavailable && !o.sim.store.refusedHosts[h]
}

// keepsKnowledge reports whether the store is being restored or has just been, and a host
// has to keep what it knew before, as it has not been disturbed otherwise.
func (o *oracle) keepsKnowledge(h *host) bool {
	return o.restoreBegan != 0 && o.sim.now < o.storeGracePeriodEnd && o.gracePeriodOver(h)
}

func (o *oracle) requestStarted(*request) { o.requests++ }

func (o *oracle) requestEnded(r *request, served bool) {
	if !served && o.routeMissingSince(r.route, r.startedAt.Add(-applyBound)) {
		return
	}
	if o.killedAt != 0 && r.startedAt >= o.killedAt {
		n := int(r.startedAt.Sub(o.killedAt) / recoveryInterval)
		counts := o.intervals[n]
		counts.total++
		if served {
			counts.served++
		}
		o.intervals[n] = counts
	}
	afterRecovery := o.recoveryDeadline != 0 && r.startedAt >= o.recoveryDeadline
	if afterRecovery {
		o.requestsAfterRecovery++
	}
	if !served {
		o.failed++
		o.sim.trace("request %s of %v failed after %d tries", r.id, r.startedAt.Sub(simulationStart.Add(o.sim.scenario.warmUp())), r.attempts)
		return
	}
	o.served++
	if o.sim.now.Sub(r.startedAt) <= latencyObjective {
		o.inTime++
	}
	if afterRecovery {
		o.servedAfterRecovery++
	}
}

// checkVerdict checks a verdict: a process must never return to an older version.
func (o *oracle) checkVerdict(h *host, v *cactuspin.Verdict) {
	if v.Version < h.lastVersion {
		o.reportViolation("CONFIG", "host %d goes from version %d back to %d", h.index, h.lastVersion, v.Version)
	}
	h.lastVersion = v.Version
}

// checkPlacement checks the verdict on a first packet or a copy of it: it goes to the
// service to which its route leads in the version that the host has in force.
func (o *oracle) checkPlacement(h *host, c *connection, p *cactuspin.Packet, v *cactuspin.Verdict) {
	if p.Flags != cactuspin.FlagSYN || v.Kind != cactuspin.VerdictForward {
		return
	}
	placed := slices.IndexFunc(o.sim.targets, func(t *target) bool { return t.registration.ID == v.Target })
	for _, a := range o.configurations {
		if a.routing.Version != v.Version {
			continue
		}
		for i := range a.routing.Routes {
			r := &a.routing.Routes[i]
			if r.Address == c.service && r.Services[0].Service != o.sim.targets[placed].registration.Service {
				o.reportViolation("CONFIG", "host %d has version %d and opens a flow to %s at target %s of %s", h.index, v.Version, c.service, v.Target, o.sim.targets[placed].registration.Service)
			}
		}
	}
}

// checkPacket checks a packet that a target receives.
func (o *oracle) checkPacket(h *host, t *target, c *connection, p *cactuspin.Packet) {
	if p.Flags != cactuspin.FlagSYN {
		return
	}
	if !o.flowAllowed(c, t) {
		o.reportViolation("ROUTE", "target %s of %s takes a flow to %s", t.registration.ID, t.registration.Service, c.service)
	}
	if t.drainingSince != 0 && o.sim.now.Sub(t.drainingSince) > drainBound && o.boundsApply(h) {
		o.reportViolation("DRAIN", "target %s takes a flow %s after it drains, from host %d", t.registration.ID, o.sim.now.Sub(t.drainingSince), h.index)
	}
	if t.drainingSince != 0 && t.drainingSince.Add(drainBound) < o.restoreBegan && o.keepsKnowledge(h) {
		o.reportViolation("DRAIN", "target %s takes a flow from host %d, which knew before the restore that it drains", t.registration.ID, h.index)
	}
	o.checkZone(h, t)
	if o.routeRemoved(c) && o.boundsApply(h) {
		o.reportViolation("CONFIG", "host %d opens a flow on dropped route %s", h.index, c.service)
	}
}

// flowAllowed reports whether any configuration so far directed the flow's route to the
// target's service.
func (o *oracle) flowAllowed(c *connection, t *target) bool {
	for _, a := range o.configurations {
		for i := range a.routing.Routes {
			r := &a.routing.Routes[i]
			if r.Address == c.service && r.Services[0].Service == t.registration.Service {
				return true
			}
		}
	}
	return false
}

// routeRemoved reports whether the flow's route was removed longer ago than hosts may
// take to apply a configuration.
func (o *oracle) routeRemoved(c *connection) bool { return !o.routePresent(c, applyBound) }

// routePresent reports whether any configuration in force within the bound contains the
// flow's route.
func (o *oracle) routePresent(c *connection, bound interface{ Nanoseconds() int64 }) bool {
	for i, a := range o.configurations {
		replaced := i+1 < len(o.configurations) && o.sim.now.Sub(o.configurations[i+1].at).Nanoseconds() > bound.Nanoseconds()
		if !replaced && slices.ContainsFunc(a.routing.Routes, func(r cactuspin.Route) bool { return r.Address == c.service }) {
			return true
		}
	}
	return false
}

// routeMissingSince reports whether a configuration in force at or after the given time
// lacks the route. Requests on such a route need not be answered, and its flows may
// end.
func (o *oracle) routeMissingSince(route netip.AddrPort, since cactuspin.Time) bool {
	for i, a := range o.configurations {
		replaced := i+1 < len(o.configurations) && o.configurations[i+1].at < since
		if !replaced && !slices.ContainsFunc(a.routing.Routes, func(r cactuspin.Route) bool { return r.Address == route }) {
			return true
		}
	}
	return false
}

// checkMisdirected records data of a flow that reached another target than the one at
// which the flow is open. From the third packet on this is a violation.
func (o *oracle) checkMisdirected(c *connection) {
	if c.target == nil || !c.target.alive {
		return
	}
	if c.misdirected++; c.misdirected >= 3 {
		o.reportViolation("FLOW", "packets of a flow at target %s go elsewhere", c.target.registration.ID)
	}
}

// requestExecuted records that a target starts to execute a request.
func (o *oracle) requestExecuted(t *target, r *request) {
	o.executions[r.id]++
	if o.executions[r.id] > 1 && !r.idempotent {
		o.reportViolation("UNASKED", "order %s runs again, at target %s", r.id, t.registration.ID)
	}
}

// checkReset checks a reset that a host sent.
func (o *oracle) checkReset(h *host, c *connection, reason cactuspin.VerdictReason) {
	if !c.established {
		if reason == cactuspin.ReasonNoRoute && (o.boundsApply(h) || o.keepsKnowledge(h)) && o.routeEstablished(c) {
			o.reportViolation("CONFIG", "host %d refuses a flow to %s for want of a route", h.index, c.service)
		}
		return
	}
	if c.target.alive && o.gracePeriodOver(c.target) && (o.boundsApply(h) || o.keepsKnowledge(h)) && !o.routeMissingSince(c.service, c.establishedAt) && !o.sim.blocked(&h.location, &c.target.location) &&
		o.sim.now.Sub(c.establishedAt) < maxFlowAge {
		o.reportViolation("FLOW", "host %d resets a flow at living target %s (%s)", h.index, c.target.registration.ID, reason)
	}
}

// routeEstablished reports whether the flow's route has been in force for longer than
// hosts may take to apply it.
func (o *oracle) routeEstablished(c *connection) bool {
	var newest *acceptedRouting
	for i := range o.configurations {
		if o.sim.now.Sub(o.configurations[i].at) > applyBound {
			newest = &o.configurations[i]
		}
	}
	for i := range o.configurations {
		a := &o.configurations[i]
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
	o.checkReturns()
	if o.requestsAfterRecovery > 0 && 4*o.servedAfterRecovery < o.requestsAfterRecovery {
		o.reportViolation("RECOVER", "%d of %d requests served after all hosts were killed", o.servedAfterRecovery, o.requestsAfterRecovery)
	}
	return Result{
		Requests: o.requests, Served: o.served, InTime: o.inTime, Failed: o.failed, Violations: o.violations, StoreCalls: o.storeCalls, PeerBytes: o.peerBytes,
		RecoveryTime: o.recoveryTime(),
	}
}

// recoveryTime returns how long service took to recover after all hosts were killed.
func (o *oracle) recoveryTime() time.Duration {
	for _, n := range slices.Sorted(maps.Keys(o.intervals)) {
		if x := o.intervals[n]; 10*x.served >= 9*x.total {
			return time.Duration(n) * recoveryInterval
		}
	}
	return o.sim.scenario.Length.Duration
}

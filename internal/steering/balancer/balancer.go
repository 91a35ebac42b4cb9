// Package balancer forwards callers' packets to targets. Packets of open flows are
// forwarded by the cookie that they carry, so that any host finds the target; only
// the first packet of a flow is placed. The flow table serves load balancing and
// the detection of dead targets only: losing it breaks no flow.
package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const (
	// removedRetention is how long a deregistered target is still found by its
	// cookie, so that its flows are reset with a reason. The platform limits the
	// age of a flow to this time.
	removedRetention = 60 * time.Second
	// reregistrationTime is how long after a store failure an unknown cookie may
	// belong to a target that is about to register again.
	reregistrationTime = 3 * time.Second
	// TickInterval is the interval at which Tick must be called. Running means
	// decay per tick.
	TickInterval = 50 * time.Millisecond
)

// Config configures a balancer.
type Config struct {
	// Self is the address of this host.
	Self netip.Addr
	Zone cactuspin.ZoneID
	Seed uint64
	// StaleAfter is the age beyond which knowledge is stale; packets are then
	// dropped instead of refused with a reset.
	StaleAfter time.Duration
	// MaxFlows limits the number of flows in the flow table.
	MaxFlows int
}

// Balancer implements cactuspin.Balancer.
type Balancer struct {
	config Config
	routes atomic.Pointer[routeTable]
	// mu guards the services and their targets. The lock of a flow shard is
	// acquired before it.
	mu       sync.RWMutex
	services map[cactuspin.ServiceName]*service
	// namedServices are the services that the configuration names.
	namedServices map[cactuspin.ServiceName]bool
	targets       map[cactuspin.TargetID]*target
	byAddress     addressIndex
	byCookie      cookieIndex
	// unreadable holds the cookies of targets that may be alive, but whose address is not
	// known because their registration cannot be used.
	unreadable map[cactuspin.Cookie]bool
	// unnamed holds registrations of services that the configuration does not name, under
	// the IDs of targets of other services.
	unnamed map[cactuspin.TargetID]cactuspin.RegisteredTarget
	removed []*target
	// evacuations holds the states of the zones.
	evacuations evacuations
	// rank is the place of this host in its zone.
	rank encoder.HostRank
	// warmups limits the new flows to cold targets.
	warmups *warmups
	active  activeSet
	flows   flowTable
	// confirmed is the time at which the knowledge in use was last up to date,
	// healthySince the time of the store's last recovery from a failure.
	confirmed    atomic.Int64
	healthySince atomic.Int64
	// lastAnswer is when a target last answered a caller or a probe of this host.
	lastAnswer atomic.Int64
	// staleAfter is Config.StaleAfter in nanoseconds.
	staleAfter atomic.Int64
	counters   [verdictReasons]atomic.Uint64
}

// verdictReasons is the number of verdict reasons.
const verdictReasons = int(cactuspin.ReasonTargetsCold) + 1

// routeTable is one version of the routes, indexed by service address.
type routeTable struct {
	version     cactuspin.RoutingVersion
	idleTimeout time.Duration
	routes      map[endpoint]*route
}

// route is a route with the usual size of its answers.
type route struct {
	*cactuspin.Route
	answers *answerSizes
	// responseTimes are those that this host has seen.
	responseTimes *responseTimes
	// lengths counts the flows that this host has seen by their number of requests.
	lengths *flowLengths
}

// New returns a balancer without knowledge, which drops every packet.
func New(c Config) *Balancer {
	b := &Balancer{
		config:     c,
		services:   map[cactuspin.ServiceName]*service{},
		targets:    map[cactuspin.TargetID]*target{},
		byAddress:  addressIndex{},
		byCookie:   cookieIndex{},
		unreadable: map[cactuspin.Cookie]bool{},
		unnamed:    map[cactuspin.TargetID]cactuspin.RegisteredTarget{},

		evacuations: evacuations{},
		warmups:     &warmups{self: c.Self, zone: c.Zone},
	}
	b.flows.init(c.MaxFlows, c.Seed)
	b.Reconfigure(c.StaleAfter)
	return b
}

// Reconfigure changes the age beyond which knowledge is stale.
func (b *Balancer) Reconfigure(staleAfter time.Duration) { b.staleAfter.Store(int64(staleAfter)) }

// SetFreshness records how fresh the knowledge in use is.
func (b *Balancer) SetFreshness(now cactuspin.Time, p tracker.Position) {
	b.confirmed.Store(int64(now.Add(-p.Age)))
	b.healthySince.Store(int64(now.Add(-p.HealthyFor)))
}

// Tick removes expired flows and targets, updates the running means, and returns
// requests that were not answered in time.
func (b *Balancer) Tick(now cactuspin.Time) []UnansweredRequest {
	idle := removedRetention
	if r := b.routes.Load(); r != nil && r.idleTimeout > 0 {
		idle = r.idleTimeout
	}
	var unanswered []UnansweredRequest
	for range shardsPerTick {
		unanswered = append(unanswered, b.flows.sweep(now, idle)...)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active.tick(now)
	b.warmups.count(now)
	for len(b.removed) > 0 && now.Sub(b.removed[0].removedAt) > removedRetention {
		t := b.removed[0]
		b.removed = b.removed[1:]
		b.byAddress.remove(t, t.registered.Address)
		b.byCookie.remove(t)
		t.zone.remove(t)
	}
	return unanswered
}

// Steer returns the verdict about a packet.
func (b *Balancer) Steer(now cactuspin.Time, p *cactuspin.Packet) (v cactuspin.Verdict) {
	h := b.flows.shard(p)
	h.mu.Lock()
	v = b.steer(now, p, h)
	h.mu.Unlock()
	v.KnowledgeAge = now.Sub(cactuspin.Time(b.confirmed.Load()))
	b.counters[v.Reason].Add(1)
	return v
}

func (b *Balancer) steer(now cactuspin.Time, p *cactuspin.Packet, h *flowShard) cactuspin.Verdict {
	table := b.routes.Load()
	if table == nil {
		return cactuspin.Verdict{Reason: cactuspin.ReasonNotReady}
	}
	v := cactuspin.Verdict{Version: table.version}
	route := table.routes[endpointOf(p.Service)]
	if route == nil {
		return b.refuse(now, p, v, cactuspin.ReasonNoRoute)
	}
	v.Route = route.Name
	if p.Flags&cactuspin.FlagSYN != 0 {
		if p.Flags != cactuspin.FlagSYN {
			v.Reason = cactuspin.ReasonForged
			return v
		}
		return b.steerSYN(now, p, h, route, v)
	}
	return b.steerEstablished(now, p, h, route, v)
}

// refuse resets the caller's flow. It drops the packet instead if the knowledge is
// stale, since the target or route may be new, or if the packet is a reset itself.
func (b *Balancer) refuse(now cactuspin.Time, p *cactuspin.Packet, v cactuspin.Verdict, reason cactuspin.VerdictReason) cactuspin.Verdict {
	v.Kind, v.Reason = cactuspin.VerdictReset, reason
	if b.stale(now) || p.Flags&cactuspin.FlagRST != 0 {
		v.Kind = cactuspin.VerdictDrop
	}
	return v
}

// stale reports whether the knowledge in use is stale.
func (b *Balancer) stale(now cactuspin.Time) bool {
	return now.Sub(cactuspin.Time(b.confirmed.Load())) > time.Duration(b.staleAfter.Load())
}

// steerEstablished forwards a packet of an open flow to the target of its cookie.
func (b *Balancer) steerEstablished(now cactuspin.Time, p *cactuspin.Packet, h *flowShard, route *route, v cactuspin.Verdict) cactuspin.Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	t := h.establishedTarget(p)
	if t == nil || t.ended(now) {
		t = b.byCookie.find(now, route, p.Cookie)
	}
	if t == nil {
		if b.unreadable[p.Cookie] || now.Sub(cactuspin.Time(b.healthySince.Load())) < reregistrationTime {
			v.Reason = cactuspin.ReasonUnknownCookie
			return v
		}
		return b.refuse(now, p, v, cactuspin.ReasonUnknownCookie)
	}
	b.active.add(t)
	f := h.recordPacket(now, p, t, route)
	if f.observe(now, p, &v) {
		b.recordPath(now)
	}
	if t.ended(now) {
		f.unassign()
		return b.refuse(now, p, v, cactuspin.ReasonTargetGone)
	}
	if p.Length > 0 && b.resetsAtTarget(now, route, t, v.Retransmitted) {
		f.unassign()
		return b.refuse(now, p, v, cactuspin.ReasonTargetDown)
	}
	v.Kind, v.Reason = cactuspin.VerdictForward, cactuspin.ReasonEstablished
	t.fillVerdict(&v)
	return v
}

// resetsAtTarget reports whether a flow with new or repeated data is reset because of the
// condition of its target. A flow whose requests may run again is reset at once if its
// target is dead and targets to which the route leads have free slots. Flows of other
// requests stay open: the answer may still come directly from the target.
func (b *Balancer) resetsAtTarget(now cactuspin.Time, r *route, t *target, retransmitted bool) bool {
	return r.Kind != cactuspin.WorkNonIdempotent && t.health.allowsReset(now, retransmitted) && b.hasCapacity(now, r)
}

// hasCapacity reports whether a service to which a route leads has room for a new flow.
func (b *Balancer) hasCapacity(now cactuspin.Time, r *route) bool {
	return slices.ContainsFunc(r.Services, func(w cactuspin.WeightedService) bool {
		v := b.services[w.Service]
		return v != nil && v.hasCapacity(now)
	})
}

// steerSYN places the first packet of a flow or a retransmission of it.
func (b *Balancer) steerSYN(now cactuspin.Time, p *cactuspin.Packet, h *flowShard, route *route, v cactuspin.Verdict) cactuspin.Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	f := h.flows[keyOf(p)]
	v.Reason, v.Retransmitted = cactuspin.ReasonPlaced, p.Acknowledgement > 0
	var t *target
	if f != nil && f.target != nil && !f.beginsAgain(now, v.Retransmitted) {
		t, v.Reason = b.placeRetransmission(now, h, f, route)
	} else {
		t, _ = b.place(now, h.random, route, nil)
	}
	if t == nil {
		return b.refuse(now, p, v, b.reasonWithoutTarget(route))
	}
	b.active.add(t)
	h.open(now, p, t, route)
	v.Kind, v.Cookie = cactuspin.VerdictForward, t.cookie
	t.fillVerdict(&v)
	return v
}

// placeRetransmission chooses the target for a retransmitted SYN, which means that
// the caller has had no answer. The target of the first SYN is kept unless it is
// unusable or suspect, or the route has moved to another service meanwhile, since
// answers from two targets can confuse the flow.
func (b *Balancer) placeRetransmission(now cactuspin.Time, h *flowShard, f *flow, route *route) (*target, cactuspin.VerdictReason) {
	t := f.target
	if !t.usable(now) || !route.leadsTo(t.service.name) {
		other, _ := b.place(now, h.random, route, nil)
		return other, cactuspin.ReasonCopyOtherTarget
	}
	t.health.recordMiss(now, f.lastSeen)
	if t.suspect(now) {
		if other, _ := b.place(now, h.random, route, t); other != nil {
			return other, cactuspin.ReasonCopyOtherTarget
		}
	}
	return t, cactuspin.ReasonCopySameTarget
}

// place chooses a target for a new flow of a route, other than exclude, and returns the
// rule that decided. It counts the flow against the limit of a cold target.
func (b *Balancer) place(now cactuspin.Time, random *rand.Rand, route *route, exclude *target) (*target, rule) {
	v := b.chooseService(random, route)
	if v == nil {
		return nil, ruleNoTarget
	}
	return b.chooseAdmitted(now, v, exclude, route.opensLongFlows(), random)
}

// chooseService chooses the service of a new flow by the weights of the route.
func (b *Balancer) chooseService(random *rand.Rand, route *route) *service {
	if len(route.Services) == 1 {
		return b.services[route.Services[0].Service]
	}
	var total uint32
	for _, w := range route.Services {
		total += w.Weight
	}
	if total == 0 {
		return nil
	}
	n := random.Uint32N(total)
	for _, w := range route.Services {
		if n < w.Weight {
			return b.services[w.Service]
		}
		n -= w.Weight
	}
	return nil
}

// Verdicts returns the number of verdicts by reason.
func (b *Balancer) Verdicts() map[cactuspin.VerdictReason]uint64 {
	m := make(map[cactuspin.VerdictReason]uint64, verdictReasons)
	for i := range b.counters {
		m[cactuspin.VerdictReason(i)] = b.counters[i].Load()
	}
	return m
}

// Flows returns the number of flows in the flow table.
func (b *Balancer) Flows() (n int) {
	for i := range b.flows.shards {
		h := &b.flows.shards[i]
		h.mu.Lock()
		n += len(h.flows)
		h.mu.Unlock()
	}
	return n
}

// DownTargets returns the IDs of the targets that are considered dead, in sorted
// order.
func (b *Balancer) DownTargets() (down []cactuspin.TargetID) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, t := range b.active.list() {
		if t.removedAt == 0 && t.health.isDown() {
			down = append(down, t.registered.ID)
		}
	}
	slices.Sort(down)
	return down
}

// Package balancer decides about callers' packets. Packets of open flows follow
// the cookie that they carry, so that any host finds the target; only the first
// packet of a flow is placed. What is remembered of flows serves balance and
// the detection of dead targets, and can be lost without harm to a flow.
package balancer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const (
	// goneMemory is how long an ended target is remembered by its cookie, so that
	// its flows are reset with a reason; the platform bounds a flow's age to it.
	goneMemory = 60 * time.Second
	// settleTime is how long after a fault of the store an unknown cookie may
	// belong to a target that is about to register again.
	settleTime = 3 * time.Second
	// TickInterval is how often Tick is to be called. What fades does so by ticks.
	TickInterval = 50 * time.Millisecond
)

// Config configures a steerer.
type Config struct {
	Zone cactuspin.ZoneID
	Seed uint64
	// StaleAfter is the age of knowledge from which nothing is refused because of it.
	StaleAfter time.Duration
	// MaxFlows bounds the remembered flows.
	MaxFlows int
}

// Balancer implements cactuspin.Balancer.
type Balancer struct {
	c      Config
	routes atomic.Pointer[routeTable]
	// mu guards the services and their targets; a flow shard's lock is taken first.
	mu       sync.RWMutex
	services map[cactuspin.ServiceName]*service
	targets  map[cactuspin.TargetID]*target
	book     addressBook
	gone     []*target
	active   activeSet
	flows    flowTable
	// confirmed and settled are moments of the knowledge that is in use.
	confirmed atomic.Int64
	settled   atomic.Int64
	// staleAfter is the age in nanoseconds from which knowledge refuses nothing.
	staleAfter atomic.Int64
	counters   [verdictReasons]atomic.Uint64
}

// verdictReasons is the number of reasons that a verdict can have.
const verdictReasons = int(cactuspin.ReasonForged) + 1

// routeTable is one version of the routes, by address.
type routeTable struct {
	version cactuspin.RoutingVersion
	idle    time.Duration
	routes  map[endpoint]*route
}

// route is a route with what its answers usually take.
type route struct {
	*cactuspin.Route
	answers *answerSizes
}

// New returns a steerer without knowledge; it drops everything.
func New(c Config) *Balancer {
	s := &Balancer{
		c:        c,
		services: map[cactuspin.ServiceName]*service{},
		targets:  map[cactuspin.TargetID]*target{},
		book:     addressBook{},
	}
	s.flows.init(c.MaxFlows, c.Seed)
	s.Reconfigure(c.StaleAfter)
	return s
}

// Reconfigure takes another age from which knowledge refuses nothing.
func (s *Balancer) Reconfigure(staleAfter time.Duration) { s.staleAfter.Store(int64(staleAfter)) }

// SetFreshness takes how fresh the knowledge is.
func (s *Balancer) SetFreshness(now cactuspin.Time, p tracker.Position) {
	s.confirmed.Store(int64(now.Add(-p.Age)))
	s.settled.Store(int64(now.Add(-p.HealthyFor)))
}

// Apply takes a change of the knowledge.
func (s *Balancer) Apply(now cactuspin.Time, c *tracker.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range c.Targets {
		s.setTarget(now, &c.Targets[i])
	}
	for _, g := range c.Removed {
		if t := s.targets[g.ID]; t != nil {
			t.end(now, g.Hold)
			s.gone = append(s.gone, t)
			delete(s.targets, g.ID)
		}
	}
	if c.Routing != nil {
		s.setRouting(c.Routing)
	}
}

func (s *Balancer) setRouting(r *cactuspin.Routing) {
	t := &routeTable{version: r.Version, idle: r.IdleTimeout, routes: make(map[endpoint]*route, len(r.Routes))}
	old := s.routes.Load()
	for i := range r.Routes {
		e := endpointOf(r.Routes[i].Address)
		x := &route{Route: &r.Routes[i], answers: &answerSizes{}}
		if old != nil && old.routes[e] != nil {
			x.answers = old.routes[e].answers
		}
		t.routes[e] = x
	}
	s.routes.Store(t)
}

func (s *Balancer) setTarget(now cactuspin.Time, r *cactuspin.RegisteredTarget) {
	t := s.targets[r.ID]
	if t != nil && t.registered.Service == r.Service && t.registered.Zone == r.Zone {
		if a := t.registered.Address; a != r.Address {
			s.book.strike(t, a)
			defer s.book.enter(t)
		}
		t.update(now, r)
		return
	}
	if t != nil {
		t.end(now, 0)
		s.gone = append(s.gone, t)
	}
	v := s.services[r.Service]
	if v == nil {
		v = &service{name: r.Service, byCookie: map[cactuspin.Cookie]*target{}}
		s.services[r.Service] = v
	}
	t = newTarget(now, r, v)
	if old := v.byCookie[t.cookie]; old != nil {
		old.remove()
	}
	v.byCookie[t.cookie] = t
	t.zone.targets = append(t.zone.targets, t)
	s.book.enter(t)
	s.targets[r.ID] = t
}

// Tick forgets flows and targets that ended long ago, and returns requests
// without an answer.
func (s *Balancer) Tick(now cactuspin.Time) []UnansweredRequest {
	idle := goneMemory
	if r := s.routes.Load(); r != nil && r.idle > 0 {
		idle = r.idle
	}
	var lost []UnansweredRequest
	for range sweptShards {
		lost = append(lost, s.flows.sweep(now, idle)...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.tick(now)
	for len(s.gone) > 0 && now.Sub(s.gone[0].goneAt) > goneMemory {
		t := s.gone[0]
		s.gone = s.gone[1:]
		s.book.strike(t, t.registered.Address)
		t.remove()
	}
	return lost
}

// Steer returns the verdict about a packet.
func (s *Balancer) Steer(now cactuspin.Time, p *cactuspin.Packet) (v cactuspin.Verdict) {
	h := s.flows.shard(p)
	h.mu.Lock()
	v = s.steer(now, p, h)
	h.mu.Unlock()
	v.KnowledgeAge = now.Sub(cactuspin.Time(s.confirmed.Load()))
	s.counters[v.Reason].Add(1)
	return v
}

func (s *Balancer) steer(now cactuspin.Time, p *cactuspin.Packet, h *flowShard) cactuspin.Verdict {
	table := s.routes.Load()
	if table == nil {
		return cactuspin.Verdict{Reason: cactuspin.ReasonNotReady}
	}
	v := cactuspin.Verdict{Version: table.version}
	route := table.routes[endpointOf(p.Service)]
	if route == nil {
		return s.refuse(now, p, v, cactuspin.ReasonNoRoute)
	}
	v.Route = route.Name
	if p.Flags&cactuspin.FlagSYN != 0 {
		if p.Flags != cactuspin.FlagSYN {
			v.Reason = cactuspin.ReasonForged
			return v
		}
		return s.open(now, p, h, route, v)
	}
	return s.follow(now, p, h, route, v)
}

// refuse resets the caller's flow, or drops the packet where knowledge is too
// old to be sure.
func (s *Balancer) refuse(now cactuspin.Time, p *cactuspin.Packet, v cactuspin.Verdict, why cactuspin.VerdictReason) cactuspin.Verdict {
	v.Kind, v.Reason = cactuspin.VerdictReset, why
	stale := now.Sub(cactuspin.Time(s.confirmed.Load())) > time.Duration(s.staleAfter.Load())
	if stale || p.Flags&cactuspin.FlagRST != 0 {
		v.Kind = cactuspin.VerdictDrop
	}
	return v
}

// follow leads a packet of an open flow to the target that its cookie names.
func (s *Balancer) follow(now cactuspin.Time, p *cactuspin.Packet, h *flowShard, route *route, v cactuspin.Verdict) cactuspin.Verdict {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := h.opened(p)
	if t == nil || t.ended(now) {
		t = s.find(route, p.Cookie)
	}
	if t == nil {
		if now.Sub(cactuspin.Time(s.settled.Load())) < settleTime {
			v.Reason = cactuspin.ReasonUnknownCookie
			return v
		}
		return s.refuse(now, p, v, cactuspin.ReasonUnknownCookie)
	}
	s.active.add(t)
	f := h.touch(now, p, t, route)
	f.observe(now, p, &v)
	if t.ended(now) {
		f.leave()
		return s.refuse(now, p, v, cactuspin.ReasonTargetGone)
	}
	// The caller of a request that may run again is told at once that its target
	// is dead, if others have room. Callers of other requests wait: their answer
	// may still come directly from the target.
	if p.Length > 0 && route.Kind != cactuspin.WorkNonIdempotent && t.health.isDown() && t.service.room(now) {
		f.leave()
		return s.refuse(now, p, v, cactuspin.ReasonTargetDown)
	}
	v.Kind, v.Reason = cactuspin.VerdictForward, cactuspin.ReasonEstablished
	t.fill(&v)
	return v
}

// find returns the target of a cookie among the services of a route.
func (s *Balancer) find(route *route, c cactuspin.Cookie) *target {
	if c == 0 {
		return nil
	}
	for i := range route.Services {
		if v := s.services[route.Services[i].Service]; v != nil {
			if t := v.byCookie[c]; t != nil {
				return t
			}
		}
	}
	return nil
}

// open places the first packet of a flow, or a copy of it.
func (s *Balancer) open(now cactuspin.Time, p *cactuspin.Packet, h *flowShard, route *route, v cactuspin.Verdict) cactuspin.Verdict {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f := h.flows[keyOf(p)]
	v.Reason, v.Retransmitted = cactuspin.ReasonPlaced, p.Acknowledgement > 0
	var t *target
	if f != nil && f.target != nil {
		t, v.Reason = s.placeCopy(now, h, f, route)
	} else {
		t = s.place(now, h, route, nil)
	}
	if t == nil {
		return s.refuse(now, p, v, cactuspin.ReasonNoTarget)
	}
	s.active.add(t)
	h.open(now, p, t, route)
	v.Kind, v.Cookie = cactuspin.VerdictForward, t.cookie
	t.fill(&v)
	return v
}

// placeCopy decides where the copy of a first packet goes. The caller has not
// had an answer: the target is tried again while it shows life, since two
// targets that both answer can confuse the flow.
func (s *Balancer) placeCopy(now cactuspin.Time, h *flowShard, f *flow, route *route) (*target, cactuspin.VerdictReason) {
	t := f.target
	if !t.usable(now) {
		return s.place(now, h, route, nil), cactuspin.ReasonCopyOtherTarget
	}
	t.health.miss(now, f.seen)
	if t.suspect(now) {
		if other := s.place(now, h, route, t); other != nil {
			return other, cactuspin.ReasonCopyOtherTarget
		}
	}
	return t, cactuspin.ReasonCopySameTarget
}

// place chooses a target for a new flow of a route.
func (s *Balancer) place(now cactuspin.Time, h *flowShard, route *route, not *target) *target {
	v := s.service(h, route)
	if v == nil {
		return nil
	}
	return v.choose(now, s.c.Zone, not, h.random)
}

// service chooses the service of a new flow by the weights of the route.
func (s *Balancer) service(h *flowShard, route *route) *service {
	if len(route.Services) == 1 {
		return s.services[route.Services[0].Service]
	}
	var total uint32
	for _, w := range route.Services {
		total += w.Weight
	}
	if total == 0 {
		return nil
	}
	n := h.random.Uint32N(total)
	for _, w := range route.Services {
		if n < w.Weight {
			return s.services[w.Service]
		}
		n -= w.Weight
	}
	return nil
}

// Verdicts returns how often each reason decided.
func (s *Balancer) Verdicts() map[cactuspin.VerdictReason]uint64 {
	m := make(map[cactuspin.VerdictReason]uint64, verdictReasons)
	for i := range s.counters {
		m[cactuspin.VerdictReason(i)] = s.counters[i].Load()
	}
	return m
}

// Flows returns the number of remembered flows.
func (s *Balancer) Flows() (n int) {
	for i := range s.flows.shards {
		h := &s.flows.shards[i]
		h.mu.Lock()
		n += len(h.flows)
		h.mu.Unlock()
	}
	return n
}

// DownTargets returns the targets that are believed dead.
func (s *Balancer) DownTargets() (down []cactuspin.TargetID) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, t := range s.active.list() {
		if t.goneAt == 0 && t.health.isDown() {
			down = append(down, t.registered.ID)
		}
	}
	slices.Sort(down)
	return down
}

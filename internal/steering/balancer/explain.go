package balancer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/warmup"
)

const (
	// trialChoices is the number of choices that an explanation makes to find the shares of
	// zones and targets. It limits the time for which changes of the knowledge wait for an
	// explanation.
	trialChoices = 400
	// maxExplainedTargets limits the targets that an explanation lists for each service and
	// zone.
	maxExplainedTargets = 48
)

// Rules of the packets of known flows. Those of new flows are of type rule.
const (
	ruleKnownFlow  = "known flow"
	ruleTargetGone = "target of the flow is gone"
	ruleTargetDead = "target of the flow is dead"
)

// Explanation reports where packets of a flow are, or would be, forwarded and why.
// Durations are in seconds.
type Explanation struct {
	// Host is the name of the host, if it is known to who asks for the explanation.
	Host string `json:"host,omitempty"`
	// Zone is the zone of the host.
	Zone  cactuspin.ZoneID    `json:"zone"`
	Route cactuspin.RouteName `json:"route,omitempty"`
	// Ready reports that the host has knowledge. Without it, it drops all packets.
	Ready        bool                     `json:"ready"`
	Version      cactuspin.RoutingVersion `json:"routing_version"`
	KnowledgeAge float64                  `json:"knowledge_age_s"`
	// Stale reports that packets are dropped instead of refused with a reset.
	Stale          bool               `json:"stale,omitempty"`
	FlowKnown      bool               `json:"flow_known"`
	Target         cactuspin.TargetID `json:"target,omitempty"`
	TargetRequests int                `json:"target_busy"`
	// Decisions are what would happen to the next packet, the most likely first.
	Decisions []DecisionExplanation `json:"decisions,omitempty"`
	Services  []ServiceExplanation  `json:"services,omitempty"`
}

// DecisionExplanation is a rule that may decide, and what follows from it.
type DecisionExplanation struct {
	Rule string `json:"rule"`
	// Outcome is forward, reset or drop.
	Outcome string                `json:"outcome"`
	Service cactuspin.ServiceName `json:"service,omitempty"`
	Zone    cactuspin.ZoneID      `json:"zone,omitempty"`
	// Share is the share of new flows, from trial choices.
	Share float64 `json:"share"`
}

// ServiceExplanation lists the zones from which a new flow of a service can
// choose.
type ServiceExplanation struct {
	Service cactuspin.ServiceName `json:"service"`
	Weight  uint32                `json:"weight"`
	Zones   []ZoneExplanation     `json:"zones"`
	// Limit is the limit of new flows to cold targets, if there is one.
	Limit *LimitExplanation `json:"cold_limit,omitempty"`
}

// LimitExplanation is the limit of new flows to each cold target of a service.
type LimitExplanation struct {
	// Rate is what a cold target can handle per second, OwnRate what its owner sends.
	Rate    float64 `json:"per_s"`
	OwnRate float64 `json:"owner_per_s"`
	Warmup  float64 `json:"warmup_s"`
	// EligibleHosts is the number of hosts that may own cold targets of this host's
	// zone; 0 if this host knows of none, or if the zone has no cold targets.
	EligibleHosts int `json:"eligible_hosts"`
}

// ZoneExplanation summarizes the targets of a service in one zone.
type ZoneExplanation struct {
	Zone cactuspin.ZoneID `json:"zone"`
	// Utilization is the share of the slots in use, with the requests of all hosts.
	Utilization float64 `json:"use"`
	Usable      int     `json:"usable"`
	Draining    int     `json:"draining"`
	Suspect     int     `json:"suspect"`
	// Cold counts the usable targets that have not warmed up and have a limit, Owned
	// those of them that may get new flows from this host.
	Cold  int `json:"cold,omitempty"`
	Owned int `json:"cold_owned,omitempty"`
	// Evacuated reports that the zone's targets get no new flows.
	Evacuated bool `json:"evacuated,omitempty"`
	// Targets lists the targets, those with the largest shares first; TargetsOmitted is
	// the number of further ones.
	Targets        []TargetExplanation `json:"targets,omitempty"`
	TargetsOmitted int                 `json:"targets_omitted,omitempty"`
}

// trials holds the results of trial choices.
type trials struct {
	decisions map[DecisionExplanation]int
	targets   map[*target]int
	// long reports that new flows of the route probably have many requests.
	long bool
}

// Explain reports how packets of a flow are forwarded, or how a new flow is if the caller
// is the zero value. It changes no state.
func (b *Balancer) Explain(now cactuspin.Time, caller, address netip.AddrPort) (x Explanation) {
	x.Zone = b.config.Zone
	table := b.routes.Load()
	if table == nil {
		return x
	}
	x.Ready, x.Version, x.Stale = true, table.version, b.stale(now)
	x.KnowledgeAge = now.Sub(cactuspin.Time(b.confirmed.Load())).Seconds()
	t, established := b.flowTarget(caller, address)
	b.mu.RLock()
	defer b.mu.RUnlock()
	if t != nil {
		x.FlowKnown, x.Target, x.TargetRequests = true, t.registered.ID, int(t.busy.Load())
	}
	route := table.routes[endpointOf(address)]
	if route == nil {
		return x
	}
	x.Route = route.Name
	r := trials{decisions: map[DecisionExplanation]int{}, targets: map[*target]int{}, long: route.opensLongFlows()}
	if t != nil {
		b.explainKnown(now, &x, route, t, established)
	} else {
		r = b.tryChoices(now, route)
		x.Decisions = r.list()
	}
	for _, w := range route.Services {
		s := ServiceExplanation{Service: w.Service, Weight: w.Weight, Zones: []ZoneExplanation{}}
		if v := b.services[w.Service]; v != nil {
			s.Limit = v.explainLimit(now)
			for _, z := range v.zones {
				s.Zones = append(s.Zones, z.explain(now, &r))
			}
		}
		x.Services = append(x.Services, s)
	}
	return x
}

// flowTarget returns the target of a known flow, or nil, and whether it is established.
func (b *Balancer) flowTarget(caller, address netip.AddrPort) (t *target, established bool) {
	if !caller.IsValid() {
		return nil, false
	}
	p := cactuspin.Packet{Caller: caller, Service: address}
	h := b.flows.shard(&p)
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[keyOf(&p)]
	if f == nil {
		return nil, false
	}
	return f.target, f.established
}

// explainKnown explains what happens to new data of a flow whose target is known.
func (b *Balancer) explainKnown(now cactuspin.Time, x *Explanation, r *route, t *target, established bool) {
	d := DecisionExplanation{Rule: ruleKnownFlow, Outcome: outcomeForward, Service: t.service.name, Zone: t.zone.name, Share: 1}
	if established && t.ended(now) {
		t = b.byCookie.find(now, r, t.cookie)
	}
	switch {
	case t == nil || (established && t.ended(now)):
		d.Rule, d.Outcome = ruleTargetGone, b.refusal(now)
	case established && b.resetsAtTarget(now, r, t, false):
		d.Rule, d.Outcome = ruleTargetDead, b.refusal(now)
	}
	x.Decisions = []DecisionExplanation{d}
}

// Outcomes of decisions.
const (
	outcomeForward = "forward"
	outcomeReset   = "reset"
	outcomeDrop    = "drop"
)

// refusal returns the outcome for a flow that is refused.
func (b *Balancer) refusal(now cactuspin.Time) string {
	if b.stale(now) {
		return outcomeDrop
	}
	return outcomeReset
}

// tryChoices places new flows of a route as place does, but counts nothing and has random
// numbers of its own.
// The seed is fixed, so that explanations differ only if what they explain does.
func (b *Balancer) tryChoices(now cactuspin.Time, route *route) trials {
	r := trials{decisions: map[DecisionExplanation]int{}, targets: map[*target]int{}, long: route.opensLongFlows()}
	random := rand.New(rand.NewPCG(1, 2))
	for range trialChoices {
		t, decided := b.tryChoice(now, route, random)
		d := DecisionExplanation{Rule: decided.String(), Outcome: b.refusal(now)}
		if t != nil {
			d.Outcome, d.Service, d.Zone = outcomeForward, t.service.name, t.zone.name
			r.targets[t]++
		}
		r.decisions[d]++
	}
	return r
}

func (b *Balancer) tryChoice(now cactuspin.Time, route *route, random *rand.Rand) (t *target, decided rule) {
	if v := b.chooseService(random, route); v != nil {
		t, decided = v.chooseWithCold(now, b.config.Zone, nil, route.opensLongFlows(), random)
	}
	if t == nil && b.reasonWithoutTarget(route) == cactuspin.ReasonTargetsCold {
		decided = ruleTargetsCold
	}
	return t, decided
}

// list returns the decisions with their shares, the most frequent first.
func (r *trials) list() (all []DecisionExplanation) {
	for d, n := range r.decisions {
		d.Share = float64(n) / trialChoices
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b DecisionExplanation) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rule, b.Rule))
	})
	return all
}

// explain describes the zone and its targets.
func (z *zone) explain(now cactuspin.Time, r *trials) ZoneExplanation {
	e := ZoneExplanation{Zone: z.name, Utilization: z.utilization, Evacuated: z.evacuation.active(now)}
	loads := z.loads(now, r.long)
	for _, t := range z.targets {
		if cold, owned := t.explainCold(now); cold && t.usable(now) {
			e.Cold++
			e.Owned += owned
		}
		switch {
		case !t.usable(now):
			e.Draining++
		case t.suspect(now):
			e.Suspect++
		default:
			e.Usable++
		}
		e.Targets = append(e.Targets, t.explain(now, r.targets[t], loads[t]))
	}
	slices.SortFunc(e.Targets, compareExplained)
	if n := len(e.Targets) - maxExplainedTargets; n > 0 {
		e.Targets, e.TargetsOmitted = e.Targets[:maxExplainedTargets], n
	}
	return e
}

func (v *service) explainLimit(now cactuspin.Time) *LimitExplanation {
	s := v.limit
	if s == nil {
		return nil
	}
	return &LimitExplanation{
		Rate: s.WarmupRate, OwnRate: s.WarmupRate * warmup.OwnerShare, Warmup: s.Warmup.Seconds(),
		EligibleHosts: v.warmups.eligible.Load().Len(now),
	}
}

// explainCold reports whether the target is cold and has a limit; owned is 1 if this host
// owns it.
func (t *target) explainCold(now cactuspin.Time) (cold bool, owned int) {
	if !t.limitedCold(now) {
		return false, 0
	}
	w := t.service.warmups
	if t.zone.name == w.zone && t.limiter.Owned(now, w.eligible.Load()) {
		owned = 1
	}
	return true, owned
}

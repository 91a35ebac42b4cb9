package balancer

import (
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/warmup"
)

// Explanation reports where packets of a flow are, or would be, forwarded and why.
// Durations are in seconds.
type Explanation struct {
	Route          cactuspin.RouteName      `json:"route,omitempty"`
	Version        cactuspin.RoutingVersion `json:"routing_version"`
	KnowledgeAge   float64                  `json:"knowledge_age_s"`
	FlowKnown      bool                     `json:"flow_known"`
	Target         cactuspin.TargetID       `json:"target,omitempty"`
	TargetRequests int                      `json:"target_busy"`
	Services       []ServiceExplanation     `json:"services,omitempty"`
}

// ServiceExplanation lists the zones from which a new flow of a service can
// choose.
type ServiceExplanation struct {
	Service cactuspin.ServiceName `json:"service"`
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
}

// Explain reports how packets of a flow are forwarded. It changes no state.
func (b *Balancer) Explain(now cactuspin.Time, caller, address netip.AddrPort) (x Explanation) {
	table := b.routes.Load()
	if table == nil {
		return x
	}
	x.Version = table.version
	x.KnowledgeAge = now.Sub(cactuspin.Time(b.confirmed.Load())).Seconds()
	p := cactuspin.Packet{Caller: caller, Service: address}
	h := b.flows.shard(&p)
	h.mu.Lock()
	defer h.mu.Unlock()
	b.mu.RLock()
	defer b.mu.RUnlock()
	if f := h.flows[keyOf(&p)]; f != nil && f.target != nil {
		x.FlowKnown, x.Target, x.TargetRequests = true, f.target.registered.ID, int(f.target.busy.Load())
	}
	route := table.routes[endpointOf(address)]
	if route == nil {
		return x
	}
	x.Route = route.Name
	for _, w := range route.Services {
		if v := b.services[w.Service]; v != nil {
			x.Services = append(x.Services, v.explain(now))
		}
	}
	return x
}

func (v *service) explain(now cactuspin.Time) (x ServiceExplanation) {
	x.Service = v.name
	x.Limit = v.explainLimit(now)
	for _, z := range v.zones {
		e := ZoneExplanation{Zone: z.name, Utilization: z.utilization, Evacuated: z.evacuation.active(now)}
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
		}
		x.Zones = append(x.Zones, e)
	}
	return x
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

package balancer

import (
	"net/netip"

	"github.com/cactuspin/cactuspin"
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
}

// ZoneExplanation summarizes the targets of a service in one zone.
type ZoneExplanation struct {
	Zone cactuspin.ZoneID `json:"zone"`
	// Utilization is the share of the slots in use, with the requests of all hosts.
	Utilization float64 `json:"use"`
	Usable      int     `json:"usable"`
	Draining    int     `json:"draining"`
	Suspect     int     `json:"suspect"`
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
	for _, z := range v.zones {
		e := ZoneExplanation{Zone: z.name, Utilization: z.utilization, Evacuated: z.evacuation.active(now)}
		for _, t := range z.targets {
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

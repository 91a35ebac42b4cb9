package balancer

import (
	"net/netip"

	"github.com/cactuspin/cactuspin"
)

// Explanation tells where a flow goes, or would go, and why. Durations are in
// seconds.
type Explanation struct {
	Route          cactuspin.RouteName      `json:"route,omitempty"`
	Version        cactuspin.RoutingVersion `json:"routing_version"`
	KnowledgeAge   float64                  `json:"knowledge_age_s"`
	FlowKnown      bool                     `json:"flow_known"`
	Target         cactuspin.TargetID       `json:"target,omitempty"`
	TargetRequests int                      `json:"target_busy"`
	Services       []ServiceExplanation     `json:"services,omitempty"`
}

// ServiceExplanation is the choice that a new flow has in a service.
type ServiceExplanation struct {
	Service cactuspin.ServiceName `json:"service"`
	Zones   []ZoneExplanation     `json:"zones"`
}

// ZoneExplanation is a service's targets in one zone.
type ZoneExplanation struct {
	Zone cactuspin.ZoneID `json:"zone"`
	// Utilization is the share of the slots in use, as all hosts see it.
	Utilization float64 `json:"use"`
	Usable      int     `json:"usable"`
	Draining    int     `json:"draining"`
	Suspect     int     `json:"suspect"`
}

// Explain tells where packets of a flow go.
func (s *Balancer) Explain(now cactuspin.Time, caller, address netip.AddrPort) (x Explanation) {
	table := s.routes.Load()
	if table == nil {
		return x
	}
	x.Version = table.version
	x.KnowledgeAge = now.Sub(cactuspin.Time(s.confirmed.Load())).Seconds()
	p := cactuspin.Packet{Caller: caller, Service: address}
	h := s.flows.shard(&p)
	h.mu.Lock()
	defer h.mu.Unlock()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if f := h.flows[keyOf(&p)]; f != nil && f.target != nil {
		x.FlowKnown, x.Target, x.TargetRequests = true, f.target.registered.ID, int(f.target.busy.Load())
	}
	route := table.routes[endpointOf(address)]
	if route == nil {
		return x
	}
	x.Route = route.Name
	for _, w := range route.Services {
		if v := s.services[w.Service]; v != nil {
			x.Services = append(x.Services, v.explain(now))
		}
	}
	return x
}

func (v *service) explain(now cactuspin.Time) (x ServiceExplanation) {
	x.Service = v.name
	for _, z := range v.zones {
		e := ZoneExplanation{Zone: z.name, Utilization: z.use}
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

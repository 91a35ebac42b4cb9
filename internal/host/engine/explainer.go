package engine

import (
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Explanation reports where a new flow would be routed and under which bundle
// version.
type Explanation struct {
	Version cactuspin.BundleVersion `json:"version"`
	Service string                  `json:"service,omitempty"`
	Kind    string                  `json:"kind,omitempty"`
	Zone    cactuspin.ZoneID        `json:"zone,omitempty"`
	Host    cactuspin.HostID        `json:"host,omitempty"`
	Targets []cactuspin.Target      `json:"targets,omitempty"`
	Reason  string                  `json:"reason"`
}

// Explain returns where this host would route a new flow. Targets are listed only
// if this host owns the flow.
func (e *Engine) Explain(caller, service netip.AddrPort, method, path string) (x Explanation) {
	v := e.View()
	x.Version = v.Version
	sv := v.ServiceAt(service)
	if sv == nil {
		x.Reason = "no service at this address"
		return x
	}
	x.Service = sv.Service.Name
	if k := sv.Service.KindFor(methodByName(method), path); k >= 0 {
		x.Kind = sv.Service.Kinds[k].Name
	}
	h, ok := sv.Owner(placer.FlowHash(caller, service), nil)
	if !ok {
		x.Reason = "no host owns a target of the service"
		return x
	}
	m, _ := v.Member(h)
	x.Host = h
	x.Zone = m.Zone
	x.Reason = "highest score among the hosts that own targets"
	if h == e.cfg.Self {
		for _, t := range sv.OwnedTargets {
			x.Targets = append(x.Targets, t.Address)
		}
	}
	return x
}

func methodByName(name string) cactuspin.Method {
	for _, m := range []cactuspin.Method{cactuspin.MethodPost, cactuspin.MethodPut, cactuspin.MethodDelete} {
		if m.String() == name {
			return m
		}
	}
	return cactuspin.MethodGet
}

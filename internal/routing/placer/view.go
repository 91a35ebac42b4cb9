package placer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cactuspin/cactuspin"
)

// Member is a live host or this host itself.
type Member struct {
	Host        cactuspin.HostID
	Zone        cactuspin.ZoneID
	Incarnation cactuspin.Incarnation
	// Leaving is set when the host accepts no new work, because it is about to stop
	// or has no bundle yet.
	Leaving bool
}

// ServiceView is a service with the hosts that can own its flows.
type ServiceView struct {
	Service cactuspin.Service
	// Candidates are the hosts that own targets of the service, sorted by zone.
	Candidates []Candidate
	// OwnedTargets are the targets that this host owns.
	OwnedTargets []cactuspin.TargetRule
}

// View is an immutable snapshot of the members and the bundle in force, as one
// host knows them.
type View struct {
	Self    cactuspin.HostID
	Zone    cactuspin.ZoneID
	Version cactuspin.BundleVersion
	Members []Member
	// Hosts are the IDs of all members.
	Hosts []cactuspin.HostID
	// Successors maps an ended incarnation to the host that holds its authority.
	Successors map[cactuspin.Incarnation]cactuspin.HostID

	members   map[cactuspin.HostID]Member
	services  map[cactuspin.ServiceID]*ServiceView
	addresses map[netip.AddrPort]*ServiceView
}

// ViewConfig is the input of NewView.
type ViewConfig struct {
	Self       cactuspin.HostID
	Zone       cactuspin.ZoneID
	Members    []Member
	Successors map[cactuspin.Incarnation]cactuspin.HostID
	// Bundle is nil before the first one is in force.
	Bundle *cactuspin.Bundle
	// Leaving contains the targets that the platform's list reports as leaving.
	Leaving map[cactuspin.Target]bool
}

// NewView builds a view. Members must contain the host itself.
func NewView(c ViewConfig) *View {
	v := &View{
		Self:       c.Self,
		Zone:       c.Zone,
		Members:    slices.Clone(c.Members),
		Successors: c.Successors,
		members:    make(map[cactuspin.HostID]Member, len(c.Members)),
		services:   make(map[cactuspin.ServiceID]*ServiceView),
		addresses:  make(map[netip.AddrPort]*ServiceView),
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	for _, m := range v.Members {
		v.members[m.Host] = m
		v.Hosts = append(v.Hosts, m.Host)
	}
	if c.Bundle == nil {
		return v
	}
	v.Version = c.Bundle.Version
	for i := range c.Bundle.Services {
		s := v.serviceView(c.Bundle.Services[i], c.Leaving)
		v.services[s.Service.ID] = s
		v.addresses[s.Service.Address] = s
	}
	return v
}

// Member returns the member with the ID.
func (v *View) Member(h cactuspin.HostID) (m Member, ok bool) {
	m, ok = v.members[h]
	return m, ok
}

// Service returns the service with the ID, or nil.
func (v *View) Service(id cactuspin.ServiceID) *ServiceView { return v.services[id] }

// ServiceAt returns the service at an address, or nil.
func (v *View) ServiceAt(a netip.AddrPort) *ServiceView { return v.addresses[a] }

// Services returns all services by ID.
func (v *View) Services() map[cactuspin.ServiceID]*ServiceView { return v.services }

// Owner returns the host that owns a flow: a host of the zone that the flow is
// assigned to or, if skip excludes all of these, of any zone.
func (s *ServiceView) Owner(flow uint64, skip func(cactuspin.HostID) bool) (h cactuspin.HostID, ok bool) {
	z, ok := PickZone(flow, s.Candidates)
	if !ok {
		return 0, false
	}
	from, to := zoneRange(s.Candidates, z)
	if h, ok = Pick(flow, s.Candidates[from:to], skip); ok {
		return h, true
	}
	return Pick(flow, s.Candidates, skip)
}

func zoneRange(cs []Candidate, z cactuspin.ZoneID) (from, to int) {
	for from < len(cs) && cs[from].Zone != z {
		from++
	}
	to = from
	for to < len(cs) && cs[to].Zone == z {
		to++
	}
	return from, to
}

// serviceView assigns the targets of a service to the hosts. Leaving targets keep
// their rule but add no weight.
func (v *View) serviceView(s cactuspin.Service, leaving map[cactuspin.Target]bool) *ServiceView {
	sv := &ServiceView{Service: s}
	zones := make(map[cactuspin.ZoneID][]cactuspin.Target)
	rules := make(map[cactuspin.Target]cactuspin.TargetRule, len(s.Targets))
	sv.Service.Targets = slices.Clone(s.Targets)
	for i := range sv.Service.Targets {
		t := &sv.Service.Targets[i]
		if leaving[t.Address] {
			t.State = cactuspin.StateLeaving
		}
		rules[t.Address] = *t
		zones[t.Zone] = append(zones[t.Zone], t.Address)
	}
	weights := make(map[cactuspin.HostID]float64)
	for z, targets := range zones {
		for t, h := range AssignTargets(targets, v.owners(z)) {
			r := rules[t]
			if r.State != cactuspin.StateLeaving {
				weights[h] += float64(r.Slots)
			}
			if h == v.Self {
				sv.OwnedTargets = append(sv.OwnedTargets, r)
			}
		}
	}
	for h, w := range weights {
		sv.Candidates = append(sv.Candidates, Candidate{Host: h, Zone: v.members[h].Zone, Weight: w})
	}
	SortByZone(sv.Candidates)
	slices.SortFunc(sv.OwnedTargets, func(a, b cactuspin.TargetRule) int { return a.Address.Compare(b.Address) })
	return sv
}

// owners returns the hosts that may own targets in a zone: those of the zone that
// are not leaving or, if there are none, those of the other zones.
func (v *View) owners(z cactuspin.ZoneID) (hs []cactuspin.HostID) {
	var others []cactuspin.HostID
	for _, m := range v.Members {
		switch {
		case m.Leaving:
		case m.Zone == z:
			hs = append(hs, m.Host)
		default:
			others = append(others, m.Host)
		}
	}
	if len(hs) == 0 {
		return others
	}
	return hs
}

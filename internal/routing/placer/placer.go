// Package placer decides by rendezvous hashing which host owns a flow, which host
// owns a target and which host a message ID is routed to. All hosts with the same
// view get the same results.
package placer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cactuspin/cactuspin"
)

// Candidate is a host that can own a flow. Weight is the number of slots of the
// targets that it owns for the service.
type Candidate struct {
	Host   cactuspin.HostID
	Zone   cactuspin.ZoneID
	Weight float64
}

// FlowHash returns the hash of a flow's addresses, which are all that is known
// before the flow has a cookie.
func FlowHash(caller, service netip.AddrPort) uint64 {
	return mix(addressHash(caller) + 3*addressHash(service))
}

// Pick returns the candidate with the highest weighted score for the hash, except
// for those for which skip returns true. ok is false if none is left.
func Pick(hash uint64, cs []Candidate, skip func(cactuspin.HostID) bool) (h cactuspin.HostID, ok bool) {
	best := math.Inf(-1)
	for i := range cs {
		c := &cs[i]
		if c.Weight <= 0 || (skip != nil && skip(c.Host)) {
			continue
		}
		if x := score(hash, uint64(c.Host), c.Weight); x > best {
			best = x
			h = c.Host
			ok = true
		}
	}
	return h, ok
}

// PickZone returns the zone with the highest score, weighted by its candidates,
// which must be sorted by SortByZone. A flow stays in one zone regardless of the
// host that its packets reach.
func PickZone(hash uint64, cs []Candidate) (z cactuspin.ZoneID, ok bool) {
	best := math.Inf(-1)
	for i := range cs {
		if i > 0 && cs[i].Zone == cs[i-1].Zone {
			continue
		}
		w := 0.0
		for j := i; j < len(cs) && cs[j].Zone == cs[i].Zone; j++ {
			w += cs[j].Weight
		}
		if w <= 0 {
			continue
		}
		if x := score(hash, stringHash(string(cs[i].Zone)), w); x > best {
			best = x
			z = cs[i].Zone
			ok = true
		}
	}
	return z, ok
}

// SortByZone sorts candidates into the order that PickZone expects.
func SortByZone(cs []Candidate) {
	slices.SortFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
}

// AssignTargets distributes targets over hosts. No host owns more than the mean,
// rounded up, and a change of the hosts moves few targets.
func AssignTargets(targets []cactuspin.Target, hosts []cactuspin.HostID) (owners map[cactuspin.Target]cactuspin.HostID) {
	owners = make(map[cactuspin.Target]cactuspin.HostID, len(targets))
	if len(hosts) == 0 {
		return owners
	}
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b cactuspin.Target) int {
		return cmp.Compare(addressHash(a), addressHash(b))
	})
	limit := (len(order) + len(hosts) - 1) / len(hosts)
	counts := make(map[cactuspin.HostID]int, len(hosts))
	for _, t := range order {
		h := ownerOf(t, hosts, counts, limit)
		counts[h]++
		owners[t] = h
	}
	return owners
}

func ownerOf(t cactuspin.Target, hosts []cactuspin.HostID, counts map[cactuspin.HostID]int, limit int) (h cactuspin.HostID) {
	var best uint64
	for _, x := range hosts {
		if counts[x] >= limit {
			continue
		}
		if s := mix(addressHash(t) ^ mix(uint64(x))); s >= best {
			best = s
			h = x
		}
	}
	return h
}

// HostForMessageID returns the host that an empty message with this message ID is
// routed to. The owner of an observation picks message IDs that are routed back
// to itself.
func HostForMessageID(flow uint64, id uint16, hosts []cactuspin.HostID) (h cactuspin.HostID) {
	var best uint64
	seed := mix(flow ^ uint64(id)*0x9e3779b97f4a7c15)
	for _, x := range hosts {
		if s := mix(seed ^ mix(uint64(x))); s >= best {
			best = s
			h = x
		}
	}
	return h
}

// messageIDs is the number of different message IDs (RFC 7252, section 3).
const messageIDs = 1 << 16

// MessageIDFor returns the first message ID from start on that is routed to self,
// or start if there is none.
func MessageIDFor(flow uint64, start uint16, self cactuspin.HostID, hosts []cactuspin.HostID) uint16 {
	id := start
	for range messageIDs {
		if HostForMessageID(flow, id, hosts) == self {
			return id
		}
		id++
	}
	return start
}

// score returns the weighted rendezvous score: -weight / ln(u) with u in (0, 1).
func score(hash, node uint64, weight float64) float64 {
	h := mix(hash ^ mix(node))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

func addressHash(a netip.AddrPort) uint64 {
	b := a.Addr().As16()
	var h uint64 = 14695981039346656037
	for _, x := range b {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return mix(h ^ uint64(a.Port())<<32)
}

func stringHash(s string) uint64 {
	var h uint64 = 14695981039346656037
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

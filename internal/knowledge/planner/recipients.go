package planner

import (
	"maps"
	"net/netip"
	"slices"
	"sort"

	"github.com/cactuspin/cactuspin"
)

// zoneRecipients returns the hosts of this zone that get this host's beacons:
// the first hosts send beacons to all others, the others only to the first.
func (p *Planner) zoneRecipients(alive []netip.Addr, rank int) []netip.Addr {
	if rank < hubCount {
		return p.zonePeers()
	}
	return alive[:hubCount]
}

// zonePeers returns all peers of this zone, alive or not, sorted by address.
func (p *Planner) zonePeers() (known []netip.Addr) {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone {
			known = append(known, a)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Less(known[j]) })
	return known
}

// remoteRecipients returns the first live host of each other zone. For a zone
// without one, it returns a random host that is leaving or unresponsive, so that
// contact can be restored.
func (p *Planner) remoteRecipients(now cactuspin.Time) (to []netip.Addr) {
	firstOf := map[cactuspin.ZoneID]netip.Addr{}
	silentOf := map[cactuspin.ZoneID][]netip.Addr{}
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone {
			continue
		}
		if x.leaving || now.Sub(x.lastBeacon) > livenessTimeout {
			silentOf[x.Zone] = append(silentOf[x.Zone], a)
			continue
		}
		if b, ok := firstOf[x.Zone]; !ok || a.Less(b) {
			firstOf[x.Zone] = a
		}
	}
	for _, a := range firstOf {
		to = append(to, a)
	}
	for _, z := range slices.Sorted(maps.Keys(silentOf)) {
		if _, live := firstOf[z]; !live {
			to = append(to, p.chooseSilent(silentOf[z]))
		}
	}
	sort.Slice(to, func(i, j int) bool { return to[i].Less(to[j]) })
	return to
}

// chooseSilent returns the host of a zone without contact that is tried next. Only the
// zone's leader replies, so that every other try goes to one of the lowest addresses.
// The others are tried too, since those may be gone.
func (p *Planner) chooseSilent(silent []netip.Addr) netip.Addr {
	sort.Slice(silent, func(i, j int) bool { return silent[i].Less(silent[j]) })
	n := len(silent)
	if p.random.IntN(2) == 0 {
		n = min(n, hubCount)
	}
	return silent[p.random.IntN(n)]
}

// UpdateRecipients returns the hosts to which updates are pushed: the live
// peers of this zone and, if this host is its leader, the recipients in other
// zones.
func (p *Planner) UpdateRecipients(now cactuspin.Time) (to []netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to = p.zoneAlive(now)
	if len(to) == 0 || p.c.Self.Address.Less(to[0]) {
		to = append(to, p.remoteRecipients(now)...)
	}
	return to
}

package planner

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	// settlingTime is how long a host with complete knowledge hears beacons before it
	// lists eligible hosts. Hosts that start at the same time would otherwise consider
	// themselves the leader, each with its own list.
	settlingTime = 1500 * time.Millisecond
	// eligibilityTimeout is how long a host uses the list of its leader: two beacons and
	// some delay.
	eligibilityTimeout = 2*BeaconInterval + 100*time.Millisecond
	// memberExpiry is how long a silent host counts as a member of the zone. It limits
	// only the use of cold targets, so it can be longer than most partitions.
	memberExpiry = 10 * time.Minute
)

// members holds the hosts of this zone with the time at which each was last heard or
// reported to exist.
type members map[netip.Addr]cactuspin.Time

func (m members) add(now cactuspin.Time, host netip.Addr) { m[host] = max(m[host], now) }

func (m members) expire(now cactuspin.Time) {
	for a, at := range m {
		if now.Sub(at) > memberExpiry {
			delete(m, a)
		}
	}
}

// EligibleHosts returns the hosts that may own cold targets of this zone, sorted by
// address, as the zone's leader lists them; or none if no list is known. It relies only
// on beacons that arrived at or after trustedSince.
//
// A leader lists the hosts that it hears if they are at least half of the known members
// of the zone, so that at most two parts of a partitioned zone have lists.
func (p *Planner) EligibleHosts(now, trustedSince cactuspin.Time) encoder.Addresses {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.zoneAlive(now)
	if p.rank(alive) == 0 {
		return p.listEligible(now, trustedSince, alive)
	}
	leader := p.peers[alive[0]]
	if leader.lastBeacon < trustedSince || now.Sub(leader.lastBeacon) > eligibilityTimeout {
		return nil
	}
	return leader.eligible
}

// listEligible returns the list of a leader.
func (p *Planner) listEligible(now, trustedSince cactuspin.Time, alive []netip.Addr) encoder.Addresses {
	if p.completeSince == 0 || now.Sub(max(p.completeSince, trustedSince)) < settlingTime {
		return nil
	}
	list := encoder.Addresses{p.c.Self.Address}
	for _, a := range alive {
		// A host that was only reported to exist has no incarnation.
		if x := p.peers[a]; x.incarnation != 0 && x.lastBeacon >= trustedSince {
			list = append(list, a)
		}
	}
	if 2*len(list) < len(p.members)+1 {
		return nil
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Less(list[j]) })
	return list[:min(len(list), encoder.MaxEligible)]
}

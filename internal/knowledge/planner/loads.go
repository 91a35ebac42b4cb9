package planner

import (
	"math"
	"sort"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// AggregateLoads adds up the load of this host, own, and those of its peers for
// this host's beacons: zone is the sum of this zone, total that of all hosts,
// and others that of all hosts but this one. A host that is not the leader of
// its zone only gets others, from the leader's last total.
func (p *Planner) AggregateLoads(now cactuspin.Time, own encoder.Loads) (zone, total, others encoder.Loads) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.zoneAlive(now)
	if len(alive) > 0 && alive[0].Less(p.c.Self.Address) {
		return nil, nil, subtract(p.peers[alive[0]].total, own)
	}
	sum := sums{}
	for _, a := range alive {
		sum.add(p.peers[a].loads)
	}
	zonePeers := sum.list()
	for _, x := range p.peers {
		if x.Zone != p.c.Self.Zone && now.Sub(x.lastBeacon) <= livenessTimeout {
			sum.add(x.loads)
		}
	}
	others = sum.list()
	sum.add(own)
	total = sum.list()
	sum = sums{}
	sum.add(zonePeers)
	sum.add(own)
	return sum.list(), total, others
}

// AggregateDown merges the targets that this host found down, own, with those that
// its peers report. all is what this host passes on, others leaves out own.
func (p *Planner) AggregateDown(now cactuspin.Time, own encoder.DownTargets) (all, others encoder.DownTargets) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := map[cactuspin.Cookie]time.Duration{}
	for _, x := range p.peers {
		since := now.Sub(x.lastBeacon)
		for _, r := range x.down {
			age := r.Age + since
			if known, ok := newest[r.Cookie]; age <= encoder.DownLifetime && (!ok || age < known) {
				newest[r.Cookie] = age
			}
		}
	}
	others = listDown(newest)
	for _, r := range own {
		newest[r.Cookie] = r.Age
	}
	return listDown(newest), others
}

// listDown returns reports sorted by cookie.
func listDown(ages map[cactuspin.Cookie]time.Duration) encoder.DownTargets {
	l := make(encoder.DownTargets, 0, len(ages))
	for c, age := range ages {
		l = append(l, encoder.DownTarget{Cookie: c, Age: age})
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Cookie < l[j].Cookie })
	return l
}

// sums adds up loads by subject.
type sums map[encoder.Subject]encoder.Load

func (s sums) add(loads encoder.Loads) {
	for _, l := range loads {
		x := s[l.Subject]
		x.Subject = l.Subject
		x.ActiveRequests = uint16(min(math.MaxUint16, int(x.ActiveRequests)+int(l.ActiveRequests)))
		x.Flows = uint16(min(math.MaxUint16, int(x.Flows)+int(l.Flows)))
		x.FailedRequests = uint8(min(math.MaxUint8, int(x.FailedRequests)+int(l.FailedRequests)))
		s[l.Subject] = x
	}
}

// list returns the sums sorted by subject.
func (s sums) list() encoder.Loads {
	l := make(encoder.Loads, 0, len(s))
	for _, x := range s {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Subject < l[j].Subject })
	return l
}

// subtract returns total minus own.
func subtract(total, own encoder.Loads) encoder.Loads {
	ownSums := sums{}
	ownSums.add(own)
	difference := make(encoder.Loads, 0, len(total))
	for _, x := range total {
		m := ownSums[x.Subject]
		x.ActiveRequests -= min(x.ActiveRequests, m.ActiveRequests)
		x.Flows -= min(x.Flows, m.Flows)
		x.FailedRequests -= min(x.FailedRequests, m.FailedRequests)
		difference = append(difference, x)
	}
	return difference
}

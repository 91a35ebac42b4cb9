package planner

import (
	"math"
	"sort"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// Loads returns what this host's beacons say of loads, own being what it has in
// progress: zone is the sum of this zone, total that of all hosts, and others
// what other hosts have.
func (p *Planner) Loads(now cactuspin.Time, own encoder.Loads) (zone, total, others encoder.Loads) {
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
		if x.Zone != p.c.Self.Zone && now.Sub(x.heard) <= aliveFor {
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

// list returns the sums in the order of their subjects.
func (s sums) list() encoder.Loads {
	l := make(encoder.Loads, 0, len(s))
	for _, x := range s {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Subject < l[j].Subject })
	return l
}

// subtract returns total without own.
func subtract(total, own encoder.Loads) encoder.Loads {
	mine := sums{}
	mine.add(own)
	rest := make(encoder.Loads, 0, len(total))
	for _, x := range total {
		m := mine[x.Subject]
		x.ActiveRequests -= min(x.ActiveRequests, m.ActiveRequests)
		x.Flows -= min(x.Flows, m.Flows)
		x.FailedRequests -= min(x.FailedRequests, m.FailedRequests)
		rest = append(rest, x)
	}
	return rest
}

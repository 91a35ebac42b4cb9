package planner

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// searchInterval is the time between the beacons of a host that knows nothing
	// yet and asks others for what they know.
	searchInterval = 150 * time.Millisecond
	// searched is how many hosts of the zone such a host asks beside the first ones.
	searched = 2
	// declinedFor is how long about a peer that gave no update is left alone.
	declinedFor = 400 * time.Millisecond
	// othersFirst is how long hosts past the listeners wait for a peer's update when
	// the store holds more than a page: a few times what reading it all takes.
	othersFirst = 500 * time.Millisecond
)

// readsWhole tells whether a host without knowledge reads on. All read the first
// page, which is the only one at a small site. Of the rest, each zone's first
// hosts read all; the others only if no peer has given it to them in time.
func (p *Planner) readsWhole(now cactuspin.Time, rank int, begun bool) bool {
	if !begun {
		p.begunAt = 0
		return true
	}
	if p.begunAt == 0 {
		p.begunAt = now
	}
	return rank < listeners || now.Sub(p.begunAt) > othersFirst+time.Duration(rank)*rankDelay
}

// asked returns whom a host without knowledge asks in its zone: the first hosts,
// and some by chance, who may have got it from them.
func (p *Planner) asked(alive []netip.Addr) []netip.Addr {
	if len(alive) <= listeners+searched {
		return p.zoneKnown()
	}
	rest := alive[listeners:]
	first := p.random.IntN(len(rest))
	to := slices.Clone(alive[:listeners])
	for i := range searched {
		to = append(to, rest[(first+i)%len(rest)])
	}
	return to
}

// unheardSeeds returns the seeds that are not known yet.
func (p *Planner) unheardSeeds() (to []netip.Addr) {
	for _, a := range p.c.Seeds {
		if a != p.c.Self.Address && p.peers[a] == nil {
			to = append(to, a)
		}
	}
	return to
}

// FetchFailed takes word that a host gave no update: it is asked again later, by
// each host at another time.
func (p *Planner) FetchFailed(now cactuspin.Time, host netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[host]; x != nil {
		x.fetched = now.Add(declinedFor/2 + time.Duration(p.random.Int64N(int64(declinedFor))))
	}
}

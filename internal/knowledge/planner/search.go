package planner

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// searchInterval is the time between the beacons of a host without
	// knowledge, which asks others for theirs.
	searchInterval = 150 * time.Millisecond
	// randomPeers is the number of random hosts of the zone that such a host
	// asks in addition to the first ones.
	randomPeers = 2
	// fetchBackoff is the mean delay after which a peer is asked again after a
	// failed fetch.
	fetchBackoff = 400 * time.Millisecond
	// peerWait is how long hosts after the first hubCount wait for an update
	// from a peer if the store's content has more than one page: a few times
	// the duration of a full read.
	peerWait = 500 * time.Millisecond
)

// continuesFullRead reports whether a host with incomplete knowledge continues to
// read. Every host reads the first page, which is the only one at a small site.
// The further pages are read by the first hosts of each zone, and by the others
// only if they got no update from a peer in time.
func (p *Planner) continuesFullRead(now cactuspin.Time, rank int, firstPageRead bool) bool {
	if !firstPageRead {
		p.firstPageAt = 0
		return true
	}
	if p.firstPageAt == 0 {
		p.firstPageAt = now
	}
	return rank < hubCount || now.Sub(p.firstPageAt) > peerWait+time.Duration(rank)*rankDelay
}

// searchRecipients returns the hosts of the zone that a host without knowledge
// asks: the first hosts, which read the store, and some random ones, which may
// already have fetched an update from these.
func (p *Planner) searchRecipients(alive []netip.Addr) []netip.Addr {
	if len(alive) <= hubCount+randomPeers {
		return p.zonePeers()
	}
	rest := alive[hubCount:]
	offset := p.random.IntN(len(rest))
	to := slices.Clone(alive[:hubCount])
	for i := range randomPeers {
		to = append(to, rest[(offset+i)%len(rest)])
	}
	return to
}

// unknownSeeds returns the seeds that are not peers yet.
func (p *Planner) unknownSeeds() (to []netip.Addr) {
	for _, a := range p.c.Seeds {
		if a != p.c.Self.Address && p.peers[a] == nil {
			to = append(to, a)
		}
	}
	return to
}

// FetchFailed records that a fetch from a host failed. The host is asked again
// after a random delay, so that not all hosts ask it at the same time.
func (p *Planner) FetchFailed(now cactuspin.Time, host netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[host]; x != nil {
		x.lastFetch = now.Add(fetchBackoff/2 + time.Duration(p.random.Int64N(int64(fetchBackoff))))
	}
}

// Package planner decides which host reads the platform's store, who tells whom
// and where missing knowledge is fetched. The first living host of a zone leads
// it and speaks with the leaders of the other zones; the first leader that has
// fresh knowledge reads. Nothing has to be agreed: two hosts that both read cost
// calls, and a host that hears nothing reads for itself.
package planner

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const (
	// BeaconInterval is the time between a host's beacons. Four fit into the time
	// in which the platform takes a silent host out of rotation.
	BeaconInterval = 250 * time.Millisecond
	// aliveFor is how long a host counts as alive after a beacon: four intervals
	// and some lateness.
	aliveFor = 1200 * time.Millisecond
	// forgetAfter is when a silent host is no longer told anything.
	forgetAfter = 20 * time.Second
	// listeners is how many hosts of a zone hear from all others of it. The first
	// of them reads the store; the next take over when it falls silent.
	listeners = 3
	// rankDelay spreads the hosts that begin to read when a reader falls silent.
	rankDelay = 150 * time.Millisecond
	// keepReading is how long a host reads on after it had to begin.
	keepReading = 3 * time.Second
	// fetchInterval is the least time between two fetches from the same peer.
	fetchInterval = 100 * time.Millisecond
)

// Config configures a planner.
type Config struct {
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	Seeds       []netip.Addr
	// MaxAge is the age that knowledge may reach before the host reads itself.
	MaxAge time.Duration
	Seed   uint64
}

// Plan is what a host is to do now.
type Plan struct {
	// ZoneRecipients lists the hosts of this zone that get a beacon, RemoteRecipients the hosts of
	// other zones that do.
	ZoneRecipients, RemoteRecipients []netip.Addr
	// ReadStore says that this host is to watch the store.
	ReadStore bool
	// Leader says that this host speaks for its zone.
	Leader bool
	// Unresponsive lists the hosts that Hear reported and that were not heard since.
	Unresponsive []netip.Addr
}

type peer struct {
	cactuspin.EntryHost
	incarnation cactuspin.Incarnation
	heard       cactuspin.Time
	fetched     cactuspin.Time
	leaving     bool
	// reported says that Hear reported the host and Tick has not since.
	reported bool
	// age is how old the host's knowledge was when it was heard.
	age          time.Duration
	loads, total encoder.Loads
}

// Planner decides from beacons and time. It is safe for concurrent use.
type Planner struct {
	c         Config
	mu        sync.Mutex
	peers     map[netip.Addr]*peer
	beaconAt  cactuspin.Time
	readUntil cactuspin.Time
	// leader says that this host leads its zone.
	leader bool
	// begunAt is when a read of everything had its first page, or 0.
	begunAt cactuspin.Time
	random  *rand.Rand
}

// New returns a planner that knows no other host.
func New(c Config) *Planner {
	return &Planner{c: c, peers: map[netip.Addr]*peer{}, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation)))}
}

// Reconfigure takes other seeds and another age that knowledge may reach.
func (p *Planner) Reconfigure(seeds []netip.Addr, freshness time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Seeds, p.c.MaxAge = seeds, freshness
}

// AddPeers takes hosts that are said to exist. A host that is still incomplete takes
// them for alive until they prove silent, so that not all that start at once
// count themselves first.
func (p *Planner) AddPeers(now cactuspin.Time, hosts []cactuspin.EntryHost, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if h.Address == p.c.Self.Address || p.peers[h.Address] != nil {
			continue
		}
		x := &peer{EntryHost: h, heard: now, age: tracker.UnknownAge}
		if complete {
			x.heard = now.Add(-aliveFor)
		}
		p.peers[h.Address] = x
	}
}

// HandleBeacon takes a beacon. It reports whether a host from which regular beacons are
// due, of this zone or another one's leader, was not alive before or is another
// incarnation.
func (p *Planner) HandleBeacon(now cactuspin.Time, b *encoder.Beacon) (fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Host.Address == p.c.Self.Address {
		return false
	}
	x := p.peers[b.Host.Address]
	if x == nil {
		x = &peer{}
		p.peers[b.Host.Address] = x
	}
	due := b.Host.Zone == p.c.Self.Zone || p.leader
	fresh = due && (x.incarnation != b.Incarnation || !x.reported)
	x.reported = x.reported || due
	x.EntryHost, x.incarnation, x.heard, x.leaving = b.Host, b.Incarnation, now, b.Leaving
	x.age, x.loads, x.total = b.Age, b.Loads, b.Total
	return fresh
}

// BeginFetch reports whether missing knowledge may be fetched from a host now.
func (p *Planner) BeginFetch(now cactuspin.Time, host netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[host]
	if x == nil || (x.fetched != 0 && now.Sub(x.fetched) < fetchInterval) {
		return false
	}
	x.fetched = now
	return true
}

// Tick returns what is to be done now. begun says that the host has read a page
// of the store's content and that there are more.
func (p *Planner) Tick(now cactuspin.Time, known tracker.Position, begun bool) (plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.zoneAlive(now)
	rank := p.rank(zone)
	plan.Leader = rank == 0
	p.leader = plan.Leader
	plan.Unresponsive = p.fellSilent(now)
	p.forget(now)
	plan.ReadStore = p.reads(now, known, rank, begun)
	if now < p.beaconAt {
		return plan
	}
	interval := BeaconInterval
	plan.ZoneRecipients = p.audience(zone, rank)
	if plan.Leader {
		plan.RemoteRecipients = p.leaders(now)
	}
	if !known.Complete {
		interval = searchInterval
		plan.ZoneRecipients = p.asked(zone)
		plan.RemoteRecipients = append(plan.RemoteRecipients, p.unheardSeeds()...)
	}
	// Jitter keeps the beacons of hosts that started together apart.
	p.beaconAt = now.Add(interval - time.Duration(p.random.Int64N(int64(interval/5))))
	return plan
}

// ShouldRead tells whether this host is to read the store now.
func (p *Planner) ShouldRead(now cactuspin.Time, known tracker.Position, begun bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads(now, known, p.rank(p.zoneAlive(now)), begun)
}

// rank is the number of living hosts of this zone that come before this one.
func (p *Planner) rank(alive []netip.Addr) int {
	return sort.Search(len(alive), func(i int) bool { return !alive[i].Less(p.c.Self.Address) })
}

// reads tells whether this host is to read the store: the first leader with
// fresh knowledge does, and any host whose knowledge has become too old.
func (p *Planner) reads(now cactuspin.Time, known tracker.Position, rank int, begun bool) bool {
	if rank == 0 && !p.fresherLeader(now, known.Age) {
		return true
	}
	if !known.Complete {
		return p.readsWhole(now, rank, begun)
	}
	if known.Age > p.c.MaxAge+time.Duration(rank)*rankDelay {
		p.readUntil = now.Add(keepReading)
	}
	return now < p.readUntil
}

// fresherLeader tells whether another zone's leader comes before this one.
func (p *Planner) fresherLeader(now cactuspin.Time, age time.Duration) bool {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone || x.leaving || now.Sub(x.heard) > aliveFor {
			continue
		}
		fresh := x.age+now.Sub(x.heard) <= p.c.MaxAge
		if fresh && (a.Less(p.c.Self.Address) || age > p.c.MaxAge) {
			return true
		}
	}
	return false
}

// fellSilent returns the reported hosts that are no longer heard.
func (p *Planner) fellSilent(now cactuspin.Time) (silent []netip.Addr) {
	for a, x := range p.peers {
		if x.reported && now.Sub(x.heard) > aliveFor {
			x.reported = false
			silent = append(silent, a)
		}
	}
	sort.Slice(silent, func(i, j int) bool { return silent[i].Less(silent[j]) })
	return silent
}

func (p *Planner) forget(now cactuspin.Time) {
	for a, x := range p.peers {
		if now.Sub(x.heard) > forgetAfter {
			delete(p.peers, a)
		}
	}
}

// zoneAlive returns the living hosts of this zone but this one, by address.
func (p *Planner) zoneAlive(now cactuspin.Time) (alive []netip.Addr) {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone && !x.leaving && now.Sub(x.heard) <= aliveFor {
			alive = append(alive, a)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].Less(alive[j]) })
	return alive
}

// audience returns whom this host tells in its zone: the first hosts tell all
// of it, the others only the first.
func (p *Planner) audience(alive []netip.Addr, rank int) []netip.Addr {
	if rank < listeners {
		return p.zoneKnown()
	}
	return alive[:listeners]
}

func (p *Planner) zoneKnown() (known []netip.Addr) {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone {
			known = append(known, a)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Less(known[j]) })
	return known
}

// leaders returns the first living host of each other zone. Where none is known
// to live, any host of the zone is tried.
func (p *Planner) leaders(now cactuspin.Time) (to []netip.Addr) {
	best := map[cactuspin.ZoneID]netip.Addr{}
	var silent []netip.Addr
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone {
			continue
		}
		if x.leaving || now.Sub(x.heard) > aliveFor {
			silent = append(silent, a)
			continue
		}
		if b, ok := best[x.Zone]; !ok || a.Less(b) {
			best[x.Zone] = a
		}
	}
	for _, a := range best {
		to = append(to, a)
	}
	sort.Slice(to, func(i, j int) bool { return to[i].Less(to[j]) })
	if len(silent) > 0 {
		sort.Slice(silent, func(i, j int) bool { return silent[i].Less(silent[j]) })
		to = append(to, silent[p.random.IntN(len(silent))])
	}
	return to
}

// UpdateRecipients returns the hosts that get pushed updates: the living peers of this
// zone and, from its leader, the leaders of the others.
func (p *Planner) UpdateRecipients(now cactuspin.Time) (to []netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to = p.zoneAlive(now)
	if len(to) == 0 || p.c.Self.Address.Less(to[0]) {
		to = append(to, p.leaders(now)...)
	}
	return to
}

// AlivePeers returns how many other hosts are heard.
func (p *Planner) AlivePeers(now cactuspin.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		if now.Sub(x.heard) <= aliveFor {
			n++
		}
	}
	return n
}

// Package planner decides which host reads the platform's store, who tells whom
// and where missing knowledge is fetched. The first living host of a zone leads
// it and speaks with the leaders of the other zones; the first leader that has
// fresh knowledge reads. Nothing has to be agreed: two hosts that both read cost
// calls, and a host that hears nothing reads for itself.
package planner

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/keeper"
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
	// unknownAge is the age of the knowledge of a host that was not heard yet.
	unknownAge = time.Hour
)

// Config configures a planner.
type Config struct {
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	Seeds       []netip.Addr
	// Freshness is the age that knowledge may reach before the host reads itself.
	Freshness time.Duration
	Seed      uint64
}

// Plan is what a host is to do now.
type Plan struct {
	// Tell lists the hosts of this zone that get a beacon, Leaders the hosts of
	// other zones that do.
	Tell, Leaders []netip.Addr
	// Read says that this host is to watch the store.
	Read bool
	// Leader says that this host speaks for its zone.
	Leader bool
	// Silent lists the hosts that Hear reported and that were not heard since.
	Silent []netip.Addr
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
	p.c.Seeds, p.c.Freshness = seeds, freshness
}

// Learn takes hosts that are said to exist. A host that is still incomplete takes
// them for alive until they prove silent, so that not all that start at once
// count themselves first.
func (p *Planner) Learn(now cactuspin.Time, hosts []cactuspin.EntryHost, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if h.Address == p.c.Self.Address || p.peers[h.Address] != nil {
			continue
		}
		x := &peer{EntryHost: h, heard: now, age: unknownAge}
		if complete {
			x.heard = now.Add(-aliveFor)
		}
		p.peers[h.Address] = x
	}
}

// Hear takes a beacon. It reports whether a host from which regular beacons are
// due, of this zone or another one's leader, was not alive before or is another
// incarnation.
func (p *Planner) Hear(now cactuspin.Time, b *encoder.Beacon) (fresh bool) {
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

// Fetch reports whether missing knowledge may be fetched from a host now.
func (p *Planner) Fetch(now cactuspin.Time, host netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[host]
	if x == nil || (x.fetched != 0 && now.Sub(x.fetched) < fetchInterval) {
		return false
	}
	x.fetched = now
	return true
}

// Declined takes word that a host gave no update: it is asked again later, by
// each host at another time.
func (p *Planner) Declined(now cactuspin.Time, host netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[host]; x != nil {
		x.fetched = now.Add(declinedFor/2 + time.Duration(p.random.Int64N(int64(declinedFor))))
	}
}

// Tick returns what is to be done now. begun says that the host has read a page
// of the store's content and that there are more.
func (p *Planner) Tick(now cactuspin.Time, known keeper.Position, begun bool) (plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.zoneAlive(now)
	rank := p.rank(zone)
	plan.Leader = rank == 0
	p.leader = plan.Leader
	plan.Silent = p.fellSilent(now)
	p.forget(now)
	plan.Read = p.reads(now, known, rank, begun)
	if now < p.beaconAt {
		return plan
	}
	interval := BeaconInterval
	plan.Tell = p.audience(zone, rank)
	if plan.Leader {
		plan.Leaders = p.leaders(now)
	}
	if !known.Complete {
		interval = searchInterval
		plan.Tell = p.asked(zone)
		plan.Leaders = append(plan.Leaders, p.unheardSeeds()...)
	}
	// Jitter keeps the beacons of hosts that started together apart.
	p.beaconAt = now.Add(interval - time.Duration(p.random.Int64N(int64(interval/5))))
	return plan
}

// Reads tells whether this host is to read the store now.
func (p *Planner) Reads(now cactuspin.Time, known keeper.Position, begun bool) bool {
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
func (p *Planner) reads(now cactuspin.Time, known keeper.Position, rank int, begun bool) bool {
	if rank == 0 && !p.fresherLeader(now, known.Age) {
		return true
	}
	if !known.Complete {
		return p.readsWhole(now, rank, begun)
	}
	if known.Age > p.c.Freshness+time.Duration(rank)*rankDelay {
		p.readUntil = now.Add(keepReading)
	}
	return now < p.readUntil
}

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

// fresherLeader tells whether another zone's leader comes before this one.
func (p *Planner) fresherLeader(now cactuspin.Time, age time.Duration) bool {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone || x.leaving || now.Sub(x.heard) > aliveFor {
			continue
		}
		fresh := x.age+now.Sub(x.heard) <= p.c.Freshness
		if fresh && (a.Less(p.c.Self.Address) || age > p.c.Freshness) {
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

// unheardSeeds returns the seeds that are not known yet.
func (p *Planner) unheardSeeds() (to []netip.Addr) {
	for _, a := range p.c.Seeds {
		if a != p.c.Self.Address && p.peers[a] == nil {
			to = append(to, a)
		}
	}
	return to
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

// Audience returns the hosts that get pushed updates: the living peers of this
// zone and, from its leader, the leaders of the others.
func (p *Planner) Audience(now cactuspin.Time) (to []netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to = p.zoneAlive(now)
	if len(to) == 0 || p.c.Self.Address.Less(to[0]) {
		to = append(to, p.leaders(now)...)
	}
	return to
}

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

// sums adds up loads by target.
type sums map[cactuspin.Cookie]encoder.TargetLoad

func (s sums) add(loads encoder.Loads) {
	for _, l := range loads {
		x := s[l.Cookie]
		x.Cookie = l.Cookie
		x.Busy += l.Busy
		x.Flows += l.Flows
		x.Failed = uint8(min(math.MaxUint8, int(x.Failed)+int(l.Failed)))
		s[l.Cookie] = x
	}
}

// list returns the sums in the order of their cookies.
func (s sums) list() encoder.Loads {
	l := make(encoder.Loads, 0, len(s))
	for _, x := range s {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Cookie < l[j].Cookie })
	return l
}

// subtract returns total without own.
func subtract(total, own encoder.Loads) encoder.Loads {
	mine := sums{}
	mine.add(own)
	rest := make(encoder.Loads, 0, len(total))
	for _, x := range total {
		m := mine[x.Cookie]
		x.Busy -= min(x.Busy, m.Busy)
		x.Flows -= min(x.Flows, m.Flows)
		x.Failed -= min(x.Failed, m.Failed)
		rest = append(rest, x)
	}
	return rest
}

// Alive returns how many other hosts are heard.
func (p *Planner) Alive(now cactuspin.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		if now.Sub(x.heard) <= aliveFor {
			n++
		}
	}
	return n
}

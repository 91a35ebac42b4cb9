// Package planner decides which hosts read the platform's store, who tells whom
// and where missing knowledge is fetched. Nothing has to be agreed: two hosts
// that both read cost calls, and a host that hears nothing reads for itself.
package planner

import (
	"math/rand/v2"
	"net/netip"
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
	// Tell lists the hosts that get a beacon.
	Tell []netip.Addr
	// Read says that this host is to watch the store.
	Read bool
	// Leader says that this host speaks for its zone.
	Leader bool
}

type peer struct {
	cactuspin.EntryHost
	incarnation cactuspin.Incarnation
	heard       cactuspin.Time
	fetched     cactuspin.Time
	leaving     bool
	loads       []encoder.TargetLoad
}

// Planner decides from beacons and time. It is safe for concurrent use.
type Planner struct {
	c         Config
	mu        sync.Mutex
	peers     map[netip.Addr]*peer
	beaconAt  cactuspin.Time
	readUntil cactuspin.Time
	random    *rand.Rand
}

// New returns a planner that knows no other host.
func New(c Config) *Planner {
	return &Planner{c: c, peers: map[netip.Addr]*peer{}, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation)))}
}

// Learn takes hosts that are said to exist.
func (p *Planner) Learn(now cactuspin.Time, hosts []cactuspin.EntryHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if h.Address == p.c.Self.Address || p.peers[h.Address] != nil {
			continue
		}
		p.peers[h.Address] = &peer{EntryHost: h, heard: now.Add(-aliveFor)}
	}
}

// Hear takes a beacon.
func (p *Planner) Hear(now cactuspin.Time, b *encoder.Beacon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Host.Address == p.c.Self.Address {
		return
	}
	x := p.peers[b.Host.Address]
	if x == nil {
		x = &peer{}
		p.peers[b.Host.Address] = x
	}
	x.EntryHost, x.incarnation, x.heard, x.leaving = b.Host, b.Incarnation, now, b.Leaving
	x.loads = b.Loads
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

// Tick returns what is to be done now.
func (p *Planner) Tick(now cactuspin.Time, known keeper.Position) (plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	zone := p.zoneAlive(now)
	rank := sort.Search(len(zone), func(i int) bool { return !zone[i].Less(p.c.Self.Address) })
	plan.Leader = rank == 0
	if plan.Leader || known.Age > p.c.Freshness+time.Duration(rank)*rankDelay {
		if !plan.Leader {
			p.readUntil = now.Add(keepReading)
		}
		plan.Read = true
	}
	plan.Read = plan.Read || now < p.readUntil
	if now < p.beaconAt {
		return plan
	}
	// Jitter keeps the beacons of hosts that started together apart.
	p.beaconAt = now.Add(BeaconInterval - time.Duration(p.random.Int64N(int64(BeaconInterval/5))))
	plan.Tell = p.audience(now, zone, rank, known.Loaded)
	return plan
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

// audience returns whom this host tells: the first hosts of the zone tell all
// of it, the others only the first; the first speaks to the other zones.
func (p *Planner) audience(now cactuspin.Time, alive []netip.Addr, rank int, loaded bool) (to []netip.Addr) {
	if rank < listeners {
		to = p.zoneKnown()
	} else {
		to = append(to, alive[:listeners]...)
	}
	if rank == 0 {
		to = append(to, p.leaders(now)...)
	}
	if !loaded {
		for _, a := range p.c.Seeds {
			if a != p.c.Self.Address && p.peers[a] == nil {
				to = append(to, a)
			}
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

// Zone returns the living peers of this zone, which get pushed updates.
func (p *Planner) Zone(now cactuspin.Time) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zoneAlive(now)
}

// Loads returns the sum of what living peers have in progress.
func (p *Planner) Loads(now cactuspin.Time) map[cactuspin.Cookie]encoder.TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[cactuspin.Cookie]encoder.TargetLoad{}
	for _, x := range p.peers {
		if now.Sub(x.heard) > aliveFor {
			continue
		}
		for _, l := range x.loads {
			s := sum[l.Cookie]
			s.Busy += l.Busy
			s.Flows += l.Flows
			sum[l.Cookie] = s
		}
	}
	return sum
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

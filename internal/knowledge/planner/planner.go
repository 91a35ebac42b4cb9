// Package planner decides which host reads the platform's store, which hosts
// get beacons and updates, and from which host missing knowledge is fetched.
// The leader of a zone is its live host with the lowest address; it exchanges
// beacons with the leaders of the other zones. Of the leaders with fresh
// knowledge, the one with the lowest address reads the store. The hosts need no
// consensus: two that read at the same time only cost extra calls, and a host
// without contact to others reads the store itself.
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
	// BeaconInterval is the time between the beacons of a host. Four fit into
	// the time after which the platform takes an unresponsive host out of
	// rotation.
	BeaconInterval = 250 * time.Millisecond
	// livenessTimeout is how long a host counts as alive after a beacon: four
	// intervals and some delay.
	livenessTimeout = 1200 * time.Millisecond
	// peerExpiry is how long after its last beacon a host is removed from the
	// peers and gets no more beacons.
	peerExpiry = 20 * time.Second
	// hubCount is the number of hosts of a zone, those with the lowest
	// addresses, that exchange beacons with all its other hosts. The first of
	// them reads the store; the next take over if it becomes unresponsive.
	hubCount = 3
	// rankDelay is the additional delay per rank before a host starts to read
	// in place of an unresponsive reader, so that not all hosts start at once.
	rankDelay = 150 * time.Millisecond
	// minReadTime is how long a host continues to read after its knowledge was
	// too old, unless another one reads instead.
	minReadTime = 3 * time.Second
	// fetchInterval is the minimum time between two fetches from the same peer.
	fetchInterval = 100 * time.Millisecond
)

// Config configures a planner.
type Config struct {
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	Seeds       []netip.Addr
	// MaxAge is the age of the knowledge above which the host reads the store
	// itself.
	MaxAge time.Duration
	Seed   uint64
}

// Plan is what a host has to do now.
type Plan struct {
	// ZoneRecipients lists the hosts of this zone that get a beacon,
	// RemoteRecipients the hosts of other zones that do.
	ZoneRecipients, RemoteRecipients []netip.Addr
	// ReadStore reports that this host has to watch the store.
	ReadStore bool
	// Leader reports that this host is the leader of its zone.
	Leader bool
	// Unresponsive lists the hosts that HandleBeacon reported as new and whose
	// beacons have stopped since.
	Unresponsive []netip.Addr
}

// peer is the state of another host.
type peer struct {
	cactuspin.EntryHost
	incarnation cactuspin.Incarnation
	lastBeacon  cactuspin.Time
	// lastFetch is when the last fetch began. After a failed fetch it is in the
	// future, which delays the next one.
	lastFetch cactuspin.Time
	leaving   bool
	// reported is set when HandleBeacon reports the host as new and cleared
	// when Tick reports it as unresponsive.
	reported bool
	// era is the era of the host's knowledge at its last beacon.
	era cactuspin.Era
	// age is the age of the host's knowledge at its last beacon, reader the host whose
	// read of the store that is based on.
	age          time.Duration
	reader       netip.Addr
	loads, total encoder.Loads
	// down lists the targets that the host reported as down at its last beacon.
	down encoder.DownTargets
	// eligible lists the hosts that may own cold targets, by the host's last beacon.
	eligible encoder.Addresses
	share    peerShare
}

// Planner decides from received beacons and the time. It is safe for concurrent
// use.
type Planner struct {
	c          Config
	mu         sync.Mutex
	peers      map[netip.Addr]*peer
	nextBeacon cactuspin.Time
	readUntil  cactuspin.Time
	// leader reports that this host is the leader of its zone.
	leader bool
	// firstPageAt is when the planner was first informed that the first page of a
	// full read had been read, or 0.
	firstPageAt cactuspin.Time
	// completeSince is when the planner was first informed that the knowledge is
	// complete, or 0.
	completeSince cactuspin.Time
	// members are the other hosts of this zone, also those that have been silent for long.
	members members
	random  *rand.Rand
	// lastShare is when this host last sent its flows, sentFlows, and sentSum the number of
	// flows that it sent, those of the zone included.
	lastShare cactuspin.Time
	sentFlows encoder.FlowCounts
	sentSum   int
}

// New returns a Planner without peers.
func New(c Config) *Planner {
	return &Planner{c: c, peers: map[netip.Addr]*peer{}, members: members{}, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation)))}
}

// Reconfigure replaces the seeds and the maximum age of the knowledge.
func (p *Planner) Reconfigure(seeds []netip.Addr, maxAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Seeds, p.c.MaxAge = seeds, maxAge
}

// AddPeers adds hosts that are reported to exist. A host with incomplete
// knowledge treats them as alive until their beacons are overdue: otherwise all
// hosts that start at the same time would consider themselves the first of
// their zone.
func (p *Planner) AddPeers(now cactuspin.Time, hosts []cactuspin.EntryHost, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if h.Address == p.c.Self.Address {
			continue
		}
		if h.Zone == p.c.Self.Zone {
			p.members.add(now, h.Address)
		}
		if p.peers[h.Address] != nil {
			continue
		}
		x := &peer{EntryHost: h, lastBeacon: now, age: tracker.UnknownAge}
		if complete {
			x.lastBeacon = now.Add(-livenessTimeout)
		}
		p.peers[h.Address] = x
	}
}

// HandleBeacon records a beacon. It reports whether the sender is new: a host
// that sends regular beacons to this one, from the same zone or as the leader
// of another one, and that was not alive before or has restarted.
func (p *Planner) HandleBeacon(now cactuspin.Time, b *encoder.Beacon) (isNew bool) {
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
	regular := b.Host.Zone == p.c.Self.Zone || p.leader
	isNew = regular && (x.incarnation != b.Incarnation || !x.reported)
	x.reported = x.reported || regular
	x.EntryHost, x.incarnation, x.lastBeacon, x.leaving = b.Host, b.Incarnation, now, b.Leaving
	x.era, x.age, x.reader, x.loads, x.total, x.down, x.eligible = b.Era, b.Age, b.Reader, b.Loads, b.Total, b.Down, b.Eligible
	p.recordMember(now, b)
	x.share.record(now, b, p.sentFlows)
	return isNew
}

// recordMember records that the sender of a beacon is a member of this zone unless it is
// about to stop.
func (p *Planner) recordMember(now cactuspin.Time, b *encoder.Beacon) {
	if b.Leaving || b.Host.Zone != p.c.Self.Zone {
		delete(p.members, b.Host.Address)
		return
	}
	p.members.add(now, b.Host.Address)
}

// Leads reports whether this host was the leader of its zone at the last tick.
func (p *Planner) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

// BeginFetch reports whether missing knowledge may be fetched from a host now
// and, if so, records the time of the fetch.
func (p *Planner) BeginFetch(now cactuspin.Time, host netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[host]
	if x == nil || (x.lastFetch != 0 && now.Sub(x.lastFetch) < fetchInterval) {
		return false
	}
	x.lastFetch = now
	return true
}

// Tick returns what the host has to do now. firstPageRead reports that the host
// has read the first page of the store's content and that there are more pages.
func (p *Planner) Tick(now cactuspin.Time, known tracker.Position, firstPageRead bool) (plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.zoneAlive(now)
	rank := p.rank(zone)
	plan.Leader = rank == 0
	p.leader = plan.Leader
	plan.Unresponsive = p.newlyUnresponsive(now)
	p.removeExpired(now)
	p.members.expire(now)
	if known.Complete && p.completeSince == 0 {
		p.completeSince = now
	}
	plan.ReadStore = p.shouldRead(now, known, rank, firstPageRead)
	if now < p.nextBeacon {
		return plan
	}
	interval := BeaconInterval
	plan.ZoneRecipients = p.zoneRecipients(zone, rank)
	if plan.Leader {
		plan.RemoteRecipients = p.remoteRecipients(now)
	}
	if !known.Complete {
		interval = searchInterval
		plan.ZoneRecipients = p.searchRecipients(zone)
		plan.RemoteRecipients = append(plan.RemoteRecipients, p.unknownSeeds()...)
	}
	// Jitter keeps the beacons of hosts that started at the same time apart.
	p.nextBeacon = now.Add(interval - time.Duration(p.random.Int64N(int64(interval/5))))
	return plan
}

// rank returns the number of live hosts of this zone that have a lower address
// than this one.
func (p *Planner) rank(alive []netip.Addr) int {
	return sort.Search(len(alive), func(i int) bool { return !alive[i].Less(p.c.Self.Address) })
}

// newlyUnresponsive returns the hosts that were reported as new and whose
// beacons have stopped.
func (p *Planner) newlyUnresponsive(now cactuspin.Time) (hosts []netip.Addr) {
	for a, x := range p.peers {
		if !x.reported || now.Sub(x.lastBeacon) <= livenessTimeout {
			continue
		}
		x.reported = false
		// Hosts of other zones send beacons to leaders only, so their silence means
		// nothing to a host that led its zone for a moment.
		if p.leader || x.Zone == p.c.Self.Zone {
			hosts = append(hosts, a)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Less(hosts[j]) })
	return hosts
}

// removeExpired removes the hosts that have been silent for long. The hosts of a
// zone that is silent as a whole are kept, since it may only be cut off: nothing else
// would restore the contact to it.
func (p *Planner) removeExpired(now cactuspin.Time) {
	heard := map[cactuspin.ZoneID]bool{}
	for _, x := range p.peers {
		if now.Sub(x.lastBeacon) <= peerExpiry {
			heard[x.Zone] = true
		}
	}
	for a, x := range p.peers {
		if now.Sub(x.lastBeacon) > peerExpiry && (heard[x.Zone] || x.Zone == p.c.Self.Zone) {
			delete(p.peers, a)
		}
	}
}

// zoneAlive returns the live hosts of this zone except this one, sorted by
// address.
func (p *Planner) zoneAlive(now cactuspin.Time) (alive []netip.Addr) {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone && !x.leaving && now.Sub(x.lastBeacon) <= livenessTimeout {
			alive = append(alive, a)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].Less(alive[j]) })
	return alive
}

// AlivePeers returns the number of other hosts that are alive.
func (p *Planner) AlivePeers(now cactuspin.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		if now.Sub(x.lastBeacon) <= livenessTimeout {
			n++
		}
	}
	return n
}

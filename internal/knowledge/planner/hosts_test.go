package planner_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// shareZone is a zone whose hosts exchange beacons without delay.
type shareZone struct {
	hosts  []netip.Addr
	plans  map[netip.Addr]*planner.Planner
	flows  map[netip.Addr]encoder.FlowCounts
	shares map[netip.Addr]planner.ZoneShare
	// silent hosts send nothing.
	silent map[netip.Addr]bool
	// full beacons have no room for shares.
	full bool
	// bytes counts those of all beacons, shareBytes the part that shares need.
	bytes, shareBytes int
}

func newShareZone(hosts int) *shareZone {
	z := &shareZone{plans: map[netip.Addr]*planner.Planner{}, flows: map[netip.Addr]encoder.FlowCounts{}, shares: map[netip.Addr]planner.ZoneShare{}, silent: map[netip.Addr]bool{}}
	for i := range hosts {
		z.hosts = append(z.hosts, netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}))
	}
	for i, a := range z.hosts {
		p := planner.New(planner.Config{Self: cactuspin.EntryHost{Address: a, Zone: "a"}, Incarnation: 1, MaxAge: time.Hour, Seed: uint64(i)})
		for _, b := range z.hosts {
			p.AddPeers(0, []cactuspin.EntryHost{{Address: b, Zone: "a"}}, false)
		}
		z.plans[a] = p
	}
	return z
}

// run passes time in steps of 50 ms.
func (z *shareZone) run(from cactuspin.Time, d time.Duration) (until cactuspin.Time) {
	until = from.Add(d)
	for now := from; now < until; now = now.Add(50 * time.Millisecond) {
		for _, a := range z.hosts {
			z.tick(now, a)
		}
	}
	return until
}

func (z *shareZone) tick(now cactuspin.Time, a netip.Addr) {
	p := z.plans[a]
	plan := p.Tick(now, tracker.Position{Complete: true}, false)
	if len(plan.ZoneRecipients) == 0 {
		return
	}
	share := p.Share(now, z.flows[a], !z.full)
	z.shares[a] = share
	// A deployment of two services in three zones, as in docs/PLAN.md: own loads of two
	// subjects, totals of six.
	b := encoder.Beacon{
		Host: cactuspin.EntryHost{Address: a, Zone: "zone-a"}, Incarnation: 1_700_000_000, Revision: 123_456, LastChange: 123_000,
		Age: 321 * time.Millisecond, HealthyFor: time.Hour, Complete: true, Reader: a, Loads: make(encoder.Loads, 2), Total: make(encoder.Loads, 6),
	}
	b.Host.Zone = "a"
	plain := length(b)
	b.ZoneHosts, b.Flows, b.TotalFlows = share.SentHosts, share.SentFlows, share.SentTotal
	z.bytes += plain * len(plan.ZoneRecipients)
	z.shareBytes += (length(b) - plain) * len(plan.ZoneRecipients)
	for _, to := range plan.ZoneRecipients {
		if !z.silent[a] {
			z.plans[to].HandleBeacon(now, &b)
		}
	}
}

func length(b encoder.Beacon) int {
	encoded, err := encoder.Encode(&encoder.Datagram{Beacon: &b})
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// counts returns flows at the targets of two services, as one host has them.
func counts(r *rand.Rand, flows int) encoder.FlowCounts {
	c := encoder.FlowCounts{{Subject: 1, Check: 5, Flows: make([]uint16, 40)}, {Subject: 2, Check: 6, Flows: make([]uint16, 10)}}
	for range flows {
		x := c[r.IntN(2)]
		x.Flows[r.IntN(len(x.Flows))]++
	}
	return c
}

// TestHostsOfALargeZoneShareTheirFlows fails if hosts have the same rank, or miss flows of
// other hosts.
func TestHostsOfALargeZoneShareTheirFlows(t *testing.T) {
	g := NewWithT(t)
	z := newShareZone(28)
	r := rand.New(rand.NewPCG(1, 1))
	var total encoder.FlowCounts
	for _, a := range z.hosts {
		z.flows[a] = counts(r, 20)
		total = total.Plus(z.flows[a])
	}
	z.run(1, 10*time.Second)
	for i, a := range z.hosts {
		g.Expect(z.shares[a].Rank).To(Equal(encoder.HostRank{Rank: i, Hosts: 28}))
		g.Expect(z.shares[a].Others).To(ConsistOf(total.Minus(z.flows[a])))
	}
}

// TestHostsWithoutSharesHaveNoRank fails if a host uses old shares, if shares end with the
// hosts that add them up, or if hosts of a small zone exchange any.
func TestHostsWithoutSharesHaveNoRank(t *testing.T) {
	g := NewWithT(t)
	z := newShareZone(28)
	now := z.run(1, 10*time.Second)
	for _, a := range z.hosts[:3] {
		z.silent[a] = true
	}
	now = z.run(now, time.Second)
	g.Expect(z.shares[z.hosts[20]].Rank.Hosts).To(Equal(28), "single beacons may be lost")
	now = z.run(now, 10*time.Second)
	g.Expect(z.shares[z.hosts[20]].Rank).To(Equal(encoder.HostRank{Rank: 17, Hosts: 25}), "others add up the flows")
	z.full = true
	now = z.run(now, 10*time.Second)
	g.Expect(z.shares[z.hosts[20]].Rank).To(BeZero(), "beacons arrive, without shares")
	z.full = false
	now = z.run(now, 10*time.Second)
	g.Expect(z.shares[z.hosts[20]].Rank).NotTo(BeZero())
	for _, a := range z.hosts {
		z.silent[a] = true
	}
	z.run(now, 10*time.Second)
	for _, a := range z.hosts {
		g.Expect(z.shares[a].Rank).To(BeZero())
	}

	small := newShareZone(7)
	small.run(1, 10*time.Second)
	for _, a := range small.hosts {
		g.Expect(small.shares[a]).To(BeZero())
	}
	g.Expect(small.shareBytes).To(BeZero())
}

// TestSharesAddFewBytes fails if the exchange needs more than a tenth of the bytes that
// hosts exchanged before.
func TestSharesAddFewBytes(t *testing.T) {
	for _, hosts := range []int{28, 84} {
		g := NewWithT(t)
		z := newShareZone(hosts)
		r := rand.New(rand.NewPCG(1, 1))
		now := cactuspin.Time(1)
		for _, a := range z.hosts {
			z.flows[a] = counts(r, 700/hosts)
		}
		now = z.run(now, 3*time.Second)
		z.bytes, z.shareBytes = 0, 0
		for range 20 {
			// Flows end and others are opened.
			for _, a := range z.hosts {
				z.flows[a] = counts(r, max(1, 700/hosts+int(math.Round(r.NormFloat64()))))
			}
			now = z.run(now, time.Second)
		}
		t.Logf("%d hosts: %.1f %% more bytes", hosts, 100*float64(z.shareBytes)/float64(z.bytes))
		g.Expect(float64(z.shareBytes)).To(BeNumerically("<=", 0.1*float64(z.bytes)))
	}
}

package balancer_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// evacuate returns a change that evacuates or returns zones.
func evacuate(evacuated bool, zones ...cactuspin.ZoneID) *tracker.Change {
	c := &tracker.Change{}
	for _, z := range zones {
		c.Zones = append(c.Zones, tracker.ZoneChange{ZoneState: cactuspin.ZoneState{Zone: z, Evacuated: evacuated}})
	}
	return c
}

// inZoneA reports whether a verdict chose one of the two targets of zone a.
func inZoneA(v cactuspin.Verdict) bool { return v.TargetNumber == 1 || v.TargetNumber == 2 }

func TestOpenFlowsStayInAnEvacuatedZone(t *testing.T) {
	g := NewWithT(t)
	b, other := newBalancer(1, "a", "b"), newBalancer(2, "a", "b")
	open := b.Steer(now, syn(1, feeds, 0))
	g.Expect(inZoneA(open)).To(BeTrue())
	b.Apply(now, evacuate(true, "a"))
	other.Apply(now, evacuate(true, "a"))
	for n := range uint32(20) {
		at := now.Add(time.Duration(n) * time.Second)
		for _, x := range []*balancer.Balancer{b, other} {
			x.SetFreshness(at, tracker.Position{HealthyFor: time.Minute})
			v := x.Steer(at, data(1, feeds, open.Cookie, n))
			g.Expect(v.Kind).To(Equal(cactuspin.VerdictForward), "request %d", n)
			g.Expect(v.Target).To(Equal(open.Target))
		}
	}
	for port := range 100 {
		g.Expect(inZoneA(b.Steer(now, syn(100+port, feeds, 0)))).To(BeFalse())
	}
	b.Apply(now, evacuate(false, "a"))
	g.Expect(inZoneA(b.Steer(now, syn(300, feeds, 0)))).To(BeTrue(), "the zone has returned")
}

// Guards against SYNs that reach an evacuated zone because their first copy did.
func TestARetransmittedSYNLeavesAnEvacuatedZone(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	first := b.Steer(now, syn(1, feeds, 0))
	b.Steer(now, data(2, feeds, first.Cookie, 0))
	b.Steer(now.Add(100*time.Millisecond), data(2, feeds, first.Cookie, 1)) // Its target is alive.
	b.Apply(now, evacuate(true, "a"))
	v := b.Steer(now.Add(200*time.Millisecond), syn(1, feeds, 1))
	g.Expect(v.Kind).To(Equal(cactuspin.VerdictForward))
	g.Expect(inZoneA(v)).To(BeFalse())
	g.Expect(v.Reason).To(Equal(cactuspin.ReasonCopyOtherTarget))
}

func TestNewFlowsAreRefusedAtOnceIfAllZonesAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	first := b.Steer(now, syn(1, feeds, 0))
	b.Apply(now, evacuate(true, "a", "b"))
	for n, p := range []*cactuspin.Packet{syn(1, feeds, 1), syn(2, feeds, 0), syn(3, orders, 0)} {
		v := b.Steer(now, p)
		g.Expect(v.Kind).To(Equal(cactuspin.VerdictReset), "packet %d", n)
		g.Expect(v.Reason).To(Equal(cactuspin.ReasonNoTarget))
	}
	g.Expect(b.Steer(now, data(1, feeds, first.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "open flows stay")
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute, Age: 2 * time.Second})
	g.Expect(b.Steer(now, syn(4, feeds, 0)).Kind).To(Equal(cactuspin.VerdictDrop), "a zone may have returned")
}

func TestAZoneThatReturnsIsHeldBack(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	b.Apply(now, evacuate(true, "a"))
	c := evacuate(false, "a")
	c.Zones[0].Hold = time.Second
	b.Apply(now, c)
	g.Expect(inZoneA(b.Steer(now.Add(999*time.Millisecond), syn(1, feeds, 0)))).To(BeFalse())
	g.Expect(inZoneA(b.Steer(now.Add(time.Second), syn(2, feeds, 0)))).To(BeTrue())
}

// Targets that register in a zone that is evacuated already get no flows.
func TestTargetsThatRegisterInAnEvacuatedZoneGetNoFlows(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "b")
	g.Expect(b.HasTargets("a")).To(BeFalse())
	b.Apply(now, evacuate(true, "a"))
	late := registered(50, "desk", "a")
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{late}})
	g.Expect(b.HasTargets("a")).To(BeTrue())
	for port := range 50 {
		g.Expect(b.Steer(now, syn(port, feeds, 0)).Target).NotTo(Equal(late.ID))
	}
	explained := b.Explain(now, caller(1), feeds)
	g.Expect(explained.Services[0].Zones[0].Evacuated).To(BeTrue())
	g.Expect(explained.Services[0].Zones[0].Usable).To(BeZero())
}

// Flows of other zones stay where they are while a zone is evacuated: bytes between zones
// are expensive.
func TestFlowsOfOtherZonesStayInTheirZone(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b", "c")
	b.Apply(now, evacuate(true, "b"))
	for port := range 100 {
		g.Expect(inZoneA(b.Steer(now, syn(port, feeds, 0)))).To(BeTrue())
	}
}

// Guards against hosts that all choose one zone for the flows of an evacuated zone: those
// that started after its targets were gone knew no zone to displace flows from.
func TestFlowsOfAnEvacuatedZoneWithoutTargetsAreSpread(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "b", "c")
	b.Apply(now, evacuate(true, "a"))
	inB := 0
	for port := range 400 {
		if b.Steer(now, syn(port, feeds, 0)).TargetNumber <= 2 {
			inB++
		}
	}
	g.Expect(inB).To(BeNumerically("~", 200, 60))
}

// zoneOfTargets is a zone with targets of equal size, and the requests that occupy their slots.
type zoneOfTargets struct {
	name                 cactuspin.ZoneID
	targets, slots, busy int
	// draining is the number of targets that get no flows.
	draining int
}

func (z *zoneOfTargets) free() int { return (z.targets-z.draining)*z.slots - z.busy }

// fleet returns hosts of zone a that know the load of all zones.
func fleet(hosts int, zones []zoneOfTargets) []*balancer.Balancer {
	var all []*balancer.Balancer
	for n := range hosts {
		b := balancer.New(balancer.Config{Zone: "a", Seed: uint64(n), StaleAfter: time.Second, MaxFlows: 1 << 12})
		c := tracker.Change{Routing: routing()}
		for z, x := range zones {
			for i := range x.targets {
				r := registered(1000*(z+1)+i, "desk", string(x.name))
				r.Slots = x.slots
				if i < x.draining {
					r.State = cactuspin.TargetDraining
				}
				c.Targets = append(c.Targets, r)
			}
		}
		b.Apply(now, &c)
		b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
		// The subjects of the zones show in the loads of a host with a flow in each.
		var loads encoder.Loads
		for z, x := range zones {
			b.Steer(now, data(9000+z, feeds, balancer.CookieOf(registered(1000*(z+1)+x.draining, "desk", "").ID), 0))
			for _, l := range b.Loads() {
				if len(loads) <= z && !containsSubject(loads, l.Subject) {
					loads = append(loads, encoder.Load{Subject: l.Subject, ActiveRequests: uint16(x.busy * encoder.ActiveRequestsScale)})
				}
			}
		}
		b.MergeLoads(loads)
		all = append(all, b)
	}
	return all
}

func containsSubject(loads encoder.Loads, s encoder.Subject) bool {
	for _, l := range loads {
		if l.Subject == s {
			return true
		}
	}
	return false
}

// checkShares checks that of a number of flows no zone but the first one, which is evacuated,
// got more than its share of the free slots.
func checkShares(g *WithT, zones []zoneOfTargets, chosen map[int]int, total float64) {
	g.Expect(chosen[1]).To(BeZero(), "zone a is evacuated")
	free := 0
	for _, z := range zones[1:] {
		free += max(0, z.free())
	}
	for i, z := range zones[1:] {
		share := 1 / float64(len(zones)-1)
		if free > 0 {
			share = float64(max(0, z.free())) / float64(free)
		}
		// A zone may get more than its share by chance: five standard deviations of at most
		// half the root of the number of flows.
		g.Expect(float64(chosen[i+2])).To(BeNumerically("<=", share*total+2.5*math.Sqrt(total)), "zone %s of %v", z.name, chosen)
	}
}

// Guards against the load of an evacuated zone that overruns the least loaded of the other
// zones: many hosts choose at once, before any of them knows what the others chose.
func TestDisplacedLoadIsSpreadByFreeSlots(t *testing.T) {
	const flowsPerHost = 40
	for name, zones := range map[string][]zoneOfTargets{
		"equal zones":    {{"a", 40, 2, 0, 0}, {"b", 40, 2, 40, 0}, {"c", 40, 2, 40, 0}},
		"unequal load":   {{"a", 40, 2, 0, 0}, {"b", 40, 2, 60, 0}, {"c", 40, 2, 20, 0}},
		"unequal slots":  {{"a", 40, 2, 0, 0}, {"b", 10, 8, 40, 0}, {"c", 40, 2, 40, 0}},
		"draining zone":  {{"a", 40, 2, 0, 0}, {"b", 40, 2, 10, 30}, {"c", 40, 2, 40, 0}},
		"four zones":     {{"a", 30, 2, 0, 0}, {"b", 30, 2, 30, 0}, {"c", 30, 2, 50, 0}, {"d", 10, 2, 0, 0}},
		"all zones full": {{"a", 40, 2, 0, 0}, {"b", 40, 2, 100, 0}, {"c", 40, 2, 90, 0}},
	} {
		for _, hosts := range []int{28, 84} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				chosen := map[int]int{}
				for _, b := range fleet(hosts, zones) {
					b.Apply(now, evacuate(true, "a"))
					for port := range flowsPerHost {
						chosen[int(b.Steer(now, syn(port, feeds, 0)).TargetNumber)/1000]++
					}
				}
				checkShares(NewWithT(t), zones, chosen, float64(hosts*flowsPerHost))
			})
		}
	}
}

// Guards against states of zones that change while packets are steered; it needs -race.
func TestZonesChangeWhilePacketsAreSteered(t *testing.T) {
	b := newBalancer(1, "a", "b", "c")
	var group sync.WaitGroup
	for n := range 3 {
		group.Go(func() {
			for port := range 500 {
				b.Steer(now, syn(1000*n+port, feeds, uint32(port%2)))
				b.Explain(now, caller(port), feeds)
			}
		})
	}
	for i := range 200 {
		b.Apply(now, evacuate(i%2 == 0, "a", "unknown"))
		b.HasTargets("a")
		b.MergeLoads(b.Loads())
	}
	group.Wait()
}

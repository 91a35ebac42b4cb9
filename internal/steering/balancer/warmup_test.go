package balancer_test

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

var (
	selfAddress  = netip.MustParseAddr("10.1.0.1")
	otherAddress = netip.MustParseAddr("10.1.0.2")
)

const coldTime = 4 * time.Second

// limited is a balancer of a host in zone a. A cold target of its service can handle ten
// new flows per second.
type limited struct {
	*balancer.Balancer
	at       cactuspin.Time
	eligible []netip.Addr
	ports    int
}

// newLimited returns a balancer with two targets in each of the zones; those of the zones
// in cold have just started.
func newLimited(cold string, zones ...string) *limited {
	x := &limited{at: now, eligible: []netip.Addr{selfAddress}}
	x.Balancer = balancer.New(balancer.Config{Self: selfAddress, Zone: "a", Seed: 1, StaleAfter: time.Hour, MaxFlows: 1 << 12})
	c := tracker.Change{Routing: routing()}
	c.Routing.Warmups = []cactuspin.ServiceSettings{{Name: "desk", Warmup: coldTime, WarmupRate: 10}}
	for z, zone := range zones {
		for i := range 2 {
			t := registered(2*z+i+1, "desk", zone)
			if zone == cold || cold == "all" {
				t.Warmup = coldTime
			}
			c.Targets = append(c.Targets, t)
		}
	}
	x.Apply(now, &c)
	x.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	x.SetEligible(now, x.eligible)
	return x
}

// pass lets time pass with ticks.
func (x *limited) pass(d time.Duration) {
	for end := x.at.Add(d); x.at < end; {
		x.at = x.at.Add(balancer.TickInterval)
		x.Tick(x.at)
		x.SetEligible(x.at, x.eligible)
	}
}

// open steers the first packet of a new flow.
func (x *limited) open() cactuspin.Verdict {
	x.ports++
	return x.Steer(x.at, syn(x.ports, feeds, 0))
}

// count opens flows for a second and returns the number of those that were forwarded, by
// the number of their target.
func (x *limited) count() map[uint64]int {
	counts := map[uint64]int{}
	for range 20 {
		x.pass(balancer.TickInterval)
		for range 10 {
			if v := x.open(); v.Kind == cactuspin.VerdictForward {
				counts[v.TargetNumber]++
			}
		}
	}
	return counts
}

// Guards against flows that are lost although other zones have room.
func TestFlowsOfAColdZoneGoToOtherZones(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("a", "a", "b", "c")
	counts := x.count()
	g.Expect(counts[1]+counts[2]).To(BeNumerically("~", 10, 2), "half of the rate for each target")
	g.Expect(counts[3]+counts[4]).To(BeNumerically("~", 95, 30), "spread by free slots")
	g.Expect(counts[5] + counts[6]).To(BeNumerically("~", 95, 30))
	g.Expect(x.HeldAway()).To(BeNumerically("~", 190, 2))
	x.pass(coldTime)
	counts = x.count()
	g.Expect(counts[1] + counts[2]).To(Equal(200))
}

// Guards against flows that leave their zone because one target of it has restarted.
func TestAColdTargetDoesNotEmptyItsZone(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("", "a", "b")
	r := registered(1, "desk", "a")
	r.Started, r.Warmup, r.Revision = 5, coldTime, 50
	x.Apply(x.at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{r}})
	counts := x.count()
	g.Expect(counts[1]).To(BeNumerically("<=", 6))
	g.Expect(counts[2]).To(BeNumerically(">=", 194))
	g.Expect(x.HeldAway()).To(BeZero(), "none left the zone")
}

// Guards against callers that wait for an answer that does not come, and against a reason
// that blames the targets' registrations.
func TestFlowsAreRefusedAtOnceIfAllTargetsAreCold(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("all", "a", "b")
	x.eligible = []netip.Addr{otherAddress}
	x.pass(balancer.TickInterval)
	v := x.open()
	g.Expect(v.Kind).To(Equal(cactuspin.VerdictReset))
	g.Expect(v.Reason.String()).To(Equal("targets_cold"))
	x.eligible = nil
	x.pass(balancer.TickInterval)
	g.Expect(x.open().Reason).To(Equal(cactuspin.ReasonTargetsCold), "no list is known")
	x.pass(coldTime)
	g.Expect(x.open().Kind).To(Equal(cactuspin.VerdictForward))
}

// Guards against a retransmitted SYN that opens a flow at a second target, or that counts
// twice.
func TestCopiesOfASYNGoToTheSameColdTarget(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("all", "a")
	x.pass(time.Second)
	first := x.open()
	g.Expect(first.Kind).To(Equal(cactuspin.VerdictForward))
	g.Expect(x.open().Kind).To(Equal(cactuspin.VerdictForward), "the token of the other target")
	for n := range 3 {
		copied := x.Steer(x.at, syn(1, feeds, uint32(n+1)))
		g.Expect(copied.Target).To(Equal(first.Target))
	}
	g.Expect(x.open().Reason).To(Equal(cactuspin.ReasonTargetsCold))
	x.pass(200 * time.Millisecond)
	g.Expect(x.open().Kind).To(Equal(cactuspin.VerdictForward), "copies took no tokens")
}

// Guards against two flows that take the same token when they are placed at the same time.
func TestFlowsPlacedAtTheSameTimeTakeDifferentTokens(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("all", "a")
	x.pass(time.Second)
	var forwarded atomic.Int32
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			for port := range 200 {
				if x.Steer(x.at, syn(1000*worker+port, feeds, 0)).Kind == cactuspin.VerdictForward {
					forwarded.Add(1)
				}
			}
		})
	}
	wait.Wait()
	g.Expect(forwarded.Load()).To(Equal(int32(2)), "one for each target")
}

// Guards against a new flow from a port that was used before, which counts as a copy.
func TestNewFlowsFromTheSamePortAreCounted(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("all", "a")
	x.pass(time.Second)
	x.open()
	x.open()
	g.Expect(x.Steer(x.at, syn(1, feeds, 0)).Reason).To(Equal(cactuspin.ReasonTargetsCold))
}

// Guards against targets that count as warm because they have not yet registered anew after
// their zone's return.
func TestTargetsOfAReturnedZoneAreCold(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("", "a", "b")
	state := cactuspin.ZoneState{Zone: "a", Evacuated: true, Revision: 60}
	x.Apply(x.at, &tracker.Change{Zones: []tracker.ZoneChange{{ZoneState: state}}})
	g.Expect(x.ColdTargets()).To(BeZero())
	x.pass(time.Second)
	x.Apply(x.at, &tracker.Change{Zones: []tracker.ZoneChange{{ZoneState: cactuspin.ZoneState{Zone: "a", Revision: 61}}}})
	g.Expect(x.ColdTargets()).To(Equal(2))
	g.Expect(x.RecentReturns(x.at)).To(Equal([]encoder.ZoneReturn{{Zone: "a"}}))
	late := registered(1, "desk", "a")
	late.Revision = 62
	x.Apply(x.at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{late}})
	g.Expect(x.ColdTargets()).To(Equal(2), "it was written before the return")
	counts := x.count()
	g.Expect(counts[1] + counts[2]).To(BeNumerically("~", 10, 2))
	x.pass(coldTime)
	g.Expect(x.ColdTargets()).To(BeZero())
	g.Expect(x.RecentReturns(x.at)).To(BeEmpty())
}

// Guards against a host that has started after the return and takes the targets for warm.
func TestHostsLearnOfReturnsFromPeers(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("", "a", "b")
	x.RecordReturns(x.at, []encoder.ZoneReturn{{Zone: "a", Since: time.Second}})
	g.Expect(x.ColdTargets()).To(Equal(2))
	x.pass(coldTime - 500*time.Millisecond - time.Second)
	x.RecordReturns(x.at, []encoder.ZoneReturn{{Zone: "a"}})
	x.pass(time.Second)
	g.Expect(x.ColdTargets()).To(BeZero(), "the same return, told with a delay")
	plain := newBalancer(1, "a")
	plain.RecordReturns(now, []encoder.ZoneReturn{{Zone: "a"}})
	g.Expect(plain.RecentReturns(now)).To(BeEmpty(), "no service has a limit")
}

// Guards against a target that has restarted under the same ID and gets all flows until its
// registration arrives.
func TestTargetThatRefusedConnectionsIsColdAfterwards(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("", "a", "b")
	v := x.open()
	x.pass(200 * time.Millisecond)
	x.Steer(x.at, syn(1, feeds, 1))
	x.RecordProbe(x.at, x.at, v.Target, balancer.FindingRefused)
	x.pass(time.Second)
	x.RecordProbe(x.at, x.at, v.Target, balancer.FindingAlive)
	g.Expect(x.ColdTargets()).To(Equal(1))
	before := registered(int(v.TargetNumber), "desk", "a")
	before.Revision = 60
	x.Apply(x.at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{before}})
	x.pass(balancer.TickInterval)
	g.Expect(x.ColdTargets()).To(Equal(1), "it was written before the restart")
	again := registered(int(v.TargetNumber), "desk", "a")
	again.Started, again.Warmup, again.Revision = 9, time.Second, 70
	x.Apply(x.at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{again}})
	x.pass(1100 * time.Millisecond)
	g.Expect(x.ColdTargets()).To(BeZero(), "the new registration tells when it is warm")
}

// Guards against changes of the configuration that take effect at restarted hosts only.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("all", "a")
	g.Expect(x.ColdTargets()).To(Equal(2))
	plain := routing()
	plain.Version++
	x.Apply(x.at, &tracker.Change{Routing: plain})
	g.Expect(x.ColdTargets()).To(BeZero())
	g.Expect(x.open().Kind).To(Equal(cactuspin.VerdictForward), "a rate of 0 sets no limit")
	strict := routing()
	strict.Version += 2
	strict.Warmups = []cactuspin.ServiceSettings{{Name: "desk", Warmup: coldTime, WarmupRate: 1}}
	x.Apply(x.at, &tracker.Change{Routing: strict})
	g.Expect(x.ColdTargets()).To(Equal(2))
	g.Expect(x.open().Reason).To(Equal(cactuspin.ReasonTargetsCold))
}

// Guards against explanations that leave out why a host does not use a target.
func TestExplainShowsLimitsAndOwners(t *testing.T) {
	g := NewWithT(t)
	x := newLimited("a", "a", "b")
	s := x.Explain(x.at, caller(9), feeds).Services[0]
	g.Expect(*s.Limit).To(Equal(balancer.LimitExplanation{Rate: 10, OwnRate: 5, Warmup: 4, EligibleHosts: 1}))
	g.Expect(s.Zones[0].Cold).To(Equal(2))
	g.Expect(s.Zones[0].Owned).To(Equal(2))
	g.Expect(s.Zones[1].Cold).To(BeZero())
	x.eligible = []netip.Addr{otherAddress}
	x.pass(balancer.TickInterval)
	g.Expect(x.Explain(x.at, caller(9), feeds).Services[0].Zones[0].Owned).To(BeZero())
	g.Expect(newBalancer(1, "a").Explain(now, caller(9), feeds).Services[0].Limit).To(BeNil())
}

// BenchmarkSYNWithColdZone measures the choice of a target while all targets of the zone
// are cold.
func BenchmarkSYNWithColdZone(b *testing.B) {
	for _, owner := range []netip.Addr{selfAddress, otherAddress} {
		b.Run("owner="+owner.String(), func(b *testing.B) {
			x := newLimited("a", "a", "b", "c")
			x.eligible = []netip.Addr{owner}
			x.pass(time.Second)
			b.ReportAllocs()
			p := syn(1, feeds, 0)
			for i := 0; b.Loop(); i++ {
				p.Caller = caller(i % 60_000)
				x.Steer(x.at, p)
			}
		})
	}
}

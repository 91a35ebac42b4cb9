package balancer_test

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// explainedAt is a time at which suspect targets are still avoided.
const explainedAt = now + cactuspin.Time(500*time.Millisecond)

// killAll lets all targets of zones with two targets each refuse connections.
func killAll(b *balancer.Balancer, zones int) {
	for i := range 2 * zones {
		suspectTarget(b, 900+i)
		for _, p := range b.DueProbes(now.Add(200 * time.Millisecond)) {
			b.RecordProbe(now.Add(200*time.Millisecond), now.Add(200*time.Millisecond), p.Target, balancer.FindingRefused)
		}
	}
}

// crowd lets the zone of the balancer be used at 1.2 times its slots.
func crowd(b *balancer.Balancer) {
	b.Steer(now, syn(999, feeds, 0))
	loads := encoder.Loads{}
	for _, l := range b.Loads() {
		loads = append(loads, encoder.Load{Subject: l.Subject, ActiveRequests: 72 * encoder.ActiveRequestsScale / 10})
	}
	b.MergeLoads(loads)
}

// Guards against explanations that differ from what happens: the first flow after the
// explanation goes to each target as often as explained, and is refused if and only if the
// explanation says so.
func TestExplanationsAgreeWithPlacements(t *testing.T) {
	for name, s := range map[string]struct {
		setup func(b *balancer.Balancer)
		rules []string
	}{
		"own zone":              {func(*balancer.Balancer) {}, []string{"own zone"}},
		"one busy target":       {func(b *balancer.Balancer) { b.Steer(now, syn(999, feeds, 0)) }, []string{"own zone"}},
		"own zone crowded":      {crowd, []string{"own zone", "own zone crowded"}},
		"own zone evacuated":    {func(b *balancer.Balancer) { b.Apply(now, evacuate(true, "a")) }, []string{"zone evacuated"}},
		"other zones evacuated": {func(b *balancer.Balancer) { b.Apply(now, evacuate(true, "b", "c")) }, []string{"own zone"}},
		"all zones evacuated":   {func(b *balancer.Balancer) { b.Apply(now, evacuate(true, "a", "b", "c")) }, []string{"no target"}},
		"crowded and evacuated": {func(b *balancer.Balancer) { crowd(b); b.Apply(now, evacuate(true, "a")) }, []string{"zone evacuated"}},
		"own zone dead":         {func(b *balancer.Balancer) { killAll(b, 1) }, []string{"no healthy target in the zone"}},
		"all dead":              {func(b *balancer.Balancer) { killAll(b, 3) }, []string{"no target"}},
		"suspect target":        {func(b *balancer.Balancer) { suspectTarget(b, 999) }, []string{"own zone"}},
		"target on probation":   {revive, []string{"own zone"}},
		"only suspect targets": {func(b *balancer.Balancer) {
			b.Apply(now, evacuate(true, "b", "c"))
			suspectTarget(b, 999)
			suspectTarget(b, 998)
		}, []string{"only suspect targets left"}},
		"all dead, stale":         {func(b *balancer.Balancer) { killAll(b, 3); b.SetFreshness(now, tracker.Position{Age: time.Minute}) }, []string{"no target"}},
		"target drains in zone a": {func(b *balancer.Balancer) { drain(b, 1) }, []string{"own zone"}},
		"all of zone a drain":     {func(b *balancer.Balancer) { drain(b, 1, 2) }, []string{"no healthy target in the zone"}},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 200
			g := NewWithT(t)
			expected, placed := map[cactuspin.TargetID]float64{}, map[cactuspin.TargetID]float64{}
			rules := map[string]bool{}
			for seed := range seeds {
				b := newBalancer(uint64(seed), "a", "b", "c")
				s.setup(b)
				x := b.Explain(explainedAt, netip.AddrPort{}, feeds)
				v := b.Steer(explainedAt, syn(1, feeds, 0))
				shares := targetShares(&x)
				for id, share := range shares {
					expected[id] += share
				}
				placed[v.Target]++
				g.Expect(shares[v.Target]).To(BeNumerically(">", 0), "seed %d: %s", seed, v.Target)
				g.Expect(avoidedWithoutReason(&x)).To(BeEmpty())
				g.Expect(outcomes(&x)).To(Equal(map[cactuspin.VerdictKind]bool{v.Kind: true}))
				for _, d := range x.Decisions {
					rules[d.Rule] = true
				}
			}
			for id, n := range placed {
				g.Expect(expected[id]).To(BeNumerically("~", n, seeds/10), "%s", id)
			}
			g.Expect(rules).To(HaveLen(len(s.rules)))
			for _, r := range s.rules {
				g.Expect(rules).To(HaveKey(r))
			}
		})
	}
}

// revive lets a target refuse a probe and then answer one.
func revive(b *balancer.Balancer) {
	v, _ := suspectTarget(b, 999)
	at := now.Add(300 * time.Millisecond)
	b.RecordProbe(at, at, v.Target, balancer.FindingRefused)
	b.RecordProbe(at, at, v.Target, balancer.FindingAlive)
	answerElsewhere(b, at, v.Target)
}

// avoidedWithoutReason returns the targets that are avoided although they are said to be
// healthy.
func avoidedWithoutReason(x *balancer.Explanation) (wrong []cactuspin.TargetID) {
	for _, s := range x.Services {
		for _, z := range s.Zones {
			for _, t := range z.Targets {
				if t.Avoided && t.Condition == "healthy" {
					wrong = append(wrong, t.Target)
				}
			}
		}
	}
	return wrong
}

func drain(b *balancer.Balancer, targets ...int) {
	for _, i := range targets {
		r := registered(i, "desk", "a")
		r.State, r.Revision = cactuspin.TargetDraining, 50
		b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{r}})
	}
}

// targetShares returns the shares of the targets, and that of refused flows under the empty
// ID.
func targetShares(x *balancer.Explanation) map[cactuspin.TargetID]float64 {
	shares := map[cactuspin.TargetID]float64{}
	for _, s := range x.Services {
		for _, z := range s.Zones {
			for _, t := range z.Targets {
				shares[t.Target] = t.Share
			}
		}
	}
	for _, d := range x.Decisions {
		if d.Outcome != "forward" {
			shares[""] += d.Share
		}
	}
	return shares
}

func outcomes(x *balancer.Explanation) map[cactuspin.VerdictKind]bool {
	kinds := map[string]cactuspin.VerdictKind{"forward": cactuspin.VerdictForward, "reset": cactuspin.VerdictReset, "drop": cactuspin.VerdictDrop}
	found := map[cactuspin.VerdictKind]bool{}
	for _, d := range x.Decisions {
		found[kinds[d.Outcome]] = true
	}
	return found
}

// Guards against explanations that draw random numbers of the packet path, count, or mark
// targets: two hosts go on alike, whether one was asked or not.
func TestExplanationsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	asked, other := newBalancer(5, "a", "b"), newBalancer(5, "a", "b")
	crowd(asked) // So that each new flow needs random numbers.
	crowd(other)
	for i := range 300 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		for _, c := range []netip.AddrPort{{}, caller(i), caller(i / 2)} {
			asked.Explain(at, c, feeds)
		}
		p := syn(i*2/3, feeds, uint32(i%2))
		v := other.Steer(at, p)
		g.Expect(asked.Steer(at, p)).To(Equal(v))
		if i%3 == 0 {
			d := data(i*2/3, feeds, v.Cookie, 0)
			g.Expect(asked.Steer(at, d)).To(Equal(other.Steer(at, d)))
		}
		g.Expect(asked.DueProbes(at)).To(Equal(other.DueProbes(at)))
		g.Expect(asked.Tick(at)).To(HaveLen(len(other.Tick(at))))
	}
	g.Expect(asked.Verdicts()).To(Equal(other.Verdicts()))
	g.Expect(asked.Loads()).To(ConsistOf(other.Loads()))
	g.Expect(asked.Flows()).To(Equal(other.Flows()))
}

func TestExplanationsOfKnownFlows(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	v := b.Steer(now, syn(1, feeds, 0))
	b.Steer(now, data(1, feeds, v.Cookie, 0))
	x := b.Explain(now, caller(1), feeds)
	g.Expect(x.FlowKnown).To(BeTrue())
	g.Expect(x.Target).To(Equal(v.Target))
	g.Expect(x.Decisions).To(Equal([]balancer.DecisionExplanation{{Rule: "known flow", Outcome: "forward", Service: "desk", Zone: "a", Share: 1}}))
	b.Apply(now, evacuate(true, "a"))
	g.Expect(b.Explain(now, caller(1), feeds).Decisions).To(Equal(x.Decisions), "open flows stay")

	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: v.Target, Revision: 60}}}})
	gone := b.Explain(now, caller(1), feeds).Decisions[0]
	g.Expect(gone.Rule).To(Equal("target of the flow is gone"))
	g.Expect(gone.Outcome).To(Equal("reset"))
	g.Expect(b.Steer(now, data(1, feeds, v.Cookie, 1)).Reason).To(Equal(cactuspin.ReasonTargetGone))
}

func TestExplanationsOfFlowsAtDeadTargets(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	v, _ := suspectTarget(b, 999)
	b.RecordProbe(explainedAt, explainedAt, v.Target, balancer.FindingRefused)
	for _, address := range []netip.AddrPort{feeds, orders} {
		p := data(1, address, v.Cookie, 0)
		p.Length = 0
		g.Expect(b.Steer(explainedAt, p).Target).To(Equal(v.Target))
	}
	x := b.Explain(explainedAt, caller(1), feeds).Decisions[0]
	g.Expect([]string{x.Rule, x.Outcome}).To(Equal([]string{"target of the flow is dead", "reset"}))
	g.Expect(b.Steer(explainedAt, data(1, feeds, v.Cookie, 0)).Reason).To(Equal(cactuspin.ReasonTargetDown))
	g.Expect(b.Explain(explainedAt, caller(1), orders).Decisions[0].Outcome).To(Equal("forward"), "an order may have run")
	g.Expect(b.Steer(explainedAt, data(1, orders, v.Cookie, 0)).Target).To(Equal(v.Target))
}

func TestExplanationsWithoutRouteOrKnowledge(t *testing.T) {
	g := NewWithT(t)
	x := newBalancer(1, "a").Explain(now, netip.AddrPort{}, unrouted)
	g.Expect(x.Ready).To(BeTrue())
	g.Expect(x.Route).To(BeEmpty())
	g.Expect(x.Decisions).To(BeEmpty())
	g.Expect(balancer.New(balancer.Config{Zone: "a"}).Explain(now, netip.AddrPort{}, feeds)).To(Equal(balancer.Explanation{Zone: "a"}))
}

// Guards against figures of targets without their age, and against answers that cannot be
// encoded or whose length grows with the number of targets.
func TestExplanationsOfTargets(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	warm, without := registered(3, "desk", "a"), registered(4, "desk", "a")
	warm.Warmup, without.Slots = 8*time.Second, 0
	c := tracker.Change{Targets: []cactuspin.RegisteredTarget{warm, without}}
	for i := range 200 {
		c.Targets = append(c.Targets, registered(100+i, "shelf", strconv.Itoa(i%2)))
	}
	b.Apply(now, &c)
	v, _ := suspectTarget(b, 1)
	b.RecordProbe(now.Add(300*time.Millisecond), now, v.Target, balancer.FindingRefused)
	b.Apply(now, &tracker.Change{Reappeared: []cactuspin.TargetID{"desk-4"}})
	x := b.Explain(explainedAt, netip.AddrPort{}, feeds)
	targets := map[cactuspin.TargetID]balancer.TargetExplanation{}
	for _, e := range x.Services[0].Zones[0].Targets {
		targets[e.Target] = e
	}
	dead := targets[v.Target]
	g.Expect(dead.Condition).To(Equal("dead"))
	g.Expect(dead.Avoided).To(BeTrue())
	g.Expect(*dead.EvidenceAge).To(BeNumerically("~", 0.2, 1e-9))
	g.Expect(targets["desk-3"].WarmupLeft).To(BeNumerically("~", 7.5, 1e-9))
	g.Expect(targets["desk-4"].Unusable).To(Equal("in a backup, not probed yet"))
	_, err := json.Marshal(x)
	g.Expect(err).NotTo(HaveOccurred(), "a target has no slots")

	r := routing()
	r.Routes[0].Services = []cactuspin.WeightedService{{Service: "desk", Weight: 1}, {Service: "shelf", Weight: 3}, {Service: "none", Weight: 0}}
	b.Apply(now, &tracker.Change{Routing: r})
	x = b.Explain(explainedAt, netip.AddrPort{}, feeds)
	g.Expect(x.Services).To(HaveLen(3))
	g.Expect(x.Services[1].Weight).To(Equal(uint32(3)))
	for _, z := range x.Services[1].Zones {
		g.Expect(len(z.Targets) + z.TargetsOmitted).To(Equal(100))
		g.Expect(len(z.Targets)).To(BeNumerically("<", 50))
	}
	g.Expect(x.Services[2].Zones).To(BeEmpty())
}

// Guards against explanations that use up the flows that a cold target may get, or that do
// not know the limit: each flow goes where the explanation before it says.
func TestExplanationsOfColdTargets(t *testing.T) {
	for cold, s := range map[string]struct {
		zones []string
		rules []string
	}{
		"a":   {[]string{"a", "b", "c"}, []string{"cold target", "zone short of warm targets"}},
		"all": {[]string{"a", "b"}, []string{"cold target", "no target but cold ones"}},
	} {
		t.Run(cold, func(t *testing.T) {
			g := NewWithT(t)
			asked, other := newLimited(cold, s.zones...), newLimited(cold, s.zones...)
			rules := map[string]bool{}
			for range 150 {
				asked.pass(balancer.TickInterval / 2)
				other.pass(balancer.TickInterval / 2)
				x := asked.Explain(asked.at, netip.AddrPort{}, feeds)
				v := asked.open()
				g.Expect(other.open()).To(Equal(v))
				g.Expect(targetShares(&x)[v.Target]).To(BeNumerically(">", 0), "%s", v.Target)
				for _, d := range x.Decisions {
					rules[d.Rule] = true
				}
			}
			g.Expect(asked.HeldAway()).To(Equal(other.HeldAway()))
			for _, r := range s.rules {
				g.Expect(rules).To(HaveKey(r))
			}
			x := asked.Explain(now, netip.AddrPort{}, feeds)
			g.Expect(x.Services[0].Limit.OwnRate).To(BeNumerically("==", 5))
			g.Expect(x.Services[0].Zones[0].Targets[0].Cold).To(HavePrefix("owned"))
			g.Expect(x.Services[0].Zones[0].Targets[0].WarmupLeft).To(BeNumerically("==", coldTime.Seconds()))
		})
	}
}

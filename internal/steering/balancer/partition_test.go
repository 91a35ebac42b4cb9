package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// newRankedBalancer returns a balancer that has a rank among ten hosts and 20 targets.
func newRankedBalancer(rank int) *balancer.Balancer {
	b := balancer.New(balancer.Config{Zone: "a", Seed: uint64(rank), StaleAfter: time.Second, MaxFlows: 1 << 12})
	c := tracker.Change{Routing: routing()}
	for i := range 20 {
		c.Targets = append(c.Targets, registered((i+rank*7)%20+1, "desk", "a"))
	}
	b.Apply(now, &c)
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	b.Steer(now, syn(1, orders, 0))
	b.SetShare(now, encoder.HostRank{Rank: rank, Hosts: 10}, nil)
	return b
}

// placeRequest returns the target of a new flow of one request.
func placeRequest(b *balancer.Balancer, port int) cactuspin.TargetID {
	v := b.Steer(now, syn(port, orders, 0))
	b.Steer(now, data(port, orders, v.Cookie, 0))
	return v.Target
}

// TestHostsPreferTheirOwnTargets fails if several hosts choose the same target.
func TestHostsPreferTheirOwnTargets(t *testing.T) {
	g := NewWithT(t)
	targets := map[cactuspin.TargetID]bool{}
	for rank := range 10 {
		b := newRankedBalancer(rank)
		targets[placeRequest(b, 2)], targets[placeRequest(b, 3)] = true, true
	}
	g.Expect(targets).To(HaveLen(20))
}

// TestHostsWithoutARankUseAllTargets fails if a host prefers targets of its own although
// other hosts may prefer them, too.
func TestHostsWithoutARankUseAllTargets(t *testing.T) {
	g := NewWithT(t)
	for _, r := range []encoder.HostRank{{}, {Rank: 3, Hosts: 7}} {
		b := newRankedBalancer(3)
		b.SetShare(now, r, nil)
		targets := map[cactuspin.TargetID]bool{}
		for port := range 20 {
			targets[placeRequest(b, 100+port)] = true
		}
		g.Expect(targets).To(HaveLen(20), "each gets one")
		g.Expect(b.FlowCounts()).To(BeEmpty())
	}
}

// TestPreferredTargetsThatFailAreAvoided fails if a host uses a target of its part that is
// draining, down or excluded.
func TestPreferredTargetsThatFailAreAvoided(t *testing.T) {
	g := NewWithT(t)
	b := newRankedBalancer(4)
	first := placeRequest(b, 2)
	for port := range 5 {
		b.Steer(now, &cactuspin.Packet{Caller: caller(2), Service: orders, Flags: cactuspin.FlagRST, Sequence: 151, Acknowledgement: 1})
		g.Expect(placeRequest(b, 2)).To(Equal(first), "flow %d", port)
	}
	b.Steer(now, &cactuspin.Packet{Caller: caller(2), Service: orders, Flags: cactuspin.FlagRST, Sequence: 151, Acknowledgement: 1})
	b.MergeDownReports(now.Add(time.Second), encoder.DownTargets{{Cookie: balancer.CookieOf(first)}})
	g.Expect(placeRequest(b, 3)).NotTo(Equal(first), "down")

	b = newRankedBalancer(4)
	draining := b.Steer(now, syn(2, orders, 0))
	r := registered(int(draining.TargetNumber), "desk", "a")
	r.State, r.Revision = cactuspin.TargetDraining, 99
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{r}})
	g.Expect(placeRequest(b, 3)).NotTo(Equal(draining.Target))
}

// missingFlows returns flows of other hosts for a host with rank 4 of 10, to whose part the
// targets 8 and 9 of 20 belong: these and those around have too many, target 11 lacks some.
func missingFlows(b *balancer.Balancer) encoder.FlowCounts {
	others := b.FlowCounts()
	others[0].Flows = make([]uint16, 20)
	for i := range others[0].Flows {
		others[0].Flows[i] = 30
		if i >= 6 && i <= 10 {
			others[0].Flows[i] = 50
		}
	}
	others[0].Flows[11] = 10
	return others
}

// TestLongFlowsGoWhereOtherHostsHaveFew fails if the flows of other hosts do not count.
func TestLongFlowsGoWhereOtherHostsHaveFew(t *testing.T) {
	g := NewWithT(t)
	b := newRankedBalancer(4)
	g.Expect(b.FlowCounts()).To(HaveLen(1))
	others := missingFlows(b)
	rank := encoder.HostRank{Rank: 4, Hosts: 10}
	b.SetShare(now, rank, others)
	for port := range 8 {
		b.Steer(now, syn(100+port, feeds, 0))
	}
	g.Expect(b.FlowCounts()[0].Flows[11]).To(BeNumerically("==", 8))
	g.Expect(b.Balance(now).Imbalance).To(BeNumerically("~", 50*20/681.0, 0.01))
	wrong := encoder.FlowCounts{{Subject: others[0].Subject, Check: others[0].Check + 1, Flows: make([]uint16, 20)}}
	b.SetShare(now, rank, wrong)
	b.Steer(now, syn(200, feeds, 0))
	g.Expect(b.FlowCounts()[0].Flows[11]).To(BeNumerically("==", 9), "counts of other targets are ignored")
}

// TestRoutesLearnTheLengthOfFlows fails if a route whose flows have one request each places
// them like long flows, far from the part where the host sees the requests.
func TestRoutesLearnTheLengthOfFlows(t *testing.T) {
	g := NewWithT(t)
	b := newRankedBalancer(4)
	b.SetShare(now, encoder.HostRank{Rank: 4, Hosts: 10}, missingFlows(b))
	for port := range 20 {
		v := b.Steer(now, syn(port, feeds, 0))
		b.Steer(now, data(port, feeds, v.Cookie, 0))
		end := data(port, feeds, v.Cookie, 1)
		end.Flags, end.Length = cactuspin.FlagACK|cactuspin.FlagFIN, 0
		b.Steer(now, end)
	}
	before := b.FlowCounts()[0].Flows
	b.Steer(now, syn(100, feeds, 0))
	after := b.FlowCounts()[0].Flows
	g.Expect(after[8] + after[9]).To(Equal(before[8] + before[9] + 1))
}

// An explanation with other loads than those that choices compare would mislead operators.
func TestExplanationsShowTheLoadsOfAPart(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	var c tracker.Change
	for i := range 40 {
		c.Targets = append(c.Targets, registered(3+i, "desk", "a"))
	}
	b.Apply(now, &c)
	b.Steer(now, syn(1, feeds, 0))
	b.SetShare(now, encoder.HostRank{Rank: 5, Hosts: 28}, nil)
	targets := b.Explain(now, netip.AddrPort{}, feeds).Services[0].Zones[0].Targets
	g.Expect(targets[0].Share).To(BeNumerically(">", 0))
	for _, x := range targets[1:] {
		g.Expect(x.Load).To(BeNumerically(">=", targets[0].Load), "the target with the largest share has the lowest load")
	}
}

package encoder_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// TestFlowCountsRoundTrip fails if counts of any width change on the wire by more than the
// rounding of those above 255.
func TestFlowCountsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	for _, highest := range []int{0, 1, 3, 9, 200, 255, 4_000, 65_535} {
		for _, targets := range []int{1, 7, 40, 200} {
			c := encoder.FlowCounts{{Subject: 7, Check: 9, Flows: make([]uint16, targets)}, {Subject: 8, Check: 1, Flows: make([]uint16, 3)}}
			for i := range targets {
				c[0].Flows[i] = uint16(r.IntN(highest + 1))
			}
			b, err := c.MarshalBinary()
			g.Expect(err).NotTo(HaveOccurred())
			var decoded encoder.FlowCounts
			g.Expect(decoded.UnmarshalBinary(b)).To(Succeed())
			g.Expect(decoded[1]).To(Equal(c[1]))
			for i, n := range decoded[0].Flows {
				g.Expect(float64(n)).To(BeNumerically("~", c[0].Flows[i], float64(highest)/128))
				g.Expect(n).To(BeNumerically("<=", c[0].Flows[i]))
			}
			for i := range b {
				g.Expect(decoded.UnmarshalBinary(b[:i])).To(Or(Succeed(), MatchError(ContainSubstring("flow counts"))), "no panic")
			}
		}
	}
}

func FuzzFlowCounts(f *testing.F) {
	b, _ := encoder.FlowCounts{{Subject: 7, Check: 9, Flows: []uint16{1, 2, 300}}}.MarshalBinary()
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var c encoder.FlowCounts
		_ = c.UnmarshalBinary(b)
	})
}

func TestFlowCountsAddUp(t *testing.T) {
	g := NewWithT(t)
	a := encoder.FlowCounts{{Subject: 1, Check: 1, Flows: []uint16{1, 65_535}}, {Subject: 2, Check: 1, Flows: []uint16{4}}}
	b := encoder.FlowCounts{{Subject: 1, Check: 1, Flows: []uint16{2, 3}}, {Subject: 2, Check: 2, Flows: []uint16{9}}}
	g.Expect(a.Plus(b)).To(Equal(encoder.FlowCounts{
		{Subject: 1, Check: 1, Flows: []uint16{3, 65_535}}, {Subject: 2, Check: 1, Flows: []uint16{4}}, {Subject: 2, Check: 2, Flows: []uint16{9}},
	}), "sets of targets that differ are kept apart")
	g.Expect(b.Minus(a)).To(Equal(encoder.FlowCounts{{Subject: 1, Check: 1, Flows: []uint16{1, 0}}, {Subject: 2, Check: 2, Flows: []uint16{9}}}))
}

// TestBeaconWithLoadsAndFlowsFitsIntoAFrame fails if the flow counts of many services make
// beacons too long.
func TestBeaconWithLoadsAndFlowsFitsIntoAFrame(t *testing.T) {
	g := NewWithT(t)
	d := sample()
	d.Beacon.Loads, d.Beacon.Total, d.Beacon.Down = make(encoder.Loads, 20), make(encoder.Loads, 20), make(encoder.DownTargets, 30)
	g.Expect(d.Beacon.HasRoomForFlows()).To(BeTrue())
	more := *d.Beacon
	more.Eligible = make(encoder.Addresses, 1)
	g.Expect(more.HasRoomForFlows()).To(BeFalse())
	var c encoder.FlowCounts
	for i := range 1000 {
		c = append(c, encoder.TargetFlows{Subject: encoder.Subject(i), Flows: []uint16{200, 3, 8, 9, 10}})
	}
	d.Beacon.ZoneHosts, d.Beacon.Flows, d.Beacon.TotalFlows = &encoder.HostSet{}, c.Fitting(), c.Fitting()
	g.Expect(d.Beacon.Flows).NotTo(BeEmpty())
	b, err := encoder.Encode(&d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<=", encoder.MaxDatagramLength))
}

// TestHostsOfOneNetworkHaveDifferentRanks fails if hosts of a /24 network share a bit.
func TestHostsOfOneNetworkHaveDifferentRanks(t *testing.T) {
	g := NewWithT(t)
	var set encoder.HostSet
	ranks := map[int]bool{}
	for i := range 200 {
		set.Add(netip.AddrFrom4([4]byte{10, 3, 9, byte(i)}))
	}
	for i := range 200 {
		r := set.RankOf(netip.AddrFrom4([4]byte{10, 3, 9, byte(i)}))
		g.Expect(r.Hosts).To(Equal(200))
		ranks[r.Rank] = true
	}
	g.Expect(ranks).To(HaveLen(200))
	g.Expect(set.RankOf(netip.AddrFrom4([4]byte{10, 3, 9, 201})).Hosts).To(Equal(201), "a host counts itself")
}

package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const now = cactuspin.Time(1_000_000_000_000)

var (
	feeds    = netip.MustParseAddrPort("198.18.0.1:443")
	orders   = netip.MustParseAddrPort("198.18.0.1:8443")
	unrouted = netip.MustParseAddrPort("198.18.0.9:1")
)

func registered(i int, service, zone string) cactuspin.RegisteredTarget {
	return cactuspin.RegisteredTarget{
		ID: cactuspin.TargetID(fmt.Sprintf("%s-%d", service, i)), Number: uint64(i), Service: cactuspin.ServiceName(service),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		Zone:    cactuspin.ZoneID(zone), Slots: 3, Revision: cactuspin.Revision(i),
	}
}

func routing() *cactuspin.Routing {
	one := func(s cactuspin.ServiceName) []cactuspin.WeightedService {
		return []cactuspin.WeightedService{{Service: s, Weight: 1}}
	}
	services := []cactuspin.ServiceName{"desk", "shelf"}
	return &cactuspin.Routing{Version: 3, IdleTimeout: 15 * time.Second, Services: services, Routes: []cactuspin.Route{
		{Name: "feed", Address: feeds, Kind: cactuspin.WorkIdempotent, Services: one("desk"), Timeout: 1500 * time.Millisecond},
		{Name: "order", Address: orders, Kind: cactuspin.WorkNonIdempotent, Services: one("desk"), Timeout: 2 * time.Second},
	}}
}

// newBalancer returns a balancer in zone a with fresh knowledge of two targets in
// each of the zones.
func newBalancer(seed uint64, zones ...string) *balancer.Balancer {
	b := balancer.New(balancer.Config{Zone: "a", Seed: seed, StaleAfter: time.Second, MaxFlows: 1 << 12})
	c := tracker.Change{Routing: routing()}
	for z, zone := range zones {
		c.Targets = append(c.Targets, registered(2*z+1, "desk", zone), registered(2*z+2, "desk", zone))
	}
	b.Apply(now, &c)
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	return b
}

func caller(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
}

func syn(port int, service netip.AddrPort, retransmissions uint32) *cactuspin.Packet {
	return &cactuspin.Packet{Caller: caller(port), Service: service, Flags: cactuspin.FlagSYN, Sequence: 100, Acknowledgement: retransmissions}
}

// data returns request n of a flow. Each request has 50 bytes and each answer 400.
func data(port int, service netip.AddrPort, cookie cactuspin.Cookie, n uint32) *cactuspin.Packet {
	return &cactuspin.Packet{
		Caller: caller(port), Service: service, Flags: cactuspin.FlagACK, Cookie: cookie, Length: 50,
		Sequence: 101 + 50*n, Acknowledgement: 1 + 400*n,
	}
}

func TestAnyHostFindsTheTargetOfAFlow(t *testing.T) {
	g := NewWithT(t)
	one, other := newBalancer(1, "a", "b"), newBalancer(99, "a", "b")
	for port := range 200 {
		placed := one.Steer(now, syn(port, feeds, 0))
		g.Expect(placed.Kind).To(Equal(cactuspin.VerdictForward))
		followed := other.Steer(now, data(port, feeds, placed.Cookie, 0))
		g.Expect(followed.Kind).To(Equal(cactuspin.VerdictForward))
		g.Expect(followed.Target).To(Equal(placed.Target))
		g.Expect(followed.Cookie).To(BeZero(), "the caller's cookie is unchanged")
	}
}

func TestFlowsStayInTheirZoneUntilItIsCrowded(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	for port := range 100 {
		g.Expect(b.Steer(now, syn(port, feeds, 0)).TargetNumber).To(BeNumerically("<=", 2))
	}
	crowded := encoder.Loads{}
	for _, l := range b.Loads() {
		crowded = append(crowded, encoder.Load{Subject: l.Subject, ActiveRequests: 12 * encoder.ActiveRequestsScale})
	}
	b.MergeLoads(crowded)
	otherZone := 0
	for port := range 200 {
		if b.Steer(now, syn(1000+port, feeds, 0)).TargetNumber > 2 {
			otherZone++
		}
	}
	g.Expect(otherZone).To(BeNumerically("~", 100, 60))
}

func TestLeastLoadedTargetOfTheZoneGetsAFlow(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	flows := map[cactuspin.TargetID]int{}
	for port := range 60 {
		v := b.Steer(now, syn(port, feeds, 0))
		b.Steer(now, data(port, feeds, v.Cookie, 0))
		flows[v.Target]++
	}
	g.Expect(flows).To(Equal(map[cactuspin.TargetID]int{"desk-1": 30, "desk-2": 30}))
	loads := b.Loads()
	g.Expect(loads).To(HaveLen(1), "one service in one zone")
	g.Expect(loads[0].Flows).To(Equal(uint16(60)))
}

func TestDrainingAndRemovedTargets(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	draining := registered(int(v.TargetNumber), "desk", "a")
	draining.State, draining.Revision = cactuspin.TargetDraining, 50
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{draining}})
	for port := range 50 {
		g.Expect(b.Steer(now, syn(100+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
	retransmitted := b.Steer(now, syn(1, feeds, 1))
	g.Expect(retransmitted.Target).NotTo(Equal(v.Target), "a retransmitted SYN is placed like a new flow")
	g.Expect(b.Steer(now, data(2, feeds, v.Cookie, 0)).Target).To(Equal(v.Target), "open flows stay")
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: v.Target, Revision: 60}, Hold: time.Second}}})
	g.Expect(b.Steer(now, data(3, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "the target may still be alive")
	ended := b.Steer(now.Add(time.Second), data(3, feeds, v.Cookie, 1))
	g.Expect(ended.Kind).To(Equal(cactuspin.VerdictReset))
	g.Expect(ended.Reason).To(Equal(cactuspin.ReasonTargetGone))
}

func TestUnknownCookies(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, data(1, feeds, 12345, 0))
	g.Expect(v.Kind).To(Equal(cactuspin.VerdictReset), "no target has it, and the knowledge is fresh")
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Second})
	g.Expect(b.Steer(now, data(1, feeds, 12345, 0)).Kind).To(Equal(cactuspin.VerdictDrop), "after a store failure its target may register again")
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute, Age: 2 * time.Second})
	g.Expect(b.Steer(now, data(1, feeds, 12345, 0)).Kind).To(Equal(cactuspin.VerdictDrop), "the knowledge is stale")
}

func TestUnknownRoutes(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	g.Expect(b.Steer(now, syn(1, unrouted, 0)).Kind).To(Equal(cactuspin.VerdictReset))
	b.SetFreshness(now, tracker.Position{Age: 2 * time.Second})
	g.Expect(b.Steer(now, syn(1, unrouted, 0)).Kind).To(Equal(cactuspin.VerdictDrop), "the route may be new")
	g.Expect(balancer.New(balancer.Config{}).Steer(now, syn(1, feeds, 0)).Reason).To(Equal(cactuspin.ReasonNotReady))
}

func TestForgedAndClosingPackets(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	p := syn(1, feeds, 0)
	p.Flags |= cactuspin.FlagACK
	g.Expect(b.Steer(now, p).Kind).To(Equal(cactuspin.VerdictDrop))
	p.Flags = cactuspin.FlagRST
	g.Expect(b.Steer(now, p).Kind).To(Equal(cactuspin.VerdictDrop), "a reset is never answered by a reset")
	v := b.Steer(now, syn(2, feeds, 0))
	for _, f := range []cactuspin.PacketFlags{cactuspin.FlagFIN | cactuspin.FlagACK, cactuspin.FlagRST} {
		x := data(2, feeds, v.Cookie, 0)
		x.Flags, x.Length = f, 0
		g.Expect(b.Steer(now, x).Target).To(Equal(v.Target))
	}
	g.Expect(b.Flows()).To(BeZero())
}

// suspectTarget makes the target of a new flow suspect by a retransmitted SYN. It
// returns the verdicts about both SYNs.
func suspectTarget(b *balancer.Balancer, port int) (cactuspin.Verdict, cactuspin.Verdict) {
	v := b.Steer(now, syn(port, feeds, 0))
	return v, b.Steer(now.Add(200*time.Millisecond), syn(port, feeds, 1))
}

func TestAnUnresponsiveTargetIsProbedAndAvoided(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, retransmitted := suspectTarget(b, 1)
	g.Expect(retransmitted.Target).NotTo(Equal(v.Target))
	at := now.Add(200 * time.Millisecond)
	due := b.DueProbes(at)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Target).To(Equal(v.Target))
	g.Expect(b.DueProbes(at)).To(BeEmpty(), "the next probe is not due")
	for port := range 20 {
		g.Expect(b.Steer(at, syn(50+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingAlive)).To(BeFalse())
	g.Expect(b.DownTargets()).To(BeEmpty())
}

// answerElsewhere shows the balancer that its links work: a target other than the
// given one accepts a probe.
func answerElsewhere(b *balancer.Balancer, at cactuspin.Time, id cactuspin.TargetID) {
	for i := range 4 {
		if r := registered(i+1, "desk", "a"); r.ID != id {
			b.RecordProbe(at, at, r.ID, balancer.FindingAlive)
		}
	}
}

func TestFlowsOfIdempotentRequestsToADeadTargetAreReset(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	at := now.Add(500 * time.Millisecond)
	g.Expect(b.Steer(at, data(2, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "the target is only suspect")
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingRefused)).To(BeTrue())
	g.Expect(b.DownTargets()).To(Equal([]cactuspin.TargetID{v.Target}))
	g.Expect(b.DueProbes(at)).To(HaveLen(2), "the other target of the zone is suspect too")
	answerElsewhere(b, at, v.Target)
	reset := b.Steer(at, data(3, feeds, v.Cookie, 0))
	g.Expect(reset.Kind).To(Equal(cactuspin.VerdictReset))
	g.Expect(reset.Reason).To(Equal(cactuspin.ReasonTargetDown))
	g.Expect(b.Steer(at, data(4, orders, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "an order may have run")
	acknowledgement := data(5, feeds, v.Cookie, 0)
	acknowledgement.Length = 0
	g.Expect(b.Steer(at, acknowledgement).Kind).To(Equal(cactuspin.VerdictForward), "an answer may be on its way")
	b.RecordProbe(at, at, v.Target, balancer.FindingAlive)
	g.Expect(b.Steer(at, data(6, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward))
}

// A host with little processor time may find a target silent that lives. Its flows
// that get answers must not be reset for that.
func TestASilentProbeAloneResetsNoFlowThatWorks(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	at := now.Add(500 * time.Millisecond)
	answerElsewhere(b, at, v.Target)
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingSilent)).To(BeTrue())
	g.Expect(b.Steer(at, data(3, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "new data")
	again := b.Steer(at.Add(200*time.Millisecond), data(3, feeds, v.Cookie, 0))
	g.Expect(again.Kind).To(Equal(cactuspin.VerdictReset), "data without an answer")
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingSilent)).To(BeTrue())
	g.Expect(b.Steer(at, data(4, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictReset), "two silent probes")
}

func TestASilentProbeOfAHostWithoutAnswersShowsNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	at := now.Add(500 * time.Millisecond)
	b.DueProbes(at)
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingSilent)).To(BeFalse())
	g.Expect(b.DownTargets()).To(BeEmpty())
	due := b.DueProbes(at)
	g.Expect(due).To(HaveLen(1), "another target can show whether the links work")
	g.Expect(due[0].Target).NotTo(Equal(v.Target))
	b.RecordProbe(at, at, due[0].Target, balancer.FindingAlive)
	g.Expect(b.RecordProbe(at.Add(time.Second), at, v.Target, balancer.FindingSilent)).To(BeTrue())
}

func TestAProbeWithoutFindingChangesNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	answerElsewhere(b, now, v.Target)
	g.Expect(b.RecordProbe(now, now, v.Target, balancer.FindingNone)).To(BeFalse())
	g.Expect(b.DownTargets()).To(BeEmpty())
}

// When one of many targets of a zone dies, a host must not probe all others: after
// a loss of many targets, the probes of all hosts would crowd out their answers.
func TestATargetThatIsDownLetsFewOthersBeProbed(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	var many tracker.Change
	for i := range 50 {
		many.Targets = append(many.Targets, registered(100+i, "desk", "a"))
	}
	b.Apply(now, &many)
	v, _ := suspectTarget(b, 1)
	b.DueProbes(now.Add(200 * time.Millisecond))
	at := now.Add(500 * time.Millisecond)
	b.RecordProbe(at, at, v.Target, balancer.FindingRefused)
	g.Expect(b.DueProbes(at)).To(HaveLen(3))
}

func TestNoResetWithoutCapacityElsewhere(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	b.RecordProbe(now, now, v.Target, balancer.FindingRefused)
	other, _ := suspectTarget(b, 2)
	b.RecordProbe(now, now, other.Target, balancer.FindingRefused)
	g.Expect(b.Steer(now, data(3, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward))
}

func TestNewFlowsAreRefusedAtOnceIfAllTargetsAreDead(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	one, _ := suspectTarget(b, 1)
	b.RecordProbe(now, now, one.Target, balancer.FindingRefused)
	other, _ := suspectTarget(b, 2)
	g.Expect(b.Steer(now, syn(4, feeds, 0)).Target).To(Equal(other.Target), "a suspect target is better than none")
	b.RecordProbe(now, now, other.Target, balancer.FindingRefused)
	refused := b.Steer(now, syn(5, feeds, 0))
	g.Expect(refused.Kind).To(Equal(cactuspin.VerdictReset), "no target can serve it")
	g.Expect(refused.Reason).To(Equal(cactuspin.ReasonNoTarget))
	answerElsewhere(b, now, one.Target)
	b.RecordProbe(now, now, other.Target, balancer.FindingRefused)
	b.RecordProbe(now, now, one.Target, balancer.FindingSilent)
	g.Expect(b.Steer(now, syn(7, feeds, 0)).Target).NotTo(Equal(one.Target), "silence does not make a dead target less dead")
	b.RecordProbe(now, now, one.Target, balancer.FindingAlive)
	g.Expect(b.Steer(now, syn(6, feeds, 0)).Target).To(Equal(one.Target))
}

func TestAnAnswerEndsSuspicion(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	b.RecordProbe(now, now, v.Target, balancer.FindingRefused)
	g.Expect(b.DownTargets()).To(HaveLen(1))
	b.Steer(now, data(9, orders, v.Cookie, 0))
	b.Steer(now.Add(time.Second), data(9, orders, v.Cookie, 1))
	g.Expect(b.DownTargets()).To(BeEmpty(), "the caller acknowledged an answer")
}

func TestARestartWithTheSameIDEndsSuspicion(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	b.RecordProbe(now, now, v.Target, balancer.FindingRefused)
	g.Expect(b.DownTargets()).To(HaveLen(1))
	restarted := registered(int(v.TargetNumber), "desk", "a")
	restarted.Started, restarted.Revision = 5, 70
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{restarted}})
	g.Expect(b.DownTargets()).To(BeEmpty())
}

func TestAnAddressInAnotherServiceIsAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	moved := registered(90, "shelf", "a")
	moved.Address = v.TargetAddress
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: v.Target, Revision: 80}}}, Targets: []cactuspin.RegisteredTarget{moved}})
	for port := range 50 {
		g.Expect(b.Steer(now, syn(100+port, feeds, 0)).TargetNumber).NotTo(Equal(uint64(90)))
	}
	g.Expect(b.Steer(now, data(1, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictReset))
}

func TestRequestsAreReported(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	cookie := b.Steer(now, syn(1, feeds, 0)).Cookie
	first := b.Steer(now, data(1, feeds, cookie, 0))
	g.Expect(first.Request).To(BeTrue())
	again := b.Steer(now.Add(200*time.Millisecond), data(1, feeds, cookie, 0))
	g.Expect(again.Retransmitted).To(BeTrue())
	next := b.Steer(now.Add(300*time.Millisecond), data(1, feeds, cookie, 1))
	g.Expect(next.ResponseTime).To(Equal(300 * time.Millisecond))
	g.Expect(next.Request).To(BeTrue())
	b.Steer(now.Add(500*time.Millisecond), data(1, feeds, cookie, 1))
	var unanswered []balancer.UnansweredRequest
	for range 32 {
		unanswered = append(unanswered, b.Tick(now.Add(2*time.Second))...)
	}
	g.Expect(unanswered).To(HaveLen(1))
	g.Expect(unanswered[0].Caller).To(Equal(caller(1)))
	g.Expect(b.Loads()[0].Flows).To(Equal(uint16(1)), "the flow itself remains")
}

func TestAFlowStaysAtItsTargetIfAnotherAnswersARetransmittedSYN(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	first, second := suspectTarget(b, 1)
	g.Expect(second.Target).NotTo(Equal(first.Target))
	at := now.Add(300 * time.Millisecond)
	g.Expect(b.Steer(at, data(1, feeds, first.Cookie, 0)).Target).To(Equal(first.Target), "the caller accepted the first answer")
	later := b.Steer(at.Add(time.Second), data(1, feeds, second.Cookie, 1))
	g.Expect(later.Target).To(Equal(first.Target), "the second answer carried another cookie")
	b.Steer(at.Add(2*time.Second), syn(1, feeds, 0))
	again := b.Steer(at.Add(2*time.Second), data(1, feeds, second.Cookie, 0))
	g.Expect(again.Target).To(Equal(second.Target), "a new flow from the same port")
}

func TestReorderedPacketsAreNotRetransmissions(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	cookie := b.Steer(now, syn(1, orders, 0)).Cookie
	handshake := data(1, orders, cookie, 0)
	handshake.Length = 0
	b.Steer(now, handshake)
	second, first := data(1, orders, cookie, 1), data(1, orders, cookie, 0)
	second.Acknowledgement = first.Acknowledgement
	b.Steer(now.Add(time.Millisecond), second)
	reordered := b.Steer(now.Add(2*time.Millisecond), first)
	g.Expect(reordered.Retransmitted).To(BeFalse())
	g.Expect(b.DueProbes(now.Add(time.Second))).To(BeEmpty(), "the target is not suspect")
	retransmitted := b.Steer(now.Add(202*time.Millisecond), first)
	g.Expect(retransmitted.Retransmitted).To(BeTrue())
	g.Expect(b.DueProbes(now.Add(time.Second))).To(HaveLen(1))
}

func TestARequestWithoutRetransmissionCountsAsAnswered(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	cookie := b.Steer(now, syn(1, feeds, 0)).Cookie
	b.Steer(now, data(1, feeds, cookie, 0))
	b.Steer(now.Add(200*time.Millisecond), data(1, feeds, cookie, 0))
	answered := b.Steer(now, syn(2, feeds, 0)).Cookie
	b.Steer(now, data(2, feeds, answered, 0))
	busy := func() (n uint16) {
		for range 200 {
			b.Tick(now.Add(400 * time.Millisecond))
		}
		for _, l := range b.Loads() {
			n += l.ActiveRequests
		}
		return n
	}
	g.Expect(busy()).To(BeNumerically("~", encoder.ActiveRequestsScale, 1), "only the retransmitted request is in progress")
}

func TestTheFlowTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	for port := range 60000 {
		b.Steer(now, syn(port, feeds, 0))
	}
	g.Expect(b.Flows()).To(BeNumerically("<=", 1<<12))
	total := 0
	for _, l := range b.Loads() {
		total += int(l.Flows)
	}
	g.Expect(total).To(Equal(b.Flows()))
}

func TestATargetWhoseAddressIsReusedGetsNoNewFlows(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	old, cookie := cactuspin.TargetID("desk-1"), cactuspin.Cookie(0)
	for port := 0; cookie == 0; port++ {
		if v := b.Steer(now, syn(port, feeds, 0)); v.Target == old {
			cookie = v.Cookie
		}
	}
	next := registered(9, "shelf", "a")
	next.Address, next.Started = registered(1, "desk", "a").Address, 5
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{next}})
	for port := range 20 {
		g.Expect(b.Steer(now, syn(100+port, feeds, 0)).Target).NotTo(Equal(old))
	}
	g.Expect(b.Steer(now, data(300, feeds, cookie, 0)).Target).To(Equal(old), "open flows stay until the hold time of the removed target has passed")
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: next.ID, Revision: 60}}}})
	placed := map[cactuspin.TargetID]int{}
	for port := range 20 {
		placed[b.Steer(now, syn(200+port, feeds, 0)).Target]++
	}
	g.Expect(placed).To(HaveKey(old), "the other registration ended")
	for range 200 {
		b.Tick(now.Add(2 * time.Minute))
	}
	moved := registered(1, "desk", "a")
	moved.Address, moved.Revision = netip.MustParseAddrPort("10.9.9.9:80"), 70
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{moved}})
	g.Expect(b.Steer(now, data(300, feeds, cookie, 0)).TargetAddress).To(Equal(moved.Address))
}

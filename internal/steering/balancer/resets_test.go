package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// openFlows opens a flow of each route at the target of cookie.
func openFlows(b *balancer.Balancer, at cactuspin.Time, cookie cactuspin.Cookie) {
	b.Steer(at, data(2, feeds, cookie, 0))
	b.Steer(at, data(3, feeds, cookie, 0))
	b.Steer(at, data(4, orders, cookie, 0))
}

// A caller whose request reached a target before that failed sends nothing more, and
// waits until its deadline unless a host resets its flow.
func TestFlowsAtADeadTargetAreResetWithoutAPacket(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	at := now.Add(500 * time.Millisecond)
	openFlows(b, at, v.Cookie)
	g.Expect(b.FlowsToReset(at, v.Target)).To(BeEmpty(), "only suspect")
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingRefused)).To(BeTrue())
	answerElsewhere(b, at, v.Target)
	resets := b.FlowsToReset(at, v.Target)
	g.Expect(resets).To(ConsistOf(
		balancer.Reset{Caller: caller(2), Service: feeds, Target: v.Target, Acknowledgement: 1},
		balancer.Reset{Caller: caller(3), Service: feeds, Target: v.Target, Acknowledgement: 1},
	), "an order may have run")
	g.Expect(b.FlowsToReset(at, v.Target)).To(BeEmpty(), "each flow is reset once")
	g.Expect(b.Verdicts()[cactuspin.ReasonTargetDown]).To(BeNumerically("==", 2))
}

// One silent probe can be wrong, so that it must not reset flows that work.
func TestASilentProbeResetsOnlyFlowsThatRepeatData(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	at := now.Add(500 * time.Millisecond)
	openFlows(b, at, v.Cookie)
	b.Steer(at.Add(200*time.Millisecond), data(3, feeds, v.Cookie, 0))
	at = at.Add(250 * time.Millisecond)
	answerElsewhere(b, at, v.Target)
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingSilent)).To(BeTrue())
	resets := b.FlowsToReset(at, v.Target)
	g.Expect(resets).To(HaveLen(1))
	g.Expect(resets[0].Caller).To(Equal(caller(3)))
}

// A flow that once repeated data, and has got its answer since, works.
func TestASilentProbeResetsNoFlowThatWasAnswered(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	b.Steer(now, data(3, feeds, v.Cookie, 0))
	b.Steer(now.Add(200*time.Millisecond), data(3, feeds, v.Cookie, 0))
	acknowledgement := data(3, feeds, v.Cookie, 1)
	acknowledgement.Length = 0
	b.Steer(now.Add(250*time.Millisecond), acknowledgement)
	at := now.Add(800 * time.Millisecond)
	answerElsewhere(b, at, v.Target)
	for port := 100; ; port++ {
		if x := b.Steer(now.Add(500*time.Millisecond), syn(port, feeds, 0)); x.Target == v.Target {
			b.Steer(now.Add(700*time.Millisecond), syn(port, feeds, 1))
			break
		}
	}
	g.Expect(b.RecordProbe(at, now.Add(700*time.Millisecond), v.Target, balancer.FindingSilent)).To(BeTrue())
	g.Expect(b.FlowsToReset(at, v.Target)).To(BeEmpty())
}

// Flows that can go nowhere else keep the chance that their target answers late.
func TestFlowsAreNotResetWithoutAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v, _ := suspectTarget(b, 1)
	openFlows(b, now, v.Cookie)
	at := now.Add(500 * time.Millisecond)
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingRefused)).To(BeTrue())
	for i := range 2 {
		if id := registered(i+1, "desk", "a").ID; id != v.Target {
			g.Expect(b.RecordProbe(at, at, id, balancer.FindingRefused)).To(BeTrue())
		}
	}
	g.Expect(b.FlowsToReset(now.Add(time.Second), v.Target)).To(BeEmpty())
}

// In a large zone each host has about one flow at a target. If it waited for that flow's
// next request, each flow would lose a request to the dead target.
func TestAReportedTargetIsProbedIfFlowsAreOpenThere(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	verdicts := flowsTo(b, 2)
	b.Steer(now, &cactuspin.Packet{Caller: caller(5000), Service: feeds, Cookie: verdicts[0].Cookie, Flags: cactuspin.FlagRST})
	at := now.Add(time.Second)
	b.MergeDownReports(at, report(100*time.Millisecond, verdicts[1]))
	due := b.DueProbes(at)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Target).To(Equal(verdicts[1].Target))
	answered := at.Add(100 * time.Millisecond)
	for i := range 8 {
		if r := registered(i+1, "desk", "a"); r.ID != verdicts[1].Target {
			b.RecordProbe(answered, answered, r.ID, balancer.FindingAlive)
		}
	}
	g.Expect(b.RecordProbe(at.Add(300*time.Millisecond), at, verdicts[1].Target, balancer.FindingSilent)).To(BeTrue())
	g.Expect(b.FlowsToReset(at.Add(300*time.Millisecond), verdicts[1].Target)).To(BeEmpty(), "its flows have not been established")
}

// The address of a dead target may be in use by another one, which answers probes while
// the registration of the dead one has not expired yet.
func TestAnAnsweredProbeOfADeadTargetDoesNotDrawFlows(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	v := flowsTo(b, 1)[0]
	b.Steer(now.Add(200*time.Millisecond), syn(5000, feeds, 1))
	at := now.Add(500 * time.Millisecond)
	g.Expect(b.RecordProbe(at, at, v.Target, balancer.FindingRefused)).To(BeTrue())
	back := at.Add(2 * time.Second)
	b.SetFreshness(back, tracker.Position{HealthyFor: time.Minute})
	g.Expect(b.RecordProbe(back, back, v.Target, balancer.FindingAlive)).To(BeTrue())
	g.Expect(placed(b, back)).NotTo(HaveKey(v.Target))
	g.Expect(b.Steer(back, data(9, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "it may be alive")
	again := b.Steer(back.Add(200*time.Millisecond), data(9, feeds, v.Cookie, 0))
	g.Expect(again.Kind).To(Equal(cactuspin.VerdictReset), "it does not answer")
	g.Expect(placed(b, at.Add(6*time.Second))).To(HaveKey(v.Target), "its registration would have expired")
}

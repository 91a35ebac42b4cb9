package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// moveFeeds returns a change by which new feeds go to another service, which has one
// target. Orders go where they went.
func moveFeeds(service string) *tracker.Change {
	r := routing()
	r.Version++
	r.Routes[0].Services = []cactuspin.WeightedService{{Service: cactuspin.ServiceName(service), Weight: 1}}
	return &tracker.Change{Routing: r, Targets: []cactuspin.RegisteredTarget{registered(50, service, "a")}}
}

// Guards against resets of open flows after their route has moved to another service: a
// host that did not see them open looked for their targets in the new service only.
func TestAnyHostFindsTheTargetOfAFlowWhoseRouteHasMoved(t *testing.T) {
	g := NewWithT(t)
	placed := newBalancer(1, "a").Steer(now, syn(1, feeds, 0))
	restarted := newBalancer(99, "a")
	restarted.Apply(now, moveFeeds("shelf"))
	followed := restarted.Steer(now, data(1, feeds, placed.Cookie, 0))
	g.Expect(followed.Kind).To(Equal(cactuspin.VerdictForward))
	g.Expect(followed.Target).To(Equal(placed.Target))
	g.Expect(restarted.Steer(now, syn(2, feeds, 0)).Target).To(Equal(cactuspin.TargetID("shelf-50")), "new flows go to the new service")
	last := moveFeeds("shelf")
	last.Routing.Version++
	last.Routing.Services, last.Routing.Routes = []cactuspin.ServiceName{"shelf"}, last.Routing.Routes[:1]
	restarted.Apply(now, last)
	g.Expect(restarted.Steer(now, data(3, feeds, placed.Cookie, 0)).Target).To(Equal(placed.Target), "no configuration names its service any more")
}

// Guards against flows that open at the former service of a route after the route has
// moved: copies of a first packet went to the target of the first one.
func TestACopyOfAFirstPacketFollowsItsRoute(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	first := b.Steer(now, syn(1, feeds, 0))
	b.Apply(now, moveFeeds("shelf"))
	// The target shows life: another caller acknowledges an answer.
	b.Steer(now.Add(50*time.Millisecond), data(2, orders, first.Cookie, 0))
	b.Steer(now.Add(100*time.Millisecond), data(2, orders, first.Cookie, 1))
	late := b.Steer(now.Add(200*time.Millisecond), syn(1, feeds, 1))
	g.Expect(late.Target).To(Equal(cactuspin.TargetID("shelf-50")))
	g.Expect(late.Reason).To(Equal(cactuspin.ReasonCopyOtherTarget))
	g.Expect(b.Steer(now.Add(250*time.Millisecond), data(1, feeds, first.Cookie, 0)).Target).To(Equal(first.Target), "the caller accepted the first answer")
}

// Guards against flows that a host follows to a registration which ended, while the same
// ID is registered in the service to which their route leads.
func TestACookieOfTwoServicesMeansTheOneOfTheRoute(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	cookie := b.Steer(now, syn(1, feeds, 0)).Cookie
	b.Apply(now, moveFeeds("shelf"))
	for i := range 2 {
		again := registered(i+1, "desk", "a")
		again.Service, again.Revision = "shelf", 60
		b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{again}})
	}
	g.Expect(b.Steer(now, data(2, feeds, cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "the route leads to the registered target")
	g.Expect(b.Steer(now, data(2, orders, cookie, 0)).Reason).To(Equal(cactuspin.ReasonTargetGone), "the route leads to the one that ended")
}

// Guards against resets of flows whose next try is refused, and against flows that are
// left at a dead target, after a route has moved: what counts is the room where the
// caller's next try goes.
func TestAResetAtADeadTargetNeedsCapacityWhereTheRouteLeads(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	one, _ := suspectTarget(b, 1)
	b.RecordProbe(now, now, one.Target, balancer.FindingRefused)
	answerElsewhere(b, now, one.Target)
	b.Apply(now, moveFeeds("shelf"))
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: "shelf-50", Revision: 60}}}})
	g.Expect(b.Steer(now, data(3, feeds, one.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "the new service has no target")

	b = newBalancer(1, "a")
	one, _ = suspectTarget(b, 1)
	b.RecordProbe(now, now, one.Target, balancer.FindingRefused)
	other, _ := suspectTarget(b, 2)
	b.RecordProbe(now, now, other.Target, balancer.FindingRefused)
	b.Apply(now, moveFeeds("shelf"))
	g.Expect(b.Steer(now, data(3, feeds, one.Cookie, 0)).Reason).To(Equal(cactuspin.ReasonTargetDown), "the new service has room")
}

package balancer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// Guards against services without a usable target: entries of another writer, for a service
// that no configuration names, took the targets at their addresses out of use.
func TestARegistrationOfAnUnnamedServiceTakesNoAddress(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	var foreign []cactuspin.RegisteredTarget
	for i := range 2 {
		r := registered(100+i, "inventory", "a")
		r.Address, r.Started = registered(1+i, "desk", "a").Address, 5
		foreign = append(foreign, r)
	}
	b.Apply(now, &tracker.Change{Targets: foreign})
	for port := range 20 {
		g.Expect(b.Steer(now, syn(port, feeds, 0)).Kind).To(Equal(cactuspin.VerdictForward))
	}
	named := routing()
	named.Version, named.Services = named.Version+1, append(named.Services, "inventory")
	b.Apply(now, &tracker.Change{Routing: named})
	g.Expect(b.Steer(now, syn(100, feeds, 0)).Reason).To(Equal(cactuspin.ReasonNoTarget), "the addresses have passed to a service of the platform")
}

// Guards against resets of the open flows of a living target, and against new flows to a
// target that may be gone, while another writer has overwritten its registration.
func TestATargetWithAnUnreadableRegistrationKeepsItsOpenFlowsOnly(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	unreadable := registered(int(v.TargetNumber), "desk", "a")
	unreadable.State, unreadable.Revision = cactuspin.TargetUnreadable, 50
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{unreadable}})
	g.Expect(b.Steer(now, data(1, feeds, v.Cookie, 0)).Target).To(Equal(v.Target))
	g.Expect(b.Steer(now, data(2, feeds, v.Cookie, 0)).Target).To(Equal(v.Target), "opened through another host")
	for port := range 20 {
		g.Expect(b.Steer(now, syn(100+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
}

// Guards against resets by a host that starts while a registration is unreadable, so that
// it does not know the address of a living target.
func TestFlowsOfAnUnknownTargetWithAnUnreadableRegistrationAreNotReset(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	cookie := balancer.CookieOf("desk-9")
	b.Apply(now, &tracker.Change{Unreadable: []cactuspin.TargetID{"desk-9"}})
	g.Expect(b.Steer(now, data(1, feeds, cookie, 0)).Kind).To(Equal(cactuspin.VerdictDrop))
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(9, "desk", "a")}})
	g.Expect(b.Steer(now, data(1, feeds, cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward))
	b.Apply(now, &tracker.Change{Unreadable: []cactuspin.TargetID{"desk-10"}})
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: "desk-10", Revision: 60}}}})
	g.Expect(b.Steer(now, data(2, feeds, balancer.CookieOf("desk-10"), 0)).Kind).To(Equal(cactuspin.VerdictReset))
}

// Guards against resets of the open flows of a living target whose registration another
// writer has overwritten by one of a service that no configuration names.
func TestARegistrationOfAnUnnamedServiceDoesNotEndItsTarget(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	foreign := registered(int(v.TargetNumber), "desk", "a")
	foreign.Service, foreign.Revision = "inventory", 50
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{foreign}})
	g.Expect(b.Steer(now, data(1, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward))
	g.Expect(b.Steer(now, data(2, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "opened through another host")
	for port := range 20 {
		g.Expect(b.Steer(now, syn(100+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
	own := registered(int(v.TargetNumber), "desk", "a")
	own.Revision = 51
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{own}})
	placed := map[cactuspin.TargetID]int{}
	for port := range 20 {
		placed[b.Steer(now, syn(200+port, feeds, 0)).Target]++
	}
	g.Expect(placed).To(HaveKey(v.Target), "it has registered again")

	foreign.Revision = 52
	named := routing()
	named.Version, named.Services = named.Version+1, append(named.Services, "inventory")
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{foreign}})
	b.Apply(now, &tracker.Change{Routing: named})
	g.Expect(b.Steer(now, data(3, feeds, v.Cookie, 0)).Reason).To(Equal(cactuspin.ReasonTargetGone), "it has started again in a service of the platform")
}

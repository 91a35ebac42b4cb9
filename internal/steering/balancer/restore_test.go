package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// Guards against new flows to targets that ended before the store was restored from a
// backup which still lists them.
func TestAReappearedTargetGetsNewFlowsOnlyAfterAProbe(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: cactuspin.RemovedTarget{ID: "desk-1", Revision: 9}}}})
	at := now.Add(time.Second)
	b.Apply(at, &tracker.Change{EraBegan: true, Targets: []cactuspin.RegisteredTarget{registered(1, "desk", "a")}, Reappeared: []cactuspin.TargetID{"desk-1"}})
	probes := b.DueProbes(at)
	g.Expect(probes).To(HaveLen(1))
	g.Expect(probes[0].Target).To(Equal(cactuspin.TargetID("desk-1")))
	placed := func(at cactuspin.Time, first int) (flows int) {
		for port := first; port < first+40; port++ {
			if b.Steer(at, syn(port, feeds, 0)).Target == "desk-1" {
				flows++
			}
		}
		return flows
	}
	g.Expect(placed(at, 0)).To(BeZero())
	// A probe that shows nothing changes nothing, however long ago it was.
	b.RecordProbe(at, at, "desk-1", balancer.FindingNone)
	at = at.Add(3 * time.Second)
	g.Expect(placed(at, 100)).To(BeZero())
	// Nor does a registration: it may be one that the backup brought back.
	b.Apply(at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(1, "desk", "a")}})
	g.Expect(placed(at, 200)).To(BeZero())
	g.Expect(b.DueProbes(at)).NotTo(BeEmpty(), "it is probed again and again")
	b.RecordProbe(at, at, "desk-1", balancer.FindingAlive)
	g.Expect(placed(at, 300)).To(BeNumerically(">", 10))
}

// Guards against open flows that break because their target is not verified yet.
func TestAReappearedTargetKeepsItsOpenFlows(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	removal := cactuspin.RemovedTarget{ID: v.Target, Revision: 9}
	b.Apply(now, &tracker.Change{Removed: []tracker.Removal{{RemovedTarget: removal, Hold: 2 * time.Second}}})
	at := now.Add(time.Second)
	back := registered(int(v.TargetNumber), "desk", "a")
	b.Apply(at, &tracker.Change{EraBegan: true, Targets: []cactuspin.RegisteredTarget{back}, Reappeared: []cactuspin.TargetID{back.ID}})
	followed := b.Steer(at, data(1, feeds, v.Cookie, 0))
	g.Expect(followed.Kind).To(Equal(cactuspin.VerdictForward))
	g.Expect(followed.Target).To(Equal(v.Target))
}

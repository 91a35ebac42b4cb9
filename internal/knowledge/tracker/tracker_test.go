package tracker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const now = cactuspin.Time(1_000_000_000_000)

func routing(version, revision uint64) *cactuspin.Routing {
	return &cactuspin.Routing{Version: cactuspin.RoutingVersion(version), Revision: cactuspin.Revision(revision)}
}

func target(id string, revision uint64, state cactuspin.TargetState) cactuspin.RegisteredTarget {
	return cactuspin.RegisteredTarget{ID: cactuspin.TargetID(id), Revision: cactuspin.Revision(revision), State: state}
}

// loaded returns a keeper at revision 10 with targets a and b, long after the
// store's last fault.
func loaded(g *WithT) *tracker.Tracker {
	k := tracker.New()
	_, ok := k.Merge(now, &cactuspin.Update{
		Full: true, Revision: 10, HealthyFor: time.Minute, Routing: routing(3, 4),
		Targets: []cactuspin.RegisteredTarget{target("a", 8, cactuspin.TargetReady), target("b", 9, cactuspin.TargetDraining)},
	})
	g.Expect(ok).To(BeTrue())
	return k
}

func TestOlderNewsChangesNothing(t *testing.T) {
	g := NewWithT(t)
	k := loaded(g)
	c, ok := k.Merge(now, &cactuspin.Update{
		After: 5, Revision: 9, Routing: routing(2, 2),
		Targets: []cactuspin.RegisteredTarget{target("b", 7, cactuspin.TargetReady)}, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 6}},
	})
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Empty()).To(BeTrue())
	g.Expect(k.Position(now).Revision).To(Equal(cactuspin.Revision(10)))
}

func TestAnEndedRegistrationStaysEnded(t *testing.T) {
	g := NewWithT(t)
	k := loaded(g)
	_, ok := k.Merge(now, &cactuspin.Update{After: 10, Revision: 12, HealthyFor: time.Minute, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 12}}})
	g.Expect(ok).To(BeTrue())
	c, _ := k.Merge(now, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target("a", 11, cactuspin.TargetReady)}})
	g.Expect(c.Empty()).To(BeTrue(), "older than the end")
	c, _ = k.Merge(now, &cactuspin.Update{After: 12, Revision: 13, Targets: []cactuspin.RegisteredTarget{target("a", 13, cactuspin.TargetReady)}})
	g.Expect(c.Targets).To(HaveLen(1), "registered again")
}

func TestAGapIsReported(t *testing.T) {
	g := NewWithT(t)
	k := loaded(g)
	_, ok := k.Merge(now, &cactuspin.Update{After: 11, Revision: 12})
	g.Expect(ok).To(BeFalse())
	g.Expect(k.Confirm(now, 12, 11, 0, 0)).To(BeFalse(), "a change at 11 is missing")
	g.Expect(k.Confirm(now, 12, 9, 0, 0)).To(BeTrue(), "nothing changed since")
	g.Expect(k.Position(now).Revision).To(Equal(cactuspin.Revision(12)))
}

func TestRegistrationsThatEndAroundAFaultAreHeld(t *testing.T) {
	g := NewWithT(t)
	gone := &cactuspin.Update{After: 10, Revision: 12, HealthyFor: time.Minute, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}, {ID: "b", Revision: 12}}}
	calm := loaded(g)
	c, _ := calm.Merge(now, gone)
	g.Expect(c.Removed).To(HaveLen(2))
	g.Expect(c.Removed[0].Hold).To(BeZero(), "the store had answered for a minute")
	shaken := loaded(g)
	shaken.RecordStoreError(now)
	c, _ = shaken.Merge(now.Add(500*time.Millisecond), gone)
	g.Expect(c.Removed[0].Hold).To(Equal(2 * time.Second))
	g.Expect(c.Removed[1].Hold).To(BeZero(), "it was draining before")
}

func TestAFullUpdateEndsWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	k := loaded(g)
	c, _ := k.Merge(now, &cactuspin.Update{
		Full: true, Revision: 20, Routing: routing(3, 4),
		Targets: []cactuspin.RegisteredTarget{target("b", 9, cactuspin.TargetDraining), target("c", 15, cactuspin.TargetReady)},
	})
	g.Expect(c.Targets).To(HaveLen(1))
	g.Expect(c.Removed).To(HaveLen(1))
	g.Expect(c.Removed[0].ID).To(Equal(cactuspin.TargetID("a")))
}

func TestSinceBringsAnotherHostUpToDate(t *testing.T) {
	g := NewWithT(t)
	k, other := loaded(g), loaded(g)
	k.Merge(now, &cactuspin.Update{After: 10, Revision: 12, Routing: routing(9, 12), Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}}})
	u, ok := k.UpdateSince(now, 10)
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Full).To(BeFalse())
	g.Expect(u.Targets).To(BeEmpty())
	c, ok := other.Merge(now, &u)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Routing.Version).To(Equal(cactuspin.RoutingVersion(9)))
	g.Expect(c.Removed).To(HaveLen(1))
	u, _ = k.UpdateSince(now, 0)
	g.Expect(u.Full).To(BeTrue())
	_, ok = tracker.New().UpdateSince(now, 0)
	g.Expect(ok).To(BeFalse())
}

func TestAgeGrowsUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	k := loaded(g)
	later := now.Add(2 * time.Second)
	g.Expect(k.Position(later).Age).To(Equal(2 * time.Second))
	k.Confirm(later, 10, 9, 300*time.Millisecond, 0)
	g.Expect(k.Position(later).Age).To(Equal(300 * time.Millisecond))
	k.Confirm(later, 9, 9, 0, 0)
	g.Expect(k.Position(later).Age).To(Equal(300*time.Millisecond), "word of an older revision is no confirmation")
}

package tracker_test

import (
	"net/netip"
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

// loaded returns a Tracker at revision 10 with the targets a and b, long after
// the store's last error.
func loaded(g *WithT) *tracker.Tracker {
	tr := tracker.New()
	_, ok := tr.Merge(now, &cactuspin.Update{
		Full: true, Revision: 10, HealthyFor: time.Minute, Routing: routing(3, 4),
		Targets: []cactuspin.RegisteredTarget{target("a", 8, cactuspin.TargetReady), target("b", 9, cactuspin.TargetDraining)},
	})
	g.Expect(ok).To(BeTrue())
	return tr
}

func TestOlderUpdateChangesNothing(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	c, ok := tr.Merge(now, &cactuspin.Update{
		After: 5, Revision: 9, Routing: routing(2, 2),
		Targets: []cactuspin.RegisteredTarget{target("b", 7, cactuspin.TargetReady)}, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 6}},
	})
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Empty()).To(BeTrue())
	g.Expect(tr.Position(now).Revision).To(Equal(cactuspin.Revision(10)))
}

func TestRemovedTargetStaysRemoved(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	_, ok := tr.Merge(now, &cactuspin.Update{After: 10, Revision: 12, HealthyFor: time.Minute, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 12}}})
	g.Expect(ok).To(BeTrue())
	c, _ := tr.Merge(now, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target("a", 11, cactuspin.TargetReady)}})
	g.Expect(c.Empty()).To(BeTrue(), "older than the removal")
	c, _ = tr.Merge(now, &cactuspin.Update{After: 12, Revision: 13, Targets: []cactuspin.RegisteredTarget{target("a", 13, cactuspin.TargetReady)}})
	g.Expect(c.Targets).To(HaveLen(1), "registered again")
}

func TestGapIsReported(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	_, ok := tr.Merge(now, &cactuspin.Update{After: 11, Revision: 12})
	g.Expect(ok).To(BeFalse())
	g.Expect(tr.Confirm(now, tracker.Confirmation{Revision: 12, LastChange: 11})).To(BeFalse(), "a change at 11 is missing")
	g.Expect(tr.Confirm(now, tracker.Confirmation{Revision: 12, LastChange: 9})).To(BeTrue(), "nothing changed since")
	g.Expect(tr.Position(now).Revision).To(Equal(cactuspin.Revision(12)))
}

func TestRemovalsNearAStoreErrorAreHeld(t *testing.T) {
	g := NewWithT(t)
	removal := &cactuspin.Update{After: 10, Revision: 12, HealthyFor: time.Minute, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}, {ID: "b", Revision: 12}}}
	healthy := loaded(g)
	c, _ := healthy.Merge(now, removal)
	g.Expect(c.Removed).To(HaveLen(2))
	g.Expect(c.Removed[0].Hold).To(BeZero(), "the store had been healthy for a minute")
	failed := loaded(g)
	failed.RecordStoreError(now)
	c, _ = failed.Merge(now.Add(500*time.Millisecond), removal)
	g.Expect(c.Removed[0].Hold).To(Equal(2 * time.Second))
	g.Expect(c.Removed[1].Hold).To(BeZero(), "it was draining before")
}

func TestFullUpdateRemovesUnlistedTargets(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	c, _ := tr.Merge(now, &cactuspin.Update{
		Full: true, Revision: 20, Routing: routing(3, 4),
		Targets: []cactuspin.RegisteredTarget{target("b", 9, cactuspin.TargetDraining), target("c", 15, cactuspin.TargetReady)},
	})
	g.Expect(c.Targets).To(HaveLen(1))
	g.Expect(c.Removed).To(HaveLen(1))
	g.Expect(c.Removed[0].ID).To(Equal(cactuspin.TargetID("a")))
}

func TestUpdateSinceBringsAnotherHostUpToDate(t *testing.T) {
	g := NewWithT(t)
	tr, other := loaded(g), loaded(g)
	tr.Merge(now, &cactuspin.Update{After: 10, Revision: 12, Routing: routing(9, 12), Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}}})
	u, ok := tr.UpdateSince(now, 10)
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Full).To(BeFalse())
	g.Expect(u.Targets).To(BeEmpty())
	c, ok := other.Merge(now, &u)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Routing.Version).To(Equal(cactuspin.RoutingVersion(9)))
	g.Expect(c.Removed).To(HaveLen(1))
	u, _ = tr.UpdateSince(now, 0)
	g.Expect(u.Full).To(BeTrue())
	_, ok = tracker.New().UpdateSince(now, 0)
	g.Expect(ok).To(BeFalse())
}

func TestAgeGrowsUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	later := now.Add(2 * time.Second)
	g.Expect(tr.Position(later).Age).To(Equal(2 * time.Second))
	one, other := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	tr.Confirm(later, tracker.Confirmation{Revision: 10, LastChange: 9, Age: 300 * time.Millisecond, Reader: one})
	g.Expect(tr.Position(later).Age).To(Equal(300 * time.Millisecond))
	tr.Confirm(later, tracker.Confirmation{Revision: 9, LastChange: 9, Reader: other})
	g.Expect(tr.Position(later).Age).To(Equal(300*time.Millisecond), "a report of an older revision confirms nothing")
	tr.Confirm(later, tracker.Confirmation{Revision: 10, LastChange: 9, Age: 400 * time.Millisecond, Reader: other})
	g.Expect(tr.Position(later).Reader).To(Equal(one), "its read is the newer one")
	tr.Confirm(later, tracker.Confirmation{Revision: 10, LastChange: 9, Age: 200 * time.Millisecond, Reader: other})
	g.Expect(tr.Position(later).Reader).To(Equal(other))
}

func unreadable(id string, revision uint64) []cactuspin.UnreadableTarget {
	return []cactuspin.UnreadableTarget{{ID: cactuspin.TargetID(id), Revision: cactuspin.Revision(revision)}}
}

// Guards against open flows that are reset because another writer has overwritten the
// registration of their target for a moment.
func TestAnUnreadableRegistrationDoesNotEndItsTarget(t *testing.T) {
	for name, u := range map[string]*cactuspin.Update{
		"change": {After: 10, Revision: 12, Unreadable: unreadable("a", 12)},
		"full": {
			Full: true, Revision: 12, Routing: routing(3, 4),
			Targets: []cactuspin.RegisteredTarget{target("b", 9, cactuspin.TargetDraining)}, Unreadable: unreadable("a", 12),
		},
	} {
		g := NewWithT(t)
		tr := loaded(g)
		c, ok := tr.Merge(now, u)
		g.Expect(ok).To(BeTrue(), name)
		g.Expect(c.Removed).To(BeEmpty(), name)
		g.Expect(c.Targets).To(Equal([]cactuspin.RegisteredTarget{target("a", 12, cactuspin.TargetUnreadable)}), name)
		c, _ = tr.Merge(now, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target("a", 11, cactuspin.TargetReady)}})
		g.Expect(c.Empty()).To(BeTrue(), "an older registration is not used again")
		c, _ = tr.Merge(now, &cactuspin.Update{After: 12, Revision: 13, Targets: []cactuspin.RegisteredTarget{target("a", 13, cactuspin.TargetReady)}})
		g.Expect(c.Targets).To(Equal([]cactuspin.RegisteredTarget{target("a", 13, cactuspin.TargetReady)}), name)
		c, _ = tr.Merge(now, &cactuspin.Update{After: 13, Revision: 15, Unreadable: unreadable("a", 14), Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 15}}})
		g.Expect(c.Removed).To(HaveLen(1), "the registration has ended")
	}
}

// A host that starts while a registration is unreadable learns of its target from peers,
// and otherwise knows that there may be one.
func TestUnreadableRegistrationsOfUnknownTargets(t *testing.T) {
	g := NewWithT(t)
	tr := tracker.New()
	c, _ := tr.Merge(now, &cactuspin.Update{Full: true, Revision: 12, HealthyFor: time.Minute, Routing: routing(3, 4), Unreadable: unreadable("a", 12)})
	g.Expect(c.Unreadable).To(Equal([]cactuspin.TargetID{"a"}))
	u, _ := tr.UpdateSince(now, 0)
	g.Expect(u.Unreadable).To(Equal(unreadable("a", 12)))

	peer := loaded(g)
	peer.Merge(now, &cactuspin.Update{After: 10, Revision: 12, Unreadable: unreadable("a", 12)})
	u, _ = peer.UpdateSince(now, 0)
	c, _ = tr.Merge(now, &u)
	g.Expect(c.Targets).To(ContainElement(target("a", 12, cactuspin.TargetUnreadable)))

	behind := tracker.New()
	behind.Merge(now, &cactuspin.Update{Full: true, Revision: 12, Unreadable: unreadable("a", 12)})
	c, _ = behind.Merge(now, &cactuspin.Update{After: 5, Revision: 10, Targets: []cactuspin.RegisteredTarget{target("a", 8, cactuspin.TargetReady)}})
	g.Expect(c.Targets).To(Equal([]cactuspin.RegisteredTarget{target("a", 12, cactuspin.TargetUnreadable)}), "an older registration tells whose it is")

	ended := tracker.New()
	ended.Merge(now, &cactuspin.Update{Full: true, Revision: 12, Unreadable: unreadable("a", 12)})
	c, _ = ended.Merge(now, &cactuspin.Update{Full: true, Revision: 13})
	g.Expect(c.Removed).To(HaveLen(1), "the registration has ended")
	u, _ = ended.UpdateSince(now, 0)
	g.Expect(u.Unreadable).To(BeEmpty())
}

// Guards against hosts that keep a target whose removal they have missed: a host that has
// just read everything announced the newest change that the read lists, and no read lists
// a removal.
func TestAFullReadDoesNotHideARemoval(t *testing.T) {
	g := NewWithT(t)
	reader, peer, told := tracker.New(), loaded(g), tracker.New()
	reader.Merge(now, &cactuspin.Update{
		Full: true, Revision: 20, Routing: routing(3, 4), Targets: []cactuspin.RegisteredTarget{target("b", 9, cactuspin.TargetDraining)},
	})
	u, _ := reader.UpdateSince(now, 0)
	told.Merge(now, &u)
	for _, tr := range []*tracker.Tracker{reader, told} {
		p := tr.Position(now)
		g.Expect(peer.Confirm(now, tracker.Confirmation{Revision: p.Revision, LastChange: p.LastChange})).To(BeFalse(), "target a was removed between 10 and 20")
	}
	g.Expect(told.Position(now).LastChangeUnknown).To(BeTrue())
	reader.Confirm(now, tracker.Confirmation{Revision: 25, LastChange: 14})
	u, _ = reader.UpdateSince(now, 0)
	for _, tr := range []*tracker.Tracker{told, tracker.New()} {
		tr.Merge(now, &u)
		p := tr.Position(now)
		g.Expect(p.LastChange).To(Equal(cactuspin.Revision(14)), "a host that has followed all changes knows better")
		g.Expect(p.LastChangeUnknown).To(BeFalse())
	}
}

// Guards against hosts that keep a target which was registered and removed while the host
// that they ask had lost the history: that host has never known the target.
func TestAPeerThatKnowsMoreThanALostHistoryGetsAFullUpdate(t *testing.T) {
	g := NewWithT(t)
	reader, peer := loaded(g), loaded(g)
	peer.Merge(now, &cactuspin.Update{After: 10, Revision: 12, Targets: []cactuspin.RegisteredTarget{target("c", 12, cactuspin.TargetReady)}})
	listed := []cactuspin.RegisteredTarget{target("a", 8, cactuspin.TargetReady), target("b", 9, cactuspin.TargetDraining)}
	reader.Merge(now, &cactuspin.Update{Full: true, Revision: 20, Routing: routing(3, 4), Targets: listed})
	u, _ := reader.UpdateSince(now, 12)
	c, ok := peer.Merge(now, &u)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Removed).To(HaveLen(1), "target c was removed between 12 and 20")
	for _, after := range []cactuspin.Revision{10, 20} {
		u, _ = reader.UpdateSince(now, after)
		g.Expect(u.Full).To(BeFalse(), "the reader has known all up to 10, and knows all up to 20")
	}
	reader.Merge(now, &cactuspin.Update{After: 20, Revision: 30})
	reader.Merge(now, &cactuspin.Update{Full: true, Revision: 40, Routing: routing(3, 4), Targets: listed})
	for after, full := range map[cactuspin.Revision]bool{12: true, 25: false, 30: false, 35: true, 40: false} {
		u, _ = reader.UpdateSince(now, after)
		g.Expect(u.Full).To(Equal(full), "up to date to %d", after)
	}
}

// Guards against targets that are used again after their removal: a pushed registration
// that arrives after a read of the whole store is older than what the read shows.
func TestALateRegistrationIsNotUsedAfterAFullRead(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, &cactuspin.Update{
		Full: true, Revision: 20, Routing: routing(3, 4),
		Targets: []cactuspin.RegisteredTarget{target("a", 8, cactuspin.TargetReady), target("b", 9, cactuspin.TargetDraining)},
	})
	late := &cactuspin.Update{After: 10, Revision: 12, Targets: []cactuspin.RegisteredTarget{target("c", 12, cactuspin.TargetReady)}}
	c, ok := tr.Merge(now, late)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Empty()).To(BeTrue(), "target c was removed between 12 and 20")
	late.Targets, late.Unreadable = nil, unreadable("c", 12)
	c, _ = tr.Merge(now, late)
	g.Expect(c.Empty()).To(BeTrue())
}

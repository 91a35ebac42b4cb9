package tracker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// restored returns a full update of a store that was restored to revision 5, before which
// the targets were a and c.
func restored(era cactuspin.Era, targets ...cactuspin.RegisteredTarget) *cactuspin.Update {
	return &cactuspin.Update{Era: era, Full: true, Revision: 5, Routing: routing(2, 2), Targets: targets}
}

func ids(targets []cactuspin.RegisteredTarget) (ids []cactuspin.TargetID) {
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// Guards against a host that keeps what it knew because its old revisions are higher.
func TestANewEraReplacesAllRevisions(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	c, ok := tr.Merge(now, restored(1, target("a", 3, cactuspin.TargetReady), target("c", 4, cactuspin.TargetReady)))
	g.Expect(ok).To(BeTrue())
	g.Expect(c.EraBegan).To(BeTrue())
	g.Expect(ids(c.Renumbered)).To(ConsistOf(cactuspin.TargetID("a")), "only its revision changed")
	g.Expect(ids(c.Targets)).To(ConsistOf(cactuspin.TargetID("c")))
	g.Expect(c.Removed).To(HaveLen(1), "b is missing")
	p := tr.Position(now)
	g.Expect([]any{p.Era, p.Revision}).To(Equal([]any{cactuspin.Era(1), cactuspin.Revision(5)}))
	c, ok = tr.Merge(now, &cactuspin.Update{Era: 1, After: 5, Revision: 6, Targets: []cactuspin.RegisteredTarget{target("a", 6, cactuspin.TargetDraining)}})
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Targets).To(HaveLen(1), "revision 6 was given out before, for another change")
}

// Guards against targets that are reset although they are alive and about to register again,
// and against an evacuation that ends although the operators are about to repeat it.
func TestWhatTheBackupLacksIsHeld(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, &cactuspin.Update{After: 10, Revision: 11, HealthyFor: time.Minute, Zones: []cactuspin.ZoneState{{Zone: "z", Evacuated: true, Revision: 11}}})
	detected := now.Add(time.Second)
	tr.RecordStoreError(detected)
	at := detected.Add(500 * time.Millisecond)
	u := restored(1)
	u.HealthyFor = 500 * time.Millisecond
	c, _ := tr.Merge(at, u)
	g.Expect(c.Removed).To(HaveLen(2))
	for _, r := range c.Removed {
		g.Expect(r.Hold).To(Equal(2*time.Second), "also of b, which drains: its flows are open")
	}
	g.Expect(c.Zones).To(HaveLen(1))
	g.Expect(c.Zones[0].Evacuated).To(BeFalse())
	g.Expect(c.Zones[0].Hold).To(Equal(2 * time.Second))
	c, _ = tr.Merge(at, &cactuspin.Update{Era: 1, After: 5, Revision: 7, HealthyFor: u.HealthyFor, Targets: []cactuspin.RegisteredTarget{target("a", 6, cactuspin.TargetReady)}, Zones: []cactuspin.ZoneState{{Zone: "z", Evacuated: true, Revision: 7}}})
	g.Expect(c.Targets).To(HaveLen(1))
	g.Expect(c.Zones).To(HaveLen(1))
	g.Expect(c.Zones[0].Evacuated).To(BeTrue())
}

// Guards against holds that begin anew at each host, however late it hears of the restore.
func TestAHostThatHearsLateHoldsNothing(t *testing.T) {
	g := NewWithT(t)
	u := restored(1)
	u.HealthyFor = 10 * time.Second
	c, _ := loaded(g).Merge(now.Add(time.Minute), u)
	g.Expect(c.Removed[0].Hold).To(BeZero())
}

func TestAnOlderRoutingIsNotAppliedAfterARestore(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	c, _ := tr.Merge(now, restored(1))
	g.Expect(c.Routing).To(BeNil())
	g.Expect(tr.Position(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(3)))
	// A host that restarted has read the backup. The other one's beacon shows the version.
	fresh := tracker.New()
	fresh.Merge(now, restored(1))
	g.Expect(fresh.Position(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(2)))
	g.Expect(fresh.Confirm(now, tracker.Confirmation{Era: 1, Revision: 5, LastChange: 5, Version: 3})).To(BeFalse())
	u, _ := tr.UpdateForEra(now, 1, 0)
	fresh.Merge(now, &u)
	g.Expect(fresh.Position(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(3)))
	g.Expect(tr.Confirm(now, tracker.Confirmation{Era: 1, Revision: 5, LastChange: 5, Version: 2})).To(BeTrue(), "it knows better")
	// The operators write again, which all hosts have to learn.
	for _, x := range []*tracker.Tracker{tr, fresh} {
		c, ok := x.Merge(now, &cactuspin.Update{Era: 1, After: 5, Revision: 6, Routing: routing(3, 6)})
		g.Expect(ok).To(BeTrue())
		g.Expect(c.Routing).To(BeNil(), "it is in force already")
		g.Expect(x.Position(now).LastChange).To(Equal(cactuspin.Revision(6)))
	}
}

// Guards against flows that a starting host resets because the backup lacks their targets.
func TestAStartingHostHearsOfARestoreFromOthers(t *testing.T) {
	g := NewWithT(t)
	tr := tracker.New()
	g.Expect(tr.Confirm(now, tracker.Confirmation{Era: 1, Revision: 5, HealthyFor: time.Second})).To(BeFalse())
	u := restored(1)
	u.HealthyFor = time.Hour
	tr.Merge(now, u)
	g.Expect(tr.Position(now).HealthyFor).To(Equal(time.Second))
}

// Guards against messages in flight that bring the old era back.
func TestMessagesOfAnOlderEraChangeNothing(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, restored(2, target("a", 3, cactuspin.TargetReady)))
	later := now.Add(time.Second)
	for _, u := range []*cactuspin.Update{
		{Era: 1, After: 5, Revision: 12, Targets: []cactuspin.RegisteredTarget{target("d", 12, cactuspin.TargetReady)}},
		{Era: 1, Full: true, Revision: 12, Routing: routing(9, 12)},
		{Full: true, Revision: 400, Routing: routing(9, 12)},
	} {
		c, ok := tr.Merge(later, u)
		g.Expect(ok).To(BeTrue(), "nothing has to be fetched from its sender")
		g.Expect(c.Empty()).To(BeTrue())
	}
	g.Expect(tr.Confirm(later, tracker.Confirmation{Era: 1, Revision: 30, LastChange: 30})).To(BeTrue())
	p := tr.Position(later)
	g.Expect([]any{p.Era, p.Revision, p.Age}).To(Equal([]any{cactuspin.Era(2), cactuspin.Revision(5), time.Second}))
}

// Guards against changes of the new era that are merged into the knowledge of the old one,
// because the revisions happen to fit.
func TestANewerEraNeedsAFullUpdate(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	_, ok := tr.Merge(now, &cactuspin.Update{Era: 1, After: 10, Revision: 11, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}}})
	g.Expect(ok).To(BeFalse())
	g.Expect(tr.Confirm(now, tracker.Confirmation{Era: 1, Revision: 10, LastChange: 10})).To(BeFalse())
	g.Expect(tr.Position(now).Targets).To(Equal(2))
	ahead := loaded(g)
	ahead.Merge(now, restored(1))
	g.Expect(ahead.NeedsFullUpdate(0, 5)).To(BeTrue())
	u, ok := ahead.UpdateForEra(now, 0, 5)
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Full).To(BeTrue())
	_, ok = tr.UpdateForEra(now, 1, 5)
	g.Expect(ok).To(BeFalse(), "a host of the old era has nothing to tell")
}

func TestARemovedTargetThatTheBackupBringsBackIsReported(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, &cactuspin.Update{After: 10, Revision: 11, HealthyFor: time.Minute, Removed: []cactuspin.RemovedTarget{{ID: "a", Revision: 11}}})
	// The first backup lacks a, the second one has it.
	c, _ := tr.Merge(now, restored(1, target("c", 4, cactuspin.TargetReady)))
	g.Expect(c.Reappeared).To(BeEmpty())
	c, _ = tr.Merge(now, restored(2, target("a", 3, cactuspin.TargetReady), target("c", 4, cactuspin.TargetReady)))
	g.Expect(c.Reappeared).To(Equal([]cactuspin.TargetID{"a"}), "its removal was known two eras ago")
	c, _ = tr.Merge(now, restored(3, target("a", 3, cactuspin.TargetReady)))
	g.Expect(c.Reappeared).To(BeEmpty(), "it is known already")
	// c was missing from the third backup and has registered again since.
	again := target("c", 6, cactuspin.TargetReady)
	tr.Merge(now, &cactuspin.Update{Era: 3, After: 5, Revision: 6, Targets: []cactuspin.RegisteredTarget{again}})
	again.Revision, again.Slots = 4, 2
	c, _ = tr.Merge(now, restored(4, again))
	g.Expect(ids(c.Targets)).To(Equal([]cactuspin.TargetID{"c"}))
	g.Expect(c.Reappeared).To(BeEmpty(), "it is known to be alive")
}

// Guards against new flows to a target that drains, and to the former life of a target that
// has started again.
func TestTheKnownStateOutlivesAnOlderOneOfTheBackup(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	moved := target("a", 11, cactuspin.TargetReady)
	moved.Started = 500
	tr.Merge(now, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{moved}})
	c, _ := tr.Merge(now, restored(1, target("a", 3, cactuspin.TargetReady), target("b", 4, cactuspin.TargetReady)))
	g.Expect(c.Targets).To(BeEmpty())
	g.Expect(ids(c.Renumbered)).To(ConsistOf(cactuspin.TargetID("a"), cactuspin.TargetID("b")))
	u, _ := tr.UpdateSince(now, 0)
	for _, x := range u.Targets {
		if x.ID == "b" {
			g.Expect(x.State).To(Equal(cactuspin.TargetDraining))
		} else {
			g.Expect(x.Started).To(Equal(int64(500)))
		}
	}
	c, _ = tr.Merge(now, &cactuspin.Update{Era: 1, After: 5, Revision: 6, Targets: []cactuspin.RegisteredTarget{target("b", 6, cactuspin.TargetReady)}})
	g.Expect(c.Targets).To(HaveLen(1), "it has written again")
}

func TestAnUnreadableEntryOfTheBackupKeepsItsTarget(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	u := restored(1)
	u.Unreadable = []cactuspin.UnreadableTarget{{ID: "a", Revision: 4}, {ID: "x", Revision: 3}}
	c, _ := tr.Merge(now, u)
	g.Expect(c.Targets).To(HaveLen(1))
	g.Expect(c.Targets[0].State).To(Equal(cactuspin.TargetUnreadable))
	g.Expect(c.Unreadable).To(Equal([]cactuspin.TargetID{"x"}))
}

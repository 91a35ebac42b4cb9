package tracker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

func zoneState(name string, evacuated bool, revision uint64) cactuspin.ZoneState {
	return cactuspin.ZoneState{Zone: cactuspin.ZoneID(name), Evacuated: evacuated, Revision: cactuspin.Revision(revision)}
}

// zoneUpdate returns a change of zones between two revisions; a full update has after 0.
func zoneUpdate(after, revision uint64, states ...cactuspin.ZoneState) *cactuspin.Update {
	return &cactuspin.Update{
		After: cactuspin.Revision(after), Revision: cactuspin.Revision(revision), Full: after == 0, KnowsZones: true, HealthyFor: time.Minute, Zones: states,
	}
}

// permutations calls run with all orders of the numbers below n.
func permutations(n int, run func(order []int)) {
	order := make([]int, 0, n)
	used := make([]bool, n)
	var extend func()
	extend = func() {
		if len(order) == n {
			run(order)
			return
		}
		for i := range n {
			if used[i] {
				continue
			}
			used[i], order = true, append(order, i)
			extend()
			used[i], order = false, order[:len(order)-1]
		}
	}
	extend()
}

// Guards against updates that bring back an old state of a zone: they arrive late, again,
// in any order, and between reads of everything.
func TestZoneStatesHoldInEveryOrderOfUpdates(t *testing.T) {
	evacuatedAt := map[cactuspin.Revision]bool{11: true, 12: true, 15: true, 16: true}
	updates := []*cactuspin.Update{
		zoneUpdate(10, 11, zoneState("z", true, 11)),
		zoneUpdate(11, 12, zoneState("z", true, 12)),
		zoneUpdate(12, 13, zoneState("z", false, 13)),
		zoneUpdate(10, 16, zoneState("z", true, 15), zoneState("z", false, 13), zoneState("z", true, 11)), // The order of events is not promised.
		zoneUpdate(0, 12, zoneState("z", true, 12)),
		zoneUpdate(0, 14),
		zoneUpdate(16, 17, zoneState("z", false, 17)),
	}
	orders := 0
	permutations(len(updates), func(order []int) {
		orders++
		tr := tracker.New()
		tr.Merge(now, zoneUpdate(0, 10))
		for range 2 { // Updates that start too late are sent again.
			for _, i := range order {
				u := *updates[i]
				tr.Merge(now, &u)
				p := tr.Position(now)
				if (len(p.Evacuated) > 0) != evacuatedAt[p.Revision] {
					t.Fatalf("order %v, after update %d: evacuated are %v at revision %d", order, i, p.Evacuated, p.Revision)
				}
			}
		}
		if p := tr.Position(now); p.Revision != 17 {
			t.Fatalf("order %v ends at revision %d", order, p.Revision)
		}
	})
	t.Logf("%d orders", orders)
}

func TestReturnOfAZoneIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	c, _ := tr.Merge(now, zoneUpdate(10, 11, zoneState("z", true, 11)))
	g.Expect(c.Zones).To(Equal([]tracker.ZoneChange{{ZoneState: zoneState("z", true, 11)}}))
	g.Expect(tr.Position(now).LastChange).To(Equal(cactuspin.Revision(11)), "hosts that miss it have to ask")
	c, _ = tr.Merge(now, zoneUpdate(11, 12, zoneState("z", true, 12)))
	g.Expect(c.Empty()).To(BeTrue(), "written again")
	c, _ = tr.Merge(now, zoneUpdate(12, 13, zoneState("z", false, 13), zoneState("other", false, 13)))
	g.Expect(c.Zones).To(Equal([]tracker.ZoneChange{{ZoneState: zoneState("z", false, 13)}}))
	u, ok := tr.UpdateSince(now, 11)
	g.Expect(ok).To(BeTrue())
	g.Expect(u.KnowsZones).To(BeTrue())
	g.Expect(u.Zones).To(ConsistOf(zoneState("z", false, 13), zoneState("other", false, 13)), "peers get returns, too")
}

// A read of everything shows returns only by what it does not list. After an error of the
// store, the zone is held back as removed targets are.
func TestAFullReadReturnsUnlistedZones(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, zoneUpdate(10, 12, zoneState("y", true, 11), zoneState("z", true, 12)))
	tr.RecordStoreError(now)
	read := zoneUpdate(0, 20, zoneState("y", true, 11))
	read.HealthyFor = 0
	c, _ := tr.Merge(now.Add(500*time.Millisecond), read)
	g.Expect(c.Zones).To(Equal([]tracker.ZoneChange{{ZoneState: zoneState("z", false, 20), Hold: 2500 * time.Millisecond}}))
	g.Expect(tr.Position(now).Evacuated).To(Equal([]cactuspin.ZoneID{"y"}))
}

// Guards against a zone that stays evacuated for ever: a peer that has read everything knows
// of an earlier return only, and lists that.
func TestAFullUpdateWithAnEarlierReturnEndsAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	peer, behind := loaded(g), loaded(g)
	for _, tr := range []*tracker.Tracker{peer, behind} {
		tr.Merge(now, zoneUpdate(10, 12, zoneState("z", true, 11), zoneState("z", false, 12)))
	}
	behind.Merge(now, zoneUpdate(12, 14, zoneState("z", true, 14)))
	peer.Merge(now, zoneUpdate(0, 20))
	u, _ := peer.UpdateSince(now, 14)
	g.Expect(u.Full).To(BeTrue())
	c, _ := behind.Merge(now, &u)
	g.Expect(c.Zones).To(HaveLen(1))
	g.Expect(behind.Position(now).Evacuated).To(BeEmpty(), "it returned between 14 and 20")
}

// Guards against an evacuation that ends because a page read before it lacks it: its
// revision is newer than the read.
func TestAnEvacuationNewerThanAFullReadStays(t *testing.T) {
	g := NewWithT(t)
	tr := tracker.New()
	tr.Merge(now, zoneUpdate(0, 10, zoneState("z", true, 14)))
	tr.Merge(now, zoneUpdate(0, 12))
	g.Expect(tr.Position(now).Evacuated).To(HaveLen(1))
	c, _ := tr.Merge(now, zoneUpdate(0, 14))
	g.Expect(c.Zones).To(HaveLen(1))
}

// Guards against evacuations that end during a rolling upgrade: hosts of the build before
// list no zones.
func TestAFullUpdateOfAHostThatKnowsNoZonesReturnsNone(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	tr.Merge(now, zoneUpdate(10, 11, zoneState("z", true, 11)))
	old := zoneUpdate(0, 20)
	old.KnowsZones = false
	c, ok := tr.Merge(now, old)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Zones).To(BeEmpty())
	g.Expect(tr.Position(now).Evacuated).To(HaveLen(1))
}

// Guards against a writer of many names that keeps the host from learning of a real
// evacuation for the rest of its life.
func TestReturnedZonesMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	tr := loaded(g)
	const many = 1024
	var evacuated, returned []cactuspin.ZoneState
	for i := range many {
		evacuated = append(evacuated, zoneState(fmt.Sprintf("odd-%d", i), true, uint64(11+i)))
		returned = append(returned, zoneState(fmt.Sprintf("odd-%d", i), false, uint64(2001+i)))
	}
	tr.Merge(now, zoneUpdate(10, 1999, evacuated...))
	c, _ := tr.Merge(now, zoneUpdate(1999, 2000, zoneState("z", true, 2000)))
	g.Expect(c.OmittedZones).To(Equal(1), "too many are evacuated")
	g.Expect(c.Empty()).To(BeFalse())
	tr.Merge(now, zoneUpdate(1999, 4000, returned...))
	c, _ = tr.Merge(now, zoneUpdate(4000, 4001, zoneState("z", true, 4001)))
	g.Expect(c.Zones).To(HaveLen(1))
	g.Expect(tr.Position(now).Evacuated).To(Equal([]cactuspin.ZoneID{"z"}))
	c, _ = tr.Merge(now, zoneUpdate(1999, 2010, zoneState("odd-7", true, 18)))
	g.Expect(c.Empty()).To(BeTrue(), "a late update brings no state back")
	u, _ := tr.UpdateSince(now, 2500)
	g.Expect(u.Full).To(BeTrue(), "a peer that knows odd-1000 as evacuated gets everything")
}

package planner_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const (
	now       = cactuspin.Time(1_000_000_000_000)
	freshness = 1350 * time.Millisecond
)

func host(zone byte, n byte) cactuspin.EntryHost {
	return cactuspin.EntryHost{Address: netip.AddrFrom4([4]byte{10, zone, 0, n}), Zone: cactuspin.ZoneID(rune('a' + zone))}
}

func newPlanner(self cactuspin.EntryHost) *planner.Planner {
	return planner.New(planner.Config{Self: self, Incarnation: 1, MaxAge: freshness, Seed: 1})
}

// tick lets a planner decide that has all that the store holds.
func tick(p *planner.Planner, at cactuspin.Time, age time.Duration) planner.Plan {
	return p.Tick(at, known(age), false)
}

func hear(p *planner.Planner, at cactuspin.Time, age time.Duration, hosts ...cactuspin.EntryHost) {
	for _, h := range hosts {
		p.HandleBeacon(at, &encoder.Beacon{Host: h, Incarnation: 5, Complete: true, Age: age})
	}
}

func known(age time.Duration) tracker.Position {
	return tracker.Position{Complete: true, Loaded: true, Age: age}
}

func TestOnlyTheFirstLeaderReads(t *testing.T) {
	g := NewWithT(t)
	first, second, third := newPlanner(host(0, 1)), newPlanner(host(0, 2)), newPlanner(host(1, 1))
	hear(first, now, 0, host(0, 2), host(1, 1))
	hear(second, now, 0, host(0, 1))
	hear(third, now, 0, host(0, 1))
	g.Expect(tick(first, now, 0).ReadStore).To(BeTrue())
	g.Expect(tick(second, now, 0).ReadStore).To(BeFalse())
	plan := tick(third, now, 0)
	g.Expect(plan.ReadStore).To(BeFalse())
	g.Expect(plan.Leader).To(BeTrue())
}

func TestALeaderWithOldKnowledgeIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	next := newPlanner(host(1, 1))
	hear(next, now, 2*freshness, host(0, 1))
	g.Expect(tick(next, now, 0).ReadStore).To(BeTrue())
	stale := newPlanner(host(0, 1))
	hear(stale, now, 0, host(1, 1))
	g.Expect(tick(stale, now, freshness/2).ReadStore).To(BeTrue(), "still fresh, and first")
}

func TestASilentReaderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 2))
	hear(p, now, 0, host(0, 1))
	g.Expect(tick(p, now.Add(time.Second), time.Second).ReadStore).To(BeFalse())
	g.Expect(tick(p, now.Add(1300*time.Millisecond), 1300*time.Millisecond).ReadStore).To(BeTrue(), "it leads now")
}

func TestOldKnowledgeMakesAnyHostRead(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 9))
	hear(p, now, 0, host(0, 1), host(0, 2))
	g.Expect(tick(p, now, freshness).ReadStore).To(BeFalse())
	g.Expect(tick(p, now, freshness+time.Second).ReadStore).To(BeTrue())
	g.Expect(tick(p, now.Add(time.Second), 0).ReadStore).To(BeTrue(), "it reads on for a while")
	hear(p, now.Add(4*time.Second), 0, host(0, 1), host(0, 2))
	g.Expect(tick(p, now.Add(4*time.Second), 0).ReadStore).To(BeFalse())
}

func TestBeaconsGrowWithTheZoneAndNotItsSquare(t *testing.T) {
	g := NewWithT(t)
	told := 0
	const hosts = 14
	for i := byte(1); i <= hosts; i++ {
		p := newPlanner(host(0, i))
		for j := byte(1); j <= hosts; j++ {
			if i != j {
				hear(p, now, 0, host(0, j))
			}
		}
		hear(p, now, 0, host(1, 1), host(1, 2), host(2, 1))
		plan := tick(p, now, 0)
		told += len(plan.ZoneRecipients)
		if i == 1 {
			g.Expect(plan.RemoteRecipients).To(ConsistOf(host(1, 1).Address, host(2, 1).Address))
		} else {
			g.Expect(plan.RemoteRecipients).To(BeEmpty())
		}
	}
	g.Expect(told).To(Equal(3*(hosts-1) + 3*(hosts-3)))
}

func TestLoadsAreAddedUpOnce(t *testing.T) {
	g := NewWithT(t)
	leader, member := newPlanner(host(0, 1)), newPlanner(host(0, 2))
	load := func(flows uint16) encoder.Loads { return encoder.Loads{{Subject: 7, Flows: flows}} }
	leader.HandleBeacon(now, &encoder.Beacon{Host: host(0, 2), Loads: load(2)})
	leader.HandleBeacon(now, &encoder.Beacon{Host: host(1, 1), Loads: load(40)})
	zone, total, others := leader.Loads(now, load(1))
	g.Expect(zone).To(Equal(load(3)))
	g.Expect(total).To(Equal(load(43)))
	g.Expect(others).To(Equal(load(42)))
	member.HandleBeacon(now, &encoder.Beacon{Host: host(0, 1), Total: total})
	_, _, others = member.Loads(now, load(2))
	g.Expect(others).To(Equal(load(41)))
}

func TestLostAndRegainedPeersAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 2))
	beacon := &encoder.Beacon{Host: host(0, 1), Incarnation: 5, Complete: true}
	far := &encoder.Beacon{Host: host(1, 1), Incarnation: 6, Complete: true}
	g.Expect(p.HandleBeacon(now, beacon)).To(BeTrue())
	tick(p, now, 0)
	g.Expect(p.HandleBeacon(now, far)).To(BeFalse(), "another zone's leader speaks to the leader")
	at := now.Add(time.Second)
	g.Expect(p.HandleBeacon(at, beacon)).To(BeFalse())
	g.Expect(tick(p, at, 0).Unresponsive).To(BeEmpty())
	at = at.Add(2 * time.Second)
	g.Expect(tick(p, at, 0).Unresponsive).To(Equal([]netip.Addr{host(0, 1).Address}))
	g.Expect(tick(p, at, 0).Unresponsive).To(BeEmpty())
	g.Expect(p.HandleBeacon(at, beacon)).To(BeTrue())
	beacon.Incarnation = 7
	g.Expect(p.HandleBeacon(at, beacon)).To(BeTrue(), "it was started again")
}

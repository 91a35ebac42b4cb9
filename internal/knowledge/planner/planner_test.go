package planner_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

const (
	now    = cactuspin.Time(1_000_000_000_000)
	maxAge = 1350 * time.Millisecond
)

func host(zone byte, n byte) cactuspin.EntryHost {
	return cactuspin.EntryHost{Address: netip.AddrFrom4([4]byte{10, zone, 0, n}), Zone: cactuspin.ZoneID(rune('a' + zone))}
}

func newPlanner(self cactuspin.EntryHost) *planner.Planner {
	return planner.New(planner.Config{Self: self, Incarnation: 1, MaxAge: maxAge, Seed: 1})
}

// tick runs a tick of a planner whose host has complete knowledge.
func tick(p *planner.Planner, at cactuspin.Time, age time.Duration) planner.Plan {
	return p.Tick(at, known(age), false)
}

func receiveBeacons(p *planner.Planner, at cactuspin.Time, age time.Duration, hosts ...cactuspin.EntryHost) {
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
	receiveBeacons(first, now, 0, host(0, 2), host(1, 1))
	receiveBeacons(second, now, 0, host(0, 1))
	receiveBeacons(third, now, 0, host(0, 1))
	g.Expect(tick(first, now, 0).ReadStore).To(BeTrue())
	g.Expect(tick(second, now, 0).ReadStore).To(BeFalse())
	plan := tick(third, now, 0)
	g.Expect(plan.ReadStore).To(BeFalse())
	g.Expect(plan.Leader).To(BeTrue())
}

func TestLeaderWithStaleKnowledgeIsSkipped(t *testing.T) {
	g := NewWithT(t)
	next := newPlanner(host(1, 1))
	receiveBeacons(next, now, 2*maxAge, host(0, 1))
	g.Expect(tick(next, now, 0).ReadStore).To(BeTrue())
	stale := newPlanner(host(0, 1))
	receiveBeacons(stale, now, 0, host(1, 1))
	g.Expect(tick(stale, now, maxAge/2).ReadStore).To(BeTrue(), "its knowledge is still fresh and its address is lower")
}

func TestUnresponsiveReaderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 2))
	receiveBeacons(p, now, 0, host(0, 1))
	g.Expect(tick(p, now.Add(time.Second), time.Second).ReadStore).To(BeFalse())
	g.Expect(tick(p, now.Add(1300*time.Millisecond), 1300*time.Millisecond).ReadStore).To(BeTrue(), "it is the leader now")
}

func TestStaleKnowledgeMakesAnyHostRead(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 9))
	receiveBeacons(p, now, 0, host(0, 1), host(0, 2))
	g.Expect(tick(p, now, maxAge).ReadStore).To(BeFalse())
	g.Expect(tick(p, now, maxAge+time.Second).ReadStore).To(BeTrue())
	g.Expect(tick(p, now.Add(time.Second), 0).ReadStore).To(BeTrue(), "it continues to read for a while")
	receiveBeacons(p, now.Add(4*time.Second), 0, host(0, 1), host(0, 2))
	g.Expect(tick(p, now.Add(4*time.Second), 0).ReadStore).To(BeFalse())
}

func TestAHostStopsReadingWhenAnotherOneReadsInstead(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 9))
	hear := func(from cactuspin.EntryHost, reader cactuspin.EntryHost) {
		p.HandleBeacon(now, &encoder.Beacon{Host: from, Incarnation: 5, Complete: true, Reader: reader.Address})
	}
	hear(host(0, 1), host(0, 9))
	g.Expect(tick(p, now, 2*maxAge).ReadStore).To(BeTrue())
	g.Expect(tick(p, now, 0).ReadStore).To(BeTrue(), "the preceding host depends on this one")
	hear(host(0, 12), host(0, 12))
	hear(host(1, 1), host(1, 1))
	g.Expect(tick(p, now, 0).ReadStore).To(BeTrue(), "neither a later host nor one of another zone takes precedence")
	hear(host(0, 2), host(1, 1))
	g.Expect(tick(p, now, 0).ReadStore).To(BeFalse(), "a preceding host is kept up to date by another reader")
	g.Expect(tick(p, now, 2*maxAge).ReadStore).To(BeTrue(), "old knowledge makes any host read")
}

func TestNumberOfBeaconsIsLinearInTheSizeOfTheZone(t *testing.T) {
	g := NewWithT(t)
	sent := 0
	const hosts = 14
	for i := byte(1); i <= hosts; i++ {
		p := newPlanner(host(0, i))
		for j := byte(1); j <= hosts; j++ {
			if i != j {
				receiveBeacons(p, now, 0, host(0, j))
			}
		}
		receiveBeacons(p, now, 0, host(1, 1), host(1, 2), host(2, 1))
		plan := tick(p, now, 0)
		sent += len(plan.ZoneRecipients)
		if i == 1 {
			g.Expect(plan.RemoteRecipients).To(ConsistOf(host(1, 1).Address, host(2, 1).Address))
		} else {
			g.Expect(plan.RemoteRecipients).To(BeEmpty())
		}
	}
	g.Expect(sent).To(Equal(3*(hosts-1) + 3*(hosts-3)))
}

func TestLoadsAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	leader, member := newPlanner(host(0, 1)), newPlanner(host(0, 2))
	load := func(flows uint16) encoder.Loads { return encoder.Loads{{Subject: 7, Flows: flows}} }
	leader.HandleBeacon(now, &encoder.Beacon{Host: host(0, 2), Loads: load(2)})
	leader.HandleBeacon(now, &encoder.Beacon{Host: host(1, 1), Loads: load(40)})
	zone, total, others := leader.AggregateLoads(now, load(1))
	g.Expect(zone).To(Equal(load(3)))
	g.Expect(total).To(Equal(load(43)))
	g.Expect(others).To(Equal(load(42)))
	member.HandleBeacon(now, &encoder.Beacon{Host: host(0, 1), Total: total})
	_, _, others = member.AggregateLoads(now, load(2))
	g.Expect(others).To(Equal(load(41)))
}

func TestReportsOfDownTargetsArePassedOnUntilTheyExpire(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	report := func(age time.Duration) encoder.DownTargets { return encoder.DownTargets{{Cookie: 7, Age: age}} }
	p.HandleBeacon(now, &encoder.Beacon{Host: host(0, 2), Down: report(300 * time.Millisecond)})
	p.HandleBeacon(now, &encoder.Beacon{Host: host(1, 1), Down: report(100 * time.Millisecond)})
	own := encoder.DownTargets{{Cookie: 3}}
	all, others := p.AggregateDown(now.Add(time.Second), own)
	g.Expect(others).To(Equal(report(1100*time.Millisecond)), "the newest evidence counts")
	g.Expect(all).To(Equal(append(own, others...)))
	all, others = p.AggregateDown(now.Add(1500*time.Millisecond), nil)
	g.Expect(append(all, others...)).To(BeEmpty(), "passing a report on does not renew it")
}

// Regions can lose each other for an hour.
func TestContactToAZoneIsRestoredAfterALongCut(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	receiveBeacons(p, now, 0, host(0, 2), host(1, 1), host(1, 2), host(2, 1))
	tick(p, now, 0)
	at := now.Add(time.Hour)
	receiveBeacons(p, at, 0, host(2, 1), host(0, 3))
	sent := map[netip.Addr]bool{}
	for range 40 {
		at = at.Add(planner.BeaconInterval)
		receiveBeacons(p, at, 0, host(2, 1), host(0, 3))
		plan := tick(p, at, 0)
		g.Expect(len(plan.RemoteRecipients)).To(BeNumerically("<=", 2), "one host of each zone")
		for _, a := range plan.RemoteRecipients {
			sent[a] = true
		}
	}
	g.Expect(sent).To(HaveLen(3))
	g.Expect(sent).To(HaveKey(host(1, 1).Address))
	g.Expect(sent).To(HaveKey(host(1, 2).Address))
	g.Expect(tick(p, at, 0).ZoneRecipients).NotTo(ContainElement(host(0, 2).Address), "its own zone is not cut off")
}

func TestTheLeaderOfASilentZoneIsTriedSoon(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	const hosts, rounds = 200, 300
	for i := range byte(hosts) {
		receiveBeacons(p, now, 0, host(1, i+1))
	}
	at, tries := now.Add(2*time.Second), 0
	for range rounds {
		at = at.Add(planner.BeaconInterval)
		if slices.Contains(tick(p, at, 0).RemoteRecipients, host(1, 1).Address) {
			tries++
		}
	}
	g.Expect(tries).To(BeNumerically(">", rounds/10), "by chance it would be one or two")
}

func TestAHostThatLedForAMomentReportsNoOtherZone(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 2))
	tick(p, now, 0)
	p.HandleBeacon(now, &encoder.Beacon{Host: host(1, 1), Incarnation: 6, Complete: true})
	receiveBeacons(p, now, 0, host(0, 1))
	at := now.Add(2 * time.Second)
	receiveBeacons(p, at, 0, host(0, 1))
	g.Expect(tick(p, at, 0).Unresponsive).To(BeEmpty())
}

func TestLostAndRecoveredPeersAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 2))
	beacon := &encoder.Beacon{Host: host(0, 1), Incarnation: 5, Complete: true}
	remote := &encoder.Beacon{Host: host(1, 1), Incarnation: 6, Complete: true}
	g.Expect(p.HandleBeacon(now, beacon)).To(BeTrue())
	tick(p, now, 0)
	g.Expect(p.HandleBeacon(now, remote)).To(BeFalse(), "only leaders get regular beacons from other zones")
	at := now.Add(time.Second)
	g.Expect(p.HandleBeacon(at, beacon)).To(BeFalse())
	g.Expect(tick(p, at, 0).Unresponsive).To(BeEmpty())
	at = at.Add(2 * time.Second)
	g.Expect(tick(p, at, 0).Unresponsive).To(Equal([]netip.Addr{host(0, 1).Address}))
	g.Expect(tick(p, at, 0).Unresponsive).To(BeEmpty())
	g.Expect(p.HandleBeacon(at, beacon)).To(BeTrue())
	beacon.Incarnation = 7
	g.Expect(p.HandleBeacon(at, beacon)).To(BeTrue(), "it was restarted")
}

// Guards against a zone that nobody reads for because a host of an older era, which no
// longer helps others, takes precedence.
func TestHostsOfAnOlderEraTakeNoPrecedence(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(1, 1))
	hear := func(era cactuspin.Era) {
		p.HandleBeacon(now, &encoder.Beacon{Host: host(0, 1), Incarnation: 5, Complete: true, Era: era})
	}
	known := tracker.Position{Complete: true, Era: 2}
	hear(1)
	g.Expect(p.Tick(now, known, false).ReadStore).To(BeTrue())
	hear(2)
	g.Expect(p.Tick(now, known, false).ReadStore).To(BeFalse())
}

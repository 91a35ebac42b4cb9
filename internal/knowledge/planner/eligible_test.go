package planner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// settled is long enough after now for a leader to list eligible hosts.
const settled = now + cactuspin.Time(2*time.Second)

func addresses(hosts ...cactuspin.EntryHost) (list encoder.Addresses) {
	for _, h := range hosts {
		list = append(list, h.Address)
	}
	return list
}

// Guards against starting hosts that all list themselves.
func TestLeaderListsTheHostsThatItHears(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	tick(p, now, 0)
	receiveBeacons(p, now, 0, host(0, 2), host(0, 3), host(1, 1))
	g.Expect(p.EligibleHosts(now, 0)).To(BeNil(), "it has just started")
	receiveBeacons(p, settled, 0, host(0, 2), host(0, 3), host(1, 1))
	g.Expect(p.EligibleHosts(settled, 0)).To(Equal(addresses(host(0, 1), host(0, 2), host(0, 3))))
	g.Expect(p.EligibleHosts(settled, settled+1)).To(BeNil(), "it was suspended")
	alone := newPlanner(host(0, 1))
	g.Expect(alone.EligibleHosts(settled, 0)).To(BeNil(), "its knowledge is incomplete")
	tick(alone, now, 0)
	g.Expect(alone.EligibleHosts(settled, 0)).To(Equal(addresses(host(0, 1))), "it has the zone to itself")
}

// Guards against several parts of a partitioned zone that each have an owner for a target.
func TestLeaderWithoutHalfOfTheZoneListsNone(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	tick(p, now, 0)
	p.AddPeers(now, []cactuspin.EntryHost{host(0, 5), host(0, 6)}, true)
	receiveBeacons(p, now, 0, host(0, 2), host(0, 3), host(0, 4))
	receiveBeacons(p, settled, 0, host(0, 2), host(0, 3))
	g.Expect(p.EligibleHosts(settled, 0)).To(HaveLen(3), "it hears half, with itself")
	late := settled.Add(time.Minute)
	tick(p, late, 0)
	receiveBeacons(p, late, 0, host(0, 2))
	g.Expect(p.EligibleHosts(late, 0)).To(BeNil(), "the silent hosts may be alive elsewhere")
	for _, h := range []byte{3, 4} {
		p.HandleBeacon(late, &encoder.Beacon{Host: host(0, h), Incarnation: 5, Leaving: true})
	}
	g.Expect(p.EligibleHosts(late, 0)).To(HaveLen(2), "two of the others have stopped")
	late = late.Add(11 * time.Minute)
	tick(p, late, 0)
	g.Expect(p.EligibleHosts(late, 0)).To(HaveLen(1), "the others have been silent for long")
}

// Guards against members that use a list of their own, or an old one.
func TestMembersUseTheListOfTheirLeader(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 3))
	tick(p, now, 0)
	list := addresses(host(0, 1), host(0, 2), host(0, 3))
	receiveBeacons(p, settled, 0, host(0, 2), host(0, 4))
	p.HandleBeacon(settled, &encoder.Beacon{Host: host(0, 1), Incarnation: 5, Complete: true, Eligible: list})
	g.Expect(p.EligibleHosts(settled, 0)).To(Equal(list))
	g.Expect(p.EligibleHosts(settled.Add(500*time.Millisecond), 0)).To(Equal(list))
	g.Expect(p.EligibleHosts(settled.Add(700*time.Millisecond), 0)).To(BeNil(), "the leader fell silent")
	g.Expect(p.EligibleHosts(settled, settled+1)).To(BeNil(), "the beacon may have waited while this host was suspended")
	receiveBeacons(p, settled, 0, host(0, 1))
	g.Expect(p.EligibleHosts(settled, 0)).To(BeNil(), "the leader, of an earlier build perhaps, lists none")
}

// Guards against beacons that exceed a datagram.
func TestNumberOfEligibleHostsIsLimited(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(host(0, 1))
	tick(p, now, 0)
	for n := range byte(200) {
		receiveBeacons(p, settled, 0, host(0, n+2))
	}
	g.Expect(p.EligibleHosts(settled, 0)).To(HaveLen(encoder.MaxEligible))
}

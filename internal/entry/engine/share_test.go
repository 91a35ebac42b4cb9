package engine_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

func zoneHost(n byte) cactuspin.EntryHost {
	return cactuspin.EntryHost{Address: netip.AddrFrom4([4]byte{10, 1, 0, n}), Zone: "a"}
}

// beacons returns the beacons that a tick sends.
func beacons(e *engine.Engine, at cactuspin.Time) (sent []*encoder.Beacon) {
	var out engine.Actions
	e.Tick(at, &out)
	for _, s := range out.Sends {
		if s.Datagram.Beacon != nil {
			sent = append(sent, s.Datagram.Beacon)
		}
	}
	return sent
}

// TestBeaconsCarryTheHostsOfALargeZone fails if the first host of a zone does not tell the
// others which hosts there are, or tells it in a small zone.
func TestBeaconsCarryTheHostsOfALargeZone(t *testing.T) {
	for hosts, told := range map[byte]bool{7: false, 9: true} {
		g := NewWithT(t)
		e, _ := loaded(g)
		at := now.Add(time.Second)
		for n := byte(2); n <= hosts; n++ {
			var out engine.Actions
			e.Datagram(at, zoneHost(n).Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: zoneHost(n), Incarnation: 1}}, &out)
		}
		found := false
		for _, b := range beacons(e, at) {
			found = found || b.ZoneHosts != nil
		}
		g.Expect(found).To(Equal(told))
		want := encoder.HostRank{}
		if told {
			want.Hosts = int(hosts)
		}
		g.Expect(e.Status(at).Balance.HostRank).To(Equal(want))
	}
}

// TestAHostTakesItsRankFromBeacons fails if a host that hears only the first hosts of its
// zone gets no rank, or keeps it for ever.
func TestAHostTakesItsRankFromBeacons(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Config{DynamicConfig: engine.DynamicConfig{MaxStaleness: maxStaleness}, Self: zoneHost(20), Incarnation: 1, MaxFlows: 100, Seed: 1})
	set := &encoder.HostSet{}
	for n := byte(1); n <= 24; n++ {
		set.Add(zoneHost(n).Address)
	}
	hear := func(at cactuspin.Time, hosts *encoder.HostSet) {
		for n := byte(1); n <= 3; n++ {
			var out engine.Actions
			e.Datagram(at, zoneHost(n).Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: zoneHost(n), Incarnation: 1, ZoneHosts: hosts}}, &out)
		}
	}
	at := now.Add(time.Second)
	hear(at, set)
	g.Expect(beacons(e, at)).NotTo(BeEmpty())
	g.Expect(e.Status(at).Balance.HostRank).To(Equal(encoder.HostRank{Rank: 19, Hosts: 24}))
	for i := range 40 {
		at = now.Add(time.Second + time.Duration(i)*250*time.Millisecond)
		hear(at, nil)
		beacons(e, at)
	}
	g.Expect(e.Status(at).Balance.HostRank).To(BeZero())
}

package engine_test

import (
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// notes returns the attributes of the notes with a message.
func notes(out *engine.Actions, message string) (found []map[string]string) {
	for _, n := range out.Notes {
		if n.Message != message {
			continue
		}
		m := map[string]string{"level": n.Level.String()}
		for _, a := range n.Attributes {
			m[a.Key] = a.Value.String()
		}
		found = append(found, m)
	}
	return found
}

func evacuation(after, revision cactuspin.Revision, zone cactuspin.ZoneID, evacuated bool) *cactuspin.Update {
	return &cactuspin.Update{After: after, Revision: revision, Zones: []cactuspin.ZoneState{{Zone: zone, Evacuated: evacuated, Revision: revision}}}
}

func TestEvacuationsArePushedAndLogged(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	target := cactuspin.RegisteredTarget{ID: "i-1", Service: "s", Zone: "a", Slots: 1, Revision: 11, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target}}, nil, &out)
	at := now.Add(time.Second)
	for _, x := range []struct {
		zone      cactuspin.ZoneID
		evacuated bool
		warnings  int
	}{{"a", true, 0}, {"nowhere", true, 1}, {"a", false, 0}, {"nowhere", false, 0}} {
		out = engine.Actions{}
		e.Datagram(at, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 10}}, &out)
		e.Tick(at, &out)
		call, out = out.Store, engine.Actions{}
		u := evacuation(call.After, call.After+1, x.zone, x.evacuated)
		e.StoreAnswered(at, call, u, nil, &out)
		at = at.Add(time.Second)
		g.Expect(out.Sends).To(HaveLen(1), "%+v", x)
		pushed := out.Sends[0].Datagram.Update
		g.Expect(pushed.Zones).To(Equal(u.Zones))
		g.Expect(pushed.KnowsZones).To(BeTrue())
		changed := notes(&out, "knowledge: zone state changed")
		g.Expect(changed).To(HaveLen(1), "%+v", x)
		g.Expect(changed[0]).To(HaveKeyWithValue("zone", string(x.zone)))
		g.Expect(changed[0]).To(HaveKeyWithValue("evacuated", map[bool]string{true: "true", false: "false"}[x.evacuated]))
		g.Expect(changed[0]).To(HaveKeyWithValue("level", slog.LevelInfo.String()))
		g.Expect(changed[0]).To(HaveKeyWithValue("source", "store"))
		g.Expect(notes(&out, "knowledge: zone without targets evacuated")).To(HaveLen(x.warnings), "%+v", x)
	}
	g.Expect(e.Status(at).Evacuated).To(BeEmpty())
}

// Guards against evacuations that are lost if a reader fails between two pages, and against
// pages that count alone.
func TestEvacuationsAreReadPageByPage(t *testing.T) {
	g := NewWithT(t)
	e, call := firstPage(0)
	var out engine.Actions
	e.StoreAnswered(now, call, nil, errors.New("timeout"), &out)
	at := now.Add(time.Second)
	e.Tick(at, &out)
	call, out = out.Store, engine.Actions{}
	last := page(10, "", "i-2")
	last.Zones = []cactuspin.ZoneState{{Zone: "b", Evacuated: true, Revision: 7}}
	e.StoreAnswered(at, call, last, nil, &out)
	g.Expect(e.Status(at).Evacuated).To(Equal([]cactuspin.ZoneID{"b"}))
	g.Expect(notes(&out, "knowledge: zone state changed")).To(HaveLen(1))
}

// Guards against hosts that miss an evacuation during a rolling upgrade, and for the rest
// of their lives: hosts of the build before confirm a revision and send updates without
// the states of zones.
func TestKnowledgeOfHostsThatKnowNoZonesIsNotUsed(t *testing.T) {
	for _, evacuations := range []bool{false, true} {
		g := NewWithT(t)
		e, _ := loaded(g)
		e.Reconfigure(engine.DynamicConfig{MaxStaleness: maxStaleness, Evacuations: evacuations})
		at := now.Add(time.Second)
		revision := map[bool]cactuspin.Revision{false: 20, true: 10}[evacuations]
		var out engine.Actions
		e.Datagram(at, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 20, LastChange: 9}}, &out)
		g.Expect(e.Status(at).Revision).To(Equal(revision), "beacon, %t", evacuations)
		e.Datagram(at, other.Address, &encoder.Datagram{Update: &cactuspin.Update{After: 10, Revision: 20}}, &out)
		g.Expect(e.Status(at).Revision).To(Equal(revision), "pushed update, %t", evacuations)
		e.Fetched(at, &engine.Fetch{Host: other.Address, After: 10, SentAt: at}, &cactuspin.Update{After: 10, Revision: 20}, nil, &out)
		g.Expect(e.Status(at).Revision).To(Equal(revision), "fetched update, %t", evacuations)
		g.Expect(out.Fetch).To(BeNil())
		e.Datagram(at, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 20, LastChange: 9, KnowsZones: true}}, &out)
		g.Expect(e.Status(at).Revision).To(Equal(cactuspin.Revision(20)), "a host of this build")
	}
}

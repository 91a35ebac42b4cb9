package engine_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

func page(revision cactuspin.Revision, next cactuspin.Cursor, id cactuspin.TargetID) *cactuspin.Update {
	t := cactuspin.RegisteredTarget{ID: id, Service: "s", Slots: 1, Revision: 4, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	return &cactuspin.Update{Full: true, Revision: revision, Next: next, Targets: []cactuspin.RegisteredTarget{t}}
}

// firstPage returns an Engine that has read the first of several pages, and the
// call for the next one, if any. The page lists others preceding hosts of the
// same zone.
func firstPage(others int) (*engine.Engine, *engine.StoreCall) {
	e := newEngine()
	var out engine.Actions
	e.Tick(now, &out)
	first := page(10, "i-1", "i-1")
	first.Routing = full(10).Routing
	for i := range others {
		first.Hosts = append(first.Hosts, cactuspin.EntryHost{Address: netip.MustParseAddr(fmt.Sprintf("10.0.9.%d", i)), Zone: self.Zone})
	}
	call := out.Store
	out.Store = nil
	e.StoreAnswered(now, call, first, nil, &out)
	return e, out.Store
}

func TestOnlyAFailedPageIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	e, call := firstPage(0)
	g.Expect(call.From).To(Equal(cactuspin.Cursor("i-1")))
	var out engine.Actions
	e.StoreAnswered(now, call, nil, errors.New("timeout"), &out)
	at := now.Add(time.Second)
	e.Tick(at, &out)
	g.Expect(out.Store.From).To(Equal(cactuspin.Cursor("i-1")))
	g.Expect(e.Loaded(at)).To(BeFalse(), "the targets are incomplete")
	call, out = out.Store, engine.Actions{}
	at = at.Add(time.Second)
	e.StoreAnswered(at, call, page(12, "", "i-2"), nil, &out)
	known := e.Status(at)
	g.Expect(known.Targets).To(Equal(2))
	g.Expect(known.Revision).To(Equal(cactuspin.Revision(10)), "later pages do not show changes on earlier ones")
	g.Expect(known.Age).To(Equal(2*time.Second), "the first page is as old as its request")
	g.Expect(out.Store.After).To(Equal(cactuspin.Revision(10)))
}

func TestOnlyTheFirstHostsOfAZoneReadMoreThanOnePage(t *testing.T) {
	g := NewWithT(t)
	_, call := firstPage(2)
	g.Expect(call).NotTo(BeNil())
	e, call := firstPage(8)
	g.Expect(call).To(BeNil())
	waited := time.Duration(0)
	for out := (engine.Actions{}); out.Store == nil && waited < 5*time.Second; {
		waited += engine.TickInterval
		e.Tick(now.Add(waited), &out)
	}
	g.Expect(waited).To(BeNumerically(">", 400*time.Millisecond), "a peer may send an update meanwhile")
	g.Expect(waited).To(BeNumerically("<", 3*time.Second), "no peer sent an update")
}

func TestHostThatGotAFullUpdateFromAPeerStopsReading(t *testing.T) {
	g := NewWithT(t)
	e, call := firstPage(0)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 30, LastChange: 30}}, &out)
	g.Expect(out.Fetch).NotTo(BeNil())
	e.Fetched(now, out.Fetch, full(30), nil, &out)
	out = engine.Actions{}
	e.StoreAnswered(now, call, page(31, "i-3", "i-2"), nil, &out)
	g.Expect(e.Status(now).Revision).To(Equal(cactuspin.Revision(30)))
	if out.Store != nil {
		g.Expect(out.Store.FullRead).To(BeFalse())
	}
}

func TestNumberOfConcurrentFullUpdatesIsLimited(t *testing.T) {
	g := NewWithT(t)
	e := newEngine()
	_, err := e.UpdateSince(now, 0, 0)
	g.Expect(err).To(MatchError(engine.ErrNoKnowledge))
	e, _ = loaded(g)
	var sent []cactuspin.Update
	for err = error(nil); err == nil && len(sent) < 20; {
		var u cactuspin.Update
		if u, err = e.UpdateSince(now, 0, 0); err == nil {
			sent = append(sent, u)
		}
	}
	g.Expect(err).To(MatchError(engine.ErrBusy))
	g.Expect(len(sent)).To(BeNumerically("<", 5))
	_, err = e.UpdateSince(now, 0, 10)
	g.Expect(err).NotTo(HaveOccurred(), "a partial update is small")
	e.UpdateSent(&sent[0])
	_, err = e.UpdateSince(now, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
}

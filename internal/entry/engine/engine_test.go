package engine_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	now   = cactuspin.Time(1_000_000_000_000)
	bound = 3 * time.Second
)

var (
	self  = cactuspin.EntryHost{Address: netip.MustParseAddr("10.1.0.1"), Zone: "a"}
	other = cactuspin.EntryHost{Address: netip.MustParseAddr("10.1.0.2"), Zone: "a"}
	// before is a host that reads before this one does.
	before = cactuspin.EntryHost{Address: netip.MustParseAddr("10.0.0.1"), Zone: "b"}
)

func newEngine() *engine.Engine {
	return engine.New(engine.Config{DynamicConfig: engine.DynamicConfig{MaxStaleness: bound}, Self: self, Incarnation: 1, MaxFlows: 100, Seed: 1})
}

func full(revision cactuspin.Revision) *cactuspin.Update {
	return &cactuspin.Update{Full: true, Revision: revision, Routing: &cactuspin.Routing{Version: 3, Revision: 2}}
}

// loaded returns an engine that has read the store up to revision 10 and is
// watching it.
func loaded(g *WithT) (*engine.Engine, *engine.StoreCall) {
	e := newEngine()
	var out engine.Actions
	e.Tick(now, &out)
	g.Expect(out.Store).NotTo(BeNil())
	g.Expect(out.Store.FullRead).To(BeTrue())
	g.Expect(e.Ready(now)).To(BeFalse())
	out = engine.Actions{Store: out.Store}
	call := out.Store
	out.Store = nil
	e.StoreAnswered(now, call, full(10), nil, &out)
	g.Expect(e.Ready(now)).To(BeTrue())
	g.Expect(out.Store).NotTo(BeNil())
	g.Expect(out.Store.After).To(Equal(cactuspin.Revision(10)))
	g.Expect(out.Store.Wait).To(BeNumerically("<", bound/3))
	return e, out.Store
}

func TestAStoppingHostIsNotReadyAndReadsNoMore(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.Stop(&out)
	g.Expect(e.Ready(now)).To(BeFalse())
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 10}, nil, &out)
	e.Tick(now.Add(time.Second), &out)
	g.Expect(out.Store).To(BeNil())
	g.Expect(e.Loaded(now)).To(BeTrue(), "it steers on")
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.StoreAnswered(now, call, nil, cactuspin.ErrHistoryLost, &out)
	g.Expect(out.Store).NotTo(BeNil())
	g.Expect(out.Store.FullRead).To(BeTrue())
}

func TestFailedCallsWaitLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at, calls := now, 0
	for at < now.Add(20*time.Second) {
		var out engine.Actions
		if call != nil {
			e.StoreAnswered(at, call, nil, errors.New("503"), &out)
			call = nil
			g.Expect(out.Store).To(BeNil(), "never at once")
		}
		at = at.Add(engine.TickInterval)
		e.Tick(at, &out)
		if out.Store != nil {
			call = out.Store
			calls++
		}
	}
	g.Expect(calls).To(BeNumerically("<", 45))
	g.Expect(calls).To(BeNumerically(">", 15))
}

func TestAnAnswerWithoutNewsIsAsOldAsItsWaitAllows(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at := now.Add(call.Wait + 300*time.Millisecond)
	var out engine.Actions
	e.StoreAnswered(at, call, &cactuspin.Update{After: 10, Revision: 10}, nil, &out)
	g.Expect(e.Status(at).Age).To(Equal(300*time.Millisecond), "it was given when the wait was over")
}

func TestMissingKnowledgeIsFetchedFromWhoHasIt(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	var out engine.Actions
	b := &encoder.Beacon{Host: other, Incarnation: 5, Complete: true, Revision: 15, LastChange: 14}
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).NotTo(BeNil())
	g.Expect(out.Fetch.Host).To(Equal(other.Address))
	fetch := out.Fetch
	out = engine.Actions{}
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).To(BeNil(), "one at a time")
	e.Fetched(now.Add(10*time.Millisecond), fetch, &cactuspin.Update{After: 10, Revision: 15}, nil, &out)
	g.Expect(e.Status(now).Revision).To(Equal(cactuspin.Revision(15)))
}

func TestANewHostIsAnswered(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, ReplyRequested: true}}, &out)
	g.Expect(out.Sends).To(HaveLen(1))
	g.Expect(out.Sends[0].To).To(Equal([]netip.Addr{other.Address}))
	g.Expect(out.Sends[0].Datagram.Beacon.Complete).To(BeTrue())
}

func TestNewsOfTheStoreArePushed(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 10}}, &out)
	out = engine.Actions{}
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Routing: &cactuspin.Routing{Version: 9, Revision: 11}}, nil, &out)
	g.Expect(out.Sends).To(HaveLen(1))
	g.Expect(out.Sends[0].To).To(ContainElement(other.Address))
	g.Expect(out.Sends[0].Datagram.Update.Routing.Version).To(Equal(cactuspin.RoutingVersion(9)))
	g.Expect(out.Store).To(BeNil(), "a pause gathers what follows")
}

func TestAWakingHostDoesNotTrustWhatWaited(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	woken := now.Add(5 * time.Second)
	var out engine.Actions
	e.Tick(now.Add(engine.TickInterval), &out)
	e.Tick(woken, &out)
	beacon := &encoder.Datagram{Beacon: &encoder.Beacon{Host: before, Complete: true, Revision: 10}}
	e.Datagram(woken, before.Address, beacon, &out)
	g.Expect(e.Status(woken).Age).To(BeNumerically(">", 4*time.Second), "the word may be as old as the sleep")
	later := woken.Add(200 * time.Millisecond)
	e.Datagram(later, before.Address, beacon, &out)
	g.Expect(e.Status(later).Age).To(BeZero())
}

func TestRegistrationsThatLapsedWithTheStoreAreHeld(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	target := cactuspin.RegisteredTarget{ID: "i-1", Service: "s", Slots: 1, Revision: 11, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	var out engine.Actions
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target}}, nil, &out)
	at := now.Add(time.Second)
	e.Tick(at, &out)
	call, out = out.Store, engine.Actions{}
	e.StoreAnswered(at, call, nil, errors.New("silent"), &out)
	at = at.Add(time.Second)
	e.Tick(at, &out)
	call, out = out.Store, engine.Actions{}
	e.StoreAnswered(at, call, &cactuspin.Update{After: 11, Revision: 12, Removed: []cactuspin.RemovedTarget{{ID: "i-1", Revision: 12}}}, nil, &out)
	var hold time.Duration
	for _, n := range out.Notes {
		for _, a := range n.Attributes {
			if n.Message == "knowledge: target gone" && a.Key == "hold" {
				hold = a.Value.Duration()
			}
		}
	}
	g.Expect(hold).To(Equal(2500 * time.Millisecond))
}

package engine_test

import (
	"errors"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	now          = cactuspin.Time(1_000_000_000_000)
	maxStaleness = 3 * time.Second
)

var (
	self  = cactuspin.EntryHost{Address: netip.MustParseAddr("10.1.0.1"), Zone: "a"}
	other = cactuspin.EntryHost{Address: netip.MustParseAddr("10.1.0.2"), Zone: "a"}
	// preceding is a host that takes precedence over self as the reader.
	preceding = cactuspin.EntryHost{Address: netip.MustParseAddr("10.0.0.1"), Zone: "b"}
)

func newEngine() *engine.Engine {
	return engine.New(engine.Config{DynamicConfig: engine.DynamicConfig{MaxStaleness: maxStaleness}, Self: self, Incarnation: 1, MaxFlows: 100, Seed: 1})
}

func full(revision cactuspin.Revision) *cactuspin.Update {
	return &cactuspin.Update{Full: true, Revision: revision, Routing: &cactuspin.Routing{Version: 3, Revision: 2}}
}

// loaded returns an Engine that has read the store up to revision 10, and its
// watch in progress.
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
	g.Expect(out.Store.Wait).To(BeNumerically("<", maxStaleness/3))
	return e, out.Store
}

func TestStoppingHostIsNotReadyAndStopsReading(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.Stop(&out)
	g.Expect(e.Ready(now)).To(BeFalse())
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 10}, nil, &out)
	e.Tick(now.Add(time.Second), &out)
	g.Expect(out.Store).To(BeNil())
	g.Expect(e.Loaded(now)).To(BeTrue(), "it still forwards packets")
}

func TestLostHistoryCausesAFullRead(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.StoreAnswered(now, call, nil, cactuspin.ErrHistoryLost, &out)
	g.Expect(out.Store).NotTo(BeNil())
	g.Expect(out.Store.FullRead).To(BeTrue())
}

// Guards against hosts that repeat a watch for ever whose answer cannot be used.
func TestUnusableChangesCauseAFullRead(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at := now
	for n := range 2 {
		g.Expect(call.FullRead).To(BeFalse(), "%d unusable answers", n)
		var out engine.Actions
		e.StoreAnswered(at, call, nil, errors.Join(cactuspin.ErrAnswerUnusable), &out)
		at = at.Add(time.Second)
		out = engine.Actions{}
		e.Tick(at, &out)
		call = out.Store
	}
	g.Expect(call.FullRead).To(BeTrue())
	var out engine.Actions
	e.StoreAnswered(at, call, full(20), nil, &out)
	g.Expect(e.Status(at).Revision).To(Equal(cactuspin.Revision(20)))
	g.Expect(out.Store.FullRead).To(BeFalse(), "changes are watched from there on")
	g.Expect(out.Store.After).To(Equal(cactuspin.Revision(20)))
}

// A connection that breaks off for once does not make a host read everything.
func TestAnUnusableAnswerIsAskedForAgainOnce(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at := now
	for range 4 {
		var out engine.Actions
		e.StoreAnswered(at, call, nil, errors.Join(cactuspin.ErrAnswerUnusable), &out)
		at = at.Add(time.Second)
		out = engine.Actions{}
		e.Tick(at, &out)
		g.Expect(out.Store.FullRead).To(BeFalse())
		call, out = out.Store, engine.Actions{}
		e.StoreAnswered(at, call, &cactuspin.Update{After: 10, Revision: 10}, nil, &out)
		call = out.Store
	}
}

func TestFailedCallsAreRetriedWithBackoff(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at, calls := now, 0
	for at < now.Add(20*time.Second) {
		var out engine.Actions
		if call != nil {
			e.StoreAnswered(at, call, nil, errors.New("503"), &out)
			call = nil
			g.Expect(out.Store).To(BeNil(), "no retry without a delay")
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

func TestAgeOfAnAnswerWithoutChangesExcludesItsWait(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	at := now.Add(call.Wait + 300*time.Millisecond)
	var out engine.Actions
	e.StoreAnswered(at, call, &cactuspin.Update{After: 10, Revision: 10}, nil, &out)
	g.Expect(e.Status(at).Age).To(Equal(300*time.Millisecond), "the store answered when the wait was over")
}

func TestMissingKnowledgeIsFetchedFromThePeerThatHasIt(t *testing.T) {
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
	g.Expect(out.Fetch).To(BeNil(), "one fetch at a time")
	e.Fetched(now.Add(10*time.Millisecond), fetch, &cactuspin.Update{After: 10, Revision: 15}, nil, &out)
	g.Expect(e.Status(now).Revision).To(Equal(cactuspin.Revision(15)))
}

// Guards against whole updates that hosts with fresh knowledge fetch from each host that
// has just started: that host cannot tell whether anything has changed.
func TestAHostThatHasJustReadIsAskedOnlyByHostsWithOldKnowledge(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	b := &encoder.Beacon{Host: other, Incarnation: 5, Complete: true, Revision: 15, LastChange: 15, LastChangeUnknown: true}
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).To(BeNil())
	g.Expect(e.Status(now).Revision).To(Equal(cactuspin.Revision(10)), "nothing is confirmed")
	e.Datagram(now.Add(maxStaleness/2), other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).NotTo(BeNil())
}

func TestNewHostGetsAReply(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, ReplyRequested: true}}, &out)
	g.Expect(out.Sends).To(HaveLen(1))
	g.Expect(out.Sends[0].To).To(Equal([]netip.Addr{other.Address}))
	g.Expect(out.Sends[0].Datagram.Beacon.Complete).To(BeTrue())
}

func TestChangesOfTheStoreArePushed(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, Complete: true, Revision: 10}}, &out)
	out = engine.Actions{}
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Routing: &cactuspin.Routing{Version: 9, Revision: 11}}, nil, &out)
	g.Expect(out.Sends).To(HaveLen(1))
	g.Expect(out.Sends[0].To).To(ContainElement(other.Address))
	g.Expect(out.Sends[0].Datagram.Update.Routing.Version).To(Equal(cactuspin.RoutingVersion(9)))
	g.Expect(out.Store).To(BeNil(), "a delay batches further changes")
}

func TestResumedHostDoesNotTrustQueuedDatagrams(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	resumed := now.Add(5 * time.Second)
	var out engine.Actions
	e.Tick(now.Add(engine.TickInterval), &out)
	e.Tick(resumed, &out)
	beacon := &encoder.Datagram{Beacon: &encoder.Beacon{Host: preceding, Complete: true, Revision: 10}}
	e.Datagram(resumed, preceding.Address, beacon, &out)
	g.Expect(e.Status(resumed).Age).To(BeNumerically(">", 4*time.Second), "the beacon may be as old as the suspension")
	later := resumed.Add(200 * time.Millisecond)
	e.Datagram(later, preceding.Address, beacon, &out)
	g.Expect(e.Status(later).Age).To(BeZero())
}

func TestRemovalsAfterAStoreErrorAreHeld(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	target := cactuspin.RegisteredTarget{ID: "i-1", Service: "s", Slots: 1, Revision: 11, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	var out engine.Actions
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target}}, nil, &out)
	at := now.Add(time.Second)
	e.Tick(at, &out)
	call, out = out.Store, engine.Actions{}
	e.StoreAnswered(at, call, nil, errors.New("no answer"), &out)
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

// Flows are logged with their cookie only, so the registration has to name it, too.
func TestRegistrationsAreLoggedWithTheirCookie(t *testing.T) {
	g := NewWithT(t)
	e, call := loaded(g)
	target := cactuspin.RegisteredTarget{ID: "i-1", Service: "s", Slots: 1, Revision: 11, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	var out engine.Actions
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 11, Targets: []cactuspin.RegisteredTarget{target}}, nil, &out)
	var cookie uint64
	for _, n := range out.Notes {
		for _, a := range n.Attributes {
			if n.Message == "knowledge: target registered" && a.Key == "cookie" {
				cookie = a.Value.Uint64()
			}
		}
	}
	g.Expect(cookie).To(Equal(uint64(balancer.CookieOf("i-1"))))
}

// A line for each target delays the first packets of a host with a small share of a core,
// and would take seconds before 140,000 targets.
func TestTheFirstKnowledgeIsLoggedInOneLine(t *testing.T) {
	g := NewWithT(t)
	e := newEngine()
	u := cactuspin.Update{Full: true, Revision: 11}
	for i := range 100 {
		u.Targets = append(u.Targets, cactuspin.RegisteredTarget{
			ID: cactuspin.TargetID(strconv.Itoa(i)), Service: "s", Slots: 1, Revision: 9, Address: netip.MustParseAddrPort("10.9.0.1:80"),
		})
	}
	u.Targets[7].State = cactuspin.TargetDraining
	var first, out engine.Actions
	e.Tick(now, &first)
	e.StoreAnswered(now, first.Store, &u, nil, &out)
	var lines []string
	for _, n := range out.Notes {
		if n.Level >= slog.LevelInfo && strings.HasPrefix(n.Message, "knowledge:") {
			lines = append(lines, n.Message)
		}
	}
	g.Expect(lines).To(ConsistOf("knowledge: loaded", "knowledge: target registered"))
}

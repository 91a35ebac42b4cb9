package engine_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

func fullOf(era cactuspin.Era, revision cactuspin.Revision) *cactuspin.Update {
	u := full(revision)
	u.Era = era
	return u
}

// loadedIn returns an Engine that has read the store up to revision 10 in an era, and its
// watch in progress.
func loadedIn(g *WithT, era cactuspin.Era) (*engine.Engine, *engine.StoreCall) {
	e := newEngine()
	var out engine.Actions
	e.Tick(now, &out)
	call := out.Store
	out.Store = nil
	e.StoreAnswered(now, call, fullOf(era, 10), nil, &out)
	g.Expect(e.Status(now).Era).To(Equal(era))
	g.Expect(out.Store.Era).To(Equal(era))
	g.Expect(out.Announce).To(BeFalse(), "the host announces itself at its start")
	return e, out.Store
}

// Guards against changes of the restored store that are merged because their revisions
// follow the known one.
func TestAnAnswerOfANewEraIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	e, call := loadedIn(g, 1)
	var out engine.Actions
	changes := &cactuspin.Update{Era: 2, After: 10, Revision: 12, Removed: []cactuspin.RemovedTarget{{ID: "i-1", Revision: 12}}, Routing: &cactuspin.Routing{Version: 9, Revision: 12}}
	e.StoreAnswered(now, call, changes, nil, &out)
	g.Expect(e.Status(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(3)))
	g.Expect(e.Status(now).HealthyFor).To(BeZero(), "what the backup lacks is held, as after an outage")
	g.Expect(out.Sends).To(BeEmpty())
	g.Expect(out.Store.FullRead).To(BeTrue())
	call, out = out.Store, engine.Actions{}
	e.StoreAnswered(now, call, fullOf(2, 7), nil, &out)
	s := e.Status(now)
	g.Expect([]any{s.Era, s.Revision}).To(Equal([]any{cactuspin.Era(2), cactuspin.Revision(7)}))
	g.Expect(out.Announce).To(BeTrue())
	g.Expect([]any{out.Store.FullRead, out.Store.After, out.Store.Era}).To(Equal([]any{false, cactuspin.Revision(7), cactuspin.Era(2)}))
}

func TestErrorsOfANewEraCauseAFullRead(t *testing.T) {
	for _, err := range []error{cactuspin.ErrHistoryLost, errors.New("503")} {
		g := NewWithT(t)
		e, call := loadedIn(g, 1)
		var out engine.Actions
		e.StoreAnswered(now, call, &cactuspin.Update{Era: 2}, err, &out)
		at := now.Add(time.Second)
		e.Tick(at, &out)
		g.Expect(out.Store.FullRead).To(BeTrue())
		call, out = out.Store, engine.Actions{}
		e.StoreAnswered(at, call, fullOf(2, 7), nil, &out)
		g.Expect(e.Status(at).Revision).To(Equal(cactuspin.Revision(7)))
	}
}

// Guards against a read of which one page is from before the restore.
func TestPagesOfTwoErasAreNotJoined(t *testing.T) {
	g := NewWithT(t)
	e, call := firstPage(0)
	last := page(12, "", "i-2")
	last.Era = 1
	var out engine.Actions
	e.StoreAnswered(now, call, last, nil, &out)
	g.Expect(e.Loaded(now)).To(BeFalse())
	g.Expect(out.Store.FullRead).To(BeTrue())
	g.Expect(out.Store.From).To(BeEmpty(), "the read starts again")
	call, out = out.Store, engine.Actions{}
	e.StoreAnswered(now, call, fullOf(1, 5), nil, &out)
	g.Expect(e.Status(now).Era).To(Equal(cactuspin.Era(1)))
}

// Guards against a host that goes back when it reaches a copy of the store that was not
// restored, and against one that asks it without a pause.
func TestAnAnswerOfAnOlderEraIsAnError(t *testing.T) {
	g := NewWithT(t)
	e, call := loadedIn(g, 3)
	var out engine.Actions
	e.StoreAnswered(now, call, &cactuspin.Update{Era: 2, After: 10, Revision: 15, Routing: &cactuspin.Routing{Version: 9, Revision: 12}}, nil, &out)
	g.Expect(e.Status(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(3)))
	g.Expect(out.Store).To(BeNil())
	g.Expect(e.Status(now).HealthyFor).To(BeZero())
}

func TestAnswersWithoutAnEraKeepTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	e, call := loadedIn(g, 3)
	var out engine.Actions
	e.StoreAnswered(now, call, &cactuspin.Update{After: 10, Revision: 15, Routing: &cactuspin.Routing{Version: 9, Revision: 12}}, nil, &out)
	s := e.Status(now)
	g.Expect([]any{s.Era, s.Revision, s.RoutingVersion}).To(Equal([]any{cactuspin.Era(3), cactuspin.Revision(15), cactuspin.RoutingVersion(9)}))
}

// Guards against hosts that hear of the restore only from others: the one that reads is the
// only one to see the header.
func TestABeaconOfANewerEraLeadsToAFetchOfEverything(t *testing.T) {
	g := NewWithT(t)
	e, call := loadedIn(g, 1)
	var out engine.Actions
	b := &encoder.Beacon{Host: preceding, Incarnation: 5, Complete: true, Era: 2, Revision: 7, LastChange: 7, LastChangeUnknown: true, Version: 3}
	e.Datagram(now, preceding.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).NotTo(BeNil(), "although the knowledge is fresh")
	g.Expect(out.Fetch.Era).To(Equal(cactuspin.Era(1)))
	fetch := out.Fetch
	out = engine.Actions{}
	e.Fetched(now, fetch, fullOf(2, 7), nil, &out)
	g.Expect(e.Status(now).Era).To(Equal(cactuspin.Era(2)))
	g.Expect(out.Announce).To(BeTrue())
	// The watch was called in the old era, and the restored store answers it.
	out = engine.Actions{}
	e.StoreAnswered(now, call, &cactuspin.Update{Era: 2, After: 10, Revision: 12, Routing: &cactuspin.Routing{Version: 9, Revision: 12}}, nil, &out)
	s := e.Status(now)
	g.Expect([]any{s.Revision, s.RoutingVersion}).To(Equal([]any{cactuspin.Revision(7), cactuspin.RoutingVersion(3)}), "changes between 7 and 10 would be missed")
	for range 2 {
		if out.Store == nil {
			e.Tick(now.Add(maxStaleness), &out)
		}
	}
	g.Expect([]any{out.Store.FullRead, out.Store.After}).To(Equal([]any{false, cactuspin.Revision(7)}), "nothing has to be read again")
}

func TestMessagesOfAnOlderEraAreIgnored(t *testing.T) {
	g := NewWithT(t)
	e, _ := loadedIn(g, 2)
	later := now.Add(time.Second)
	var out engine.Actions
	b := &encoder.Beacon{Host: other, Incarnation: 5, Complete: true, Era: 1, Revision: 40, LastChange: 40, Version: 9}
	e.Datagram(later, other.Address, &encoder.Datagram{Beacon: b}, &out)
	u := &cactuspin.Update{Era: 1, After: 39, Revision: 40, Routing: &cactuspin.Routing{Version: 9, Revision: 40}}
	e.Datagram(later, other.Address, &encoder.Datagram{Update: u}, &out)
	g.Expect(out.Fetch).To(BeNil())
	s := e.Status(later)
	g.Expect([]any{s.Revision, s.RoutingVersion, s.Age}).To(Equal([]any{cactuspin.Revision(10), cactuspin.RoutingVersion(3), time.Second}))
}

// Guards against a host that has read the backup and stays with its older routing while the
// others keep the newer one.
func TestAHostWithAnOlderVersionFetchesEverything(t *testing.T) {
	g := NewWithT(t)
	e, _ := loadedIn(g, 2)
	var out engine.Actions
	b := &encoder.Beacon{Host: other, Incarnation: 5, Complete: true, Era: 2, Revision: 10, LastChange: 10, LastChangeUnknown: true, Version: 9}
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).NotTo(BeNil())
	g.Expect(out.Fetch.After).To(BeZero())
	u := fullOf(2, 10)
	u.Routing.Version = 9
	e.Fetched(now, out.Fetch, u, nil, &out)
	g.Expect(e.Status(now).RoutingVersion).To(Equal(cactuspin.RoutingVersion(9)))
	out = engine.Actions{}
	e.Datagram(now.Add(time.Second), other.Address, &encoder.Datagram{Beacon: b}, &out)
	g.Expect(out.Fetch).To(BeNil())
}

func TestAPeerOfAnotherEraGetsEverythingOrNothing(t *testing.T) {
	g := NewWithT(t)
	e, _ := loadedIn(g, 2)
	u, err := e.UpdateSince(now, 1, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{u.Full, u.Era}).To(Equal([]any{true, cactuspin.Era(2)}))
	e.UpdateSent(&u)
	_, err = e.UpdateSince(now, 3, 10)
	g.Expect(err).To(MatchError(engine.ErrOlderEra))
}

// Guards against a fleet without eras that behaves otherwise than before.
func TestWithoutErasNothingIsAddedToMessages(t *testing.T) {
	g := NewWithT(t)
	e, _ := loaded(g)
	var out engine.Actions
	e.Datagram(now, other.Address, &encoder.Datagram{Beacon: &encoder.Beacon{Host: other, ReplyRequested: true, Complete: true, Version: 9}}, &out)
	b := out.Sends[0].Datagram.Beacon
	g.Expect([]any{b.Era, b.Version}).To(Equal([]any{cactuspin.Era(0), cactuspin.RoutingVersion(0)}))
	g.Expect(out.Fetch).To(BeNil(), "versions are compared within known eras only")
}

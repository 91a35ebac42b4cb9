package tracker_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// The model check plays a store, writers and hosts in all orders up to a depth, and in
// random orders beyond. After each step, each host must know what the store held at the
// revision up to which the host says that its knowledge is complete, or something newer.

const (
	modelHosts = 2
	// defaultDepth is the number of steps of which all orders are played; MODEL_DEPTH
	// replaces it.
	defaultDepth = 4
	// defaultWalks is the number of random orders, each of walkLength steps; MODEL_WALKS
	// replaces it.
	defaultWalks, walkLength = 6000, 60
)

// fromEnvironment returns the number in an environment variable, or a default.
func fromEnvironment(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// kind is what an entry of the store holds.
type kind int

const (
	kindRemoved kind = iota
	kindReady
	kindUnreadable
)

// entry is an entry with the revision of its last change.
type entry struct {
	kind     kind
	revision cactuspin.Revision
}

// modelStore is the store with all its changes.
type modelStore struct {
	era                 cactuspin.Era
	revision, compacted cactuspin.Revision
	entries             map[cactuspin.TargetID]entry
	version             cactuspin.RoutingVersion
	versionRevision     cactuspin.Revision
	// zone is the state of the only zone.
	zone cactuspin.ZoneState
}

// setZone evacuates the zone, also again, or returns it.
func (s *modelStore) setZone(evacuated bool) {
	if !evacuated && !s.zone.Evacuated {
		return
	}
	s.revision++
	s.zone = cactuspin.ZoneState{Zone: "z", Evacuated: evacuated, Revision: s.revision}
}

func (s *modelStore) put(id cactuspin.TargetID, k kind) {
	if k == kindRemoved && s.entries[id].kind == kindRemoved {
		return
	}
	s.revision++
	s.entries[id] = entry{kind: k, revision: s.revision}
}

// changes returns an update with the entries that changed after a revision and whose IDs
// lie between first and last. The keys of evacuations come before those of targets.
func (s *modelStore) changes(after cactuspin.Revision, first, last cactuspin.TargetID) *cactuspin.Update {
	u := &cactuspin.Update{After: after, Revision: s.revision, Full: after == 0, HealthyFor: 1 << 40, KnowsZones: true, Era: s.era}
	if s.versionRevision > after {
		u.Routing = &cactuspin.Routing{Version: s.version, Revision: s.versionRevision}
	}
	if first == "" && s.zone.Revision > after && (s.zone.Evacuated || after > 0) {
		u.Zones = append(u.Zones, s.zone)
	}
	for id, e := range s.entries {
		switch {
		case e.revision <= after || id < first || id > last:
		case e.kind == kindReady:
			u.Targets = append(u.Targets, cactuspin.RegisteredTarget{ID: id, Revision: e.revision})
		case e.kind == kindUnreadable:
			u.Unreadable = append(u.Unreadable, cactuspin.UnreadableTarget{ID: id, Revision: e.revision})
		case after > 0:
			u.Removed = append(u.Removed, cactuspin.RemovedTarget{ID: id, Revision: e.revision})
		}
	}
	return u
}

// modelHost is a host with the version that it had in force in this life.
type modelHost struct {
	tracker *tracker.Tracker
	version cactuspin.RoutingVersion
	// read is the first page of a read in progress, or nil.
	read *cactuspin.Update
	// readEra is the era of the store in which a read of everything was last merged.
	readEra cactuspin.Era
}

// model is the state of a run.
type model struct {
	store *modelStore
	hosts [modelHosts]modelHost
	// pushed holds the updates that hosts have sent to the other one.
	pushed [modelHosts][]*cactuspin.Update
	restores
}

func newModel() *model {
	m := &model{store: &modelStore{entries: map[cactuspin.TargetID]entry{}, version: 1, versionRevision: 1, revision: 1}}
	for n := range m.hosts {
		m.hosts[n].tracker = tracker.New()
	}
	return m
}

// step is a step of the model, with its name for reports.
type step struct {
	name string
	run  func(m *model)
}

func modelSteps() (steps []step) {
	add := func(name string, run func(m *model)) { steps = append(steps, step{name, run}) }
	for _, id := range []cactuspin.TargetID{"a", "b"} {
		for k, name := range map[kind]string{kindRemoved: "remove", kindReady: "register", kindUnreadable: "overwrite"} {
			add(name+" "+string(id), func(m *model) { m.store.put(id, k) })
		}
	}
	add("configure", func(m *model) {
		m.store.revision++
		m.store.version, m.store.versionRevision = m.store.version+1, m.store.revision
	})
	add("evacuate", func(m *model) { m.store.setZone(true) })
	add("return", func(m *model) { m.store.setZone(false) })
	add("forget", func(m *model) { m.store.compacted = m.store.revision })
	for n := range modelHosts {
		add(fmt.Sprintf("first page %d", n), func(m *model) { m.hosts[n].read = m.store.changes(0, "", "a") })
		add(fmt.Sprintf("last page %d", n), func(m *model) { m.readLast(n) })
		add(fmt.Sprintf("watch %d", n), func(m *model) { m.watch(n) })
		add(fmt.Sprintf("beacon from %d", n), func(m *model) { m.beacon(n) })
		add(fmt.Sprintf("oldest push to %d", n), func(m *model) { m.deliver(n, 0) })
		add(fmt.Sprintf("newest push to %d", n), func(m *model) { m.deliver(n, len(m.pushed[n])-1) })
		add(fmt.Sprintf("restart %d", n), func(m *model) { m.hosts[n] = modelHost{tracker: tracker.New()} })
	}
	slices.SortFunc(steps, func(a, b step) int { return strings.Compare(a.name, b.name) })
	return steps
}

func (m *model) readLast(n int) {
	first := m.hosts[n].read
	if first == nil {
		return
	}
	m.hosts[n].read = nil
	last := m.store.changes(0, "b", "z")
	if first.Era != last.Era {
		return
	}
	m.hosts[n].readEra = first.Era
	first.Targets, first.Unreadable = append(first.Targets, last.Targets...), append(first.Unreadable, last.Unreadable...)
	m.hosts[n].tracker.Merge(now, m.seen(first))
}

// watch reads the changes and pushes them to the other host.
func (m *model) watch(n int) {
	p := m.hosts[n].tracker.Position(now)
	if !p.Complete || p.Revision < m.store.compacted || p.Revision == m.store.revision {
		return
	}
	if p.Revision > m.store.revision {
		return
	}
	u := m.seen(m.store.changes(p.Revision, "", "z"))
	if _, ok := m.hosts[n].tracker.Merge(now, u); !ok {
		return
	}
	m.pushed[1-n] = append(m.pushed[1-n], u)
}

// beacon confirms the knowledge of the other host, or lets it fetch what it misses.
func (m *model) beacon(n int) { m.beaconAfter(n, 0) }

// beaconAfter delivers a beacon after a number of others without a change in between.
func (m *model) beaconAfter(n, beacons int) {
	p := m.hosts[n].tracker.Position(now)
	c := tracker.Confirmation{Revision: p.Revision, LastChange: p.LastChange, Era: p.Era, Version: p.RoutingVersion}
	if p.Complete && !m.hosts[1-n].tracker.Confirm(now, c) {
		known := m.hosts[1-n].tracker.Position(now)
		if p.Era > 0 && known.Era == p.Era && p.RoutingVersion > known.RoutingVersion && known.Revision >= min(p.LastChange, p.Revision) {
			known.Revision = 0
		}
		m.fetch(1-n, n, known.Revision)
	}
	m.checkVersions(n, beacons)
}

func (m *model) fetch(to, from int, after cactuspin.Revision) {
	if u, ok := m.hosts[from].tracker.UpdateForEra(now, m.hosts[to].tracker.Position(now).Era, after); ok {
		m.hosts[to].tracker.Merge(now, &u)
	}
}

// deliver delivers a pushed update. It stays, so that it may come again; others that never
// come are lost.
func (m *model) deliver(n, index int) {
	if index < 0 || index >= len(m.pushed[n]) {
		return
	}
	u := *m.pushed[n][index]
	if _, ok := m.hosts[n].tracker.Merge(now, &u); !ok {
		m.fetch(n, 1-n, m.hosts[n].tracker.Position(now).Revision)
	}
}

// violation returns what a host should not know, or "".
func (m *model) violation() string {
	for n := range m.hosts {
		h := &m.hosts[n]
		p := h.tracker.Position(now)
		if p.RoutingVersion < h.version {
			return fmt.Sprintf("host %d goes from version %d back to %d", n, h.version, p.RoutingVersion)
		}
		h.version = p.RoutingVersion
		store := m.storeOf(n, p.Era)
		if store == nil {
			continue
		}
		if store.versionRevision <= p.Revision && p.Complete && p.RoutingVersion != store.version && !m.keeps(&p, store) {
			return fmt.Sprintf("host %d is at revision %d with version %d instead of %d", n, p.Revision, p.RoutingVersion, store.version)
		}
		u, ok := h.tracker.UpdateSince(now, 0)
		if !ok {
			continue
		}
		if v := cmp.Or(store.wrongZone(&u), store.wrongEntry(&u)); v != "" {
			return fmt.Sprintf("host %d at revision %d: %s", n, p.Revision, v)
		}
	}
	return m.violated
}

// wrongZone compares what a host knows of the zone with its state.
func (s *modelStore) wrongZone(u *cactuspin.Update) string {
	var known cactuspin.ZoneState
	if len(u.Zones) > 0 {
		known = u.Zones[0]
	}
	stored := s.zone
	switch {
	case known.Evacuated && known.Revision > stored.Revision:
		return fmt.Sprintf("the zone is evacuated at %d, in the store last at %d", known.Revision, stored.Revision)
	case stored.Revision <= u.Revision && known.Evacuated != stored.Evacuated:
		return fmt.Sprintf("the zone is %+v instead of %+v", known, stored)
	}
	return ""
}

// wrongEntry compares what a host knows with the entries that have not changed after its
// revision.
func (s *modelStore) wrongEntry(u *cactuspin.Update) string {
	known := map[cactuspin.TargetID]entry{}
	for _, t := range u.Targets {
		known[t.ID] = entry{kindReady, t.Revision}
		if t.State == cactuspin.TargetUnreadable {
			known[t.ID] = entry{kindUnreadable, t.Revision}
		}
	}
	for _, x := range u.Unreadable {
		if _, ok := known[x.ID]; ok {
			return fmt.Sprintf("%s is known twice", x.ID)
		}
		known[x.ID] = entry{kindUnreadable, x.Revision}
	}
	for id, stored := range s.entries {
		k := known[id]
		switch {
		case k.revision > stored.revision:
			return fmt.Sprintf("%s has revision %d, the store %d", id, k.revision, stored.revision)
		case stored.revision > u.Revision:
		case stored.kind == kindRemoved && k.kind != kindRemoved:
			return fmt.Sprintf("%s is known at %d but was removed at %d", id, k.revision, stored.revision)
		case stored.kind != kindRemoved && k != stored:
			return fmt.Sprintf("%s is %v instead of %v", id, k, stored)
		}
	}
	return ""
}

// starts are the steps that lead to the states from which all orders are played.
var starts = map[string][]string{
	"nothing known": nil,
	"both up to date": {
		"register a", "register b", "first page 0", "last page 0", "beacon from 0",
	},
	"one behind a lost history": {
		"register a", "first page 0", "last page 0", "beacon from 0", "register b", "watch 1", "remove b", "forget",
	},
	"one behind the second return of a zone": {
		"evacuate", "first page 0", "last page 0", "return", "watch 0", "beacon from 0", "evacuate", "watch 1", "return", "forget",
	},
	"one behind the return of a zone": {
		"evacuate", "first page 0", "last page 0", "beacon from 0", "return", "watch 1", "forget",
	},
}

func play(t *testing.T, steps []step, order []int, start []string) {
	t.Helper()
	if v := newModel().play(steps, order, start); v != "" {
		t.Fatal(v)
	}
}

// play plays steps in an order after those named in start, and returns the first
// violation with the steps that led to it, or "".
func (m *model) play(steps []step, order []int, start []string) (violation string) {
	names := slices.Clone(start)
	for _, name := range start {
		i := slices.IndexFunc(steps, func(s step) bool { return s.name == name })
		steps[i].run(m)
	}
	for _, i := range order {
		steps[i].run(m)
		names = append(names, steps[i].name)
		if v := m.violation(); v != "" {
			return fmt.Sprintf("%s, after: %s", v, strings.Join(names, "; "))
		}
	}
	return ""
}

// playAllOrders plays all orders of a number of steps.
func playAllOrders(t *testing.T, steps []step, depth int, start []string) {
	t.Helper()
	orders, order := 1, make([]int, depth)
	for range depth {
		orders *= len(steps)
	}
	for n := range orders {
		for i := range order {
			order[i] = n % len(steps)
			n /= len(steps)
		}
		play(t, steps, order, start)
	}
	t.Logf("%d orders of %d steps, %d kinds of steps", orders, depth, len(steps))
}

func TestAllOrdersOfStepsKeepKnowledgeSound(t *testing.T) {
	steps, depth := modelSteps(), fromEnvironment("MODEL_DEPTH", defaultDepth)
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playAllOrders(t, steps, depth, start)
		})
	}
}

func TestRandomOrdersOfStepsKeepKnowledgeSound(t *testing.T) {
	steps := modelSteps()
	random := rand.New(rand.NewPCG(1, 2))
	order := make([]int, walkLength)
	for range fromEnvironment("MODEL_WALKS", defaultWalks) {
		for i := range order {
			order[i] = random.IntN(len(steps))
		}
		play(t, steps, order, nil)
	}
}

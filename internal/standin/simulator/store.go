package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
)

const (
	// responseMargin is how much longer than its wait time a watch may take before it
	// fails.
	responseMargin = 500 * time.Millisecond
	// reregistrationTime is the longest time that live targets take to register again
	// after an outage.
	reregistrationTime = 1500 * time.Millisecond
	// readTimeout limits the read of a page.
	readTimeout = time.Second
	// pageItems is the number of items in a page; itemBytes is the size of one.
	pageItems = 500
	itemBytes = 300
)

var errUnavailable = errors.New("store is unavailable")

// change is one revision of the store.
type change struct {
	revision      cactuspin.Revision
	routing       *cactuspin.Routing
	target        *cactuspin.RegisteredTarget
	removedTarget cactuspin.TargetID
	// unreadable is a target whose registration another writer replaced.
	unreadable cactuspin.TargetID
	host       *cactuspin.EntryHost
	zone       *cactuspin.ZoneState
}

// store models the platform's store.
type store struct {
	sim *Simulation
	// era is the era that answers name; 0 means that they name none.
	era cactuspin.Era
	content
	// backup is the copy to which a restore goes back, or nil.
	backup         *content
	pendingWatches []*pendingCall
	// unavailable reports that the store answers no host, refusedHosts those whose
	// calls it rejects. If unresponsive is set, such hosts receive no answer at all
	// instead of an error. watchesStalled withholds changes from watches.
	unavailable, unresponsive, watchesStalled bool
	extraDelay                                time.Duration
	refusedHosts                              map[*host]bool
	link                                      link
}

// pendingCall is a call that is not answered yet.
type pendingCall struct {
	host       *host
	call       *engine.StoreCall
	generation int
	completed  bool
}

func newStore(s *Simulation) *store {
	c := content{revision: 7, compactedRevision: 7, targets: map[cactuspin.TargetID]cactuspin.RegisteredTarget{}, unreadable: map[cactuspin.TargetID]cactuspin.Revision{}, zones: map[cactuspin.ZoneID]cactuspin.ZoneState{}}
	return &store{sim: s, era: s.scenario.Era, content: c, refusedHosts: map[*host]bool{}}
}

func (s *store) commit(c change) cactuspin.Revision {
	s.revision++
	c.revision = s.revision
	s.history = append(s.history, c)
	if !s.watchesStalled {
		for _, w := range s.pendingWatches {
			s.completeWatch(w)
		}
		s.pendingWatches = nil
	}
	return s.revision
}

func (s *store) putRouting(r *cactuspin.Routing) {
	r.Revision = s.revision + 1
	s.routing = r
	s.commit(change{routing: r})
	s.sim.trace("store: routing %d is accepted", r.Version)
}

// putTarget registers a target; it reports false while the store is unavailable.
func (s *store) putTarget(t cactuspin.RegisteredTarget) bool {
	if s.unavailable {
		return false
	}
	t.Revision = s.revision + 1
	s.targets[t.ID] = t
	delete(s.unreadable, t.ID)
	s.commit(change{target: &t})
	return true
}

func (s *store) removeTarget(id cactuspin.TargetID) {
	if _, ok := s.targets[id]; !ok {
		return
	}
	delete(s.targets, id)
	s.commit(change{removedTarget: id})
}

// overwriteTarget replaces a registration by one that cannot be used.
func (s *store) overwriteTarget(id cactuspin.TargetID) {
	delete(s.targets, id)
	s.unreadable[id] = s.revision + 1
	s.commit(change{unreadable: id})
}

func (s *store) announceHost(h cactuspin.EntryHost) {
	if slices.Contains(s.hosts, h) {
		return
	}
	s.hosts = append(s.hosts, h)
	s.commit(change{host: &h})
}

// handleCall processes a call of a host.
func (s *store) handleCall(h *host, c *engine.StoreCall) {
	s.sim.oracle.storeCalls++
	w := &pendingCall{host: h, call: c, generation: h.generation}
	timeout := readTimeout
	if !c.FullRead {
		timeout = c.Wait + responseMargin
	}
	s.sim.after(timeout, func() { s.complete(w, nil, errUnavailable) })
	if s.sim.storeBlocked(h) {
		return
	}
	s.sim.after(s.delay(), func() { s.dispatch(w) })
}

func (s *store) delay() time.Duration { return storeDelay/2 + s.extraDelay/2 }

func (s *store) dispatch(w *pendingCall) {
	switch {
	case s.unavailable || s.refusedHosts[w.host]:
		if !s.unresponsive {
			s.sendResponse(w, nil, errUnavailable)
		}
	case w.call.FullRead:
		s.sendResponse(w, s.readPage(w.call.From), nil)
	case w.call.After < s.compactedRevision || w.call.After > s.revision:
		s.sendResponse(w, nil, cactuspin.ErrHistoryLost)
	case w.call.After < s.revision && !s.watchesStalled:
		s.completeWatch(w)
	default:
		s.pendingWatches = append(s.pendingWatches, w)
		s.sim.after(w.call.Wait, func() { s.completeWatch(w) })
	}
}

// readPage returns a page of all items: hosts and routing come first, then targets
// ordered by ID. The cursor is the last ID of the previous page.
func (s *store) readPage(cursor cactuspin.Cursor) *cactuspin.Update {
	u := &cactuspin.Update{Full: true, Revision: s.revision}
	capacity := pageItems
	if cursor == "" {
		u.Routing, u.Hosts, u.Zones = s.routing, slices.Clone(s.hosts), s.evacuatedZones()
		for _, id := range slices.Sorted(maps.Keys(s.unreadable)) {
			u.Unreadable = append(u.Unreadable, cactuspin.UnreadableTarget{ID: id, Revision: s.unreadable[id]})
		}
		capacity = max(0, pageItems-1-len(s.hosts))
	}
	ids := slices.Sorted(maps.Keys(s.targets))
	first, found := slices.BinarySearch(ids, cactuspin.TargetID(cursor))
	if found {
		first++
	}
	last := min(len(ids), first+capacity)
	for _, id := range ids[first:last] {
		u.Targets = append(u.Targets, s.targets[id])
	}
	if last < len(ids) {
		u.Next = max(cursor, " ")
		if last > first {
			u.Next = cactuspin.Cursor(ids[last-1])
		}
	}
	return u
}

// completeWatch answers a watch with the changes after the requested revision. While
// watches are stalled, it reports that there are none.
func (s *store) completeWatch(w *pendingCall) {
	if w.completed || s.unavailable || s.refusedHosts[w.host] {
		return
	}
	u := &cactuspin.Update{After: w.call.After, Revision: w.call.After}
	if !s.watchesStalled {
		u.Revision = max(w.call.After, s.revision)
		for _, c := range s.history {
			if c.revision > w.call.After {
				c.addTo(u)
			}
		}
	}
	s.sendResponse(w, u, nil)
}

func (c *change) addTo(u *cactuspin.Update) {
	switch {
	case c.routing != nil:
		u.Routing = c.routing
	case c.target != nil:
		u.Targets = append(u.Targets, *c.target)
	case c.unreadable != "":
		u.Unreadable = append(u.Unreadable, cactuspin.UnreadableTarget{ID: c.unreadable, Revision: c.revision})
	case c.host != nil:
		u.Hosts = append(u.Hosts, *c.host)
	case c.zone != nil:
		u.Zones = append(u.Zones, *c.zone)
	default:
		u.Removed = append(u.Removed, cactuspin.RemovedTarget{ID: c.removedTarget, Revision: c.revision})
	}
}

// sendResponse sends a response to the host.
func (s *store) sendResponse(w *pendingCall, u *cactuspin.Update, err error) {
	if u == nil {
		u = &cactuspin.Update{}
	}
	u.Era = s.era
	items := len(u.Targets) + len(u.Hosts)
	sent := s.delay() + s.link.transfer(s.sim.now, itemBytes*items, s.sim.scenario.StoreBandwidth)
	s.sim.after(sent, func() {
		if s.sim.storeBlocked(w.host) || w.host.generation != w.generation {
			return
		}
		s.sim.after(w.host.processingTime(items, 1), func() { s.complete(w, u, err) })
	})
}

func (s *store) complete(w *pendingCall, u *cactuspin.Update, err error) {
	if w.completed || w.host.generation != w.generation {
		return
	}
	w.completed = true
	if u == nil {
		u = &cactuspin.Update{}
	}
	if w.host.previousBuild() {
		stripped := updateOfPreviousBuild(*u)
		u = &stripped
	}
	w.host.execute(func(out *engine.Actions) { w.host.engine.StoreAnswered(w.host.sim.now, w.call, u, err, out) })
}

// beginOutage begins an outage; with expireRegistrations, all registrations expire
// during it.
func (s *store) beginOutage(unresponsive, expireRegistrations bool) {
	s.unavailable, s.unresponsive = true, unresponsive
	if !expireRegistrations {
		return
	}
	for _, t := range s.sim.targets {
		if t.registered() {
			delete(s.targets, t.registration.ID)
			s.revision++
			s.history = append(s.history, change{revision: s.revision, removedTarget: t.registration.ID})
		}
	}
}

// endOutage ends an outage; live targets register again within reregistrationTime.
func (s *store) endOutage() {
	s.unavailable, s.unresponsive = false, false
	for _, t := range s.sim.targets {
		d := time.Duration(s.sim.random.Int64N(int64(reregistrationTime)))
		s.sim.after(d, t.register)
	}
}

// compactHistory drops the history and ends all watches with an error.
func (s *store) compactHistory() {
	s.compactedRevision, s.history, s.watchesStalled = s.revision, nil, false
	for _, w := range s.pendingWatches {
		s.sendResponse(w, nil, errUnavailable)
	}
	s.pendingWatches = nil
}

// dropWatches drops all pending watches without an answer, as connections do whose
// packets are lost from then on.
func (s *store) dropWatches() { s.pendingWatches = nil }

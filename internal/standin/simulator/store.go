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
	// answerSlack is how much later than its wait a call is given up.
	answerSlack = 500 * time.Millisecond
	// returnTime is how long living targets take to register again after an outage.
	returnTime = 1500 * time.Millisecond
	// readTimeout bounds the read of a page.
	readTimeout = time.Second
	// pageItems is how many items a page has, itemBytes what one takes.
	pageItems = 500
	itemBytes = 300
)

var errUnavailable = errors.New("store is unavailable")

// change is one revision of the store.
type change struct {
	revision cactuspin.Revision
	routing  *cactuspin.Routing
	target   *cactuspin.RegisteredTarget
	gone     cactuspin.TargetID
	host     *cactuspin.EntryHost
}

// store models the platform's store.
type store struct {
	sim      *Simulation
	revision cactuspin.Revision
	routing  *cactuspin.Routing
	targets  map[cactuspin.TargetID]cactuspin.RegisteredTarget
	hosts    []cactuspin.EntryHost
	history  []change
	// kept is the revision from which on the history is kept.
	kept    cactuspin.Revision
	waiting []*waiter
	// down says that nobody is answered, refused which hosts are turned away;
	// silent that they hear nothing at all. mute keeps news from watches.
	down, silent, mute bool
	slow               time.Duration
	refused            map[*host]bool
	link               link
}

// waiter is a call that is not answered yet.
type waiter struct {
	host  *host
	call  *engine.StoreCall
	life  int
	ended bool
}

func newStore(s *Simulation) *store {
	return &store{sim: s, revision: 7, kept: 7, targets: map[cactuspin.TargetID]cactuspin.RegisteredTarget{}, refused: map[*host]bool{}}
}

func (s *store) commit(c change) cactuspin.Revision {
	s.revision++
	c.revision = s.revision
	s.history = append(s.history, c)
	if !s.mute {
		for _, w := range s.waiting {
			s.answerWatch(w)
		}
		s.waiting = nil
	}
	return s.revision
}

func (s *store) putRouting(r *cactuspin.Routing) {
	r.Revision = s.revision + 1
	s.routing = r
	s.commit(change{routing: r})
	s.sim.trace("store: routing %d is accepted", r.Version)
}

// putTarget registers a target; while the store is down that has to wait.
func (s *store) putTarget(t cactuspin.RegisteredTarget) bool {
	if s.down {
		return false
	}
	t.Revision = s.revision + 1
	s.targets[t.ID] = t
	s.commit(change{target: &t})
	return true
}

func (s *store) removeTarget(id cactuspin.TargetID) {
	if _, ok := s.targets[id]; !ok {
		return
	}
	delete(s.targets, id)
	s.commit(change{gone: id})
}

func (s *store) announce(h cactuspin.EntryHost) {
	s.hosts = append(s.hosts, h)
	s.commit(change{host: &h})
}

// call takes a host's call.
func (s *store) call(h *host, c *engine.StoreCall) {
	s.sim.oracle.calls++
	w := &waiter{host: h, call: c, life: h.life}
	timeout := readTimeout
	if !c.FullRead {
		timeout = c.Wait + answerSlack
	}
	s.sim.after(timeout, func() { s.answer(w, nil, errUnavailable) })
	if s.sim.blockedStore(h) {
		return
	}
	s.sim.after(s.delay(), func() { s.arrive(w) })
}

func (s *store) delay() time.Duration { return storeDelay/2 + s.slow/2 }

func (s *store) arrive(w *waiter) {
	switch {
	case s.down || s.refused[w.host]:
		if !s.silent {
			s.reply(w, nil, errUnavailable)
		}
	case w.call.FullRead:
		s.reply(w, s.page(w.call.From), nil)
	case w.call.After < s.kept:
		s.reply(w, nil, cactuspin.ErrHistoryLost)
	case w.call.After < s.revision && !s.mute:
		s.answerWatch(w)
	default:
		s.waiting = append(s.waiting, w)
		s.sim.after(w.call.Wait, func() { s.answerWatch(w) })
	}
}

// page returns a page of everything: hosts and routing come first, then targets
// by their ids. The cursor is the last id.
func (s *store) page(from cactuspin.Cursor) *cactuspin.Update {
	u := &cactuspin.Update{Full: true, Revision: s.revision}
	room := pageItems
	if from == "" {
		u.Routing, u.Hosts = s.routing, slices.Clone(s.hosts)
		room = max(0, pageItems-1-len(s.hosts))
	}
	ids := slices.Sorted(maps.Keys(s.targets))
	first, found := slices.BinarySearch(ids, cactuspin.TargetID(from))
	if found {
		first++
	}
	last := min(len(ids), first+room)
	for _, id := range ids[first:last] {
		u.Targets = append(u.Targets, s.targets[id])
	}
	if last < len(ids) {
		u.Next = max(from, " ")
		if last > first {
			u.Next = cactuspin.Cursor(ids[last-1])
		}
	}
	return u
}

// answerWatch answers with the changes after the revision asked for. A mute
// store claims that there are none.
func (s *store) answerWatch(w *waiter) {
	if w.ended || s.down || s.refused[w.host] {
		return
	}
	u := &cactuspin.Update{After: w.call.After, Revision: w.call.After}
	if !s.mute {
		u.Revision = max(w.call.After, s.revision)
		for _, c := range s.history {
			if c.revision > w.call.After {
				c.add(u)
			}
		}
	}
	s.reply(w, u, nil)
}

func (c *change) add(u *cactuspin.Update) {
	switch {
	case c.routing != nil:
		u.Routing = c.routing
	case c.target != nil:
		u.Targets = append(u.Targets, *c.target)
	case c.host != nil:
		u.Hosts = append(u.Hosts, *c.host)
	default:
		u.Removed = append(u.Removed, cactuspin.RemovedTarget{ID: c.gone, Revision: c.revision})
	}
}

// reply sends an answer back.
func (s *store) reply(w *waiter, u *cactuspin.Update, err error) {
	items, sent := 0, s.delay()
	if u != nil {
		items = len(u.Targets) + len(u.Hosts)
		sent += s.link.carry(s.sim.now, itemBytes*items, s.sim.story.StoreBandwidth)
	}
	s.sim.after(sent, func() {
		if s.sim.blockedStore(w.host) || w.host.life != w.life {
			return
		}
		s.sim.after(w.host.work(items, 1), func() { s.answer(w, u, err) })
	})
}

func (s *store) answer(w *waiter, u *cactuspin.Update, err error) {
	if w.ended || w.host.life != w.life {
		return
	}
	w.ended = true
	if u == nil {
		u = &cactuspin.Update{}
	}
	w.host.do(func(out *engine.Actions) { w.host.engine.StoreAnswered(w.host.sim.now, w.call, u, err, out) })
}

// fail begins an outage; with lapse, registrations end meanwhile.
func (s *store) fail(silent, lapse bool) {
	s.down, s.silent = true, silent
	if !lapse {
		return
	}
	for _, t := range s.sim.targets {
		if t.registered() {
			delete(s.targets, t.entry.ID)
			s.revision++
			s.history = append(s.history, change{revision: s.revision, gone: t.entry.ID})
		}
	}
}

// restore ends an outage; living targets register again within returnTime.
func (s *store) restore() {
	s.down, s.silent = false, false
	for _, t := range s.sim.targets {
		d := time.Duration(s.sim.random.Int64N(int64(returnTime)))
		s.sim.after(d, t.register)
	}
}

// forget drops the history and cuts all watches.
func (s *store) forget() {
	s.kept, s.history, s.mute = s.revision, nil, false
	for _, w := range s.waiting {
		s.reply(w, nil, errUnavailable)
	}
	s.waiting = nil
}

// silence loses all waiting calls, as connections that go silent for good do.
func (s *store) silence() { s.waiting = nil }

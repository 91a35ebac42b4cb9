package engine

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// wholeRead is a read of all that the store holds, page by page, so that a slow
// host or link costs a page and not the whole.
type wholeRead struct {
	// update is what the pages so far said.
	update cactuspin.Update
	// began is when the first page was asked for.
	began cactuspin.Time
}

// add takes a page. It returns the whole update after the last one.
func (w *wholeRead) add(now cactuspin.Time, u *cactuspin.Update) *cactuspin.Update {
	w.update.Targets = append(w.update.Targets, u.Targets...)
	w.update.Removed = append(w.update.Removed, u.Removed...)
	if u.Routing != nil {
		w.update.Routing = u.Routing
	}
	w.update.Next = u.Next
	if u.Next != "" {
		return nil
	}
	w.update.Age = max(0, now.Sub(w.began))
	return &w.update
}

// readPage takes a page of everything. It returns an update once all is read,
// or nil.
func (e *Engine) readPage(now cactuspin.Time, c *StoreCall, u *cactuspin.Update) *cactuspin.Update {
	if c.From == "" {
		e.store.whole = &wholeRead{began: c.SentAt, update: cactuspin.Update{Full: true, Revision: u.Revision}}
	}
	w := e.store.whole
	if w == nil || w.update.Next != c.From {
		return nil
	}
	known := e.keeper.Position(now)
	e.planner.AddPeers(now, u.Hosts, known.Complete)
	all := w.add(now, u)
	if all == nil {
		e.reading = e.planner.ShouldRead(now, known, true)
		return nil
	}
	e.store.whole, e.store.lost = nil, false
	return all
}

// readOn tells where a read of everything goes on. A host that got everything
// from a peer meanwhile reads no further.
func (e *Engine) readOn(complete bool) cactuspin.Cursor {
	if complete && !e.store.lost {
		e.store.whole = nil
	}
	if e.store.whole == nil {
		return ""
	}
	return e.store.whole.update.Next
}

// sinceAsked is the age of an answer that may have been given as soon as the
// call was made, or, without news, when its wait was over.
func sinceAsked(now cactuspin.Time, c *StoreCall, u *cactuspin.Update) time.Duration {
	age := now.Sub(c.SentAt)
	if u.Revision == u.After {
		age -= c.Wait
	}
	return max(0, age)
}

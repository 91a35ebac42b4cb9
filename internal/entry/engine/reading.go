package engine

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// fullRead is a read of the store's whole content, page by page, so that an
// error or a timeout on a slow host or link costs one page and not the whole
// read.
type fullRead struct {
	// update collects the pages read so far.
	update cactuspin.Update
	// began is when the first page was requested.
	began cactuspin.Time
}

// add appends a page. It returns the complete update after the last page,
// otherwise nil.
func (r *fullRead) add(now cactuspin.Time, u *cactuspin.Update) *cactuspin.Update {
	r.update.Targets = append(r.update.Targets, u.Targets...)
	r.update.Removed = append(r.update.Removed, u.Removed...)
	r.update.Unreadable = append(r.update.Unreadable, u.Unreadable...)
	r.update.Zones = append(r.update.Zones, u.Zones...)
	if u.Routing != nil {
		r.update.Routing = u.Routing
	}
	r.update.Next = u.Next
	if u.Next != "" {
		return nil
	}
	r.update.Age = max(0, now.Sub(r.began))
	return &r.update
}

// readPage handles a page of a full read. It returns the complete update after
// the last page, otherwise nil.
func (e *Engine) readPage(now cactuspin.Time, c *StoreCall, u *cactuspin.Update) *cactuspin.Update {
	if c.From == "" {
		e.store.fullRead = &fullRead{began: c.SentAt, update: cactuspin.Update{Full: true, Era: u.Era, Revision: u.Revision}}
	}
	r := e.store.fullRead
	if r == nil || r.update.Next != c.From {
		return nil
	}
	if r.update.Era != u.Era {
		// The pages of two eras do not belong together.
		e.store.fullRead = nil
		return nil
	}
	position := e.tracker.Position(now)
	e.planner.AddPeers(now, u.Hosts, position.Complete)
	complete := r.add(now, u)
	if complete == nil {
		e.reading = e.planner.ShouldRead(now, position, true)
		return nil
	}
	e.store.fullRead, e.store.historyLost, e.store.restored = nil, false, false
	return complete
}

// nextPage returns the start of the next page of a full read. A read is
// abandoned if the host got complete knowledge from a peer meanwhile.
func (e *Engine) nextPage(complete bool) cactuspin.Cursor {
	if complete && !e.store.historyLost && !e.store.restored {
		e.store.fullRead = nil
	}
	if e.store.fullRead == nil {
		return ""
	}
	return e.store.fullRead.update.Next
}

// answerAge returns the age of an answer. The store may have created it as soon
// as the call was sent or, if it has no changes, when the watch timed out.
func answerAge(now cactuspin.Time, c *StoreCall, u *cactuspin.Update) time.Duration {
	age := now.Sub(c.SentAt)
	if u.Revision == u.After {
		age -= c.Wait
	}
	return max(0, age)
}

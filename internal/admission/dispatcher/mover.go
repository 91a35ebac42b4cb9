package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Bounds of the upkeep of observations in one tick.
const (
	feedsPerTick  = 512
	movesPerTick  = 16
	copiesPerTick = 1
	evensPerTick  = 1
	moveTimeout   = 2 * time.Second
)

// upkeep counts what one tick may still do.
type upkeep struct {
	moves  int
	copies int
	// evens are moves that only make the targets more even. There is one at a
	// time, so that it is counted before the next is decided.
	evens int
}

// tickFeeds keeps a part of the observations: it registers what lost its
// target, moves what belongs elsewhere and ends what its caller left.
func (d *Dispatcher) tickFeeds(now cactuspin.Time, out *cactuspin.Actions) {
	d.feeds.compact()
	u := upkeep{moves: movesPerTick, copies: copiesPerTick, evens: evensPerTick}
	n := min(feedsPerTick, len(d.feeds.order))
	for range n {
		if d.feeds.cursor >= len(d.feeds.order) {
			d.feeds.cursor = 0
		}
		f := d.feeds.order[d.feeds.cursor]
		d.feeds.cursor++
		if f != nil {
			d.keepFeed(now, f, &u, out)
		}
	}
}

func (d *Dispatcher) keepFeed(now cactuspin.Time, f *feed, u *upkeep, out *cactuspin.Actions) {
	switch {
	case now.Sub(f.heard) >= feedIdle:
		d.endFeed(now, f, "caller went silent", out)
		return
	case !d.serves(f):
		d.endMoved(now, f, out)
		return
	case f.at.exchange == 0:
		d.settleFeed(now, f, out)
		return
	case !f.at.live && now.Sub(f.at.sent) >= registerTimeout:
		d.unregister(&f.at, f, out)
		d.register(now, f, out)
		return
	case now.Sub(f.heard) >= feedProbe && now.Sub(f.probed) >= feedProbe/3:
		f.probed = now
		d.notify(now, f, cactuspin.AnswerConfirmable, out)
	}
	if u.moves > 0 && d.move(now, f, u, out) {
		u.moves--
	}
	if u.copies > 0 && d.copyOut(now, f, out) {
		u.copies--
	}
}

// settleFeed finds a place for an observation that has none: at its home, or here.
func (d *Dispatcher) settleFeed(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if h, ok := d.feedHome(f); ok && h != d.cfg.Self && !d.cfg.Suspended() {
		d.moveToHost(now, f, h, out)
		return
	}
	d.register(now, f, out)
}

// serves tells whether the address that the caller asked is still this service's.
func (d *Dispatcher) serves(f *feed) bool {
	sv := d.view.ServiceAt(f.key.Service)
	return sv != nil && sv.Service.ID == d.cfg.Service
}

// endMoved ends an observation whose address went to another service.
func (d *Dispatcher) endMoved(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	d.endTold(now, f, cactuspin.CodeNotFound, "the service has left this address", out)
}

// endDrained ends an observation at a target whose drain limit is over when no
// other target can take it.
func (d *Dispatcher) endDrained(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	since, ok := d.leaving[f.at.target]
	limit := d.service.Drain.Limit
	if !ok || limit == 0 || now.Sub(since) < limit {
		return
	}
	d.endTold(now, f, cactuspin.CodeServiceUnavailable, "the target has left and no other is free", out)
}

// endTold ends an observation with an error that its caller is told.
func (d *Dispatcher) endTold(now cactuspin.Time, f *feed, code cactuspin.Code, why string, out *cactuspin.Actions) {
	a := d.notification(now, f, cactuspin.AnswerConfirmable)
	a.Notification = false
	a.Code = code
	a.MaxAge = d.retryAfter
	a.Options = nil
	a.Payload = []byte(why)
	out.Answer(a)
	d.endFeed(now, f, why, out)
}

// move brings an observation to the host that it belongs to, or to another
// target when its own leaves. The old registration ends when the new one stands.
func (d *Dispatcher) move(now cactuspin.Time, f *feed, u *upkeep, out *cactuspin.Actions) bool {
	if !f.at.live || d.cfg.Suspended() {
		return false
	}
	if h, ok := d.feedHome(f); ok && h != d.cfg.Self {
		return d.moveToHost(now, f, h, out)
	}
	f.home = 0
	if f.next != nil {
		if now.Sub(f.next.sent) >= registerTimeout {
			d.unregister(f.next, f, out)
			f.next = nil
		}
		return false
	}
	if d.limiter.Usable(f.at.target) {
		if u.evens == 0 || !d.limiter.Uneven(now, f.at.target) {
			return false
		}
		u.evens--
	}
	t, ok := d.limiter.TakeFeed(now)
	if !ok {
		d.endDrained(now, f, out)
		return false
	}
	r := d.sendRegistration(now, f, t, out)
	f.next = &r
	return true
}

func (d *Dispatcher) moveToHost(now cactuspin.Time, f *feed, h cactuspin.HostID, out *cactuspin.Actions) bool {
	if f.home == h && now.Sub(f.moved) < moveTimeout {
		return false
	}
	f.home = h
	f.moved = now
	out.Peer(h, cactuspin.PeerMessage{FeedMove: f.record()})
	out.LogDecision(cactuspin.Decision{
		Kind:    cactuspin.DecisionMove,
		Reason:  "observation belongs to another host",
		Service: d.cfg.Service,
		Caller:  f.key.Caller,
		Token:   f.key.Token,
		Host:    h,
	})
	return true
}

func (d *Dispatcher) feedHome(f *feed) (h cactuspin.HostID, ok bool) {
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return 0, false
	}
	return d.cfg.Home(sv, placer.FlowHash(f.key.Caller, f.key.Service))
}

// copyOut sends a compact record to the host that would take the observation
// over, once it has lived for some seconds.
func (d *Dispatcher) copyOut(now cactuspin.Time, f *feed, out *cactuspin.Actions) bool {
	if !f.at.live || now.Sub(f.since) < feedCopyAge {
		return false
	}
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return false
	}
	h, ok := sv.Owner(placer.FlowHash(f.key.Caller, f.key.Service), func(h cactuspin.HostID) bool {
		return h == d.cfg.Self
	})
	if !ok || h == d.cfg.Self || h == f.copied {
		return false
	}
	if f.copied != 0 {
		out.Peer(f.copied, cactuspin.PeerMessage{FeedEnded: &cactuspin.FeedReference{Key: f.key}})
	}
	f.copied = h
	out.Peer(h, cactuspin.PeerMessage{FeedReplica: f.record()})
	return true
}

// TakeFeed takes an observation over from another host.
func (d *Dispatcher) TakeFeed(now cactuspin.Time, from cactuspin.HostID, m cactuspin.FeedState, out *cactuspin.Actions) {
	f, ok := d.feeds.byKey[m.Key]
	if ok && f.at.live {
		f.catchUp(now, m.Sequence)
		d.notify(now, f, cactuspin.AnswerNonConfirmable, out)
		out.Peer(from, cactuspin.PeerMessage{FeedMoved: &cactuspin.FeedReference{Key: m.Key}})
		return
	}
	if !ok {
		f = &feed{key: m.Key, path: m.Path, options: m.Options, heard: now, since: now, probed: now}
		d.feeds.add(f)
	}
	f.from = from
	f.sequence = m.Sequence
	if f.at.exchange == 0 {
		d.register(now, f, out)
	}
}

// FeedMoved ends an observation that another host has taken over.
func (d *Dispatcher) FeedMoved(now cactuspin.Time, from cactuspin.HostID, m cactuspin.FeedReference, out *cactuspin.Actions) {
	f, ok := d.feeds.byKey[m.Key]
	if !ok || f.home != from {
		return
	}
	if f.copied == from {
		f.copied = 0
	}
	d.endFeed(now, f, "moved to another host", out)
}

// KeepCopy keeps the record of an observation that another host holds.
func (d *Dispatcher) KeepCopy(from cactuspin.HostID, m cactuspin.FeedState) {
	if _, ok := d.feeds.byKey[m.Key]; ok || len(d.feeds.copies) >= maxCopies {
		return
	}
	d.feeds.copies[m.Key] = feedCopy{owner: from, move: m}
}

// maxCopies bounds the memory for the observations of other hosts.
const maxCopies = 1 << 16

// ForgetCopy drops the record of an observation that has ended.
func (d *Dispatcher) ForgetCopy(m cactuspin.FeedReference) { delete(d.feeds.copies, m.Key) }

// HostGone takes over the observations of a host that died.
func (d *Dispatcher) HostGone(now cactuspin.Time, h cactuspin.HostID, out *cactuspin.Actions) {
	for _, k := range d.feeds.copyKeys() {
		c := d.feeds.copies[k]
		if c.owner != h {
			continue
		}
		delete(d.feeds.copies, k)
		d.TakeFeed(now, 0, c.move, out)
	}
}

func (f *feed) record() *cactuspin.FeedState {
	return &cactuspin.FeedState{Key: f.key, Path: f.path, Options: f.options, Sequence: f.sequence}
}

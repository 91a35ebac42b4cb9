package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Limits on the maintenance of observations in one tick, and the time after which
// an unconfirmed move is repeated.
const (
	feedsPerTick        = 512
	movesPerTick        = 16
	replicationsPerTick = 1
	rebalancesPerTick   = 1
	moveTimeout         = 2 * time.Second
)

// tickBudget counts the operations that one tick may still perform.
type tickBudget struct {
	moves        int
	replications int
	// rebalances counts moves that only balance the observations over the targets. A
	// tick makes at most one, so that its effect is counted before the next is
	// decided.
	rebalances int
}

// tickFeeds maintains a part of the observations: it registers those without a
// target, moves those that are assigned elsewhere and ends those whose caller is
// unresponsive.
func (d *Dispatcher) tickFeeds(now cactuspin.Time, out *cactuspin.Actions) {
	d.feeds.compact()
	budget := tickBudget{moves: movesPerTick, replications: replicationsPerTick, rebalances: rebalancesPerTick}
	n := min(feedsPerTick, len(d.feeds.order))
	for range n {
		if d.feeds.cursor >= len(d.feeds.order) {
			d.feeds.cursor = 0
		}
		f := d.feeds.order[d.feeds.cursor]
		d.feeds.cursor++
		if f != nil {
			d.maintainFeed(now, f, &budget, out)
		}
	}
}

func (d *Dispatcher) maintainFeed(now cactuspin.Time, f *feed, budget *tickBudget, out *cactuspin.Actions) {
	switch {
	case now.Sub(f.lastSeen) >= feedIdleTimeout:
		d.endFeed(now, f, "caller went silent", out)
		return
	case !d.servesAddress(f):
		d.endReassigned(now, f, out)
		return
	case f.current.exchange == 0:
		d.placeFeed(now, f, out)
		return
	case !f.current.established && now.Sub(f.current.sent) >= registerTimeout:
		d.unregister(&f.current, f, out)
		d.register(now, f, out)
		return
	case now.Sub(f.lastSeen) >= feedProbeAfter && now.Sub(f.lastProbe) >= feedProbeAfter/3:
		f.lastProbe = now
		d.sendNotification(now, f, cactuspin.AnswerConfirmable, out)
	}
	if budget.moves > 0 && d.moveFeed(now, f, budget, out) {
		budget.moves--
	}
	if budget.replications > 0 && d.replicateFeed(now, f, out) {
		budget.replications--
	}
}

// placeFeed moves an observation without a target to its assigned host or registers
// it here.
func (d *Dispatcher) placeFeed(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if h, ok := d.assignedHost(f); ok && h != d.cfg.Self && !d.cfg.Suspended() {
		d.moveFeedToHost(now, f, h, out)
		return
	}
	d.register(now, f, out)
}

// servesAddress reports whether the address that the caller uses still belongs to
// this service.
func (d *Dispatcher) servesAddress(f *feed) bool {
	sv := d.view.ServiceAt(f.key.Service)
	return sv != nil && sv.Service.ID == d.cfg.Service
}

// endReassigned ends an observation whose address was reassigned to another service.
func (d *Dispatcher) endReassigned(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	d.endWithError(now, f, cactuspin.CodeNotFound, "the service has left this address", out)
}

// endDrained ends an observation at a target whose drain limit has passed. It is
// called when no other target is available.
func (d *Dispatcher) endDrained(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	since, ok := d.leavingSince[f.current.target]
	limit := d.service.Drain.Limit
	if !ok || limit == 0 || now.Sub(since) < limit {
		return
	}
	d.endWithError(now, f, cactuspin.CodeServiceUnavailable, "the target has left and no other is free", out)
}

// endWithError ends an observation and sends an error to its caller.
func (d *Dispatcher) endWithError(now cactuspin.Time, f *feed, code cactuspin.Code, reason string, out *cactuspin.Actions) {
	a := d.newNotification(now, f, cactuspin.AnswerConfirmable)
	a.Notification = false
	a.Code = code
	a.MaxAge = d.retryAfter
	a.Options = nil
	a.Payload = []byte(reason)
	out.Answer(a)
	d.endFeed(now, f, reason, out)
}

// moveFeed moves an observation to its assigned host, or to another target if its own
// is leaving or holds significantly more observations. The old registration ends once
// the new one is established. moveFeed reports whether it started a move.
func (d *Dispatcher) moveFeed(now cactuspin.Time, f *feed, budget *tickBudget, out *cactuspin.Actions) bool {
	if !f.current.established || d.cfg.Suspended() {
		return false
	}
	if h, ok := d.assignedHost(f); ok && h != d.cfg.Self {
		return d.moveFeedToHost(now, f, h, out)
	}
	f.movingTo = 0
	if f.replacement != nil {
		if now.Sub(f.replacement.sent) >= registerTimeout {
			d.unregister(f.replacement, f, out)
			f.replacement = nil
		}
		return false
	}
	if d.limiter.Usable(f.current.target) {
		if budget.rebalances == 0 || !d.limiter.FeedsImbalanced(now, f.current.target) {
			return false
		}
		budget.rebalances--
	}
	t, ok := d.limiter.AcquireFeed(now)
	if !ok {
		d.endDrained(now, f, out)
		return false
	}
	r := d.sendRegistration(now, f, t, out)
	f.replacement = &r
	return true
}

func (d *Dispatcher) moveFeedToHost(now cactuspin.Time, f *feed, h cactuspin.HostID, out *cactuspin.Actions) bool {
	if f.movingTo == h && now.Sub(f.moveSent) < moveTimeout {
		return false
	}
	f.movingTo = h
	f.moveSent = now
	out.Peer(h, cactuspin.PeerMessage{FeedMove: f.state()})
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

func (d *Dispatcher) assignedHost(f *feed) (h cactuspin.HostID, ok bool) {
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return 0, false
	}
	return d.cfg.HostForFlow(sv, placer.FlowHash(f.key.Caller, f.key.Service))
}

// replicateFeed sends the state of an observation to the host that would take it
// over, once the observation has reached feedReplicationAge. It reports whether it
// sent the state.
func (d *Dispatcher) replicateFeed(now cactuspin.Time, f *feed, out *cactuspin.Actions) bool {
	if !f.current.established || now.Sub(f.openedAt) < feedReplicationAge {
		return false
	}
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return false
	}
	h, ok := sv.Owner(placer.FlowHash(f.key.Caller, f.key.Service), func(h cactuspin.HostID) bool {
		return h == d.cfg.Self
	})
	if !ok || h == d.cfg.Self || h == f.replicaHost {
		return false
	}
	if f.replicaHost != 0 {
		out.Peer(f.replicaHost, cactuspin.PeerMessage{FeedEnded: &cactuspin.FeedReference{Key: f.key}})
	}
	f.replicaHost = h
	out.Peer(h, cactuspin.PeerMessage{FeedReplica: f.state()})
	return true
}

// TakeOverFeed takes over an observation from another host.
func (d *Dispatcher) TakeOverFeed(now cactuspin.Time, from cactuspin.HostID, m cactuspin.FeedState, out *cactuspin.Actions) {
	f, ok := d.feeds.byKey[m.Key]
	if ok && f.current.established {
		f.catchUp(now, m.Sequence)
		d.sendNotification(now, f, cactuspin.AnswerNonConfirmable, out)
		out.Peer(from, cactuspin.PeerMessage{FeedMoved: &cactuspin.FeedReference{Key: m.Key}})
		return
	}
	if !ok {
		f = &feed{key: m.Key, path: m.Path, options: m.Options, lastSeen: now, openedAt: now, lastProbe: now}
		d.feeds.add(f)
	}
	f.movedFrom = from
	f.sequence = m.Sequence
	if f.current.exchange == 0 {
		d.register(now, f, out)
	}
}

// FeedMoved ends an observation that another host has taken over.
func (d *Dispatcher) FeedMoved(now cactuspin.Time, from cactuspin.HostID, m cactuspin.FeedReference, out *cactuspin.Actions) {
	f, ok := d.feeds.byKey[m.Key]
	if !ok || f.movingTo != from {
		return
	}
	if f.replicaHost == from {
		f.replicaHost = 0
	}
	d.endFeed(now, f, "moved to another host", out)
}

// StoreReplica stores the state of an observation that another host holds.
func (d *Dispatcher) StoreReplica(from cactuspin.HostID, m cactuspin.FeedState) {
	if _, ok := d.feeds.byKey[m.Key]; ok || len(d.feeds.replicas) >= maxReplicas {
		return
	}
	d.feeds.replicas[m.Key] = feedReplica{owner: from, state: m}
}

// maxReplicas bounds the memory for the observations of other hosts.
const maxReplicas = 1 << 16

// DeleteReplica deletes the state of an observation of another host that has ended.
func (d *Dispatcher) DeleteReplica(m cactuspin.FeedReference) { delete(d.feeds.replicas, m.Key) }

// HostFailed takes over the observations of a failed host from their replicas.
func (d *Dispatcher) HostFailed(now cactuspin.Time, h cactuspin.HostID, out *cactuspin.Actions) {
	for _, k := range d.feeds.replicaKeys() {
		r := d.feeds.replicas[k]
		if r.owner != h {
			continue
		}
		delete(d.feeds.replicas, k)
		d.TakeOverFeed(now, 0, r.state, out)
	}
}

func (f *feed) state() *cactuspin.FeedState {
	return &cactuspin.FeedState{Key: f.key, Path: f.path, Options: f.options, Sequence: f.sequence}
}

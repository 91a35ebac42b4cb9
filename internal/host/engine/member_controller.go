package engine

import (
	"maps"
	"slices"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Peer takes a message of another host.
func (e *Engine) Peer(now cactuspin.Time, from cactuspin.HostID, m cactuspin.PeerMessage, out *cactuspin.Actions) {
	e.noticePause(now, out)
	switch {
	case m.Heartbeat != nil:
		e.hear(now, from, *m.Heartbeat, out)
	case m.Relay != nil:
		e.begin(now, *m.Relay, out)
	case m.Acknowledgement != nil:
		e.acknowledgeHere(now, *m.Acknowledgement, out)
	case m.Execute != nil:
		e.execute(now, from, *m.Execute, out)
	case m.ExecuteResult != nil:
		e.everyShard(func(d *dispatcher.Dispatcher) { d.ExecuteResult(now, *m.ExecuteResult, out) })
	case m.SyncRequest != nil:
		e.give(from, *m.SyncRequest, out)
	case m.Bundle != nil:
		e.Platform(now, cactuspin.PlatformEvent{Bundle: m.Bundle}, out)
	case m.List != nil:
		e.Platform(now, cactuspin.PlatformEvent{List: m.List}, out)
	case m.Probe != nil:
		e.answerProbe(from, *m.Probe, out)
	case m.ProbeAnswer != nil:
		e.probeAnswered(now, from, *m.ProbeAnswer, out)
	case m.Handover != nil:
		e.takeOver(now, from, *m.Handover, out)
	case m.HandoverResult != nil:
		e.handedOver(now, from, *m.HandoverResult, out)
	default:
		e.feedMessage(now, from, m, out)
	}
}

func (e *Engine) feedMessage(now cactuspin.Time, from cactuspin.HostID, m cactuspin.PeerMessage, out *cactuspin.Actions) {
	switch {
	case m.FeedMove != nil:
		e.atAddress(now, m.FeedMove.Key, out, func(d *dispatcher.Dispatcher) { d.TakeOverFeed(now, from, *m.FeedMove, out) })
	case m.FeedMoved != nil:
		e.atAddress(now, m.FeedMoved.Key, out, func(d *dispatcher.Dispatcher) { d.FeedMoved(now, from, *m.FeedMoved, out) })
	case m.FeedReplica != nil:
		e.atAddress(now, m.FeedReplica.Key, out, func(d *dispatcher.Dispatcher) { d.StoreReplica(from, *m.FeedReplica) })
	case m.FeedEnded != nil:
		e.atAddress(now, m.FeedEnded.Key, out, func(d *dispatcher.Dispatcher) { d.DeleteReplica(*m.FeedEnded) })
	}
}

func (e *Engine) atAddress(now cactuspin.Time, k cactuspin.FeedKey, out *cactuspin.Actions, f func(*dispatcher.Dispatcher)) {
	if sv := e.View().At(k.Service); sv != nil {
		e.withShard(now, sv.Service.ID, out, f)
	}
}

// execute runs what another host passed on. A host that does not know the
// service says so: nothing ran.
func (e *Engine) execute(now cactuspin.Time, from cactuspin.HostID, x cactuspin.Execute, out *cactuspin.Actions) {
	sv := e.View().At(x.Request.Service)
	if sv == nil {
		out.Peer(from, cactuspin.PeerMessage{ExecuteResult: &cactuspin.ExecuteResult{Exchange: x.Exchange, NotRun: true}})
		return
	}
	e.withShard(now, sv.Service.ID, out, func(d *dispatcher.Dispatcher) { d.Execute(now, from, x, out) })
}

func (e *Engine) everyShard(f func(*dispatcher.Dispatcher)) {
	for _, s := range e.allShards() {
		s.Lock()
		f(s.dispatcher)
		s.Unlock()
	}
}

func (e *Engine) hear(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Heartbeat, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	want := cactuspin.SyncRequest{
		Bundle: h.Version > e.adopter.Version(),
		List:   h.Revision > e.list.Revision,
	}
	if want.Bundle || want.List {
		out.Peer(from, cactuspin.PeerMessage{SyncRequest: &want})
	}
	e.loads.set(from, h.Loads)
	if e.prober.Hear(now, from, h) {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "host answers", Host: from})
		e.renew(now, out)
	}
}

// give sends a peer what it lacks.
func (e *Engine) give(to cactuspin.HostID, w cactuspin.SyncRequest, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.adopter.Signed(); w.Bundle && s != nil {
		out.Peer(to, cactuspin.PeerMessage{Bundle: s})
	}
	if w.List && e.list.Revision > 0 {
		list := e.list
		out.Peer(to, cactuspin.PeerMessage{List: &list})
	}
}

// tickMembers finds hosts that fell silent and sends heartbeats.
func (e *Engine) tickMembers(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, gone := e.prober.Tick(now)
	for _, i := range e.prober.ExpireInherits(now) {
		e.everyShard(func(d *dispatcher.Dispatcher) { d.EndAuthority(i) })
	}
	if changed {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "a host fell silent"})
		e.renew(now, out)
	}
	for _, h := range gone {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "host is gone", Host: h})
		e.everyShard(func(d *dispatcher.Dispatcher) { d.HostFailed(now, h, out) })
	}
	e.tickBundle(now, out)
	due := e.prober.Due(now)
	if len(due) == 0 {
		return
	}
	beat := e.heartbeat(now)
	for _, h := range due {
		out.Peer(h, cactuspin.PeerMessage{Heartbeat: &beat})
	}
}

func (e *Engine) heartbeat(now cactuspin.Time) cactuspin.Heartbeat {
	h := e.prober.Heartbeat()
	h.Version = e.adopter.Version()
	h.Revision = e.list.Revision
	if h.Leaving {
		return h
	}
	for _, s := range e.allShards() {
		s.Lock()
		free := s.dispatcher.Free(now)
		usable := s.dispatcher.UsableTargets()
		s.Unlock()
		h.Loads = append(h.Loads, cactuspin.Load{
			Service: s.id,
			Free:    uint16(min(free, maxFree)),
			Targets: uint16(min(usable, maxFree)),
		})
	}
	e.loads.set(e.cfg.Self, h.Loads)
	return h
}

// maxFree is the largest capacity that a heartbeat can state.
const maxFree = 1<<16 - 1

// renew builds the view again and gives it to all services. The caller holds mu.
func (e *Engine) renew(now cactuspin.Time, out *cactuspin.Actions) {
	v := e.buildView()
	e.view.Store(v)
	// Services of which this host owns no target get a shard when a request comes.
	for _, id := range slices.Sorted(maps.Keys(v.Services())) {
		if len(v.Service(id).Owned) > 0 {
			e.shard(now, id, out)
		}
	}
	b := e.adopter.Bundle()
	for _, s := range e.allShards() {
		s.Lock()
		if b != nil {
			s.dispatcher.Configure(now, v, b.Refusal.RetryAfter, out)
		} else {
			s.dispatcher.Configure(now, v, 0, out)
		}
		s.Unlock()
	}
}

func (e *Engine) buildView() *placer.View {
	leaving := make(map[cactuspin.Target]bool)
	for _, t := range e.list.Targets {
		if t.State == cactuspin.StateLeaving {
			leaving[t.Address] = true
		}
	}
	return placer.NewView(placer.ViewConfig{
		Self:    e.cfg.Self,
		Zone:    e.cfg.Zone,
		Members: e.prober.Members(),
		Heirs:   e.prober.Heirs(),
		Bundle:  e.adopter.Bundle(),
		Leaving: leaving,
	})
}

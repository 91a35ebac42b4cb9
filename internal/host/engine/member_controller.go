package engine

import (
	"maps"
	"slices"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Peer handles a message from another host.
func (e *Engine) Peer(now cactuspin.Time, from cactuspin.HostID, m cactuspin.PeerMessage, out *cactuspin.Actions) {
	e.detectPause(now, out)
	switch {
	case m.Heartbeat != nil:
		e.handleHeartbeat(now, from, *m.Heartbeat, out)
	case m.Relay != nil:
		e.handleRequest(now, *m.Relay, out)
	case m.Acknowledgement != nil:
		e.handleAcknowledgement(now, *m.Acknowledgement, out)
	case m.Execute != nil:
		e.execute(now, from, *m.Execute, out)
	case m.ExecuteResult != nil:
		e.forEachShard(func(d *dispatcher.Dispatcher) { d.ExecuteResult(now, *m.ExecuteResult, out) })
	case m.SyncRequest != nil:
		e.handleSyncRequest(from, *m.SyncRequest, out)
	case m.Bundle != nil:
		e.Platform(now, cactuspin.PlatformEvent{Bundle: m.Bundle}, out)
	case m.List != nil:
		e.Platform(now, cactuspin.PlatformEvent{List: m.List}, out)
	case m.Probe != nil:
		e.answerProbe(from, *m.Probe, out)
	case m.ProbeAnswer != nil:
		e.handleProbeAnswer(now, from, *m.ProbeAnswer, out)
	case m.Handover != nil:
		e.handleHandover(now, from, *m.Handover, out)
	case m.HandoverResult != nil:
		e.handleHandoverResult(now, from, *m.HandoverResult, out)
	default:
		e.handleFeedMessage(now, from, m, out)
	}
}

func (e *Engine) handleFeedMessage(now cactuspin.Time, from cactuspin.HostID, m cactuspin.PeerMessage, out *cactuspin.Actions) {
	switch {
	case m.FeedMove != nil:
		e.withShardAt(now, m.FeedMove.Key, out, func(d *dispatcher.Dispatcher) { d.TakeOverFeed(now, from, *m.FeedMove, out) })
	case m.FeedMoved != nil:
		e.withShardAt(now, m.FeedMoved.Key, out, func(d *dispatcher.Dispatcher) { d.FeedMoved(now, from, *m.FeedMoved, out) })
	case m.FeedReplica != nil:
		e.withShardAt(now, m.FeedReplica.Key, out, func(d *dispatcher.Dispatcher) { d.StoreReplica(from, *m.FeedReplica) })
	case m.FeedEnded != nil:
		e.withShardAt(now, m.FeedEnded.Key, out, func(d *dispatcher.Dispatcher) { d.DeleteReplica(*m.FeedEnded) })
	}
}

func (e *Engine) withShardAt(now cactuspin.Time, k cactuspin.FeedKey, out *cactuspin.Actions, f func(*dispatcher.Dispatcher)) {
	if sv := e.View().ServiceAt(k.Service); sv != nil {
		e.withShard(now, sv.Service.ID, out, f)
	}
}

// execute handles a request that another host passed on for execution. If this
// host does not know the service, it answers that the request did not run.
func (e *Engine) execute(now cactuspin.Time, from cactuspin.HostID, x cactuspin.Execute, out *cactuspin.Actions) {
	sv := e.View().ServiceAt(x.Request.Service)
	if sv == nil {
		out.Peer(from, cactuspin.PeerMessage{ExecuteResult: &cactuspin.ExecuteResult{Exchange: x.Exchange, NotRun: true}})
		return
	}
	e.withShard(now, sv.Service.ID, out, func(d *dispatcher.Dispatcher) { d.Execute(now, from, x, out) })
}

func (e *Engine) forEachShard(f func(*dispatcher.Dispatcher)) {
	for _, s := range e.allShards() {
		s.Lock()
		f(s.dispatcher)
		s.Unlock()
	}
}

func (e *Engine) handleHeartbeat(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Heartbeat, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	request := cactuspin.SyncRequest{
		Bundle: h.Version > e.adopter.Version(),
		List:   h.Revision > e.list.Revision,
	}
	if request.Bundle || request.List {
		out.Peer(from, cactuspin.PeerMessage{SyncRequest: &request})
	}
	e.loads.set(from, h.Loads)
	if e.detector.HandleHeartbeat(now, from, h) {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "host answers", Host: from})
		e.rebuildView(now, out)
	}
}

// handleSyncRequest sends a peer the bundle and the list that it asked for.
func (e *Engine) handleSyncRequest(to cactuspin.HostID, w cactuspin.SyncRequest, out *cactuspin.Actions) {
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

// tickMembers detects unresponsive hosts and sends the heartbeats that are due.
func (e *Engine) tickMembers(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, dead := e.detector.Tick(now)
	for _, i := range e.detector.ExpireTakeovers(now) {
		e.forEachShard(func(d *dispatcher.Dispatcher) { d.EndAuthority(i) })
	}
	if changed {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "a host fell silent"})
		e.rebuildView(now, out)
	}
	for _, h := range dead {
		out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "host is gone", Host: h})
		e.forEachShard(func(d *dispatcher.Dispatcher) { d.HostFailed(now, h, out) })
	}
	e.tickBundle(now, out)
	due := e.detector.HeartbeatsDue(now)
	if len(due) == 0 {
		return
	}
	heartbeat := e.heartbeat(now)
	for _, h := range due {
		out.Peer(h, cactuspin.PeerMessage{Heartbeat: &heartbeat})
	}
}

func (e *Engine) heartbeat(now cactuspin.Time) cactuspin.Heartbeat {
	h := e.detector.Heartbeat()
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
			Free:    uint16(min(free, maxLoadValue)),
			Targets: uint16(min(usable, maxLoadValue)),
		})
	}
	e.loads.set(e.cfg.Self, h.Loads)
	return h
}

// maxLoadValue is the largest value that fits into the fields of a Load.
const maxLoadValue = 1<<16 - 1

// rebuildView builds a new view and passes it to the dispatchers of all services.
// The caller holds mu.
func (e *Engine) rebuildView(now cactuspin.Time, out *cactuspin.Actions) {
	v := e.buildView()
	e.view.Store(v)
	// Services without a target owned by this host get a shard on their first
	// request.
	for _, id := range slices.Sorted(maps.Keys(v.Services())) {
		if len(v.Service(id).OwnedTargets) > 0 {
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
		Self:       e.cfg.Self,
		Zone:       e.cfg.Zone,
		Members:    e.detector.Members(),
		Successors: e.detector.Successors(),
		Bundle:     e.adopter.Bundle(),
		Leaving:    leaving,
	})
}

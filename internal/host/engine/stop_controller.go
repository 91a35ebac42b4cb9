package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Times of a planned stop.
const (
	DefaultStopLimit = 30 * time.Second
	// spreadTime is how long news of this host takes to reach all others.
	spreadTime = 1 * time.Second
	// lingerLimit is how long a host that has handed over goes on redirecting while
	// the platform's list still calls it live, and the fabric hands it packets.
	lingerLimit = 6 * time.Second
	// handoverRetry is the time between two tries to hand over.
	handoverRetry = 500 * time.Millisecond
)

// maxHeld bounds the requests that wait for a handover to end.
const maxHeld = 4096

// stopPhase is a step of a planned stop.
type stopPhase uint8

const (
	phaseServing stopPhase = iota
	// phaseDraining gives observations to other hosts and still accepts requests.
	phaseDraining
	// phaseHanding waits until the heir has the records. Nothing is accepted.
	phaseHanding
	// phaseRedirecting sends what still arrives to the heir.
	phaseRedirecting
)

// stopController leads a host through a planned stop.
type stopController struct {
	phase stopPhase
	since cactuspin.Time
	limit cactuspin.Time
	heir  cactuspin.HostID
	// refused are hosts that declined the handover.
	refused []cactuspin.HostID
	sent    cactuspin.Time
	parts   []cactuspin.Handover
	// waiting holds the incarnations that the heir has not confirmed.
	waiting map[cactuspin.Incarnation]bool
	held    []routed
	// left is when the platform's list stopped calling this host live.
	left cactuspin.Time
}

// Stop begins a planned stop.
func (e *Engine) Stop(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop.phase != phaseServing {
		return
	}
	e.stop.limit = now.Add(e.cfg.StopLimit)
	e.enter(now, phaseDraining, "draining", out)
	e.prober.Leave()
	e.renew(now, out)
	beat := e.heartbeat(now)
	for _, m := range e.View().Members {
		if m.Host != e.cfg.Self {
			out.Peer(m.Host, cactuspin.PeerMessage{Heartbeat: &beat})
		}
	}
}

func (e *Engine) enter(now cactuspin.Time, p stopPhase, why string, out *cactuspin.Actions) {
	e.stop.phase = p
	e.stop.since = now
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHandover, Reason: why, Host: e.stop.heir})
}

// tickStop moves a planned stop on.
func (e *Engine) tickStop(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stop
	if s.phase == phaseServing {
		return
	}
	if now >= s.limit {
		out.Stopped = true
		return
	}
	spread := now.Sub(s.since) >= spreadTime
	switch s.phase {
	case phaseDraining:
		if spread && (e.feeds() == 0 || s.limit.Sub(now) < e.cfg.StopLimit/2) {
			e.beginHandover(now, out)
		}
	case phaseHanding:
		if now.Sub(s.sent) >= handoverRetry {
			e.sendParts(now, out)
		}
	case phaseRedirecting:
		if spread && e.idle() && e.unlisted(now) {
			out.Stopped = true
		}
	case phaseServing:
	}
}

// unlisted tells whether the fabric has had time to learn that this host leaves.
// The caller holds mu.
func (e *Engine) unlisted(now cactuspin.Time) bool {
	s := &e.stop
	live := slices.ContainsFunc(e.list.Hosts, func(h cactuspin.ListedHost) bool {
		return h.ID == e.cfg.Self && h.State != cactuspin.StateLeaving
	})
	if live {
		return now.Sub(s.since) >= lingerLimit
	}
	if s.left == 0 {
		s.left = now
	}
	return now.Sub(s.left) >= spreadTime
}

func (e *Engine) feeds() (n int) {
	e.everyShard(func(d *dispatcher.Dispatcher) { n += d.Feeds() })
	return n
}

func (e *Engine) idle() bool {
	idle := true
	e.everyShard(func(d *dispatcher.Dispatcher) { idle = idle && d.Idle() })
	return idle
}

// beginHandover ends this host's authority and sends its records to one heir. A
// second heir is only taken when the first has declined: one that is silent may
// have taken over.
func (e *Engine) beginHandover(now cactuspin.Time, out *cactuspin.Actions) {
	s := &e.stop
	h, ok := e.pickHeir()
	if !ok {
		e.enter(now, phaseRedirecting, "no host to hand over to", out)
		return
	}
	s.heir = h
	s.waiting = make(map[cactuspin.Incarnation]bool)
	mine := []cactuspin.Incarnation{e.cfg.Incarnation}
	for _, i := range e.prober.Inherits() {
		mine = append(mine, i.Incarnation)
	}
	for _, i := range mine {
		s.waiting[i] = true
		s.parts = append(s.parts, e.collect(now, i, h)...)
	}
	e.enter(now, phaseHanding, "handing over", out)
	e.sendParts(now, out)
}

// declined takes the next heir. The caller holds mu.
func (e *Engine) declined(now cactuspin.Time, out *cactuspin.Actions) {
	s := &e.stop
	s.refused = append(s.refused, s.heir)
	h, ok := e.pickHeir()
	s.heir = 0
	if !ok {
		e.enter(now, phaseRedirecting, "no host to hand over to", out)
		return
	}
	s.heir = h
	e.everyShard(func(d *dispatcher.Dispatcher) { d.SetSuccessor(h) })
	e.enter(now, phaseHanding, "handing over to another", out)
	e.sendParts(now, out)
}

// collect takes the parts of one incarnation from all services and numbers them.
func (e *Engine) collect(now cactuspin.Time, i cactuspin.Incarnation, heir cactuspin.HostID) (parts []cactuspin.Handover) {
	e.everyShard(func(d *dispatcher.Dispatcher) {
		d.SetSuccessor(heir)
		parts = append(parts, d.HandOver(now, i)...)
	})
	if len(parts) == 0 {
		parts = append(parts, cactuspin.Handover{Incarnation: i})
	}
	for x := range parts {
		parts[x].Part = uint32(x)
		parts[x].Parts = uint32(len(parts))
	}
	return parts
}

func (e *Engine) pickHeir() (h cactuspin.HostID, ok bool) {
	var cs []placer.Candidate
	for _, m := range e.View().Members {
		if m.Host == e.cfg.Self || m.Leaving || slices.Contains(e.stop.refused, m.Host) {
			continue
		}
		w := 1.0
		if m.Zone == e.cfg.Zone {
			w = sameZoneWeight
		}
		cs = append(cs, placer.Candidate{Host: m.Host, Zone: m.Zone, Weight: w})
	}
	return placer.Pick(uint64(e.cfg.Incarnation), cs, nil)
}

// sameZoneWeight makes an heir in the own zone far more likely than another.
const sameZoneWeight = 1000

func (e *Engine) sendParts(now cactuspin.Time, out *cactuspin.Actions) {
	e.stop.sent = now
	for i := range e.stop.parts {
		p := e.stop.parts[i]
		if e.stop.waiting[p.Incarnation] {
			out.Peer(e.stop.heir, cactuspin.PeerMessage{Handover: &p})
		}
	}
}

// handedOver takes the heir's confirmation.
func (e *Engine) handedOver(now cactuspin.Time, from cactuspin.HostID, m cactuspin.HandoverResult, out *cactuspin.Actions) {
	e.mu.Lock()
	s := &e.stop
	if s.phase != phaseHanding || from != s.heir {
		e.mu.Unlock()
		return
	}
	if m.Declined {
		e.declined(now, out)
		e.mu.Unlock()
		return
	}
	delete(s.waiting, m.Incarnation)
	if len(s.waiting) > 0 {
		e.mu.Unlock()
		return
	}
	s.parts = nil
	held := s.held
	s.held = nil
	e.enter(now, phaseRedirecting, "handed over", out)
	e.mu.Unlock()
	for i := range held {
		e.relay(&held[i], from, "authority was handed over", out)
	}
}

// hold keeps a request for this host's authority while that is being handed
// over, and sends it on afterwards. It returns false while this host serves.
func (e *Engine) hold(r *routed, out *cactuspin.Actions) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.stop.phase {
	case phaseHanding:
		if len(e.stop.held) < maxHeld {
			e.stop.held = append(e.stop.held, *r)
		}
		return true
	case phaseRedirecting:
		if e.stop.heir == 0 {
			return false
		}
		return e.relay(r, e.stop.heir, "authority was handed over", out)
	case phaseServing, phaseDraining:
	}
	return false
}

// takeOver collects the parts of another host's authority. With the last one
// this host holds it and says so in its heartbeats.
func (e *Engine) takeOver(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Handover, out *cactuspin.Actions) {
	if h.Parts == 0 {
		e.withShard(now, h.Service, out, func(d *dispatcher.Dispatcher) { d.UpdateRecords(h) })
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prober.Leaving() && !e.inherited(h.Incarnation) {
		// A host that leaves stays one that leaves, so this holds for good.
		delete(e.parts, h.Incarnation)
		out.Peer(from, cactuspin.PeerMessage{HandoverResult: &cactuspin.HandoverResult{
			Incarnation: h.Incarnation,
			Declined:    true,
		}})
		return
	}
	if !e.inherited(h.Incarnation) {
		if !e.keepPart(h) {
			return
		}
		e.inherit(now, from, h.Incarnation, out)
	}
	out.Peer(from, cactuspin.PeerMessage{HandoverResult: &cactuspin.HandoverResult{Incarnation: h.Incarnation}})
}

func (e *Engine) inherited(i cactuspin.Incarnation) bool {
	for _, x := range e.prober.Inherits() {
		if x.Incarnation == i {
			return true
		}
	}
	return false
}

// keepPart stores a part and tells whether all have arrived.
func (e *Engine) keepPart(h cactuspin.Handover) bool {
	if e.parts[h.Incarnation] == nil {
		e.parts[h.Incarnation] = make(map[uint32]cactuspin.Handover)
	}
	e.parts[h.Incarnation][h.Part] = h
	return uint32(len(e.parts[h.Incarnation])) >= h.Parts
}

func (e *Engine) inherit(now cactuspin.Time, from cactuspin.HostID, i cactuspin.Incarnation, out *cactuspin.Actions) {
	services := make(map[cactuspin.ServiceID][]cactuspin.Handover)
	for _, p := range e.parts[i] {
		if p.Service != 0 {
			services[p.Service] = append(services[p.Service], p)
		}
	}
	delete(e.parts, i)
	for id := range e.View().Services() {
		if services[id] == nil {
			services[id] = []cactuspin.Handover{{Incarnation: i, Service: id}}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(services)) {
		hs := services[id]
		e.withShard(now, id, out, func(d *dispatcher.Dispatcher) { d.TakeOver(now, hs) })
	}
	until := now.Add(2 * e.cfg.CookieLifetime).Seconds()
	e.prober.Inherit(cactuspin.Takeover{Host: from, Incarnation: i, Until: until})
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHandover, Reason: "took over the authority", Host: from})
	e.renew(now, out)
}

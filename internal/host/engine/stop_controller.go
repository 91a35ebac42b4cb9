package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Time limits of a planned stop.
const (
	DefaultStopLimit = 30 * time.Second
	// propagationTime is how long a state change of this host takes to reach all
	// other hosts.
	propagationTime = 1 * time.Second
	// redirectLimit is how long a host that has handed over keeps relaying requests
	// while the platform's list still shows it as live and the fabric still
	// delivers packets to it.
	redirectLimit = 6 * time.Second
	// handoverRetryInterval is the time between two attempts to hand over.
	handoverRetryInterval = 500 * time.Millisecond
)

// maxHeldRequests is the maximum number of requests that wait for the end of a
// handover.
const maxHeldRequests = 4096

// stopPhase is a phase of a planned stop.
type stopPhase uint8

const (
	phaseServing stopPhase = iota
	// phaseDraining moves observations to other hosts and still accepts requests.
	phaseDraining
	// phaseHandingOver waits until the successor has the records. No request is
	// accepted.
	phaseHandingOver
	// phaseRedirecting relays the requests that still arrive to the successor.
	phaseRedirecting
)

// stopController holds the state of a planned stop.
type stopController struct {
	phase      stopPhase
	phaseStart cactuspin.Time
	deadline   cactuspin.Time
	successor  cactuspin.HostID
	// declined lists the hosts that declined the handover.
	declined []cactuspin.HostID
	lastSent cactuspin.Time
	parts    []cactuspin.Handover
	// unconfirmed holds the incarnations whose handover the successor has not
	// confirmed.
	unconfirmed map[cactuspin.Incarnation]bool
	held        []routedRequest
	// unlistedSince is the time when the platform's list stopped showing this host
	// as live.
	unlistedSince cactuspin.Time
}

// Stop begins a planned stop.
func (e *Engine) Stop(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop.phase != phaseServing {
		return
	}
	e.stop.deadline = now.Add(e.cfg.StopLimit)
	e.enterPhase(now, phaseDraining, "draining", out)
	e.detector.Leave()
	e.rebuildView(now, out)
	heartbeat := e.heartbeat(now)
	for _, m := range e.View().Members {
		if m.Host != e.cfg.Self {
			out.Peer(m.Host, cactuspin.PeerMessage{Heartbeat: &heartbeat})
		}
	}
}

func (e *Engine) enterPhase(now cactuspin.Time, p stopPhase, reason string, out *cactuspin.Actions) {
	e.stop.phase = p
	e.stop.phaseStart = now
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHandover, Reason: reason, Host: e.stop.successor})
}

// tickStop advances a planned stop.
func (e *Engine) tickStop(now cactuspin.Time, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stop
	if s.phase == phaseServing {
		return
	}
	if now >= s.deadline {
		out.Stopped = true
		return
	}
	propagated := now.Sub(s.phaseStart) >= propagationTime
	switch s.phase {
	case phaseDraining:
		if propagated && (e.feedCount() == 0 || s.deadline.Sub(now) < e.cfg.StopLimit/2) {
			e.beginHandover(now, out)
		}
	case phaseHandingOver:
		if now.Sub(s.lastSent) >= handoverRetryInterval {
			e.sendParts(now, out)
		}
	case phaseRedirecting:
		if propagated && e.idle() && e.unlisted(now) {
			out.Stopped = true
		}
	case phaseServing:
	}
}

// unlisted reports whether the fabric has had time to learn that this host is
// leaving. The caller holds mu.
func (e *Engine) unlisted(now cactuspin.Time) bool {
	s := &e.stop
	live := slices.ContainsFunc(e.list.Hosts, func(h cactuspin.ListedHost) bool {
		return h.ID == e.cfg.Self && h.State != cactuspin.StateLeaving
	})
	if live {
		return now.Sub(s.phaseStart) >= redirectLimit
	}
	if s.unlistedSince == 0 {
		s.unlistedSince = now
	}
	return now.Sub(s.unlistedSince) >= propagationTime
}

func (e *Engine) feedCount() (n int) {
	e.forEachShard(func(d *dispatcher.Dispatcher) { n += d.Feeds() })
	return n
}

func (e *Engine) idle() bool {
	idle := true
	e.forEachShard(func(d *dispatcher.Dispatcher) { idle = idle && d.Idle() })
	return idle
}

// beginHandover ends this host's authority and sends its records to a successor.
// Another successor is picked only if the first one declines: one that does not
// answer may have taken over.
func (e *Engine) beginHandover(now cactuspin.Time, out *cactuspin.Actions) {
	s := &e.stop
	h, ok := e.pickSuccessor()
	if !ok {
		e.enterPhase(now, phaseRedirecting, "no host to hand over to", out)
		return
	}
	s.successor = h
	s.unconfirmed = make(map[cactuspin.Incarnation]bool)
	incarnations := []cactuspin.Incarnation{e.cfg.Incarnation}
	for _, i := range e.detector.Takeovers() {
		incarnations = append(incarnations, i.Incarnation)
	}
	for _, i := range incarnations {
		s.unconfirmed[i] = true
		s.parts = append(s.parts, e.collectParts(now, i, h)...)
	}
	e.enterPhase(now, phaseHandingOver, "handing over", out)
	e.sendParts(now, out)
}

// handleDecline picks another successor after one has declined. The caller holds
// mu.
func (e *Engine) handleDecline(now cactuspin.Time, out *cactuspin.Actions) {
	s := &e.stop
	s.declined = append(s.declined, s.successor)
	h, ok := e.pickSuccessor()
	s.successor = 0
	if !ok {
		e.enterPhase(now, phaseRedirecting, "no host to hand over to", out)
		return
	}
	s.successor = h
	e.forEachShard(func(d *dispatcher.Dispatcher) { d.SetSuccessor(h) })
	e.enterPhase(now, phaseHandingOver, "handing over to another", out)
	e.sendParts(now, out)
}

// collectParts collects the parts of one incarnation from all services and
// numbers them.
func (e *Engine) collectParts(now cactuspin.Time, i cactuspin.Incarnation, successor cactuspin.HostID) (parts []cactuspin.Handover) {
	e.forEachShard(func(d *dispatcher.Dispatcher) {
		d.SetSuccessor(successor)
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

func (e *Engine) pickSuccessor() (h cactuspin.HostID, ok bool) {
	var cs []placer.Candidate
	for _, m := range e.View().Members {
		if m.Host == e.cfg.Self || m.Leaving || slices.Contains(e.stop.declined, m.Host) {
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

// sameZoneWeight makes a successor in this host's zone far more likely than one
// in another zone.
const sameZoneWeight = 1000

func (e *Engine) sendParts(now cactuspin.Time, out *cactuspin.Actions) {
	e.stop.lastSent = now
	for i := range e.stop.parts {
		p := e.stop.parts[i]
		if e.stop.unconfirmed[p.Incarnation] {
			out.Peer(e.stop.successor, cactuspin.PeerMessage{Handover: &p})
		}
	}
}

// handleHandoverResult handles the successor's answer to a handover.
func (e *Engine) handleHandoverResult(now cactuspin.Time, from cactuspin.HostID, m cactuspin.HandoverResult, out *cactuspin.Actions) {
	e.mu.Lock()
	s := &e.stop
	if s.phase != phaseHandingOver || from != s.successor {
		e.mu.Unlock()
		return
	}
	if m.Declined {
		e.handleDecline(now, out)
		e.mu.Unlock()
		return
	}
	delete(s.unconfirmed, m.Incarnation)
	if len(s.unconfirmed) > 0 {
		e.mu.Unlock()
		return
	}
	s.parts = nil
	held := s.held
	s.held = nil
	e.enterPhase(now, phaseRedirecting, "handed over", out)
	e.mu.Unlock()
	for i := range held {
		e.relay(&held[i], from, "authority was handed over", out)
	}
}

// holdOrRedirect holds a request for this host's authority during the handover
// and relays it to the successor afterwards. It returns false if there is no
// handover.
func (e *Engine) holdOrRedirect(r *routedRequest, out *cactuspin.Actions) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.stop.phase {
	case phaseHandingOver:
		if len(e.stop.held) < maxHeldRequests {
			e.stop.held = append(e.stop.held, *r)
		}
		return true
	case phaseRedirecting:
		if e.stop.successor == 0 {
			return false
		}
		return e.relay(r, e.stop.successor, "authority was handed over", out)
	case phaseServing, phaseDraining:
	}
	return false
}

// handleHandover collects the parts of another host's authority. With the last
// part this host takes over the authority and reports that in its heartbeats. A
// message with Parts 0 is the late outcome of a request that was in progress at
// the handover.
func (e *Engine) handleHandover(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Handover, out *cactuspin.Actions) {
	if h.Parts == 0 {
		e.withShard(now, h.Service, out, func(d *dispatcher.Dispatcher) { d.UpdateRecords(h) })
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.detector.Leaving() && !e.hasTakeover(h.Incarnation) {
		// A leaving host never returns to service, so it declines permanently.
		delete(e.parts, h.Incarnation)
		out.Peer(from, cactuspin.PeerMessage{HandoverResult: &cactuspin.HandoverResult{
			Incarnation: h.Incarnation,
			Declined:    true,
		}})
		return
	}
	if !e.hasTakeover(h.Incarnation) {
		if !e.addPart(h) {
			return
		}
		e.completeTakeover(now, from, h.Incarnation, out)
	}
	out.Peer(from, cactuspin.PeerMessage{HandoverResult: &cactuspin.HandoverResult{Incarnation: h.Incarnation}})
}

func (e *Engine) hasTakeover(i cactuspin.Incarnation) bool {
	for _, x := range e.detector.Takeovers() {
		if x.Incarnation == i {
			return true
		}
	}
	return false
}

// addPart stores a part and reports whether all parts have been received.
func (e *Engine) addPart(h cactuspin.Handover) bool {
	if e.parts[h.Incarnation] == nil {
		e.parts[h.Incarnation] = make(map[uint32]cactuspin.Handover)
	}
	e.parts[h.Incarnation][h.Part] = h
	return uint32(len(e.parts[h.Incarnation])) >= h.Parts
}

func (e *Engine) completeTakeover(now cactuspin.Time, from cactuspin.HostID, i cactuspin.Incarnation, out *cactuspin.Actions) {
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
	e.detector.AddTakeover(cactuspin.Takeover{Host: from, Incarnation: i, Until: until})
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHandover, Reason: "took over the authority", Host: from})
	e.rebuildView(now, out)
}

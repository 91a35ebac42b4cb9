package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// suspicionTime is how long a target that left packets unanswered gets no new
	// flows if neither a sign of life nor a probe tells more.
	suspicionTime = time.Second
	// probeInterval is the time between probes of a target that is down.
	probeInterval = 500 * time.Millisecond
	// trustTime is how long unanswered packets count for nothing after a target
	// has answered a probe.
	trustTime = time.Second
)

// condition is what a host believes of a target's life.
type condition uint8

const (
	// healthy targets answer, as far as is known.
	healthy condition = iota
	// suspect targets left packets unanswered and are being probed.
	suspect
	// down targets also left probes unanswered.
	down
)

// health is the evidence for a target's life. It is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	condition condition
	// alive is the last sign of life, missed the last unanswered packet.
	alive, missed cactuspin.Time
	trusted       cactuspin.Time
	probeAt       cactuspin.Time
}

// miss takes word that a packet sent at sent had no answer until now. It
// reports whether the target became suspect.
func (h *health) miss(now, sent cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.alive >= sent || now < h.trusted {
		return false
	}
	h.missed = now
	if h.condition != healthy {
		return false
	}
	h.condition, h.probeAt = suspect, now
	return true
}

// doubt makes a target suspect that has shown no life since a moment, without
// a packet of its own.
func (h *health) doubt(now, since cactuspin.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.condition == healthy && h.alive < since && now >= h.trusted {
		h.condition, h.missed, h.probeAt = suspect, now, now
	}
}

// live takes a sign of life. It reports whether the target was down.
func (h *health) live(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.condition == down
	h.alive, h.condition = now, healthy
	return was
}

// probe tells whether the target is to be probed now.
func (h *health) probe(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.condition == healthy || now < h.probeAt {
		return false
	}
	h.probeAt = now.Add(probeInterval)
	return true
}

// probed takes the result of a probe that began at began. It reports whether
// the belief changed between down and not down.
func (h *health) probed(now, began cactuspin.Time, answered bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		was := h.condition == down
		h.condition, h.trusted = healthy, now.Add(trustTime)
		return was
	}
	if h.condition != suspect || h.alive >= began {
		return false
	}
	h.condition = down
	return true
}

// avoid tells whether new flows should go elsewhere.
func (h *health) avoid(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == down || (h.condition == suspect && now.Sub(h.missed) < suspicionTime)
}

// settled tells whether nothing speaks against the target's life.
func (h *health) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == healthy
}

func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == down
}

// Probe asks for a probe of a target: whether its address takes a connection.
type Probe struct {
	Target  cactuspin.TargetID
	Address netip.AddrPort
}

// DueProbes returns the probes that are due.
func (s *Balancer) DueProbes(now cactuspin.Time) (due []Probe) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, t := range s.active.list() {
		if t.goneAt == 0 && t.health.probe(now) {
			due = append(due, Probe{Target: t.registered.ID, Address: t.registered.Address})
		}
	}
	return due
}

// RecordProbe takes the result of a probe. It reports whether the target went down
// or came back.
func (s *Balancer) RecordProbe(now, began cactuspin.Time, id cactuspin.TargetID, answered bool) (changed bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.targets[id]
	if t == nil || !t.health.probed(now, began, answered) {
		return false
	}
	if !answered {
		// A cut-off zone shows first at one of its targets.
		for _, x := range t.zone.targets {
			x.health.doubt(now, began)
			s.active.add(x)
		}
	}
	return true
}

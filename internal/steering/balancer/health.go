package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// suspectTimeout is how long a target that left packets unanswered gets no new
	// flows if neither its packets nor a probe yield a result.
	suspectTimeout = time.Second
	// probeInterval is the interval between probes of a target that is suspect or
	// down.
	probeInterval = 500 * time.Millisecond
	// probeTrustTime is how long unanswered packets are ignored after a target has
	// answered a probe.
	probeTrustTime = time.Second
)

// condition is the health of a target as seen by this host.
type condition uint8

const (
	// healthy targets answer, as far as this host knows.
	healthy condition = iota
	// suspect targets left packets unanswered and are being probed.
	suspect
	// down targets also left probes unanswered.
	down
)

// health tracks the condition of a target. It is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	condition condition
	// lastAlive is the time of the last packet that proves the target alive,
	// lastMissed the time at which a packet was last found unanswered.
	lastAlive, lastMissed cactuspin.Time
	trustedUntil          cactuspin.Time
	nextProbe             cactuspin.Time
}

// recordMiss records that a packet sent at sent was not answered until now. It
// reports whether the target became suspect.
func (h *health) recordMiss(now, sent cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastAlive >= sent || now < h.trustedUntil {
		return false
	}
	h.lastMissed = now
	if h.condition != healthy {
		return false
	}
	h.condition, h.nextProbe = suspect, now
	return true
}

// suspectUnlessAlive marks a healthy target as suspect if nothing has proved it
// alive since a point in time, although none of its packets was unanswered.
func (h *health) suspectUnlessAlive(now, since cactuspin.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.condition == healthy && h.lastAlive < since && now >= h.trustedUntil {
		h.condition, h.lastMissed, h.nextProbe = suspect, now, now
	}
}

// recordAlive records that the target has answered. It reports whether the target
// was down.
func (h *health) recordAlive(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasDown := h.condition == down
	h.lastAlive, h.condition = now, healthy
	return wasDown
}

// takeProbe reports whether a probe of the target is due, and schedules the next
// one.
func (h *health) takeProbe(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.condition == healthy || now < h.nextProbe {
		return false
	}
	h.nextProbe = now.Add(probeInterval)
	return true
}

// recordProbe records the result of a probe that began at began. It reports
// whether the target went down or came back.
func (h *health) recordProbe(now, began cactuspin.Time, answered bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		wasDown := h.condition == down
		h.condition, h.trustedUntil = healthy, now.Add(probeTrustTime)
		return wasDown
	}
	if h.condition != suspect || h.lastAlive >= began {
		return false
	}
	h.condition = down
	return true
}

// avoided reports whether new flows should go to other targets.
func (h *health) avoided(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == down || (h.condition == suspect && now.Sub(h.lastMissed) < suspectTimeout)
}

// isHealthy reports whether the target is neither suspect nor down.
func (h *health) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == healthy
}

func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == down
}

// Probe is a request to probe a target by connecting to its address.
type Probe struct {
	Target  cactuspin.TargetID
	Address netip.AddrPort
}

// DueProbes returns the probes that are due now and schedules the next ones.
func (b *Balancer) DueProbes(now cactuspin.Time) (due []Probe) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, t := range b.active.list() {
		if t.removedAt == 0 && t.health.takeProbe(now) {
			due = append(due, Probe{Target: t.registered.ID, Address: t.registered.Address})
		}
	}
	return due
}

// RecordProbe records the result of a probe. It reports whether the target went
// down or came back.
func (b *Balancer) RecordProbe(now, began cactuspin.Time, id cactuspin.TargetID, answered bool) (changed bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	t := b.targets[id]
	if t == nil || !t.health.recordProbe(now, began, answered) {
		return false
	}
	if !answered {
		// If a whole zone fails, this shows first at one of its targets, so the
		// others are probed too.
		for _, x := range t.zone.targets {
			x.health.suspectUnlessAlive(now, began)
			b.active.add(x)
		}
	}
	return true
}

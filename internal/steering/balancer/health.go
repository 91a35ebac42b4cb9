package balancer

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
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
	// silentProbesUntilDead is the number of silent probes in a row after which a
	// target counts as dead. After one, the path to it may have failed for a moment.
	silentProbesUntilDead = 2
	// spreadCount is the number of other targets of a zone that are probed when one
	// of them goes down.
	spreadCount = 3
	// probationTime is how long after it was first found down a target is used last though
	// its address answers probes again: another target may have taken the address over. It
	// is longer than a registration outlives its target, three heartbeats of 1.2 s.
	probationTime = 5 * time.Second
)

// condition is the health of a target as seen by this host.
type condition uint8

const (
	// healthy targets answer, as far as this host knows.
	healthy condition = iota
	// suspect targets left packets unanswered and are being probed.
	suspect
	// down targets also left a probe unanswered.
	down
	// dead targets refused a connection, or left several probes in a row unanswered.
	dead
)

// Finding is what a probe shows about its target.
type Finding uint8

const (
	// FindingNone shows nothing, for example because this host was too slow.
	FindingNone Finding = iota
	// FindingAlive means that the target accepted a connection.
	FindingAlive
	// FindingSilent means that the target left all connection attempts unanswered.
	FindingSilent
	// FindingRefused means that nothing listens at the target's address.
	FindingRefused
)

// String returns the form used in logs.
func (f Finding) String() string { return [...]string{"none", "alive", "silent", "refused"}[f] }

// health tracks the condition of a target. It is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	condition condition
	// lastAlive is the time of the last packet that proves the target alive,
	// lastMissed the time at which a packet was last found unanswered.
	lastAlive, lastMissed cactuspin.Time
	trustedUntil          cactuspin.Time
	nextProbe             cactuspin.Time
	// lastAnsweredProbe is the beginning of the last probe that the target answered.
	lastAnsweredProbe cactuspin.Time
	// silentProbes is the number of silent probes since the target last showed life,
	// foundDownAt the time of the last probe that found it down.
	silentProbes int
	foundDownAt  cactuspin.Time
	// probationUntil is the end of the time in which an answered probe does not prove that
	// the target has returned.
	probationUntil cactuspin.Time
	// refused reports that the last probe with a finding was refused.
	refused bool
	// reportedUntil is how long new flows avoid the target because another host found
	// it down.
	reportedUntil cactuspin.Time
	// unverified reports that a probe has to find the target alive before it gets new
	// flows.
	unverified atomic.Bool
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
// alive since a point in time, although none of its packets was unanswered. It
// reports whether it did.
func (h *health) suspectUnlessAlive(now, since cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.condition != healthy || h.lastAlive >= since || now < h.trustedUntil {
		return false
	}
	h.condition, h.lastMissed, h.nextProbe = suspect, now, now
	return true
}

// recordAlive records that the target has answered. It reports whether the target
// was down.
func (h *health) recordAlive(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasDown := h.condition >= down
	h.lastAlive, h.condition, h.silentProbes, h.reportedUntil, h.probationUntil = now, healthy, 0, 0, 0
	if h.unverified.Load() {
		h.condition = suspect
	}
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

// recordProbe records the finding of a probe that began at began. It reports
// whether the condition changed.
func (h *health) recordProbe(now, began cactuspin.Time, f Finding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.condition
	if f != FindingNone {
		h.refused = f == FindingRefused
	}
	switch {
	case f == FindingAlive:
		h.condition, h.silentProbes, h.trustedUntil, h.reportedUntil = healthy, 0, now.Add(probeTrustTime), 0
		h.lastAnsweredProbe = began
		h.unverified.Store(false)
		return before >= down
	case f == FindingNone || before == healthy || h.lastAlive >= began:
		return false
	case f == FindingRefused:
		h.findDown(now, dead)
	default:
		h.silentProbes++
		if now < h.reportedUntil {
			// Another host's probe was silent, too.
			h.silentProbes++
		}
		if h.silentProbes >= silentProbesUntilDead {
			h.findDown(now, dead)
		} else {
			h.findDown(now, down)
		}
	}
	return h.condition != before
}

// findDown records that a probe found the target down or dead. A dead target stays dead.
func (h *health) findDown(now cactuspin.Time, c condition) {
	if h.condition < down {
		h.probationUntil = now.Add(probationTime)
	}
	h.condition, h.foundDownAt = max(h.condition, c), now
}

// contradicts reports whether this host knows better than a report that the target
// was found down at some time.
func (h *health) contradicts(now, foundDownAt cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAlive >= foundDownAt || h.lastAnsweredProbe >= foundDownAt || now >= foundDownAt.Add(encoder.DownLifetime)
}

// recordReport records that another host found the target down at some time. New
// flows avoid the target until the report expires; nothing else follows from it.
func (h *health) recordReport(foundDownAt cactuspin.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedUntil = max(h.reportedUntil, foundDownAt.Add(encoder.DownLifetime))
}

// lastFoundDown returns when this host last found the target down, if it is still down.
func (h *health) lastFoundDown() (at cactuspin.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.foundDownAt, h.condition >= down
}

// avoided reports whether new flows should go to other targets.
func (h *health) avoided(now cactuspin.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now < h.reportedUntil || now < h.probationUntil || h.condition >= down || (h.condition == suspect && now.Sub(h.lastMissed) < suspectTimeout)
}

// hasRefused reports whether the last probe with a finding was refused.
func (h *health) hasRefused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused
}

// isHealthy reports whether the target is neither suspect nor down.
func (h *health) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == healthy
}

// isDown reports whether the target is down or dead.
func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition >= down
}

// isDead reports whether the target is dead.
func (h *health) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == dead
}

// allowsReset reports whether an open flow with new data may be reset. While the
// target is only down, or answers probes again, the flow itself must have got no answer,
// too: then a probe that failed wrongly resets no flow that works.
func (h *health) allowsReset(now cactuspin.Time, retransmitted bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.condition == dead || ((h.condition == down || now < h.probationUntil) && retransmitted)
}

// Probe is a request to probe a target by connecting to its address.
type Probe struct {
	Target  cactuspin.TargetID
	Address netip.AddrPort
}

// requireProbe keeps new flows away from the target until a probe has found it alive.
func (h *health) requireProbe(now cactuspin.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unverified.Store(true)
	h.condition, h.lastMissed, h.nextProbe = max(h.condition, suspect), now, now
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

// RecordProbe records the finding of a probe that began at began. It reports
// whether the condition of the target changed.
func (b *Balancer) RecordProbe(now, began cactuspin.Time, id cactuspin.TargetID, f Finding) (changed bool) {
	changed, restarted := b.recordProbe(now, began, id, f)
	if restarted {
		b.recordRestart(now, id)
	}
	return changed
}

// recordProbe also reports whether the target seems to have restarted.
func (b *Balancer) recordProbe(now, began cactuspin.Time, id cactuspin.TargetID, f Finding) (changed, restarted bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	t := b.targets[id]
	if f == FindingAlive {
		b.recordPath(now)
	}
	if t == nil {
		return false, false
	}
	// If nothing answered this host meanwhile, its own links may be down. Probes of
	// other targets show whether they are.
	if f == FindingSilent && cactuspin.Time(b.lastAnswer.Load()) < began {
		b.suspectOthers(now, began, t)
		return false, false
	}
	restarted = f == FindingAlive && t.health.hasRefused()
	changed = t.health.recordProbe(now, began, f)
	if changed && f != FindingAlive {
		b.suspectOthers(now, began, t)
	}
	return changed, restarted
}

// suspectOthers lets some other targets in the zone of t be probed: if a whole zone
// fails, this shows first at one of its targets. Each of them that is down, too,
// leads to more, so that a zone is covered in a few rounds and the failure of a
// single target costs a few probes.
func (b *Balancer) suspectOthers(now, began cactuspin.Time, t *target) {
	count := 0
	first := slices.Index(t.zone.targets, t)
	for i := range t.zone.targets {
		x := t.zone.targets[(first+1+i)%len(t.zone.targets)]
		if x == t || !x.health.suspectUnlessAlive(now, began) {
			continue
		}
		b.active.add(x)
		if count++; count == spreadCount {
			return
		}
	}
}

// recordPath records that a target answered, which shows that this host's links
// work.
func (b *Balancer) recordPath(now cactuspin.Time) { b.lastAnswer.Store(int64(now)) }

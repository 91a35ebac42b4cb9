package limiter

import (
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Backoffs after a target shed a request or did not answer.
const (
	shedBackoff     = 50 * time.Millisecond
	maxShedBackoff  = 2 * time.Second
	ejectBackoff    = 1 * time.Second
	maxEjectBackoff = 10 * time.Second
)

// timeoutsToEject is the number of consecutive timeouts after which a target gets no
// work for a while.
const timeoutsToEject = 3

// target is the state of one target. Most of it is derived from the Limiter's own
// exchanges, because what a target reports about itself may be outdated or wrong.
type target struct {
	address     cactuspin.Target
	slots       int
	connections int
	busy        int
	feeds       int
	// lastAcquired is the sequence number of the latest acquisition of a slot. Of
	// equally busy targets, the one with the lowest number is next.
	lastAcquired uint64
	connected    bool
	leaving      bool
	connectedAt  cactuspin.Time
	sheds        int
	timeouts     int
	ejections    int
	backoffUntil cactuspin.Time
}

// Rule configures the use of a target.
type Rule struct {
	Address     cactuspin.Target
	Slots       int
	Connections int
	Leaving     bool
}

// SetTarget adds a target or changes its rule.
func (l *Limiter) SetTarget(r Rule) {
	t, ok := l.targets[r.Address]
	if !ok {
		t = &target{address: r.Address}
		l.targets[r.Address] = t
		l.order = append(l.order, t)
	}
	t.slots = r.Slots
	t.connections = r.Connections
	t.leaving = r.Leaving
}

// RemoveTarget stops new work for a target and removes it once it is idle.
func (l *Limiter) RemoveTarget(a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok {
		return
	}
	t.leaving = true
	t.slots = 0
	l.removeIfIdle(t)
}

// TargetConnected reports that the connection to a target is established. The number
// of usable slots grows from one to all over the ramp time.
func (l *Limiter) TargetConnected(now cactuspin.Time, a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok || t.connected {
		return
	}
	t.connected = true
	t.connectedAt = now
	t.timeouts = 0
	t.sheds = 0
}

// TargetDisconnected reports that there is no connection to a target.
func (l *Limiter) TargetDisconnected(a cactuspin.Target) {
	if t, ok := l.targets[a]; ok {
		t.connected = false
	}
}

// Usable reports whether a target accepts new work, regardless of its free slots.
func (l *Limiter) Usable(a cactuspin.Target) bool {
	t, ok := l.targets[a]
	return ok && t.connected && !t.leaving
}

// AcquireFeed selects the target with the fewest observations and counts one more
// there.
func (l *Limiter) AcquireFeed(now cactuspin.Time) (a cactuspin.Target, ok bool) {
	var best *target
	for _, t := range l.order {
		if !t.connected || t.leaving || t.feeds >= t.connections || now < t.backoffUntil {
			continue
		}
		if best == nil || t.feeds < best.feeds {
			best = t
		}
	}
	if best == nil {
		return a, false
	}
	best.feeds++
	return best.address, true
}

// A target is imbalanced if it holds more observations than another by more than
// minFeedImbalance and by more than 1/feedImbalanceDivisor of its own.
const (
	minFeedImbalance     = 4
	feedImbalanceDivisor = 20
)

// FeedsImbalanced reports whether a target holds significantly more observations than
// another that could accept some.
func (l *Limiter) FeedsImbalanced(now cactuspin.Time, a cactuspin.Target) bool {
	t, ok := l.targets[a]
	if !ok {
		return false
	}
	for _, o := range l.order {
		if !o.connected || o.leaving || o.feeds >= o.connections || now < o.backoffUntil {
			continue
		}
		if t.feeds-o.feeds > max(minFeedImbalance, t.feeds/feedImbalanceDivisor) {
			return true
		}
	}
	return false
}

// ReleaseFeed counts one observation less at a target.
func (l *Limiter) ReleaseFeed(a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok {
		return
	}
	t.feeds--
	l.removeIfIdle(t)
}

// Feeds returns the number of observations at a target.
func (l *Limiter) Feeds(a cactuspin.Target) int {
	if t, ok := l.targets[a]; ok {
		return t.feeds
	}
	return 0
}

// Busy returns the number of busy slots of a target.
func (l *Limiter) Busy(a cactuspin.Target) int {
	if t, ok := l.targets[a]; ok {
		return t.busy
	}
	return 0
}

// AnyUsable reports whether any target accepts new work, regardless of free slots.
func (l *Limiter) AnyUsable() bool { return l.UsableTargets() > 0 }

// UsableTargets returns the number of targets that accept new work, regardless of
// free slots.
func (l *Limiter) UsableTargets() (n int) {
	for _, t := range l.order {
		if t.connected && !t.leaving {
			n++
		}
	}
	return n
}

// pick returns the preferred target if it has a free slot, otherwise the least busy
// target with a free slot, or nil.
func (l *Limiter) pick(now cactuspin.Time, j Job) (best *target) {
	if t, ok := l.targets[j.Prefer]; ok && t.address != j.Avoid && t.concurrencyLimit(now, l.cfg.Ramp) > t.busy {
		return t
	}
	for _, t := range l.order {
		if t.address == j.Avoid || t.concurrencyLimit(now, l.cfg.Ramp) <= t.busy {
			continue
		}
		if best == nil || t.busy < best.busy || (t.busy == best.busy && t.lastAcquired < best.lastAcquired) {
			best = t
		}
	}
	return best
}

// removeIfIdle deletes a target that has no slots left and is idle.
func (l *Limiter) removeIfIdle(t *target) {
	if t.slots > 0 || t.busy > 0 || t.feeds > 0 {
		return
	}
	delete(l.targets, t.address)
	l.order = slices.DeleteFunc(l.order, func(x *target) bool { return x == t })
}

// concurrencyLimit returns how many concurrent exchanges the target is currently
// allowed.
func (t *target) concurrencyLimit(now cactuspin.Time, ramp time.Duration) int {
	if !t.connected || t.leaving || now < t.backoffUntil {
		return 0
	}
	if t.timeouts >= timeoutsToEject || t.sheds > 0 {
		return min(t.slots, max(1, t.busy))
	}
	age := now.Sub(t.connectedAt)
	if age >= ramp {
		return t.slots
	}
	return min(t.slots, 1+int(float64(t.slots)*float64(age)/float64(ramp)))
}

// recordOutcome updates the backoff of the target by the outcome of an exchange.
func (t *target) recordOutcome(now cactuspin.Time, o Outcome) {
	switch o {
	case OutcomeAnswered:
		t.sheds = 0
		t.timeouts = 0
		t.ejections = 0
	case OutcomeShed:
		t.sheds++
		t.backoffUntil = now.Add(backoff(shedBackoff, t.sheds, maxShedBackoff))
	case OutcomeTimeout:
		t.timeouts++
		if t.timeouts >= timeoutsToEject {
			t.ejections++
			t.backoffUntil = now.Add(backoff(ejectBackoff, t.ejections, maxEjectBackoff))
		}
	case OutcomeAborted:
	}
}

// backoff returns the backoff after a number of consecutive failures. It doubles with
// each failure after the first, up to limit.
func backoff(first time.Duration, tries int, limit time.Duration) time.Duration {
	d := first
	for i := 1; i < tries && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}

package limiter

import (
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Backoffs after a target shed work or did not answer.
const (
	shedBackoff     = 50 * time.Millisecond
	maxShedBackoff  = 2 * time.Second
	ejectBackoff    = 1 * time.Second
	maxEjectBackoff = 10 * time.Second
)

// timeoutsToEject is the number of exchanges in a row without an answer after
// which a target gets no work for a while.
const timeoutsToEject = 3

// target is what a Limiter knows of one target, most of it from its own
// exchanges: what a target says of itself may lag or mislead.
type target struct {
	address     cactuspin.Target
	slots       int
	connections int
	busy        int
	feeds       int
	// taken numbers the last time that a slot was taken; of equally busy targets
	// the one that waited longest is next.
	taken       uint64
	connected   bool
	leaving     bool
	since       cactuspin.Time
	sheds       int
	timeouts    int
	ejections   int
	pausedUntil cactuspin.Time
}

// Rule is how a target may be used.
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

// RemoveTarget gives a target no new work. It is forgotten when it is idle.
func (l *Limiter) RemoveTarget(a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok {
		return
	}
	t.leaving = true
	t.slots = 0
	l.drop(t)
}

// TargetConnected tells that a connection to the target stands. Its slots grow from
// one to all during the ramp.
func (l *Limiter) TargetConnected(now cactuspin.Time, a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok || t.connected {
		return
	}
	t.connected = true
	t.since = now
	t.timeouts = 0
	t.sheds = 0
}

// TargetDisconnected tells that there is no connection to the target.
func (l *Limiter) TargetDisconnected(a cactuspin.Target) {
	if t, ok := l.targets[a]; ok {
		t.connected = false
	}
}

// Usable tells whether the target takes new work at all.
func (l *Limiter) Usable(a cactuspin.Target) bool {
	t, ok := l.targets[a]
	return ok && t.connected && !t.leaving
}

// AcquireFeed picks the target with the fewest observations and counts one more.
func (l *Limiter) AcquireFeed(now cactuspin.Time) (a cactuspin.Target, ok bool) {
	var best *target
	for _, t := range l.order {
		if !t.connected || t.leaving || t.feeds >= t.connections || now < t.pausedUntil {
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

// A target counts as uneven when it holds so many observations more than another,
// or this part of them.
const (
	minUneven  = 4
	unevenPart = 20
)

// FeedsImbalanced tells whether the target holds clearly more observations than another
// that could take some.
func (l *Limiter) FeedsImbalanced(now cactuspin.Time, a cactuspin.Target) bool {
	t, ok := l.targets[a]
	if !ok {
		return false
	}
	for _, o := range l.order {
		if !o.connected || o.leaving || o.feeds >= o.connections || now < o.pausedUntil {
			continue
		}
		if t.feeds-o.feeds > max(minUneven, t.feeds/unevenPart) {
			return true
		}
	}
	return false
}

// ReleaseFeed counts one observation less at the target.
func (l *Limiter) ReleaseFeed(a cactuspin.Target) {
	t, ok := l.targets[a]
	if !ok {
		return
	}
	t.feeds--
	l.drop(t)
}

// Feeds returns the number of observations at the target.
func (l *Limiter) Feeds(a cactuspin.Target) int {
	if t, ok := l.targets[a]; ok {
		return t.feeds
	}
	return 0
}

// Busy returns the number of exchanges under way at the target.
func (l *Limiter) Busy(a cactuspin.Target) int {
	if t, ok := l.targets[a]; ok {
		return t.busy
	}
	return 0
}

// AnyUsable tells whether any target takes new work at all.
func (l *Limiter) AnyUsable() bool { return l.UsableTargets() > 0 }

// UsableTargets returns the number of targets that take new work.
func (l *Limiter) UsableTargets() (n int) {
	for _, t := range l.order {
		if t.connected && !t.leaving {
			n++
		}
	}
	return n
}

// pick returns the least busy target with a free slot, or nil.
func (l *Limiter) pick(now cactuspin.Time, j Job) (best *target) {
	if t, ok := l.targets[j.Prefer]; ok && t.address != j.Avoid && t.limit(now, l.cfg.Ramp) > t.busy {
		return t
	}
	for _, t := range l.order {
		if t.address == j.Avoid || t.limit(now, l.cfg.Ramp) <= t.busy {
			continue
		}
		if best == nil || t.busy < best.busy || (t.busy == best.busy && t.taken < best.taken) {
			best = t
		}
	}
	return best
}

// drop forgets a target that was removed and is idle.
func (l *Limiter) drop(t *target) {
	if t.slots > 0 || t.busy > 0 || t.feeds > 0 {
		return
	}
	delete(l.targets, t.address)
	l.order = slices.DeleteFunc(l.order, func(x *target) bool { return x == t })
}

// limit is how many exchanges the target may have at once now.
func (t *target) limit(now cactuspin.Time, ramp time.Duration) int {
	if !t.connected || t.leaving || now < t.pausedUntil {
		return 0
	}
	if t.timeouts >= timeoutsToEject || t.sheds > 0 {
		return min(t.slots, max(1, t.busy))
	}
	age := now.Sub(t.since)
	if age >= ramp {
		return t.slots
	}
	return min(t.slots, 1+int(float64(t.slots)*float64(age)/float64(ramp)))
}

// learn judges the target by how an exchange ended.
func (t *target) learn(now cactuspin.Time, o Outcome) {
	switch o {
	case OutcomeAnswered:
		t.sheds = 0
		t.timeouts = 0
		t.ejections = 0
	case OutcomeShed:
		t.sheds++
		t.pausedUntil = now.Add(backoff(shedBackoff, t.sheds, maxShedBackoff))
	case OutcomeTimeout:
		t.timeouts++
		if t.timeouts >= timeoutsToEject {
			t.ejections++
			t.pausedUntil = now.Add(backoff(ejectBackoff, t.ejections, maxEjectBackoff))
		}
	case OutcomeAborted:
	}
}

// backoff doubles with each try after the first, up to a limit.
func backoff(first time.Duration, tries int, limit time.Duration) time.Duration {
	d := first
	for i := 1; i < tries && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}

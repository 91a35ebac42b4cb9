// Package limiter admits the work of one service to the targets that this host
// owns: it counts slots, keeps a guaranteed share for each kind of work, lends
// out what is unused and refuses early what could not be served in time.
package limiter

import (
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// JobID identifies a request within a service of a host.
type JobID uint64

// Kind is the part of a kind of work that admission needs.
type Kind struct {
	Name string
	// Importance orders kinds that are over their share; 1 is the most urgent.
	Importance int
	// Share is the guaranteed part of all slots, 0 to 1.
	Share float64
	// Queue is the most jobs that wait.
	Queue int
}

// Job is a request that asks for a slot.
type Job struct {
	ID       JobID
	Kind     string
	Deadline cactuspin.Time
	// Prefer is used when it has a free slot.
	Prefer cactuspin.Target
	// Avoid is not used; it failed this job before.
	Avoid cactuspin.Target
	// ForceQueue makes the job queue even when a slot is free.
	ForceQueue bool
}

// Reason says why a job was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNone     Reason = ""
	ReasonNoTarget Reason = "no target"
	ReasonFull     Reason = "queue full"
	ReasonLate     Reason = "deadline too near"
)

// Verdict is the result of Offer.
type Verdict uint8

// The verdicts of Offer.
const (
	VerdictDispatch Verdict = iota
	VerdictQueued
	VerdictRefused
)

// Outcome says how an exchange with a target ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	OutcomeAnswered Outcome = iota
	OutcomeShed
	OutcomeTimeout
	OutcomeAborted
)

// Config configures a Limiter.
type Config struct {
	Kinds []Kind
	// Ramp is the time in which a target that just connected gets all its slots.
	Ramp time.Duration
}

// Limiter holds the slots and queues of one service on one host. It is not safe
// for concurrent use.
type Limiter struct {
	cfg     Config
	kinds   []*kindState
	targets map[cactuspin.Target]*target
	// late are jobs that were taken out of a queue because their deadline is too
	// near; Expire returns them.
	late []Job
	// order keeps the targets in the order in which they came, so that a run
	// can be repeated.
	order []*target
	taken uint64
}

type kindState struct {
	Kind
	queue []Job
	busy  int
	// mean is the smoothed time of an exchange.
	mean time.Duration
}

// New returns a Limiter without targets.
func New(c Config) *Limiter {
	l := &Limiter{targets: make(map[cactuspin.Target]*target)}
	l.Configure(c)
	return l
}

// Configure takes new rules. What is queued or busy stays with the kind of the
// same name; the queue of a kind that is gone is returned.
func (l *Limiter) Configure(c Config) (dropped []Job) {
	l.cfg = c
	old := l.kinds
	l.kinds = nil
	for _, k := range c.Kinds {
		state := &kindState{}
		if i := slices.IndexFunc(old, func(x *kindState) bool { return x.Name == k.Name }); i >= 0 {
			state = old[i]
			old = slices.Delete(old, i, i+1)
		}
		state.Kind = k
		l.kinds = append(l.kinds, state)
	}
	for _, k := range old {
		dropped = append(dropped, k.queue...)
	}
	return dropped
}

func (l *Limiter) kind(name string) *kindState {
	for _, k := range l.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Admit asks for a slot. On VerdictDispatch the slot of the returned target is
// taken until Done is called.
func (l *Limiter) Admit(now cactuspin.Time, j Job) (t cactuspin.Target, v Verdict, why Reason) {
	k := l.kind(j.Kind)
	if k == nil || !l.AnyUsable() {
		return t, VerdictRefused, ReasonNoTarget
	}
	if l.waiting() == 0 && !j.ForceQueue {
		if x := l.pick(now, j); x != nil {
			l.take(x, k)
			return x.address, VerdictDispatch, ReasonNone
		}
	}
	if len(k.queue) >= k.Queue {
		return t, VerdictRefused, ReasonFull
	}
	if k.tooLate(now.Add(l.wait(now, k)), j) {
		return t, VerdictRefused, ReasonLate
	}
	k.queue = append(k.queue, j)
	return t, VerdictQueued, ReasonNone
}

// Next dispatches a waiting job if a slot is free. It is called until ok is
// false.
func (l *Limiter) Next(now cactuspin.Time) (j Job, t cactuspin.Target, ok bool) {
	for _, k := range l.kinds {
		l.skipLate(now, k)
	}
	k := l.nextKind(now)
	if k == nil {
		return Job{}, t, false
	}
	x := l.pick(now, k.queue[0])
	if x == nil {
		return Job{}, t, false
	}
	j = k.queue[0]
	k.queue = k.queue[1:]
	l.take(x, k)
	return j, x.address, true
}

// skipLate drops the first jobs of a queue that could not be answered in time:
// work for them would be wasted.
func (l *Limiter) skipLate(now cactuspin.Time, k *kindState) {
	for len(k.queue) > 0 && k.tooLate(now, k.queue[0]) {
		l.late = append(l.late, k.queue[0])
		k.queue = k.queue[1:]
	}
}

// tooLate tells whether a job that began now would end after its deadline. It
// allows for exchanges that take half as long again as the mean.
func (k *kindState) tooLate(now cactuspin.Time, j Job) bool {
	return now.Add(k.mean+k.mean/2) > j.Deadline
}

// Expire removes the waiting jobs whose deadline is too near to be served.
func (l *Limiter) Expire(now cactuspin.Time) (late []Job) {
	late = l.late
	l.late = nil
	for _, k := range l.kinds {
		kept := k.queue[:0]
		for _, j := range k.queue {
			if k.tooLate(now, j) {
				late = append(late, j)
				continue
			}
			kept = append(kept, j)
		}
		k.queue = kept
	}
	return late
}

// Withdraw removes a waiting job and tells whether it was waiting.
func (l *Limiter) Withdraw(id JobID) bool {
	for _, k := range l.kinds {
		for x := range k.queue {
			if k.queue[x].ID == id {
				k.queue = append(k.queue[:x], k.queue[x+1:]...)
				return true
			}
		}
	}
	return false
}

// Done ends an exchange and learns from how it ended. After OutcomeTimeout the
// target may still be at work: its slot stays taken until GiveBack.
func (l *Limiter) Done(now cactuspin.Time, at cactuspin.Target, kind string, o Outcome, took time.Duration) {
	if k := l.kind(kind); k != nil {
		k.busy--
		if o == OutcomeAnswered {
			k.mean = smooth(k.mean, took)
		}
	}
	t, ok := l.targets[at]
	if !ok {
		return
	}
	t.learn(now, o)
	if o != OutcomeTimeout {
		t.busy--
		l.drop(t)
	}
}

// ReleaseSlot frees the slot of an exchange that ended with OutcomeTimeout.
func (l *Limiter) ReleaseSlot(at cactuspin.Target) {
	if t, ok := l.targets[at]; ok {
		t.busy--
		l.drop(t)
	}
}

// MeanDuration returns the smoothed time of an exchange of a kind.
func (l *Limiter) MeanDuration(kind string) time.Duration {
	if k := l.kind(kind); k != nil {
		return k.mean
	}
	return 0
}

// Free returns how many more jobs could be dispatched now.
func (l *Limiter) Free(now cactuspin.Time) (n int) {
	for _, t := range l.order {
		n += max(0, t.limit(now, l.cfg.Ramp)-t.busy)
	}
	return max(0, n-l.waiting())
}

// Waiting returns the number of queued jobs of a kind.
func (l *Limiter) Waiting(kind string) int {
	if k := l.kind(kind); k != nil {
		return len(k.queue)
	}
	return 0
}

func (l *Limiter) waiting() (n int) {
	for _, k := range l.kinds {
		n += len(k.queue)
	}
	return n
}

// wait estimates how long a new job of the kind would be queued.
func (l *Limiter) wait(now cactuspin.Time, k *kindState) time.Duration {
	total := l.capacity(now)
	others := 0
	for _, x := range l.kinds {
		if x != k {
			others += x.busy
		}
	}
	slots := max(k.Share*float64(total), float64(total-others), 1)
	return time.Duration(float64(k.mean) * float64(len(k.queue)+1) / slots)
}

// nextKind returns the waiting kind that is served next: first the one furthest
// below its share, then the most important.
func (l *Limiter) nextKind(now cactuspin.Time) (best *kindState) {
	total := float64(l.capacity(now))
	for _, k := range l.kinds {
		if len(k.queue) == 0 {
			continue
		}
		if best == nil || k.before(best, total) {
			best = k
		}
	}
	return best
}

func (k *kindState) before(o *kindState, total float64) bool {
	x, y := k.fill(total), o.fill(total)
	if x < 1 || y < 1 {
		return x < y
	}
	return k.Importance < o.Importance
}

// fill is the busy part of a kind's share, rounded to whole slots; 1 and more
// means the share is used. Rounding up would let small shares take, together,
// more slots than there are.
func (k *kindState) fill(total float64) float64 {
	const half = 0.5
	share := k.Share * total
	if share <= 0 {
		return 1
	}
	return (float64(k.busy) + half) / share
}

func (l *Limiter) capacity(now cactuspin.Time) (n int) {
	for _, t := range l.order {
		n += t.limit(now, l.cfg.Ramp)
	}
	return n
}

func (l *Limiter) take(t *target, k *kindState) {
	l.taken++
	t.taken = l.taken
	t.busy++
	k.busy++
}

// smoothing is the weight of the past in a smoothed time.
const smoothing = 8

func smooth(mean, x time.Duration) time.Duration {
	if mean == 0 {
		return x
	}
	return mean + (x-mean)/smoothing
}

// Package limiter admits the requests of one service to the targets that this host
// owns. It counts slots, guarantees each kind of request a share of them, lends
// unused shares to other kinds and refuses early what could not be answered in time.
package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// JobID identifies a request within a service of a host.
type JobID uint64

// Kind configures the admission of one kind of request.
type Kind struct {
	Name string
	// Importance orders the kinds that exceed their share; 1 is the most urgent.
	Importance int
	// Share is the guaranteed fraction of all slots, 0 to 1.
	Share float64
	// Queue is the maximum number of queued jobs.
	Queue int
}

// Job is a request that needs a slot.
type Job struct {
	ID       JobID
	Kind     string
	Deadline cactuspin.Time
	// Prefer is the target to use if it has a free slot.
	Prefer cactuspin.Target
	// Avoid is the target not to use, because an earlier attempt failed there.
	Avoid cactuspin.Target
	// ForceQueue queues the job even if a slot is free.
	ForceQueue bool
}

// Reason is the reason for refusing a job.
type Reason string

// The reasons for a refusal.
const (
	ReasonNone     Reason = ""
	ReasonNoTarget Reason = "no target"
	ReasonFull     Reason = "queue full"
	ReasonLate     Reason = "deadline too near"
)

// Verdict is the result of Admit.
type Verdict uint8

// The verdicts of Admit.
const (
	VerdictDispatch Verdict = iota
	VerdictQueued
	VerdictRefused
)

// Outcome is the way in which an exchange with a target ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	OutcomeAnswered Outcome = iota
	OutcomeShed
	OutcomeTimeout
	// OutcomeAborted means that the request was not sent or the connection ended.
	OutcomeAborted
)

// Config configures a Limiter.
type Config struct {
	Kinds []Kind
	// Ramp is the time over which a newly connected target is ramped up to all its
	// slots.
	Ramp time.Duration
}

// Limiter holds the slots and queues of one service on one host. It is not safe
// for concurrent use.
type Limiter struct {
	cfg   Config
	kinds []*kindState
	// removed holds the kinds that are no longer configured while exchanges of theirs
	// are in progress.
	removed []*kindState
	targets map[cactuspin.Target]*target
	// late holds the jobs that were removed from a queue because their deadline is
	// too near; Expire returns them.
	late []Job
	// order holds the targets in the order in which they were added, so that
	// decisions are reproducible.
	order        []*target
	acquisitions uint64
}

type kindState struct {
	Kind
	queue []Job
	busy  int
	// meanDuration is the smoothed duration of an exchange.
	meanDuration time.Duration
}

// New returns a Limiter without targets.
func New(c Config) *Limiter {
	l := &Limiter{targets: make(map[cactuspin.Target]*target)}
	l.Configure(c)
	return l
}

// Configure applies new rules. Queued jobs and busy slots stay with the kind of the
// same name; the queued jobs of a removed kind are returned.
func (l *Limiter) Configure(c Config) (dropped []Job) {
	l.cfg = c
	old := slices.Concat(l.kinds, l.removed)
	l.kinds, l.removed = nil, nil
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
		k.queue = nil
		if k.busy > 0 {
			l.removed = append(l.removed, k)
		}
	}
	return dropped
}

// release ends an exchange of a kind, which may have been removed since. It returns
// the kind, or nil if it is unknown.
func (l *Limiter) release(name string) *kindState {
	if k := l.kind(name); k != nil {
		k.busy--
		return k
	}
	i := slices.IndexFunc(l.removed, func(x *kindState) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	k := l.removed[i]
	if k.busy--; k.busy == 0 {
		l.removed = slices.Delete(l.removed, i, i+1)
	}
	return k
}

func (l *Limiter) kind(name string) *kindState {
	for _, k := range l.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Admit requests a slot for a job. With VerdictDispatch, the slot at the returned
// target is held until Done is called.
func (l *Limiter) Admit(now cactuspin.Time, j Job) (t cactuspin.Target, v Verdict, reason Reason) {
	k := l.kind(j.Kind)
	if k == nil || !l.AnyUsable() {
		return t, VerdictRefused, ReasonNoTarget
	}
	if l.queued() == 0 && !j.ForceQueue {
		if x := l.pick(now, j); x != nil {
			l.acquire(x, k)
			return x.address, VerdictDispatch, ReasonNone
		}
	}
	if len(k.queue) >= k.Queue {
		return t, VerdictRefused, ReasonFull
	}
	if k.tooLate(now.Add(l.queueDelay(now, k)), j) {
		return t, VerdictRefused, ReasonLate
	}
	k.queue = append(k.queue, j)
	return t, VerdictQueued, ReasonNone
}

// Next removes a job from a queue and acquires a slot for it, if one is free. It is
// called until ok is false.
func (l *Limiter) Next(now cactuspin.Time) (j Job, t cactuspin.Target, ok bool) {
	for _, k := range l.kinds {
		l.dropLate(now, k)
	}
	for _, k := range l.kindsInOrder(now) {
		// A retry may have to avoid the only free target; the jobs behind it need not.
		for i := range k.queue {
			if x := l.pick(now, k.queue[i]); x != nil {
				j = k.queue[i]
				k.queue = slices.Delete(k.queue, i, i+1)
				l.acquire(x, k)
				return j, x.address, true
			}
		}
	}
	return Job{}, t, false
}

// dropLate removes the first jobs of a queue that could not be answered in time,
// because executing them would be wasted work.
func (l *Limiter) dropLate(now cactuspin.Time, k *kindState) {
	for len(k.queue) > 0 && k.tooLate(now, k.queue[0]) {
		l.late = append(l.late, k.queue[0])
		k.queue = k.queue[1:]
	}
}

// tooLate reports whether a job that started now would end after its deadline. It
// allows for exchanges that last 1.5 times the mean duration.
func (k *kindState) tooLate(now cactuspin.Time, j Job) bool {
	return now.Add(k.meanDuration+k.meanDuration/2) > j.Deadline
}

// Expire removes and returns the queued jobs whose deadline is too near to be met.
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

// Withdraw removes a job from its queue and reports whether it was queued.
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

// Done ends an exchange and updates the mean duration and the state of the target by
// its outcome. After OutcomeTimeout the target may still be processing the request:
// its slot stays busy until ReleaseSlot is called.
func (l *Limiter) Done(now cactuspin.Time, address cactuspin.Target, kind string, o Outcome, duration time.Duration) {
	if k := l.release(kind); k != nil && o == OutcomeAnswered {
		k.meanDuration = smooth(k.meanDuration, duration)
	}
	t, ok := l.targets[address]
	if !ok {
		return
	}
	t.recordOutcome(now, o)
	if o != OutcomeTimeout {
		t.busy--
		l.removeIfIdle(t)
	}
}

// ReleaseSlot releases the slot of an exchange that ended with OutcomeTimeout.
func (l *Limiter) ReleaseSlot(address cactuspin.Target) {
	if t, ok := l.targets[address]; ok {
		t.busy--
		l.removeIfIdle(t)
	}
}

// MeanDuration returns the smoothed duration of an exchange of a kind.
func (l *Limiter) MeanDuration(kind string) time.Duration {
	if k := l.kind(kind); k != nil {
		return k.meanDuration
	}
	return 0
}

// Free returns how many more jobs could be dispatched now.
func (l *Limiter) Free(now cactuspin.Time) (n int) {
	for _, t := range l.order {
		n += max(0, t.concurrencyLimit(now, l.cfg.Ramp)-t.busy)
	}
	return max(0, n-l.queued())
}

// Waiting returns the number of queued jobs of a kind.
func (l *Limiter) Waiting(kind string) int {
	if k := l.kind(kind); k != nil {
		return len(k.queue)
	}
	return 0
}

func (l *Limiter) queued() (n int) {
	for _, k := range l.kinds {
		n += len(k.queue)
	}
	return n
}

// queueDelay estimates how long a new job of the kind would be queued.
func (l *Limiter) queueDelay(now cactuspin.Time, k *kindState) time.Duration {
	total := l.capacity(now)
	others := 0
	for _, x := range l.kinds {
		if x != k {
			others += x.busy
		}
	}
	slots := max(k.Share*float64(total), float64(total-others), 1)
	return time.Duration(float64(k.meanDuration) * float64(len(k.queue)+1) / slots)
}

// kindsInOrder returns the kinds with queued jobs in the order in which they are
// dispatched: the one furthest below its share first, then the most important one of
// those that have used up their shares.
func (l *Limiter) kindsInOrder(now cactuspin.Time) (kinds []*kindState) {
	total := float64(l.capacity(now))
	if total == 0 {
		return nil
	}
	for _, k := range l.kinds {
		if len(k.queue) > 0 {
			kinds = append(kinds, k)
		}
	}
	slices.SortStableFunc(kinds, func(k, o *kindState) int {
		x, y := k.shareUsage(total), o.shareUsage(total)
		if x < 1 || y < 1 {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(k.Importance, o.Importance)
	})
	return kinds
}

// shareUsage returns the used fraction of a kind's share, with the share rounded to
// whole slots; 1 or more means that the share is used up. Rounding up would let
// several small shares together take more slots than there are.
func (k *kindState) shareUsage(total float64) float64 {
	const half = 0.5
	share := k.Share * total
	if share <= 0 {
		return 1
	}
	return (float64(k.busy) + half) / share
}

func (l *Limiter) capacity(now cactuspin.Time) (n int) {
	for _, t := range l.order {
		n += t.concurrencyLimit(now, l.cfg.Ramp)
	}
	return n
}

func (l *Limiter) acquire(t *target, k *kindState) {
	l.acquisitions++
	t.lastAcquired = l.acquisitions
	t.busy++
	k.busy++
}

// smoothingDivisor gives a new sample the weight 1/smoothingDivisor in a smoothed
// duration.
const smoothingDivisor = 8

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingDivisor
}

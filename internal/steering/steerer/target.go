package steerer

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// suspicionTime is how long a target that left packets unanswered gets no new
	// flows without a sign of life; then a few flows try it again.
	suspicionTime = time.Second
	// coldPenalty multiplies the load of a target that has just started.
	coldPenalty = 1.6
)

// target is a registered target with what its packets have shown.
type target struct {
	registered cactuspin.RegisteredTarget
	cookie     cactuspin.Cookie
	service    *service
	// warmUntil is when the target has warmed up.
	warmUntil cactuspin.Time
	// goneAt is when the target counts as gone, or 0.
	goneAt cactuspin.Time
	// flows and busy count the flows and requests that this host sees.
	flows, busy atomic.Int32
	// othersBusy and othersFlows are what other hosts last reported.
	othersBusy, othersFlows atomic.Int32
	// alive is the last sign of life, missed the last unanswered packet.
	alive, missed atomic.Int64
	misses        atomic.Int32
}

func newTarget(now cactuspin.Time, r *cactuspin.RegisteredTarget, v *service) *target {
	t := &target{service: v, cookie: cookieOf(r.ID)}
	t.update(now, r)
	return t
}

// cookieOf derives the cookie of a target, the same at every host.
func cookieOf(id cactuspin.TargetID) cactuspin.Cookie {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(1, cactuspin.Cookie(h.Sum32()))
}

func (t *target) update(now cactuspin.Time, r *cactuspin.RegisteredTarget) {
	if r.Started != t.registered.Started {
		t.live(now)
	}
	t.registered = *r
	t.warmUntil = now.Add(r.Warmup)
	t.goneAt = 0
}

// end takes word that the registration ended; the target may live on for hold.
func (t *target) end(now cactuspin.Time, hold time.Duration) { t.goneAt = now.Add(hold) }

// ended tells whether the target is certainly gone.
func (t *target) ended(now cactuspin.Time) bool { return t.goneAt != 0 && now >= t.goneAt }

// usable tells whether new flows may go to the target.
func (t *target) usable(now cactuspin.Time) bool {
	return t.registered.State == cactuspin.TargetReady && !t.ended(now)
}

// remove takes the target out of its service.
func (t *target) remove() {
	if t.service.byCookie[t.cookie] == t {
		delete(t.service.byCookie, t.cookie)
	}
	for i, x := range t.service.targets {
		if x == t {
			t.service.targets = append(t.service.targets[:i], t.service.targets[i+1:]...)
			return
		}
	}
}

// miss takes word that a packet sent at sent had no answer until now.
func (t *target) miss(now, sent cactuspin.Time) {
	if t.alive.Load() < int64(sent) {
		t.misses.Add(1)
		t.missed.Store(int64(now))
	}
}

// live takes a sign of life.
func (t *target) live(now cactuspin.Time) {
	t.alive.Store(int64(now))
	t.misses.Store(0)
}

// suspect tells whether the target seems dead.
func (t *target) suspect(now cactuspin.Time) bool {
	return t.misses.Load() > 0 && now.Sub(cactuspin.Time(t.missed.Load())) < suspicionTime
}

func (t *target) fill(v *cactuspin.Verdict) {
	v.Number, v.Address, v.Target, v.Busy = t.registered.Number, t.registered.Address, t.registered.ID, int(t.busy.Load())
}

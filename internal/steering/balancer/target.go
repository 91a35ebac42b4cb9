package balancer

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// coldPenalty multiplies the load of a target that has just started.
	coldPenalty = 1.6
	// busyWeight is the share of the newest value in the running mean of busy.
	busyWeight = 0.1
)

// target is a registered target with what its packets have shown.
type target struct {
	registered cactuspin.RegisteredTarget
	cookie     cactuspin.Cookie
	service    *service
	zone       *zone
	// sharers are the targets at the same address, this one among them.
	sharers *sharers
	// warmUntil is when the target has warmed up.
	warmUntil cactuspin.Time
	// goneAt is when the target counts as gone, or 0.
	goneAt cactuspin.Time
	// flows and busy count the flows and requests that this host sees.
	flows, busy atomic.Int32
	// meanBusy is the running mean of busy over some ten ticks.
	meanBusy float64
	health   health
	// failures counts requests that failed since the last tick, failed is what
	// is left of earlier ones; pooled is that of all hosts, and failureLoad the load
	// that it adds.
	failures                    atomic.Int32
	failed, pooled, failureLoad float64
	// active says that the target is in the set of active ones.
	active atomic.Bool
}

func newTarget(now cactuspin.Time, r *cactuspin.RegisteredTarget, v *service) *target {
	t := &target{service: v, zone: v.zone(r.Zone), cookie: cookieOf(r.ID)}
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
		t.health.live(now)
		t.failed = 0
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
	return t.registered.State == cactuspin.TargetReady && !t.ended(now) && !t.replaced()
}

// replaced tells whether a later target is registered at the same address: this
// one ended without a word, and its registration has not lapsed yet. A probe
// cannot tell, since the address answers.
func (t *target) replaced() bool {
	return slices.ContainsFunc(t.sharers.targets, func(x *target) bool { return x.goneAt == 0 && x.startedAfter(t) })
}

func (t *target) startedAfter(x *target) bool {
	a, b := &t.registered, &x.registered
	return a.Started > b.Started || (a.Started == b.Started && a.Revision > b.Revision && t != x)
}

// sharers are the targets that are registered at one address, mostly one.
type sharers struct{ targets []*target }

// addressBook finds the targets by their addresses.
type addressBook map[netip.AddrPort]*sharers

// enter puts a target under its address.
func (b addressBook) enter(t *target) {
	a := t.registered.Address
	if b[a] == nil {
		b[a] = &sharers{}
	}
	t.sharers = b[a]
	t.sharers.targets = append(t.sharers.targets, t)
}

// strike takes a target out that was entered under an address.
func (b addressBook) strike(t *target, a netip.AddrPort) {
	s := b[a]
	s.targets = slices.DeleteFunc(s.targets, func(x *target) bool { return x == t })
	if len(s.targets) == 0 {
		delete(b, a)
	}
}

// remove takes the target out of its service.
func (t *target) remove() {
	if t.service.byCookie[t.cookie] == t {
		delete(t.service.byCookie, t.cookie)
	}
	z := t.zone
	if i := slices.Index(z.targets, t); i >= 0 {
		z.targets = slices.Delete(z.targets, i, i+1)
	}
}

// suspect tells whether the target seems dead.
func (t *target) suspect(now cactuspin.Time) bool { return t.health.avoid(now) }

func (t *target) fill(v *cactuspin.Verdict) {
	v.TargetNumber, v.TargetAddress, v.Target, v.TargetRequests = t.registered.Number, t.registered.Address, t.registered.ID, int(t.busy.Load())
}

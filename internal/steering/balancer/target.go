package balancer

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/warmup"
)

const (
	// warmupPenalty is the factor for the load of a target that has not warmed up.
	warmupPenalty = 1.6
	// busyWeight is the weight of the newest value in the running mean of requests
	// in progress.
	busyWeight = 0.1
)

// target is a registered target with the state that this host has observed.
type target struct {
	registered cactuspin.RegisteredTarget
	cookie     cactuspin.Cookie
	service    *service
	zone       *zone
	// group holds the targets at the same address, including this one.
	group *addressGroup
	// warmUntil is when the target has warmed up.
	warmUntil cactuspin.Time
	// limiter limits the new flows while the target is cold; nil without a limit.
	limiter *warmup.Limiter
	// listedCold reports that the target is in warmups.cold.
	listedCold bool
	// removedAt is when the target counts as removed, or 0.
	removedAt cactuspin.Time
	// flows and busy count the flows and the requests in progress that this host
	// sees.
	flows, busy atomic.Int32
	// otherFlows is the number of flows of other hosts, as they reported it lately.
	otherFlows int
	// meanBusy is the running mean of busy over about ten ticks.
	meanBusy float64
	health   health
	slowness slowness
	// newFailures counts the requests that failed since the last tick, failures is
	// the decayed count of earlier ones. totalFailures includes the failures that
	// other hosts report, failureLoad is the load that results from it.
	newFailures                          atomic.Int32
	failures, totalFailures, failureLoad float64
	// active reports that the target is in the active set.
	active atomic.Bool
}

func newTarget(now cactuspin.Time, r *cactuspin.RegisteredTarget, v *service) *target {
	t := &target{service: v, zone: v.zone(r.Zone), cookie: CookieOf(r.ID)}
	t.limit(now)
	t.update(now, r)
	return t
}

// CookieOf derives the cookie of a target from its ID, so that it is the same at
// every host.
func CookieOf(id cactuspin.TargetID) cactuspin.Cookie {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(1, cactuspin.Cookie(h.Sum32()))
}

func (t *target) update(now cactuspin.Time, r *cactuspin.RegisteredTarget) {
	if r.Started != t.registered.Started {
		t.health.recordAlive(now)
		t.slowness.reset()
		t.failures = 0
	}
	if r.Started != t.registered.Started || t.limiter == nil {
		t.warmUntil = 0
	}
	t.registered = *r
	// A target with a limit may have restarted since it wrote the registration.
	t.warmUntil = max(t.warmUntil, now.Add(r.Warmup))
	t.removedAt = 0
}

// end handles the end of the registration. The target may stay alive until hold
// has passed.
func (t *target) end(now cactuspin.Time, hold time.Duration) { t.removedAt = now.Add(hold) }

// ended reports whether the registration has ended and its hold time has passed.
func (t *target) ended(now cactuspin.Time) bool { return t.removedAt != 0 && now >= t.removedAt }

// usable reports whether the target may get new flows.
func (t *target) usable(now cactuspin.Time) bool {
	return t.registered.State == cactuspin.TargetReady && !t.zone.evacuation.active(now) && !t.ended(now) && !t.health.unverified.Load() && !t.replaced()
}

// replaced reports whether a later target is registered at the same address. Then
// this one stopped without deregistering, and its registration has not expired
// yet. A probe cannot detect this, since the address answers. The registration of a
// service that no configuration names may be that of another writer, and no flow would
// go there instead.
func (t *target) replaced() bool {
	return slices.ContainsFunc(t.group.targets, func(x *target) bool { return x.removedAt == 0 && x.service.named && x.startedAfter(t) })
}

func (t *target) startedAfter(x *target) bool {
	a, b := &t.registered, &x.registered
	return a.Started > b.Started || (a.Started == b.Started && a.Revision > b.Revision && t != x)
}

// addressGroup holds the targets that are registered at one address, usually one.
type addressGroup struct{ targets []*target }

// addressIndex indexes targets by address.
type addressIndex map[netip.AddrPort]*addressGroup

// add adds a target under its current address.
func (b addressIndex) add(t *target) {
	a := t.registered.Address
	if b[a] == nil {
		b[a] = &addressGroup{}
	}
	t.group = b[a]
	t.group.targets = append(t.group.targets, t)
}

// remove removes a target that was added under address a.
func (b addressIndex) remove(t *target, a netip.AddrPort) {
	g := b[a]
	g.targets = slices.DeleteFunc(g.targets, func(x *target) bool { return x == t })
	if len(g.targets) == 0 {
		delete(b, a)
	}
}

// suspect reports whether the target should get no new flows because it may be
// dead.
func (t *target) suspect(now cactuspin.Time) bool { return t.health.avoided(now) }

func (t *target) fillVerdict(v *cactuspin.Verdict) {
	v.TargetNumber, v.TargetAddress, v.Target, v.TargetRequests = t.registered.Number, t.registered.Address, t.registered.ID, int(t.busy.Load())
}

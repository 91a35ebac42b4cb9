package balancer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/warmup"
)

const (
	// maxAttempts limits how often a target is chosen for one flow. Another is chosen if
	// the token of a cold target was taken by a flow that is placed at the same time.
	maxAttempts = 4
	// maxHeld limits the cold targets that are skipped for one flow, so that the cost of
	// placement does not grow with their number.
	maxHeld = 256
	// maxSYNAge is how long after its first packet a caller gives up on a flow that gets
	// no answer, as defined by the platform, and some delay.
	maxSYNAge = 2 * time.Second
)

// warmups limits the new flows to cold targets of services with a limit. All services of a
// balancer share it.
type warmups struct {
	self netip.Addr
	zone cactuspin.ZoneID
	// settings holds the services with a limit, as configured lists them.
	settings   map[cactuspin.ServiceName]cactuspin.ServiceSettings
	configured []cactuspin.ServiceSettings
	// eligible lists the hosts that may own cold targets.
	eligible atomic.Pointer[warmup.List]
	// cold are the cold targets of services with a limit, own is the number of those in
	// this host's zone.
	cold []*target
	own  atomic.Int32
	// changed reports that the cold targets have to be counted again.
	changed bool
	// heldAway counts the flows that were kept from cold targets.
	heldAway atomic.Uint64
}

// of returns the settings of a service, or nil if it has no limit.
func (w *warmups) of(name cactuspin.ServiceName) *cactuspin.ServiceSettings {
	s, ok := w.settings[name]
	if !ok {
		return nil
	}
	return &s
}

// longest returns the longest warm-up time of a service with a limit.
func (w *warmups) longest() (d time.Duration) {
	for _, s := range w.settings {
		d = max(d, s.Warmup)
	}
	return d
}

// SetEligible records which hosts may own cold targets. It must be called on each tick.
func (b *Balancer) SetEligible(now cactuspin.Time, hosts []netip.Addr) {
	old := b.warmups.eligible.Load()
	if len(hosts) == 0 && old.Len(now) == 0 {
		return
	}
	b.warmups.eligible.Store(old.Renew(now, hosts))
}

// ColdTargets returns the number of cold targets in this host's zone that have a limit.
func (b *Balancer) ColdTargets() int { return int(b.warmups.own.Load()) }

// HeldAway returns the number of new flows that were sent to other zones or refused because
// targets of this host's zone are cold.
func (b *Balancer) HeldAway() uint64 { return b.warmups.heldAway.Load() }

// setWarmups puts the limits of a routing in force.
func (b *Balancer) setWarmups(now cactuspin.Time, r *cactuspin.Routing) {
	w := b.warmups
	if slices.Equal(w.configured, r.Warmups) {
		return
	}
	w.configured, w.settings = r.Warmups, map[cactuspin.ServiceName]cactuspin.ServiceSettings{}
	for _, s := range r.Warmups {
		// Peers may send any number.
		if s.WarmupRate > 0 && !math.IsInf(s.WarmupRate, 0) {
			s.Warmup = max(0, s.Warmup)
			w.settings[s.Name] = s
		}
	}
	for _, v := range b.services {
		v.limit = w.of(v.name)
		for _, z := range v.zones {
			for _, t := range z.targets {
				t.limit(now)
			}
		}
	}
	w.collect(now, b.services)
}

// limit gives the target the limiter that its service asks for.
func (t *target) limit(now cactuspin.Time) {
	t.limiter = nil
	if s := t.service.limit; s != nil {
		t.limiter = warmup.NewLimiter(now, t.cookie, t.service.warmups.self, s)
	}
}

// collect finds the cold targets among all targets.
func (w *warmups) collect(now cactuspin.Time, services map[cactuspin.ServiceName]*service) {
	for _, t := range w.cold {
		t.listedCold = false
	}
	w.cold = w.cold[:0]
	for _, v := range services {
		for _, z := range v.zones {
			z.cold = 0
			if v.limit == nil {
				continue
			}
			for _, t := range z.targets {
				if t.listedCold = t.cold(now); t.listedCold {
					w.cold = append(w.cold, t)
				}
			}
		}
	}
	w.changed = true
}

// update adds a target whose registration has changed if it is cold now.
func (w *warmups) update(now cactuspin.Time, t *target) {
	if t.limiter == nil || !t.cold(now) {
		return
	}
	w.changed = true
	if t.listedCold {
		return
	}
	t.limiter.Restart(now)
	t.listedCold = true
	w.cold = append(w.cold, t)
}

// count removes the targets that have warmed up or ended, and counts the others by zone.
func (w *warmups) count(now cactuspin.Time) {
	w.changed = false
	for _, t := range w.cold {
		t.zone.cold = 0
	}
	w.cold = slices.DeleteFunc(w.cold, func(t *target) bool {
		t.listedCold = t.limitedCold(now) && !t.ended(now)
		return !t.listedCold
	})
	own := 0
	for _, t := range w.cold {
		if t.registered.State != cactuspin.TargetReady || t.removedAt != 0 {
			continue
		}
		t.zone.cold++
		if t.zone.name == w.zone {
			own++
		}
	}
	w.own.Store(int32(own))
}

// cold reports whether the target has not warmed up. Targets with a limit are cold for the
// warm-up time after their zone's return: registrations that say so arrive later.
func (t *target) cold(now cactuspin.Time) bool {
	return now < t.warmUntil || (t.limiter != nil && now < t.zone.evacuation.returnedAt.Add(t.limiter.Warmup()))
}

// limitedCold reports whether the target is cold and has a limit.
func (t *target) limitedCold(now cactuspin.Time) bool { return t.limiter != nil && t.cold(now) }

// held reports whether the target gets no new flow now because it is cold.
func (t *target) held(now cactuspin.Time) bool {
	if !t.limitedCold(now) {
		return false
	}
	w := t.service.warmups
	return t.zone.name != w.zone || !t.limiter.Ready(now, w.eligible.Load())
}

// admit counts a new flow against the target's limit. It reports false if the target can
// get none.
func (t *target) admit(now cactuspin.Time) bool {
	if !t.limitedCold(now) {
		return true
	}
	w := t.service.warmups
	return t.zone.name == w.zone && t.limiter.Take(now, w.eligible.Load())
}

// chooseAdmitted chooses the target for a new flow and counts the flow against its limit.
func (b *Balancer) chooseAdmitted(now cactuspin.Time, v *service, exclude *target, long bool, random *rand.Rand) (t *target, decided rule) {
	if v.limit == nil {
		return v.choose(now, b.config.Zone, exclude, long, random)
	}
	for range maxAttempts {
		t, decided = v.chooseWithCold(now, b.config.Zone, exclude, long, random)
		if t == nil || t.admit(now) {
			break
		}
		t, decided = nil, ruleNoTarget
	}
	if z := v.existingZone(b.config.Zone); z != nil && z.cold > 0 && (t == nil || (t.zone != z && z.shortOfWarm())) {
		b.warmups.heldAway.Add(1)
	}
	return t, decided
}

// chooseWithCold chooses the target for a new flow of a service with or without a limit. It
// counts nothing, so that explanations use it, too.
func (v *service) chooseWithCold(now cactuspin.Time, local cactuspin.ZoneID, exclude *target, long bool, random *rand.Rand) (*target, rule) {
	if v.limit != nil {
		if t, decided := v.chooseAroundCold(now, local, exclude, long, random); t != nil {
			return t, decided
		}
	}
	return v.choose(now, local, exclude, long, random)
}

// chooseAroundCold places the share of the flows that the cold targets of the local zone
// would get: at a cold target if possible, otherwise in other zones by their free slots. If
// all went to the few warm targets of the zone, they would be overloaded. It returns nil
// if the flow is to be placed as usual, also if the warm targets have room for all.
func (v *service) chooseAroundCold(now cactuspin.Time, local cactuspin.ZoneID, exclude *target, long bool, random *rand.Rand) (*target, rule) {
	own := v.existingZone(local)
	if own == nil || own.evacuation.active(now) || !own.shortOfWarm() || random.IntN(len(own.targets)) >= own.cold {
		return nil, ruleNoTarget
	}
	if t := own.chooseCold(now, exclude, random); t != nil {
		return t, ruleColdTarget
	}
	z := v.chooseDisplaced(now, random)
	if z == nil {
		return nil, ruleNoTarget
	}
	if t, _ := z.choose(now, exclude, long, random); t != nil && !t.failing() {
		return t, ruleZoneCold
	}
	return nil, ruleNoTarget
}

// shortOfWarm reports whether the warm targets of the zone may have too little room for
// its flows: they are less than half, or crowded.
func (z *zone) shortOfWarm() bool {
	n := len(z.targets)
	return z.cold > 0 && (2*z.cold > n || z.utilization*float64(n) >= spillThreshold*float64(n-z.cold))
}

// chooseCold returns a cold target that may get a new flow now, or nil.
func (z *zone) chooseCold(now cactuspin.Time, exclude *target, random *rand.Rand) *target {
	n := len(z.targets)
	first := random.IntN(n)
	for i := range min(n, maxHeld) {
		t := z.targets[(first+i)%n]
		if t != exclude && t.limitedCold(now) && t.usable(now) && !t.suspect(now) && !t.failing() && !t.held(now) {
			return t
		}
	}
	return nil
}

// hasCold reports whether a service to which a route leads has cold targets with a limit.
func (b *Balancer) hasCold(r *route) bool {
	return slices.ContainsFunc(r.Services, func(w cactuspin.WeightedService) bool {
		v := b.services[w.Service]
		return v != nil && v.limit != nil && slices.ContainsFunc(v.zones, func(z *zone) bool { return z.cold > 0 })
	})
}

// reasonWithoutTarget returns why no target was found for a new flow.
func (b *Balancer) reasonWithoutTarget(r *route) cactuspin.VerdictReason {
	if b.hasCold(r) {
		return cactuspin.ReasonTargetsCold
	}
	return cactuspin.ReasonNoTarget
}

// beginsAgain reports whether a SYN begins another flow of the same caller's address
// rather than being a copy of the SYN that this host has forwarded. Only a copy may go to
// a cold target without being counted.
func (f *flow) beginsAgain(now cactuspin.Time, copied bool) bool {
	t := f.target
	return t.limitedCold(now) && (!copied || f.established || now.Sub(f.lastSeen) > maxSYNAge)
}

// recordRestart treats a target as cold that refused connections and accepts them again:
// it has probably restarted under the same ID, and its registration arrives later.
func (b *Balancer) recordRestart(now cactuspin.Time, id cactuspin.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil || t.limiter == nil {
		return
	}
	t.warmUntil = max(t.warmUntil, now.Add(t.limiter.Warmup()))
	b.warmups.update(now, t)
	b.warmups.count(now)
}

package balancer

import (
	"cmp"
	"math"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// TargetExplanation is what a host knows of a target. Durations are in seconds; an age of
// something that never happened is missing.
type TargetExplanation struct {
	Target cactuspin.TargetID `json:"target"`
	// Share is the share of new flows of the route that go to the target.
	Share float64 `json:"share"`
	// Load is what choices compare; the lowest is chosen.
	Load float64 `json:"load"`
	// Unusable is why the target gets no new flows, or empty.
	Unusable string `json:"unusable,omitempty"`
	// Condition is what unanswered packets, probes and reports of other hosts show.
	Condition string `json:"condition"`
	// Avoided reports that the target gets new flows only if no other is left, and none if
	// it is dead.
	Avoided bool `json:"avoided,omitempty"`
	// EvidenceAge is the age of what the condition is based on.
	EvidenceAge *float64 `json:"evidence_age_s,omitempty"`
	// AliveAge is the time since the target last answered, or since its start was learned.
	AliveAge *float64 `json:"alive_age_s,omitempty"`
	// Requests and Flows are those of this host.
	Requests int `json:"busy"`
	Flows    int `json:"flows"`
	// OtherFlows are those of the other hosts, as they have lately reported them.
	OtherFlows int `json:"other_flows,omitempty"`
	Slots      int `json:"slots"`
	// Slowness is the factor for its response times, and SlownessAge the age of the newest
	// one.
	Slowness    float64  `json:"slowness"`
	SlownessAge *float64 `json:"slowness_age_s,omitempty"`
	// Failures is the decayed number of failed requests that all hosts have seen.
	Failures    float64 `json:"failures"`
	FailureLoad float64 `json:"failure_load"`
	Failing     bool    `json:"failing,omitempty"`
	WarmupLeft  float64 `json:"warmup_left_s,omitempty"`
	// Cold is set if new flows to the target are limited: whether this host may send any.
	Cold string `json:"cold,omitempty"`
}

// compareExplained orders the targets of a zone: those that are chosen first, then those
// that are avoided or unusable, then the others.
func compareExplained(a, b TargetExplanation) int {
	rank := func(t *TargetExplanation) int {
		if t.Unusable != "" || t.Avoided || t.Failing || t.WarmupLeft > 0 {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Target, b.Target))
}

// explain describes the target, which was chosen in a number of trial choices and has a
// load by which it is compared with others.
func (t *target) explain(now cactuspin.Time, chosen int, load float64) TargetExplanation {
	x := TargetExplanation{
		Target: t.registered.ID, Share: float64(chosen) / trialChoices, Load: finite(load),
		Unusable: t.unusableBecause(now), Avoided: t.suspect(now),
		Requests: int(t.busy.Load()), Flows: int(t.flows.Load()), OtherFlows: t.otherFlows, Slots: t.registered.Slots,
		Slowness: t.slowness.factor(now), SlownessAge: t.slowness.age(now),
		Failures: t.totalFailures, FailureLoad: t.failureLoad, Failing: t.failing(),
		WarmupLeft: t.warmupLeft(now).Seconds(), Cold: t.coldBecause(now),
	}
	x.Condition, x.EvidenceAge, x.AliveAge = t.health.explain(now)
	return x
}

// warmupLeft returns how long the target is still cold.
func (t *target) warmupLeft(now cactuspin.Time) time.Duration {
	until := t.warmUntil
	if t.limiter != nil && t.cold(now) {
		until = max(until, t.zone.evacuation.returnedAt.Add(t.limiter.Warmup()))
	}
	return max(0, until.Sub(now))
}

// coldBecause describes whether a cold target with a limit may get a new flow of this host,
// or returns the empty string.
func (t *target) coldBecause(now cactuspin.Time) string {
	cold, owned := t.explainCold(now)
	switch {
	case !cold:
		return ""
	case owned == 0:
		return "not owned by this host"
	case t.held(now):
		return "owned, its next flow is not due"
	default:
		return "owned, may get a flow"
	}
}

// finite returns the largest number instead of infinity, which JSON does not have; a
// target without slots has an infinite load.
func finite(load float64) float64 { return min(load, math.MaxFloat64) }

// unusableBecause returns why the target gets no new flows, or the empty string.
func (t *target) unusableBecause(now cactuspin.Time) string {
	switch {
	case t.usable(now):
		return ""
	case t.registered.State != cactuspin.TargetReady:
		return t.registered.State.String()
	case t.zone.evacuation.active(now):
		return "zone evacuated"
	case t.ended(now):
		return "removed"
	case t.replaced():
		return "replaced"
	case t.health.unverified.Load():
		return "in a backup, not probed yet"
	}
	return "excluded"
}

// explain returns the condition, the age of the evidence for it, and the time since the
// target was last alive.
func (h *health) explain(now cactuspin.Time) (name string, evidence, alive *float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	alive = ageOf(now, h.lastAlive)
	switch {
	case h.condition == dead:
		return "dead", ageOf(now, h.foundDownAt), alive
	case h.condition == down:
		return "down", ageOf(now, h.foundDownAt), alive
	case now < h.reportedUntil:
		return "reported down", ageOf(now, h.reportedUntil.Add(-encoder.DownLifetime)), alive
	case now < h.probationUntil:
		return "on probation", ageOf(now, h.probationUntil.Add(-probationTime)), alive
	case h.condition == suspect:
		return "suspect", ageOf(now, h.lastMissed), alive
	}
	return "healthy", alive, alive
}

// age returns the time since the newest response time, or nil if there is none.
func (s *slowness) age(now cactuspin.Time) *float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ageOf(now, s.excess.updated)
}

// ageOf returns the time since at in seconds, or nil if at is 0.
func ageOf(now, at cactuspin.Time) *float64 {
	if at == 0 {
		return nil
	}
	age := max(time.Duration(0), now.Sub(at)).Seconds()
	return &age
}

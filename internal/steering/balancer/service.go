package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	// idleFlowLoad is the load of an open flow without a request in progress: the
	// share of time for which a flow with recurring requests occupies a slot.
	idleFlowLoad = 0.06
	// maxCandidates limits the number of targets compared for one flow, so that the
	// cost of placement does not grow with the number of targets.
	maxCandidates = 24
	// spillThreshold is the utilization of a zone from which new flows may go to
	// other zones. Below it, flows stay in their zone and survive failures of the
	// others.
	spillThreshold = 0.8
	// spillMargin is by how much the utilization of the other zone must be lower.
	spillMargin = 0.15
)

// service holds the targets of one service.
type service struct {
	name cactuspin.ServiceName
	// named reports that the configuration names the service.
	named bool
	// zones are sorted by name.
	zones []*zone
	// evacuations holds the states of the zones, shared by all services.
	evacuations evacuations
	// limit is what limits new flows to cold targets, or nil.
	limit   *cactuspin.ServiceSettings
	warmups *warmups
}

// zone holds the targets of a service in one zone.
type zone struct {
	name    cactuspin.ZoneID
	subject encoder.Subject
	targets []*target
	// evacuation is the state of the zone.
	evacuation *evacuation
	// cold is the number of cold targets with a limit.
	cold int
	// utilization is the share of the slots in use, with the requests of all hosts.
	utilization float64
	// slots is the number of slots at the last update of utilization, or -1 before.
	slots int
	// partition is the part of the targets that this host prefers.
	partition partition
}

// findZone returns the index of a zone, or where it belongs, and whether it exists.
func (v *service) findZone(name cactuspin.ZoneID) (i int, found bool) {
	return slices.BinarySearchFunc(v.zones, name, func(z *zone, name cactuspin.ZoneID) int { return cmp.Compare(z.name, name) })
}

// existingZone returns a zone of the service, or nil.
func (v *service) existingZone(name cactuspin.ZoneID) *zone {
	if i, found := v.findZone(name); found {
		return v.zones[i]
	}
	return nil
}

// zone returns a zone of the service, which it adds if there is none.
func (v *service) zone(name cactuspin.ZoneID) *zone {
	i, found := v.findZone(name)
	if found {
		return v.zones[i]
	}
	z := &zone{name: name, subject: subjectOf(v.name, name), evacuation: v.evacuations.of(name), slots: -1}
	v.zones = slices.Insert(v.zones, i, z)
	return z
}

// remove removes a target from the zone.
func (z *zone) remove(t *target) {
	if i := slices.Index(z.targets, t); i >= 0 {
		z.partition = partition{}
		z.targets = slices.Delete(z.targets, i, i+1)
	}
}

// choose returns the target for a new flow of callers in the zone local, and the rule that
// decided. long reports that flows of its route have many requests. Targets that fail much
// more often than others are used only if there is no other, suspect targets last, and dead
// ones never.
func (v *service) choose(now cactuspin.Time, local cactuspin.ZoneID, exclude *target, long bool, random *rand.Rand) (*target, rule) {
	var failing, suspect *target
	z, decided := v.firstZone(now, local, random)
	if z != nil {
		t, s := z.choose(now, exclude, long, random)
		if t != nil && !t.failing() {
			return t, decided
		}
		failing, suspect = t, s
	}
	var best *target
	lowest := math.Inf(1)
	for _, z := range v.zones {
		t, s := z.choose(now, exclude, long, random)
		if t != nil && !t.failing() && z.utilization < lowest {
			best, lowest = t, z.utilization
		}
		if failing == nil {
			failing = t
		}
		if suspect == nil {
			suspect = s
		}
	}
	switch {
	case best != nil:
		return best, ruleOtherZone
	case failing != nil:
		return failing, ruleOnlyFailing
	case suspect != nil:
		return suspect, ruleOnlySuspect
	}
	return nil, ruleNoTarget
}

// firstZone returns the local zone, or nil if the service has no targets there, and the
// rule by which the zone was chosen. If the local zone is crowded, it returns the least
// utilized zone instead with a probability that grows with the difference in utilization.
// Flows of an evacuated zone go to any zone by its free slots.
func (v *service) firstZone(now cactuspin.Time, local cactuspin.ZoneID, random *rand.Rand) (*zone, rule) {
	var own, least *zone
	for _, z := range v.zones {
		if z.name == local {
			own = z
		}
		if len(z.targets) > z.cold && !z.evacuation.active(now) && (least == nil || z.utilization < least.utilization) {
			least = z
		}
	}
	if v.evacuations.active(now, local) {
		return v.chooseDisplaced(now, random), ruleZoneEvacuated
	}
	if own == nil || least == nil || own.utilization < spillThreshold || own.utilization-least.utilization < spillMargin {
		return own, ruleOwnZone
	}
	if random.Float64()*own.utilization < (own.utilization-least.utilization)/2 {
		return least, ruleOwnZoneCrowded
	}
	return own, ruleOwnZone
}

// hasCapacity reports whether a zone has free slots and a usable target that is
// not suspect.
func (v *service) hasCapacity(now cactuspin.Time) bool {
	for _, z := range v.zones {
		if z.utilization >= 1 {
			continue
		}
		for _, t := range z.targets[:min(len(z.targets), maxCandidates)] {
			if t.usable(now) && !t.suspect(now) && !t.limitedCold(now) {
				return true
			}
		}
	}
	return false
}

// choose returns the least loaded target, and one that is suspect.
func (z *zone) choose(now cactuspin.Time, exclude *target, long bool, random *rand.Rand) (best, suspect *target) {
	n := len(z.targets)
	if n == 0 || z.evacuation.active(now) {
		return nil, nil
	}
	p := z.placement(long, random)
	compared, held, lowest := 0, 0, math.Inf(1)
	for i := 0; i < n && compared < maxCandidates && held < maxHeld && p.minLoad(i) < lowest; i++ {
		t := z.targets[p.index(i)]
		if !t.usable(now) || t == exclude {
			continue
		}
		if t.held(now) {
			held++
			continue
		}
		compared++
		if t.suspect(now) {
			// A flow to a dead target would leave its caller waiting for nothing.
			if !t.health.isDead() {
				suspect = t
			}
			continue
		}
		if l := p.load(now, t, i); l < lowest {
			best, lowest = t, l
		}
	}
	return best, suspect
}

// load estimates how long a new request would wait at the target, from the flows
// of this host only: counts of other hosts are too old for this, and would make
// all hosts choose the same target.
func (t *target) load(now cactuspin.Time) float64 {
	busy := float64(t.busy.Load())
	idle := float64(t.flows.Load()) - busy
	slots := float64(t.registered.Slots)
	factor := t.slowness.factor(now)
	if t.cold(now) {
		factor = max(factor, warmupPenalty)
	}
	return (busy+idleFlowLoad*max(0, idle)+1)/slots*factor + t.failureLoad
}

// updateUtilization computes the utilization of the zones from the requests of
// this and of other hosts.
func (v *service) updateUtilization(others map[encoder.Subject]encoder.Load) {
	for _, z := range v.zones {
		busy, slots := float64(others[z.subject].ActiveRequests)/encoder.ActiveRequestsScale, 0
		z.slots = 0
		for _, t := range z.targets {
			if t.registered.State != cactuspin.TargetReady {
				continue
			}
			busy += t.meanBusy
			slots += t.registered.Slots
			if t.removedAt == 0 {
				z.slots += t.registered.Slots
			}
		}
		z.utilization = busy / max(1, float64(slots))
	}
}

package steerer

import (
	"math"
	"math/rand/v2"

	"github.com/cactuspin/cactuspin"
)

const (
	// idleFlowLoad is the load of an open flow without a request in progress: the
	// share of its time that a flow of repeated requests keeps a slot busy.
	idleFlowLoad = 0.06
	// otherZoneLoad is what a target in another zone counts as busier, in slots:
	// enough to prefer this zone among equals only.
	otherZoneLoad = 0.15
	// maxCandidates bounds the targets that are compared for one flow, so that
	// placement costs the same at any number of targets.
	maxCandidates = 24
)

// service is the targets of one service.
type service struct {
	name     cactuspin.ServiceName
	targets  []*target
	byCookie map[cactuspin.Cookie]*target
}

// choose returns the least loaded target. Suspect ones are used only if there
// is no other.
func (v *service) choose(now cactuspin.Time, zone cactuspin.ZoneID, not *target, random *rand.Rand) *target {
	n := len(v.targets)
	if n == 0 {
		return nil
	}
	first, compared := random.IntN(n), 0
	var best, suspect *target
	lowest := math.Inf(1)
	for i := 0; i < n && compared < maxCandidates; i++ {
		t := v.targets[(first+i)%n]
		if !t.usable(now) || t == not {
			continue
		}
		if t.suspect(now) {
			suspect = t
			continue
		}
		compared++
		if l := t.load(now, zone); l < lowest {
			best, lowest = t, l
		}
	}
	if best == nil {
		return suspect
	}
	return best
}

// load estimates how long a new request would wait at the target.
func (t *target) load(now cactuspin.Time, zone cactuspin.ZoneID) float64 {
	busy := float64(t.busy.Load() + t.othersBusy.Load())
	idle := float64(t.flows.Load()+t.othersFlows.Load()) - busy
	l := (busy + idleFlowLoad*max(0, idle)) / float64(t.registered.Slots)
	if now < t.warmUntil {
		l = (l + 1/float64(t.registered.Slots)) * coldPenalty
	}
	if t.registered.Zone != zone {
		l += otherZoneLoad / float64(t.registered.Slots)
	}
	return l
}

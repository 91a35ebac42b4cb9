package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// minFreeShare is the lowest share of free slots that counts for a zone when flows of an
// evacuated zone are spread, so that zones which are all full share the flows.
const minFreeShare = 0.02

const (
	// maxKnownZones limits the zones whose return from an evacuation is learned from peers.
	maxKnownZones = 1024
	// sameReturn is the difference in time up to which two hosts mean the same return:
	// what the store's changes may take to reach a host, and some delay.
	sameReturn = 5 * time.Second
)

// evacuation is the state of a zone, shared by its services.
type evacuation struct {
	evacuated bool
	// until is how long the zone still counts as evacuated after its return.
	until cactuspin.Time
	// returnedAt is when the zone last returned from an evacuation, or 0.
	returnedAt cactuspin.Time
}

// active reports whether no new flows may go to the zone.
func (e *evacuation) active(now cactuspin.Time) bool { return e.evacuated || now < e.until }

// evacuations holds the states of zones.
type evacuations map[cactuspin.ZoneID]*evacuation

// of returns the state of a zone.
func (x evacuations) of(zone cactuspin.ZoneID) *evacuation {
	if x[zone] == nil {
		x[zone] = &evacuation{}
	}
	return x[zone]
}

// active reports whether no new flows may go to a zone.
func (x evacuations) active(now cactuspin.Time, zone cactuspin.ZoneID) bool {
	e := x[zone]
	return e != nil && e.active(now)
}

// apply applies a change of a zone's state.
func (x evacuations) apply(now cactuspin.Time, c *tracker.ZoneChange) {
	e := x.of(c.Zone)
	e.evacuated, e.until = c.Evacuated, now.Add(c.Hold)
	if !c.Evacuated {
		e.returnedAt = e.until
	}
}

// RecentReturns lists the zones whose targets may be cold because the zone has returned
// from an evacuation.
func (b *Balancer) RecentReturns(now cactuspin.Time) (returns []encoder.ZoneReturn) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	longest := b.warmups.longest()
	if longest == 0 {
		return nil
	}
	for zone, e := range b.evacuations {
		if e.returnedAt != 0 && !e.active(now) && now.Sub(e.returnedAt) < longest {
			returns = append(returns, encoder.ZoneReturn{Zone: zone, Since: now.Sub(e.returnedAt)})
		}
	}
	slices.SortFunc(returns, func(a, b encoder.ZoneReturn) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Zone, b.Zone))
	})
	return returns[:min(len(returns), encoder.MaxReturns)]
}

// RecordReturns records the returns that a peer lists. A host that has started since
// cannot know them from the store.
func (b *Balancer) RecordReturns(now cactuspin.Time, returns []encoder.ZoneReturn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range returns {
		if b.evacuations[r.Zone] == nil && len(b.evacuations) >= maxKnownZones {
			continue
		}
		e := b.evacuations.of(r.Zone)
		at := now.Add(-r.Since)
		if e.active(now) || at.Sub(e.returnedAt) < sameReturn {
			continue
		}
		e.returnedAt = at
		b.warmups.collect(now, b.services)
		b.warmups.count(now)
	}
}

// chooseDisplaced returns a zone for a flow whose own zone is evacuated, or nil. Zones are
// chosen at random by their free slots: if all hosts chose the least utilized one, they
// would overrun it until its utilization is known.
func (v *service) chooseDisplaced(now cactuspin.Time, random *rand.Rand) *zone {
	var total float64
	for _, z := range v.zones {
		total += z.freeSlots(now)
	}
	n := random.Float64() * total
	for _, z := range v.zones {
		free := z.freeSlots(now)
		if n < free {
			return z
		}
		n -= free
	}
	return nil
}

// freeSlots returns the number of free slots in the zone. Cold targets with a limit have
// none.
func (z *zone) freeSlots(now cactuspin.Time) float64 {
	if z.evacuation.active(now) || len(z.targets) == 0 {
		return 0
	}
	slots := z.slots
	if slots < 0 {
		// The load is not known yet; targets of a service have about as many slots each.
		slots = len(z.targets)
	}
	warm := float64(len(z.targets)-z.cold) / float64(len(z.targets))
	return float64(slots) * warm * max(minFreeShare, 1-z.utilization)
}

// HasTargets reports whether a service has targets in a zone.
func (b *Balancer) HasTargets(name cactuspin.ZoneID) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, v := range b.services {
		for _, z := range v.zones {
			if z.name == name && len(z.targets) > 0 {
				return true
			}
		}
	}
	return false
}

package tracker

import (
	"slices"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// maxZones limits the zones whose state is remembered. Any writer of the store can name
// zones that do not exist.
const maxZones = 1024

// ZoneChange is a change of a zone's state.
type ZoneChange struct {
	cactuspin.ZoneState
	// Hold is how long a zone that returns from an evacuation is still to be treated as
	// evacuated.
	Hold time.Duration
}

// mergeZone merges the state of a zone.
func (tr *Tracker) mergeZone(s cactuspin.ZoneState, c *Change) {
	old, known := tr.zones[s.Zone]
	if old.Revision >= s.Revision || tr.superseded(s.Revision) {
		return
	}
	if !known && len(tr.zones) >= maxZones {
		tr.forgetReturnedZones()
	}
	if !known && len(tr.zones) >= maxZones {
		c.OmittedZones++
		return
	}
	tr.setZone(s)
	tr.lastChange = max(tr.lastChange, s.Revision)
	if old.Evacuated == s.Evacuated {
		return
	}
	c.Zones = append(c.Zones, ZoneChange{ZoneState: s})
}

// returnUnlistedZones ends the evacuations that a full update does not list. A peer may list
// an earlier return of a zone instead, if it did not see the later evacuation.
func (tr *Tracker) returnUnlistedZones(u *cactuspin.Update, hold time.Duration, c *Change) {
	evacuated := make(map[cactuspin.ZoneID]bool, len(u.Zones))
	for _, s := range u.Zones {
		evacuated[s.Zone] = s.Evacuated
	}
	for _, zone := range tr.evacuated {
		if evacuated[zone] || tr.zones[zone].Revision > u.Revision {
			continue
		}
		state := cactuspin.ZoneState{Zone: zone, Revision: u.Revision}
		tr.setZone(state)
		c.Zones = append(c.Zones, ZoneChange{ZoneState: state, Hold: hold})
	}
}

// forgetReturnedZones makes room for the states of other zones. States up to the revision
// of the knowledge are not needed against late updates, and hosts that are behind get a
// full update instead.
func (tr *Tracker) forgetReturnedZones() {
	for zone, s := range tr.zones {
		if !s.Evacuated && s.Revision <= tr.revision {
			tr.removedSince = max(tr.removedSince, s.Revision)
			delete(tr.zones, zone)
		}
	}
}

// setZone records the state of a zone.
func (tr *Tracker) setZone(s cactuspin.ZoneState) {
	tr.zones[s.Zone] = s
	// Readers of a Position hold the present slice.
	zones := slices.DeleteFunc(slices.Clone(tr.evacuated), func(z cactuspin.ZoneID) bool { return z == s.Zone })
	if s.Evacuated {
		zones = append(zones, s.Zone)
		slices.Sort(zones)
	}
	tr.evacuated = zones
}

// zoneStatesAfter returns the states that changed after a revision, sorted by zone.
func (tr *Tracker) zoneStatesAfter(after cactuspin.Revision) (states []cactuspin.ZoneState) {
	for _, s := range tr.zones {
		if s.Revision > after {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b cactuspin.ZoneState) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return states
}

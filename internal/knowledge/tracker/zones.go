package tracker

import (
	"slices"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// maxZones limits the zones whose state is remembered. States are never removed, so that
// a late update cannot bring an old one back.
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
	if old.Revision >= s.Revision || tr.superseded(s.Revision) || (!known && len(tr.zones) >= maxZones) {
		return
	}
	tr.zones[s.Zone] = s
	tr.lastChange = max(tr.lastChange, s.Revision)
	if old.Evacuated == s.Evacuated {
		return
	}
	c.Zones = append(c.Zones, ZoneChange{ZoneState: s})
}

// returnUnlistedZones ends the evacuations that a full update does not list.
func (tr *Tracker) returnUnlistedZones(u *cactuspin.Update, hold time.Duration, c *Change) {
	for _, old := range tr.zoneStatesAfter(0) {
		listed := slices.ContainsFunc(u.Zones, func(s cactuspin.ZoneState) bool { return s.Zone == old.Zone })
		if listed || !old.Evacuated || old.Revision > u.Revision {
			continue
		}
		state := cactuspin.ZoneState{Zone: old.Zone, Revision: u.Revision}
		tr.zones[old.Zone] = state
		c.Zones = append(c.Zones, ZoneChange{ZoneState: state, Hold: hold})
	}
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

// evacuatedZones returns the zones that are evacuated, sorted.
func (tr *Tracker) evacuatedZones() (zones []cactuspin.ZoneID) {
	for _, s := range tr.zoneStatesAfter(0) {
		if s.Evacuated {
			zones = append(zones, s.Zone)
		}
	}
	return zones
}

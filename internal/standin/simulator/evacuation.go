package simulator

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// evacuationBound is the time after which no new flow reaches an evacuated zone.
const evacuationBound = 5 * time.Second

// setZone evacuates or returns a zone; it reports false while the store is unavailable.
func (s *store) setZone(zone cactuspin.ZoneID, evacuated bool) bool {
	if s.unavailable {
		return false
	}
	s.sim.oracle.zoneChanged(s.putZone(zone, evacuated))
	return true
}

func (s *store) putZone(zone cactuspin.ZoneID, evacuated bool) *cactuspin.ZoneState {
	state := cactuspin.ZoneState{Zone: zone, Evacuated: evacuated, Revision: s.revision + 1}
	s.zones[zone] = state
	s.commit(change{zone: &state})
	return &state
}

// evacuatedZones returns the items of a page that evacuate zones.
func (s *store) evacuatedZones() (states []cactuspin.ZoneState) {
	for _, name := range s.sim.scenario.Zones {
		if state := s.zones[cactuspin.ZoneID(name)]; state.Evacuated {
			states = append(states, state)
		}
	}
	return states
}

// evacuateZones evacuates the zone of a fault, or all zones, and returns them later. The
// operator repeats a write that the store refuses.
func (s *Simulation) evacuateZones(f *Fault) {
	for _, name := range s.scenario.Zones {
		if f.Zone == "" || f.Zone == name {
			s.setZone(cactuspin.ZoneID(name), true)
			s.after(f.For.Duration, func() { s.setZone(cactuspin.ZoneID(name), false) })
		}
	}
}

func (s *Simulation) setZone(zone cactuspin.ZoneID, evacuated bool) {
	if !s.store.setZone(zone, evacuated) {
		s.after(readyInterval, func() { s.setZone(zone, evacuated) })
	}
}

// zoneRecord is what the oracle knows of a zone that was evacuated.
type zoneRecord struct {
	evacuated bool
	since     cactuspin.Time
	// flows counts the flows that its targets took since then.
	flows int
}

// zoneChanged records that the store accepted a change of a zone.
func (o *oracle) zoneChanged(s *cactuspin.ZoneState) {
	o.sim.trace("store: zone %s is evacuated: %t", s.Zone, s.Evacuated)
	o.zones[s.Zone] = &zoneRecord{evacuated: s.Evacuated, since: o.sim.now}
}

// checkZone checks the first packet of a flow at a target. Hosts that the store refuses
// are not exempt: others tell them.
func (o *oracle) checkZone(h *host, t *target) {
	z := o.zones[t.zone]
	if z == nil {
		return
	}
	z.flows++
	bound := o.gracePeriodOver(h) && o.sim.now >= o.storeGracePeriodEnd && !o.sim.storeBlocked(h) && !o.sim.store.unavailable
	if z.evacuated && z.since.Add(evacuationBound) < o.restoreBegan && o.keepsKnowledge(h) {
		o.reportViolation("EVAC", "target %s takes a flow from host %d, which knew before the restore that zone %s is evacuated", t.registration.ID, h.index, t.zone)
	}
	if d := o.sim.now.Sub(z.since); z.evacuated && d > evacuationBound && bound && !h.previousBuild() {
		o.reportViolation("EVAC", "target %s takes a flow %s after the evacuation of zone %s, from host %d", t.registration.ID, d, t.zone, h.index)
	}
}

// checkReturns checks that zones which returned long ago got flows again.
func (o *oracle) checkReturns() {
	for name, z := range o.zones {
		if !z.evacuated && z.flows == 0 && o.sim.now.Sub(z.since) > evacuationBound {
			o.reportViolation("EVAC", "zone %s got no flow since its return", name)
		}
	}
}

// previousBuild reports whether the host runs the build before evacuations and eras, which
// neither reads nor sends the states of zones and the era.
func (h *host) previousBuild() bool { return h.index < h.sim.scenario.PreviousBuildHosts }

// datagramOfPreviousBuild returns what a host of the build before sends instead of a datagram.
func datagramOfPreviousBuild(d encoder.Datagram) encoder.Datagram {
	if d.Beacon != nil {
		b := *d.Beacon
		b.KnowsZones, b.Era, b.Version = false, 0, 0
		d.Beacon = &b
	}
	if d.Update != nil {
		u := updateOfPreviousBuild(*d.Update)
		d.Update = &u
	}
	return d
}

func updateOfPreviousBuild(u cactuspin.Update) cactuspin.Update {
	u.Zones, u.KnowsZones, u.Era = nil, false, 0
	return u
}

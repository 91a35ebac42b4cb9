package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// rewriteTime is the longest time that operators take to write a configuration or an
// evacuation again that a backup lacks.
const rewriteTime = time.Second

// content is what the store holds, and a backup of it.
type content struct {
	revision cactuspin.Revision
	routing  *cactuspin.Routing
	targets  map[cactuspin.TargetID]cactuspin.RegisteredTarget
	// unreadable holds the revisions of the registrations that another writer replaced.
	unreadable map[cactuspin.TargetID]cactuspin.Revision
	zones      map[cactuspin.ZoneID]cactuspin.ZoneState
	hosts      []cactuspin.EntryHost
	history    []change
	// compactedRevision is the revision after which history is kept.
	compactedRevision cactuspin.Revision
}

func (c *content) clone() content {
	x := *c
	x.targets, x.unreadable, x.zones = maps.Clone(c.targets), maps.Clone(c.unreadable), maps.Clone(c.zones)
	x.hosts, x.history = slices.Clone(c.hosts), slices.Clone(c.history)
	return x
}

// backUp copies the content of the store.
func (s *store) backUp() {
	b := s.clone()
	s.backup = &b
}

// restore goes back to the backup, which may be restored again, and begins a new era.
func (s *store) restore() {
	s.era++
	s.content = s.backup.clone()
	for _, w := range s.pendingWatches {
		s.sendResponse(w, nil, errUnavailable)
	}
	s.pendingWatches = nil
	s.sim.trace("store: restored to revision %d, era %d", s.revision, s.era)
}

// restoreStore restores the store from its backup after it was unavailable for some time.
// Then the targets and the operators write again.
func (s *Simulation) restoreStore(f *Fault) {
	if s.store.backup == nil {
		s.oracle.reportViolation("STORY", "no backup to restore")
		return
	}
	s.oracle.restoreBegan = s.now
	s.store.beginOutage(f.Mode != "error", false)
	s.oracle.startStoreGracePeriod()
	s.after(f.For.Duration, func() {
		s.store.restore()
		s.store.endOutage()
		for _, t := range s.targets {
			s.after(time.Duration(s.random.Int64N(int64(reregistrationTime))), t.writeAgain)
		}
		s.after(time.Duration(s.random.Int64N(int64(rewriteTime))), s.rewriteConfiguration)
		s.after(time.Duration(s.random.Int64N(int64(rewriteTime))), s.rewriteEvacuations)
		s.oracle.startStoreGracePeriod()
	})
}

// writeAgain writes the registration of a target that lives. Otherwise the one that the
// backup has brought back expires.
func (t *target) writeAgain() {
	if t.alive && !t.isolated {
		t.sim.store.putTarget(t.registration)
		return
	}
	t.sim.after(registrationTimeout, func() {
		if !t.alive {
			t.sim.store.removeTarget(t.registration.ID)
		}
	})
}

// rewriteConfiguration writes the newest configuration unless the store has it.
func (s *Simulation) rewriteConfiguration() {
	newest := *s.oracle.configurations[len(s.oracle.configurations)-1].routing
	if !s.store.unavailable && s.store.routing.Version < newest.Version {
		s.store.putRouting(&newest)
	}
}

// rewriteEvacuations evacuates and returns zones as before the restore.
func (s *Simulation) rewriteEvacuations() {
	for _, name := range s.scenario.Zones {
		zone := cactuspin.ZoneID(name)
		z := s.oracle.zones[zone]
		if !s.store.unavailable && z != nil && z.evacuated != s.store.zones[zone].Evacuated {
			s.store.putZone(zone, z.evacuated)
		}
	}
}

package tracker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// A store that is restored from a backup begins a new era: its revisions go back and are
// given out again for other changes. Revisions of two eras are therefore never compared;
// knowledge of a newer era replaces that of an older one as a whole.

// eraKnowledge is what was known in the previous era.
type eraKnowledge struct {
	targets    map[cactuspin.TargetID]cactuspin.RegisteredTarget
	unreadable map[cactuspin.TargetID]cactuspin.Revision
	removed    map[cactuspin.TargetID]cactuspin.Revision
	evacuated  []cactuspin.ZoneID
	routing    *cactuspin.Routing
}

// beginEra discards all revisions and returns what was known. The time of the store's last
// error is kept, and so are the IDs of ended registrations.
func (tr *Tracker) beginEra(era cactuspin.Era) (old eraKnowledge) {
	old = eraKnowledge{targets: tr.targets, unreadable: tr.unreadable, removed: tr.removed, evacuated: tr.evacuated, routing: tr.routing}
	tr.targets = map[cactuspin.TargetID]cactuspin.RegisteredTarget{}
	tr.unreadable = map[cactuspin.TargetID]cactuspin.Revision{}
	tr.removed = map[cactuspin.TargetID]cactuspin.Revision{}
	tr.zones, tr.evacuated = map[cactuspin.ZoneID]cactuspin.ZoneState{}, nil
	tr.era, tr.revision, tr.lastChange, tr.readAt, tr.removedSince = era, 0, 0, 0, 0
	tr.gap, tr.routing, tr.complete, tr.confirmedAt = revisionRange{}, nil, false, 0
	return old
}

// restore replaces the knowledge by the first full update of a newer era. The change lists
// the differences only.
func (tr *Tracker) restore(now cactuspin.Time, u *cactuspin.Update) (c Change) {
	old := tr.beginEra(u.Era)
	var all Change
	tr.apply(now, u, &all)
	c.EraBegan, c.OmittedZones = true, all.OmittedZones
	c.Routing = tr.keepNewerRouting(u, &old)
	for i := range all.Targets {
		tr.restoreTarget(&all.Targets[i], &old, &c)
	}
	for _, id := range all.Unreadable {
		tr.restoreUnreadable(id, &old, &c)
	}
	hold := tr.hold(now)
	tr.endMissing(u, &old, hold, &c)
	tr.restoreZones(u, &old, hold, &c)
	for id := range old.removed {
		tr.recordEnded(id)
	}
	return c
}

// keepNewerRouting returns the routing of the new era if it is newer than the one that was
// known. Otherwise the known one stays in force until the operators have written again: a
// host never goes back to an older version. It gets a revision of the new era, and hosts
// with an older version fetch it.
func (tr *Tracker) keepNewerRouting(u *cactuspin.Update, old *eraKnowledge) *cactuspin.Routing {
	if old.routing == nil || (tr.routing != nil && tr.routing.Version > old.routing.Version) {
		return tr.routing
	}
	kept := *old.routing
	kept.Revision = u.Revision
	if tr.routing != nil {
		kept.Revision = tr.routing.Revision
	}
	tr.routing = &kept
	return nil
}

// restoreTarget compares a registration of the new era with what was known.
func (tr *Tracker) restoreTarget(t *cactuspin.RegisteredTarget, old *eraKnowledge, c *Change) {
	known, ok := old.targets[t.ID]
	merged := *t
	if ok && outdated(t, &known) {
		merged = known
		merged.Revision = t.Revision
		tr.targets[t.ID] = merged
	}
	known.Revision = merged.Revision
	if ok && merged == known {
		c.Renumbered = append(c.Renumbered, merged)
		return
	}
	c.Targets = append(c.Targets, merged)
	if _, removed := old.removed[t.ID]; !ok && (removed || tr.ended[t.ID]) {
		c.Reappeared = append(c.Reappeared, t.ID)
	}
	delete(old.removed, t.ID)
	delete(tr.ended, t.ID)
}

// outdated reports whether a registration from a backup is older than the known one: the
// target has started again since, or begun to drain. The known one is used until the
// target writes again, which it does within seconds.
func outdated(restored, known *cactuspin.RegisteredTarget) bool {
	if known.State == cactuspin.TargetUnreadable {
		return false
	}
	drained := known.State == cactuspin.TargetDraining && restored.State == cactuspin.TargetReady
	return known.Started > restored.Started || (known.Started == restored.Started && drained)
}

// restoreUnreadable handles an entry of the new era that cannot be used. What is known of
// its target is kept, as for an entry that is overwritten.
func (tr *Tracker) restoreUnreadable(id cactuspin.TargetID, old *eraKnowledge, c *Change) {
	if t, ok := old.targets[id]; ok {
		changed := t.State != cactuspin.TargetUnreadable
		t.State, t.Revision = cactuspin.TargetUnreadable, tr.unreadable[id]
		delete(tr.unreadable, id)
		tr.targets[id] = t
		if changed {
			c.Targets = append(c.Targets, t)
		} else {
			c.Renumbered = append(c.Renumbered, t)
		}
		return
	}
	if _, known := old.unreadable[id]; !known {
		c.Unreadable = append(c.Unreadable, id)
	}
}

// endMissing ends the registrations that the new era does not have. Their targets, also
// draining ones, may be alive and register again until the hold has passed.
func (tr *Tracker) endMissing(u *cactuspin.Update, old *eraKnowledge, hold time.Duration, c *Change) {
	missing := map[cactuspin.TargetID]bool{}
	for id := range old.targets {
		missing[id] = true
	}
	for id := range old.unreadable {
		missing[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		_, readable := tr.targets[id]
		_, unreadable := tr.unreadable[id]
		if readable || unreadable {
			continue
		}
		tr.recordEnded(id)
		c.Removed = append(c.Removed, Removal{RemovedTarget: cactuspin.RemovedTarget{ID: id, Revision: u.Revision}, Hold: hold})
	}
}

// restoreZones compares the states of zones. An evacuation that is missing from the new
// era is held until the operators have had the time to write it again.
func (tr *Tracker) restoreZones(u *cactuspin.Update, old *eraKnowledge, hold time.Duration, c *Change) {
	evacuated := tr.evacuated
	for _, zone := range evacuated {
		if !slices.Contains(old.evacuated, zone) {
			c.Zones = append(c.Zones, ZoneChange{ZoneState: tr.zones[zone]})
		}
	}
	for _, zone := range old.evacuated {
		if !slices.Contains(evacuated, zone) {
			c.Zones = append(c.Zones, ZoneChange{ZoneState: cactuspin.ZoneState{Zone: zone, Revision: u.Revision}, Hold: hold})
		}
	}
	slices.SortFunc(c.Zones, func(a, b ZoneChange) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
}

// recordEnded remembers that a registration ended in an earlier era. Beyond the limit some
// are forgotten, whose targets then are not probed first if a backup brings them back.
func (tr *Tracker) recordEnded(id cactuspin.TargetID) {
	if len(tr.ended) < maxRemoved {
		tr.ended[id] = true
	}
}

// older reports whether a message of an era is older than the knowledge.
func (tr *Tracker) older(era cactuspin.Era) bool { return tr.complete && era < tr.era }

// lacksVersion reports whether another host of this era has a newer routing although the
// store has none: it knew the routing before the restore, and this host read the backup.
func (tr *Tracker) lacksVersion(version cactuspin.RoutingVersion) bool {
	return tr.era > 0 && version > 0 && (tr.routing == nil || version > tr.routing.Version)
}

// UpdateForEra returns the changes since a revision of an era, or a full update if that
// era is older. It reports false if the knowledge is incomplete or of an older era.
func (tr *Tracker) UpdateForEra(now cactuspin.Time, era cactuspin.Era, after cactuspin.Revision) (u cactuspin.Update, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if era > tr.era {
		return u, false
	}
	if era < tr.era {
		after = 0
	}
	return tr.updateSince(now, after)
}

package tracker

import (
	"github.com/cactuspin/cactuspin"
)

// NeedsFullUpdate reports whether a host with complete knowledge up to a revision of an era
// needs a full update because not all removals since then are remembered.
func (tr *Tracker) NeedsFullUpdate(era cactuspin.Era, after cactuspin.Revision) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return era < tr.era || tr.needsFullUpdate(after)
}

func (tr *Tracker) needsFullUpdate(after cactuspin.Revision) bool {
	return after == 0 || after < tr.removedSince || tr.gap.contains(after)
}

// UpdateSince returns the changes since a revision of the present era, or a full update if not all
// removals since then are remembered. It reports false if the knowledge is
// incomplete.
func (tr *Tracker) UpdateSince(now cactuspin.Time, after cactuspin.Revision) (u cactuspin.Update, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.updateSince(now, after)
}

func (tr *Tracker) updateSince(now cactuspin.Time, after cactuspin.Revision) (u cactuspin.Update, ok bool) {
	if !tr.complete {
		return u, false
	}
	u = cactuspin.Update{Era: tr.era, Revision: tr.revision, Age: tr.age(now), HealthyFor: max(0, now.Sub(tr.healthySince)), Reader: tr.reader, KnowsZones: true}
	u.Full = tr.needsFullUpdate(after)
	if u.Full {
		after = 0
		if !tr.lastChangeUnknown() {
			u.LastChange = tr.lastChange
		}
	}
	u.After = after
	if tr.routing != nil && tr.routing.Revision > after {
		u.Routing = tr.routing
	}
	u.Zones = tr.zoneStatesAfter(after)
	for _, t := range tr.targets {
		if t.Revision > after {
			u.Targets = append(u.Targets, t)
		}
	}
	for id, r := range tr.unreadable {
		if r > after {
			u.Unreadable = append(u.Unreadable, cactuspin.UnreadableTarget{ID: id, Revision: r})
		}
	}
	for id, r := range tr.removed {
		if r > after && !u.Full {
			u.Removed = append(u.Removed, cactuspin.RemovedTarget{ID: id, Revision: r})
		}
	}
	return u, true
}

package tracker

import (
	"sort"
	"time"

	"github.com/cactuspin/cactuspin"
)

// revisionRange is the range between two revisions, both excluded.
type revisionRange struct{ from, to cactuspin.Revision }

// removeUnlisted removes the registrations that a full update does not list.
func (tr *Tracker) removeUnlisted(u *cactuspin.Update, hold time.Duration, c *Change) {
	listed := make(map[cactuspin.TargetID]bool, len(u.Targets))
	for i := range u.Targets {
		listed[u.Targets[i].ID] = true
	}
	for _, x := range u.Unreadable {
		listed[x.ID] = true
	}
	var unlisted []cactuspin.TargetID
	for id := range tr.targets {
		if !listed[id] {
			unlisted = append(unlisted, id)
		}
	}
	for id, revision := range tr.unreadable {
		if !listed[id] && revision <= u.Revision {
			unlisted = append(unlisted, id)
		}
	}
	sort.Slice(unlisted, func(i, j int) bool { return unlisted[i] < unlisted[j] })
	for _, id := range unlisted {
		if tr.targets[id].Revision <= u.Revision {
			tr.mergeRemoval(cactuspin.RemovedTarget{ID: id, Revision: u.Revision}, hold, c)
		}
	}
	if !tr.complete {
		tr.removedSince = u.Revision
	} else if u.Revision > tr.revision {
		// One range is enough: hosts that are further behind get a full update.
		tr.removedSince = max(tr.removedSince, tr.gap.to)
		tr.gap = revisionRange{from: tr.revision, to: u.Revision}
	}
}

func (r revisionRange) contains(revision cactuspin.Revision) bool {
	return revision > r.from && revision < r.to
}

// superseded reports whether a change at a revision is included in the knowledge, if only
// as a later change of the same entry. Such a change can arrive late.
func (tr *Tracker) superseded(revision cactuspin.Revision) bool {
	return tr.complete && revision <= tr.revision
}

func (tr *Tracker) mergeTarget(t *cactuspin.RegisteredTarget, c *Change) {
	if old, ok := tr.targets[t.ID]; ok && old.Revision >= t.Revision {
		return
	}
	unreadable := tr.unreadable[t.ID]
	// An older registration of a target whose present one is unreadable tells its address.
	if tr.superseded(t.Revision) && unreadable == 0 {
		return
	}
	delete(tr.removed, t.ID)
	merged := *t
	if unreadable > t.Revision {
		merged.State, merged.Revision = cactuspin.TargetUnreadable, unreadable
	}
	delete(tr.unreadable, t.ID)
	tr.recordTarget(merged, c)
}

func (tr *Tracker) recordTarget(t cactuspin.RegisteredTarget, c *Change) {
	tr.targets[t.ID] = t
	tr.lastChange = max(tr.lastChange, t.Revision)
	c.Targets = append(c.Targets, t)
}

// mergeUnreadable merges a registration that cannot be used. Whether its target is alive
// is open, so that what is known of the target is kept for its open flows.
func (tr *Tracker) mergeUnreadable(x cactuspin.UnreadableTarget, c *Change) {
	if tr.superseded(x.Revision) {
		return
	}
	if t, ok := tr.targets[x.ID]; ok {
		if t.Revision < x.Revision {
			t.State, t.Revision = cactuspin.TargetUnreadable, x.Revision
			tr.recordTarget(t, c)
		}
		return
	}
	known := tr.unreadable[x.ID]
	if known >= x.Revision || (known == 0 && len(tr.unreadable) >= maxUnreadable) {
		return
	}
	delete(tr.removed, x.ID)
	tr.unreadable[x.ID] = x.Revision
	tr.lastChange = max(tr.lastChange, x.Revision)
	c.Unreadable = append(c.Unreadable, x.ID)
}

func (tr *Tracker) mergeRemoval(removal cactuspin.RemovedTarget, hold time.Duration, c *Change) {
	old, ok := tr.targets[removal.ID]
	unreadable := tr.unreadable[removal.ID]
	if max(old.Revision, unreadable, tr.removed[removal.ID]) >= removal.Revision {
		return
	}
	tr.recordRemoval(removal)
	tr.lastChange = max(tr.lastChange, removal.Revision)
	if !ok && unreadable == 0 {
		return
	}
	delete(tr.unreadable, removal.ID)
	delete(tr.targets, removal.ID)
	if old.State == cactuspin.TargetDraining {
		hold = 0
	}
	c.Removed = append(c.Removed, Removal{RemovedTarget: removal, Hold: hold})
}

// recordRemoval remembers a removal for hosts that are behind.
func (tr *Tracker) recordRemoval(removal cactuspin.RemovedTarget) {
	if len(tr.removed) >= maxRemoved {
		for id, r := range tr.removed {
			tr.removedSince = max(tr.removedSince, r)
			delete(tr.removed, id)
		}
	}
	tr.removed[removal.ID] = removal.Revision
}

func (tr *Tracker) mergeRouting(r *cactuspin.Routing, c *Change) {
	switch {
	case tr.routing == nil || r.Version > tr.routing.Version:
		tr.routing, c.Routing = r, r
		tr.lastChange = max(tr.lastChange, r.Revision)
	case tr.era > 0 && r.Version == tr.routing.Version && r.Revision > tr.routing.Revision:
		// The operators have written again what the backup lacked.
		tr.routing = r
		tr.lastChange = max(tr.lastChange, r.Revision)
	}
}

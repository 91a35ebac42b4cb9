// Package tracker holds what a host knows of the platform's store: routes,
// targets and how fresh that is. Knowledge is ordered by the store's revisions,
// so that it can come from the store and from other hosts in any order and
// never goes back.
package tracker

import (
	"sort"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// lapseHold is how long a registration that ended around a fault of the store
	// still counts: the platform brings those of living targets back within two
	// seconds of the store's return.
	lapseHold = 2500 * time.Millisecond
	// maxGone bounds the ended registrations that are remembered for hosts that
	// are behind; a host further behind gets a full update.
	maxGone = 4096
	// UnknownAge is the age of knowledge that a host does not have.
	UnknownAge = time.Hour
)

// Change is what an update changed.
type Change struct {
	// Routing is the new routing, if there is one.
	Routing *cactuspin.Routing
	Targets []cactuspin.RegisteredTarget
	Removed []Removal
}

// Empty tells whether nothing changed.
func (c *Change) Empty() bool { return c.Routing == nil && len(c.Targets) == 0 && len(c.Removed) == 0 }

// Removal is a registration that ended.
type Removal struct {
	cactuspin.RemovedTarget
	// Hold is how long the target may still be alive without a registration.
	Hold time.Duration
}

// Tracker holds knowledge. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	revision cactuspin.Revision
	// changed is the revision of the last change that is known.
	changed cactuspin.Revision
	// confirmed is when revision was known to be the newest.
	confirmed cactuspin.Time
	// settled is since when the store has answered without a fault.
	settled cactuspin.Time
	routing *cactuspin.Routing
	targets map[cactuspin.TargetID]cactuspin.RegisteredTarget
	gone    map[cactuspin.TargetID]cactuspin.Revision
	// horizon is the revision from which on all ended registrations are remembered.
	horizon cactuspin.Revision
	// complete says that a full update was merged.
	complete bool
}

// New returns a keeper that knows nothing.
func New() *Tracker {
	return &Tracker{
		targets: map[cactuspin.TargetID]cactuspin.RegisteredTarget{},
		gone:    map[cactuspin.TargetID]cactuspin.Revision{},
	}
}

// Position is how far and how fresh a host's knowledge is.
type Position struct {
	Revision   cactuspin.Revision
	LastChange cactuspin.Revision
	Age        time.Duration
	HealthyFor time.Duration
	Version    cactuspin.RoutingVersion
	Targets    int
	// Complete says that the store was read, Loaded that it had routes.
	Complete, Loaded bool
}

// Position returns how far and how fresh the knowledge is.
func (k *Tracker) Position(now cactuspin.Time) Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := Position{Revision: k.revision, LastChange: k.changed, Age: k.age(now), Complete: k.complete, Loaded: k.loaded(), Targets: len(k.targets)}
	p.HealthyFor = max(0, now.Sub(k.settled))
	if k.routing != nil {
		p.Version = k.routing.Version
	}
	return p
}

// loaded tells whether the knowledge can be used: routes are known.
func (k *Tracker) loaded() bool { return k.complete && k.routing != nil }

func (k *Tracker) age(now cactuspin.Time) time.Duration {
	if !k.complete {
		return UnknownAge
	}
	return max(0, now.Sub(k.confirmed))
}

// Merge takes an update. It reports false if the update starts later than the
// knowledge ends, so that something between is missing.
func (k *Tracker) Merge(now cactuspin.Time, u *cactuspin.Update) (c Change, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !u.Full && (!k.complete || u.After > k.revision) {
		return c, false
	}
	k.settled = max(k.settled, now.Add(-u.HealthyFor))
	hold := max(0, lapseHold-now.Sub(k.settled))
	if u.Full && u.Revision >= k.revision {
		k.endMissing(u, hold, &c)
	}
	for i := range u.Targets {
		k.mergeTarget(&u.Targets[i], &c)
	}
	for _, g := range u.Removed {
		k.mergeGone(g, hold, &c)
	}
	if r := u.Routing; r != nil && (k.routing == nil || r.Version > k.routing.Version) {
		k.routing, c.Routing = r, r
		k.changed = max(k.changed, r.Revision)
	}
	k.confirm(now, u.Revision, u.Age)
	k.complete = k.complete || u.Full
	return c, true
}

// Confirm takes word that revision was the newest age ago and that the last
// change before it was changed. It reports whether the knowledge reaches that
// far; if not, an update is missing.
func (k *Tracker) Confirm(now cactuspin.Time, revision, changed cactuspin.Revision, age, settled time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.complete || k.revision < changed {
		return false
	}
	k.settled = max(k.settled, now.Add(-settled))
	k.confirm(now, revision, age)
	return true
}

// RecordStoreError takes word that the store did not answer this host properly.
func (k *Tracker) RecordStoreError(now cactuspin.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settled = now
}

func (k *Tracker) confirm(now cactuspin.Time, revision cactuspin.Revision, age time.Duration) {
	if revision < k.revision {
		return
	}
	k.revision = revision
	k.confirmed = max(k.confirmed, now.Add(-age))
}

// endMissing ends the registrations that a full update no longer lists.
func (k *Tracker) endMissing(u *cactuspin.Update, hold time.Duration, c *Change) {
	listed := make(map[cactuspin.TargetID]bool, len(u.Targets))
	for i := range u.Targets {
		listed[u.Targets[i].ID] = true
	}
	var missing []cactuspin.TargetID
	for id := range k.targets {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	for _, id := range missing {
		if k.targets[id].Revision <= u.Revision {
			k.mergeGone(cactuspin.RemovedTarget{ID: id, Revision: u.Revision}, hold, c)
		}
	}
	if !k.complete {
		k.horizon = u.Revision
	}
}

func (k *Tracker) mergeTarget(t *cactuspin.RegisteredTarget, c *Change) {
	if old, ok := k.targets[t.ID]; ok && old.Revision >= t.Revision {
		return
	}
	if k.gone[t.ID] >= t.Revision {
		return
	}
	delete(k.gone, t.ID)
	k.targets[t.ID] = *t
	k.changed = max(k.changed, t.Revision)
	c.Targets = append(c.Targets, *t)
}

func (k *Tracker) mergeGone(g cactuspin.RemovedTarget, hold time.Duration, c *Change) {
	old, ok := k.targets[g.ID]
	if (ok && old.Revision >= g.Revision) || k.gone[g.ID] >= g.Revision {
		return
	}
	k.remember(g)
	k.changed = max(k.changed, g.Revision)
	if !ok {
		return
	}
	delete(k.targets, g.ID)
	if old.State == cactuspin.TargetDraining {
		hold = 0
	}
	c.Removed = append(c.Removed, Removal{RemovedTarget: g, Hold: hold})
}

// remember keeps an ended registration for hosts that are behind.
func (k *Tracker) remember(g cactuspin.RemovedTarget) {
	if len(k.gone) >= maxGone {
		for id, r := range k.gone {
			k.horizon = max(k.horizon, r)
			delete(k.gone, id)
		}
	}
	k.gone[g.ID] = g.Revision
}

// NeedsFullUpdate tells whether a host that is complete up to a revision needs a full
// update: what ended since is not remembered.
func (k *Tracker) NeedsFullUpdate(after cactuspin.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.whole(after)
}

func (k *Tracker) whole(after cactuspin.Revision) bool { return after == 0 || after < k.horizon }

// UpdateSince returns an update from the revision on: a partial one where all that
// ended since is remembered, else a full one. It reports false if there is no
// knowledge to give.
func (k *Tracker) UpdateSince(now cactuspin.Time, after cactuspin.Revision) (u cactuspin.Update, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.complete {
		return u, false
	}
	u = cactuspin.Update{Revision: k.revision, Age: k.age(now), HealthyFor: max(0, now.Sub(k.settled))}
	u.Full = k.whole(after)
	if u.Full {
		after = 0
	}
	u.After = after
	if k.routing != nil && k.routing.Revision > after {
		u.Routing = k.routing
	}
	for _, t := range k.targets {
		if t.Revision > after {
			u.Targets = append(u.Targets, t)
		}
	}
	for id, r := range k.gone {
		if r > after && !u.Full {
			u.Removed = append(u.Removed, cactuspin.RemovedTarget{ID: id, Revision: r})
		}
	}
	return u, true
}

// Package tracker holds a host's view of the platform's store: the routes, the
// targets and the age of both. Each entry carries the store's revision of its
// last change, so that updates from the store and from other hosts can be
// merged in any order and an older one never replaces a newer one.
package tracker

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// reregistrationTimeout is how long after an error of the store a target
	// without a registration may still be alive: the platform registers live
	// targets again within two seconds of the store's recovery.
	reregistrationTimeout = 2500 * time.Millisecond
	// maxRemoved limits the removals that are remembered for hosts that are
	// behind. If there are more, these hosts get a full update.
	maxRemoved = 4096
	// maxUnreadable limits the unreadable registrations of unknown targets that are
	// remembered. Flows of further ones are reset by hosts that start meanwhile.
	maxUnreadable = 4096
	// UnknownAge is the age reported while a host has no complete knowledge.
	UnknownAge = time.Hour
)

// Change is the effect of an update on the knowledge.
type Change struct {
	// Routing is the new routing, or nil if it did not change.
	Routing *cactuspin.Routing
	Targets []cactuspin.RegisteredTarget
	Removed []Removal
	// Unreadable lists targets whose registration cannot be used, and of which nothing
	// else is known.
	Unreadable []cactuspin.TargetID
	// Zones lists zones that were evacuated or have returned.
	Zones []ZoneChange
	// OmittedZones counts states of zones that were ignored because too many are known.
	OmittedZones int
	// EraBegan reports that the knowledge is of a newer era than before. Renumbered then
	// lists targets of which only the revision changed, Reappeared those of Targets whose
	// registration had ended before.
	EraBegan   bool
	Renumbered []cactuspin.RegisteredTarget
	Reappeared []cactuspin.TargetID
}

// Empty reports whether nothing changed.
func (c *Change) Empty() bool {
	return !c.EraBegan && c.Routing == nil && len(c.Targets) == 0 && len(c.Removed) == 0 && len(c.Unreadable) == 0 && len(c.Zones) == 0 && c.OmittedZones == 0
}

// Removal is a registration that ended.
type Removal struct {
	cactuspin.RemovedTarget
	// Hold is how long the target may still be alive without a registration.
	Hold time.Duration
}

// Tracker holds the current knowledge and merges updates into it. It is safe
// for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// era is the era to which all revisions belong.
	era cactuspin.Era
	// revision is the revision up to which the knowledge is complete.
	revision cactuspin.Revision
	// lastChange is the revision after which nothing has changed up to revision.
	lastChange cactuspin.Revision
	// readAt is the revision of the last read that skipped changes. While it is
	// lastChange, the last change may have been at any revision before.
	readAt cactuspin.Revision
	// confirmedAt is the last time at which revision was known to be the
	// newest.
	confirmedAt cactuspin.Time
	// reader is the host whose read of the store confirmedAt is based on.
	reader netip.Addr
	// healthySince is the time since which the store has answered without an
	// error.
	healthySince cactuspin.Time
	routing      *cactuspin.Routing
	targets      map[cactuspin.TargetID]cactuspin.RegisteredTarget
	// unreadable holds the revisions of registrations that cannot be used, of targets
	// that are not in targets.
	unreadable map[cactuspin.TargetID]cactuspin.Revision
	// removed holds the revisions of ended registrations.
	removed map[cactuspin.TargetID]cactuspin.Revision
	// ended holds the IDs of registrations that ended in earlier eras.
	ended map[cactuspin.TargetID]bool
	// zones holds the states of the zones that were ever evacuated, evacuated the names
	// of those that are, sorted. The slice is replaced and never changed.
	zones     map[cactuspin.ZoneID]cactuspin.ZoneState
	evacuated []cactuspin.ZoneID
	// removedSince is the revision after which removed is complete.
	removedSince cactuspin.Revision
	// gap is the range of revisions whose changes a full read has skipped. Hosts that
	// know a part of them may know targets that this one has never known.
	gap revisionRange
	// complete reports that a full update was merged.
	complete bool
}

// New returns a Tracker without knowledge.
func New() *Tracker {
	return &Tracker{
		targets:    map[cactuspin.TargetID]cactuspin.RegisteredTarget{},
		unreadable: map[cactuspin.TargetID]cactuspin.Revision{},
		removed:    map[cactuspin.TargetID]cactuspin.Revision{},
		ended:      map[cactuspin.TargetID]bool{},
		zones:      map[cactuspin.ZoneID]cactuspin.ZoneState{},
	}
}

// Position is the extent and the age of a host's knowledge.
type Position struct {
	Era        cactuspin.Era
	Revision   cactuspin.Revision
	LastChange cactuspin.Revision
	// LastChangeUnknown reports that the last change may have been before LastChange.
	LastChangeUnknown bool
	Age               time.Duration
	HealthyFor        time.Duration
	RoutingVersion    cactuspin.RoutingVersion
	Targets           int
	// Reader is the host whose read of the store Age is based on.
	Reader netip.Addr
	// Evacuated are the zones whose targets get no new flows.
	Evacuated []cactuspin.ZoneID
	// Complete reports that a full update was merged, Loaded that routes are
	// known too.
	Complete, Loaded bool
}

// Position returns the extent and the age of the knowledge.
func (tr *Tracker) Position(now cactuspin.Time) Position {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := Position{Era: tr.era, Revision: tr.revision, LastChange: tr.lastChange, Age: tr.age(now), Complete: tr.complete, Loaded: tr.loaded(), Targets: len(tr.targets), Reader: tr.reader, Evacuated: tr.evacuated}
	p.LastChangeUnknown = tr.lastChangeUnknown()
	p.HealthyFor = max(0, now.Sub(tr.healthySince))
	if tr.routing != nil {
		p.RoutingVersion = tr.routing.Version
	}
	return p
}

// lastChangeUnknown reports whether only a bound of the last change is known.
func (tr *Tracker) lastChangeUnknown() bool { return tr.readAt != 0 && tr.lastChange == tr.readAt }

// loaded reports whether the knowledge is complete and contains routes.
func (tr *Tracker) loaded() bool { return tr.complete && tr.routing != nil }

func (tr *Tracker) age(now cactuspin.Time) time.Duration {
	if !tr.complete {
		return UnknownAge
	}
	return max(0, now.Sub(tr.confirmedAt))
}

// Merge applies an update. It reports false and changes nothing if the update
// starts after the revision of the knowledge, because the changes in between
// are missing, or if it lists changes of a newer era. An update of an older era
// changes nothing.
func (tr *Tracker) Merge(now cactuspin.Time, u *cactuspin.Update) (c Change, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.older(u.Era) {
		return c, true
	}
	if !u.Full && (!tr.complete || u.Era > tr.era || u.After > tr.revision) {
		return c, false
	}
	if tr.complete && u.Era > tr.era {
		return tr.restore(now, u), true
	}
	tr.era = u.Era
	tr.apply(now, u, &c)
	return c, true
}

// hold returns how long a target without a registration may still be alive.
func (tr *Tracker) hold(now cactuspin.Time) time.Duration {
	return max(0, reregistrationTimeout-now.Sub(tr.healthySince))
}

// apply applies an update of the present era from which no changes are missing.
func (tr *Tracker) apply(now cactuspin.Time, u *cactuspin.Update, c *Change) {
	tr.healthySince = max(tr.healthySince, now.Add(-u.HealthyFor))
	hold := tr.hold(now)
	if u.Full && u.Revision >= tr.revision {
		tr.removeUnlisted(u, hold, c)
		if u.KnowsZones {
			tr.returnUnlistedZones(u, hold, c)
		}
		tr.setLastChange(u)
	}
	for i := range u.Targets {
		tr.mergeTarget(&u.Targets[i], c)
	}
	for _, x := range u.Unreadable {
		tr.mergeUnreadable(x, c)
	}
	for _, removal := range u.Removed {
		tr.mergeRemoval(removal, hold, c)
	}
	for _, s := range u.Zones {
		tr.mergeZone(s, c)
	}
	if u.Routing != nil {
		tr.mergeRouting(u.Routing, c)
	}
	tr.confirm(now, u.Revision, u.Age, u.Reader)
	tr.complete = tr.complete || u.Full
}

// setLastChange derives the last change from a full update, which does not list removals.
func (tr *Tracker) setLastChange(u *cactuspin.Update) {
	switch {
	case u.LastChange != 0 && tr.complete && u.LastChange <= tr.revision:
		tr.lastChange = min(tr.lastChange, u.LastChange)
	case u.LastChange != 0:
		tr.lastChange = u.LastChange
	case !tr.complete || u.Revision > tr.revision:
		tr.lastChange, tr.readAt = u.Revision, u.Revision
	}
}

// Confirmation says that a revision was the newest one some time ago.
type Confirmation struct {
	Era cactuspin.Era
	// Version is the version of the routing that the sender has in force, if eras are known.
	Version cactuspin.RoutingVersion
	// Revision is the confirmed revision, LastChange that of the last change up to it.
	Revision, LastChange cactuspin.Revision
	Age, HealthyFor      time.Duration
	// Reader is the host whose read of the store this is based on.
	Reader netip.Addr
}

// Confirm records a confirmation. It reports false if the knowledge does not include
// the last change, so that an update is needed. One of an older era changes nothing.
func (tr *Tracker) Confirm(now cactuspin.Time, c Confirmation) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.older(c.Era) {
		return true
	}
	if c.Era > 0 {
		// A starting host cannot tell by itself that the store was restored just before.
		tr.healthySince = max(tr.healthySince, now.Add(-c.HealthyFor))
	}
	if !tr.complete || c.Era > tr.era || tr.revision < c.LastChange || tr.lacksVersion(c.Version) {
		return false
	}
	tr.healthySince = max(tr.healthySince, now.Add(-c.HealthyFor))
	if c.Revision >= tr.revision {
		tr.lastChange = min(tr.lastChange, c.LastChange)
	}
	tr.confirm(now, c.Revision, c.Age, c.Reader)
	return true
}

// RecordStoreError records that the store returned an error or no answer to
// this host.
func (tr *Tracker) RecordStoreError(now cactuspin.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.healthySince = now
}

func (tr *Tracker) confirm(now cactuspin.Time, revision cactuspin.Revision, age time.Duration, reader netip.Addr) {
	if revision < tr.revision {
		return
	}
	tr.revision = revision
	if at := now.Add(-age); at > tr.confirmedAt {
		tr.confirmedAt, tr.reader = at, reader
	}
}

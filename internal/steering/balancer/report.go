package balancer

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// In a large zone, each host sends a target a request every few seconds. If each
// host had to find out by itself that the target is dead, each would lose a request
// to it. Therefore hosts report the targets that they found down to each other.

// maxReportedShare is the share of a zone's targets, as a divisor, up to which
// reports are heeded. If other hosts find most of a zone down and this one does not,
// the fault may be theirs.
const maxReportedShare = 2

// DownReports returns the targets that this host found down.
func (b *Balancer) DownReports(now cactuspin.Time) (reports encoder.DownTargets) {
	for _, t := range b.active.list() {
		if at, ok := t.health.lastFoundDown(); ok && now.Sub(at) <= encoder.DownLifetime {
			reports = append(reports, encoder.DownTarget{Cookie: t.cookie, Age: now.Sub(at)})
		}
	}
	return reports
}

// MergeDownReports makes new flows avoid the targets that other hosts report as
// down, unless this host has had an answer of them since.
func (b *Balancer) MergeDownReports(now cactuspin.Time, reports encoder.DownTargets) {
	if len(reports) == 0 {
		return
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	reported := map[*zone][]*target{}
	foundDownAt := map[*target]cactuspin.Time{}
	active := b.active.services()
	for _, r := range reports {
		at := now.Add(-r.Age)
		for _, t := range b.byCookie[r.Cookie] {
			if active[t.service] && !t.health.isDown() && !t.health.contradicts(now, at) {
				reported[t.zone] = append(reported[t.zone], t)
				foundDownAt[t] = at
			}
		}
	}
	for z, targets := range reported {
		if len(targets)*maxReportedShare > len(z.targets) {
			continue
		}
		for _, t := range targets {
			t.health.recordReport(foundDownAt[t])
			// Flows of this host find out before their next request, not by losing it.
			if t.flows.Load() > 0 && t.health.suspectUnlessAlive(now, foundDownAt[t]) {
				b.active.add(t)
			}
		}
	}
}

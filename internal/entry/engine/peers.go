package engine

import (
	"log/slog"
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// sendBeacons sends beacons: to hosts of this zone with the load of all hosts,
// to other zones with the load of this zone.
func (e *Engine) sendBeacons(now cactuspin.Time, plan *planner.Plan, out *Actions) {
	own := e.balancer.Loads()
	zone, total, others := e.planner.AggregateLoads(now, own)
	for _, x := range e.balancer.MergeLoads(others) {
		out.note(slog.LevelInfo, "target: failing changed", slog.String("target", string(x.Target)),
			slog.Bool("failing", x.Failing), slog.Float64("failures", x.Failures))
	}
	down, reported := e.planner.AggregateDown(now, e.balancer.DownReports(now))
	e.balancer.MergeDownReports(now, reported)
	b := e.beacon(now)
	b.ReplyRequested, b.Down = !b.Complete, down.Freshest()
	zoneBeacon, remoteBeacon := b, b
	zoneBeacon.Loads, zoneBeacon.Total = own.LargestBeside(&b), total.LargestBeside(&b)
	share := e.planner.Share(now, e.balancer.FlowCounts(), zoneBeacon.HasRoomForFlows())
	e.balancer.SetShare(now, share.Rank, share.Others)
	zoneBeacon.ZoneHosts, zoneBeacon.Flows, zoneBeacon.TotalFlows = share.SentHosts, share.SentFlows, share.SentTotal
	remoteBeacon.Loads, remoteBeacon.Eligible = zone.Largest(), nil
	out.send(plan.ZoneRecipients, encoder.Datagram{Beacon: &zoneBeacon})
	out.send(plan.RemoteRecipients, encoder.Datagram{Beacon: &remoteBeacon})
}

// beacon returns a beacon without loads.
func (e *Engine) beacon(now cactuspin.Time) (b encoder.Beacon) {
	p := e.tracker.Position(now)
	b = encoder.Beacon{
		Era:               p.Era,
		Host:              e.c.Self,
		Incarnation:       e.c.Incarnation,
		Revision:          p.Revision,
		LastChange:        p.LastChange,
		LastChangeUnknown: p.LastChangeUnknown,
		Age:               p.Age,
		HealthyFor:        p.HealthyFor,
		Reader:            p.Reader,
		KnowsZones:        true,
		Complete:          p.Complete,
		Leaving:           e.leaving,
		Returns:           e.balancer.RecentReturns(now),
	}
	if p.Era > 0 {
		b.Version = p.RoutingVersion
	}
	if e.planner.Leads() {
		b.Eligible = e.eligibleHosts(now)
	}
	return b
}

// eligibleHosts returns the hosts that may own the cold targets of this zone, if it has
// any and this host stays.
func (e *Engine) eligibleHosts(now cactuspin.Time) encoder.Addresses {
	if e.leaving || e.balancer.ColdTargets() == 0 {
		return nil
	}
	return e.planner.EligibleHosts(now, e.trustAfter)
}

// setEligible tells the balancer which hosts may own cold targets.
func (e *Engine) setEligible(now cactuspin.Time, out *Actions) {
	hosts := e.eligibleHosts(now)
	e.balancer.SetEligible(now, hosts)
	cold := e.balancer.ColdTargets()
	if (cold == 0) != (e.cold == 0) || len(hosts) != e.eligible {
		out.note(slog.LevelInfo, "target: cold targets limited", slog.Int("cold", cold), slog.Int("eligible_hosts", len(hosts)))
	}
	e.cold, e.eligible = cold, len(hosts)
}

// Datagram handles a datagram from a peer.
func (e *Engine) Datagram(now cactuspin.Time, from netip.Addr, d *encoder.Datagram, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.Beacon != nil {
		e.handleBeacon(now, d.Beacon, out)
		return
	}
	if now < e.trustAfter || e.hidesZones(d.Update.KnowsZones) {
		return
	}
	if !e.merge(now, d.Update, from.String(), out) {
		e.fetch(now, from, out)
	}
}

func (e *Engine) handleBeacon(now cactuspin.Time, b *encoder.Beacon, out *Actions) {
	if e.planner.HandleBeacon(now, b) {
		out.note(slog.LevelInfo, "peer: heard", slog.String("host", b.Host.Address.String()), slog.String("zone", string(b.Host.Zone)),
			slog.Uint64("incarnation", uint64(b.Incarnation)), slog.Uint64("revision", uint64(b.Revision)))
	}
	if len(b.Returns) > 0 && now >= e.trustAfter {
		e.balancer.RecordReturns(now, b.Returns)
	}
	if b.ReplyRequested {
		reply := e.beacon(now)
		out.send([]netip.Addr{b.Host.Address}, encoder.Datagram{Beacon: &reply})
	}
	if !b.Complete || now < e.trustAfter || e.hidesZones(b.KnowsZones) {
		return
	}
	confirmation := tracker.Confirmation{Era: b.Era, Version: b.Version, Revision: b.Revision, LastChange: b.LastChange, Age: b.Age, HealthyFor: b.HealthyFor, Reader: b.Reader}
	if !e.tracker.Confirm(now, confirmation) {
		e.fetchFromSender(now, b, e.tracker.Position(now), out)
		return
	}
	e.balancer.SetFreshness(now, e.tracker.Position(now))
}

// hidesZones reports whether knowledge of a peer must not be used because it shows no
// evacuations and these have to take effect in time. Hosts of the build before send such
// knowledge during a rolling upgrade; this host then reads the store itself.
func (e *Engine) hidesZones(known bool) bool { return e.c.Evacuations && !known }

// fetchFromSender requests what a beacon shows to be missing, unless another host will tell.
func (e *Engine) fetchFromSender(now cactuspin.Time, b *encoder.Beacon, known tracker.Position, out *Actions) {
	newerVersion := known.Complete && b.Era > 0 && b.Era == known.Era && b.Version > known.RoutingVersion
	switch {
	case newerVersion && min(b.LastChange, b.Revision) <= known.Revision:
		// The sender knows the routing from an earlier era. No revision shows it.
		e.fetchSince(now, b.Host.Address, 0, out)
	case b.Era > known.Era || !b.LastChangeUnknown || known.Age > e.c.maxAge():
		e.fetch(now, b.Host.Address, out)
	default:
		// A host that has just read everything cannot tell whether anything has changed.
		// While the knowledge is fresh, another host reads and will tell.
	}
}

// fetch requests the missing changes from a peer unless a fetch is in progress.
func (e *Engine) fetch(now cactuspin.Time, host netip.Addr, out *Actions) {
	e.fetchSince(now, host, e.tracker.Position(now).Revision, out)
}

func (e *Engine) fetchSince(now cactuspin.Time, host netip.Addr, after cactuspin.Revision, out *Actions) {
	if e.fetching || !e.planner.BeginFetch(now, host) {
		return
	}
	e.fetching = true
	out.Fetch = &Fetch{Host: host, Era: e.tracker.Position(now).Era, After: after, SentAt: now}
}

// maxFullUpdates limits the full updates that a host sends at a time. Hosts
// that are refused ask another one that has fetched an update meanwhile, so
// that updates spread as a tree if a whole fleet starts at once.
const maxFullUpdates = 3

// updateError is the reason why a host cannot send an update.
type updateError string

// Error returns the text of the error.
func (e updateError) Error() string { return string(e) }

const (
	// ErrNoKnowledge reports that the knowledge of the host is incomplete.
	ErrNoKnowledge = updateError("nothing known yet")
	// ErrOlderEra reports that the knowledge of the host is of an older era than that of
	// the peer.
	ErrOlderEra = updateError("knowledge of an older era")
	// ErrBusy reports that the host is already sending the maximum number of
	// full updates.
	ErrBusy = updateError("busy sending updates")
)

// UpdateSince returns the changes that a peer with complete knowledge up to a
// revision of an era is missing. The caller has to call UpdateSent after each update.
func (e *Engine) UpdateSince(now cactuspin.Time, era cactuspin.Era, after cactuspin.Revision) (u cactuspin.Update, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fullUpdates >= maxFullUpdates && e.tracker.NeedsFullUpdate(era, after) {
		return u, ErrBusy
	}
	u, ok := e.tracker.UpdateForEra(now, era, after)
	switch {
	case !ok && e.tracker.Position(now).Complete:
		return u, ErrOlderEra
	case !ok:
		return u, ErrNoKnowledge
	}
	if u.Full {
		e.fullUpdates++
	}
	return u, nil
}

// UpdateSent records that an update was sent or that sending it failed.
func (e *Engine) UpdateSent(u *cactuspin.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.Full {
		e.fullUpdates--
	}
}

// Fetched handles the result of a fetch.
func (e *Engine) Fetched(now cactuspin.Time, f *Fetch, u *cactuspin.Update, err error, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	if err != nil {
		e.planner.FetchFailed(now, f.Host)
		out.note(slog.LevelInfo, "peer: update not fetched", slog.String("host", f.Host.String()), slog.Any("error", err))
		return
	}
	// The content may be as old as the request.
	u.Age += now.Sub(f.SentAt)
	if f.SentAt < e.trustAfter || e.hidesZones(u.KnowsZones) {
		return
	}
	e.merge(now, u, f.Host.String(), out)
}

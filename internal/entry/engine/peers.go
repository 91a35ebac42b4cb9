package engine

import (
	"log/slog"
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
)

// tell sends beacons: to this zone with what all hosts have in progress, to
// other zones with what this one has.
func (e *Engine) tell(now cactuspin.Time, plan *planner.Plan, out *Actions) {
	own := e.steerer.Loads()
	zone, total, others := e.planner.Loads(now, own)
	for _, x := range e.steerer.MergeLoads(others) {
		out.note(slog.LevelInfo, "target: failing changed", slog.String("target", string(x.Target)),
			slog.Bool("failing", x.Failing), slog.Float64("failures", x.Failures))
	}
	b := e.beacon(now)
	b.ReplyRequested = !b.Complete
	near, far := b, b
	near.Loads, near.Total = own.Largest(), total.Largest()
	far.Loads = zone.Largest()
	out.send(plan.ZoneRecipients, encoder.Datagram{Beacon: &near})
	out.send(plan.RemoteRecipients, encoder.Datagram{Beacon: &far})
}

// beacon returns a beacon without loads.
func (e *Engine) beacon(now cactuspin.Time) encoder.Beacon {
	p := e.keeper.Position(now)
	return encoder.Beacon{
		Host:        e.c.Self,
		Incarnation: e.c.Incarnation,
		Revision:    p.Revision,
		LastChange:  p.LastChange,
		Age:         p.Age,
		HealthyFor:  p.HealthyFor,
		Complete:    p.Complete,
		Leaving:     e.leaving,
	}
}

// Datagram takes what a peer sent.
func (e *Engine) Datagram(now cactuspin.Time, from netip.Addr, d *encoder.Datagram, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.Beacon != nil {
		e.hear(now, d.Beacon, out)
		return
	}
	if now < e.trustAt {
		return
	}
	if !e.take(now, d.Update, from.String(), out) {
		e.fetch(now, from, out)
	}
}

func (e *Engine) hear(now cactuspin.Time, b *encoder.Beacon, out *Actions) {
	if e.planner.HandleBeacon(now, b) {
		out.note(slog.LevelInfo, "peer: heard", slog.String("host", b.Host.Address.String()), slog.String("zone", string(b.Host.Zone)),
			slog.Uint64("incarnation", uint64(b.Incarnation)), slog.Uint64("revision", uint64(b.Revision)))
	}
	if b.ReplyRequested {
		answer := e.beacon(now)
		out.send([]netip.Addr{b.Host.Address}, encoder.Datagram{Beacon: &answer})
	}
	if !b.Complete || now < e.trustAt {
		return
	}
	if !e.keeper.Confirm(now, b.Revision, b.LastChange, b.Age, b.HealthyFor) {
		e.fetch(now, b.Host.Address, out)
		return
	}
	e.steerer.SetFreshness(now, e.keeper.Position(now))
}

// fetch asks a peer for what this host lacks.
func (e *Engine) fetch(now cactuspin.Time, host netip.Addr, out *Actions) {
	if e.fetching || !e.planner.BeginFetch(now, host) {
		return
	}
	e.fetching = true
	out.Fetch = &Fetch{Host: host, After: e.keeper.Position(now).Revision, SentAt: now}
}

// maxSupplies is how many whole updates a host sends at a time. Others that ask
// meanwhile find a host that has got one, so that a fleet which starts at once
// spreads them like a tree.
const maxSupplies = 3

// supplyError says why a peer gets no update.
type supplyError string

// Error returns the text of the error.
func (e supplyError) Error() string { return string(e) }

const (
	// ErrNoKnowledge says that the host has not learned anything itself.
	ErrNoKnowledge = supplyError("nothing known yet")
	// ErrBusy says that the host sends as many whole updates as it can.
	ErrBusy = supplyError("busy sending updates")
)

// UpdateSince returns what a peer that is complete up to a revision lacks. Each
// update is followed by Supplied once it was sent.
func (e *Engine) UpdateSince(now cactuspin.Time, after cactuspin.Revision) (u cactuspin.Update, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.supplying >= maxSupplies && e.keeper.NeedsFullUpdate(after) {
		return u, ErrBusy
	}
	u, ok := e.keeper.UpdateSince(now, after)
	if !ok {
		return u, ErrNoKnowledge
	}
	if u.Full {
		e.supplying++
	}
	return u, nil
}

// UpdateSent takes word that an update was sent, or could not be.
func (e *Engine) UpdateSent(u *cactuspin.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.Full {
		e.supplying--
	}
}

// Fetched takes the answer to a fetch.
func (e *Engine) Fetched(now cactuspin.Time, f *Fetch, u *cactuspin.Update, err error, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	if err != nil {
		e.planner.FetchFailed(now, f.Host)
		out.note(slog.LevelInfo, "peer: update not fetched", slog.String("host", f.Host.String()), slog.Any("error", err))
		return
	}
	// The answer may be as old as the question.
	u.Age += now.Sub(f.SentAt)
	if f.SentAt < e.trustAt {
		return
	}
	e.take(now, u, f.Host.String(), out)
}

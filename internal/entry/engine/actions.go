package engine

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// StoreCall asks the driver for a call to the store; the result is passed to
// Engine.StoreAnswered. At most one call is in progress.
type StoreCall struct {
	// FullRead selects a read of the page that starts at From. Otherwise the
	// changes after After are watched for at most Wait.
	FullRead bool
	From     cactuspin.Cursor
	// Era is the era of After and of the pages read before.
	Era   cactuspin.Era
	After cactuspin.Revision
	Wait  time.Duration
	// SentAt is the time of the call.
	SentAt cactuspin.Time
}

// Send asks the driver to send a datagram to peers.
type Send struct {
	To       []netip.Addr
	Datagram encoder.Datagram
}

// Fetch asks the driver to fetch the changes after a revision of an era from a peer; the
// result is passed to Engine.Fetched. At most one fetch is in progress.
type Fetch struct {
	Host   netip.Addr
	Era    cactuspin.Era
	After  cactuspin.Revision
	SentAt cactuspin.Time
}

// Note is a log entry.
type Note struct {
	Level      slog.Level
	Message    string
	Attributes []slog.Attr
}

// Actions collects the actions that an engine decided on.
type Actions struct {
	Store  *StoreCall
	Sends  []Send
	Fetch  *Fetch
	Probes []balancer.Probe
	Resets []balancer.Reset
	// Announce asks the driver to announce this host again at once, under a new lease.
	Announce bool
	Notes    []Note
}

func (a *Actions) send(to []netip.Addr, d encoder.Datagram) {
	if len(to) > 0 {
		a.Sends = append(a.Sends, Send{To: to, Datagram: d})
	}
}

func (a *Actions) note(level slog.Level, message string, attributes ...slog.Attr) {
	a.Notes = append(a.Notes, Note{Level: level, Message: message, Attributes: attributes})
}

// Log writes the notes to a logger.
func (a *Actions) Log(l *slog.Logger) {
	for _, n := range a.Notes {
		l.LogAttrs(context.Background(), n.Level, n.Message, n.Attributes...)
	}
}

// noteChange logs a change of the knowledge with its source and age. Of the first
// knowledge of a host, lines about ready targets are for debugging only: they would
// delay the first packets of a slow host, and take seconds before 140,000 targets.
func noteChange(c *tracker.Change, position tracker.Position, first bool, source string, out *Actions) {
	common := []slog.Attr{slog.String("source", source), slog.Duration("age", position.Age)}
	if r := c.Routing; r != nil {
		out.note(slog.LevelInfo, "knowledge: routing in force", append([]slog.Attr{
			slog.Uint64("version", uint64(r.Version)),
			slog.Uint64("revision", uint64(r.Revision)), slog.Int("routes", len(r.Routes)), slog.Int("cold_limits", len(r.Warmups)),
		}, common...)...)
	}
	if first {
		out.note(slog.LevelInfo, "knowledge: loaded", append([]slog.Attr{slog.Int("targets", len(c.Targets)), slog.Uint64("revision", uint64(position.Revision))}, common...)...)
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		level := slog.LevelInfo
		if first && t.State == cactuspin.TargetReady && t.Warmup == 0 {
			level = slog.LevelDebug
		}
		out.note(level, "knowledge: target registered", append([]slog.Attr{
			slog.String("target", string(t.ID)),
			slog.String("service", string(t.Service)), slog.String("address", t.Address.String()), slog.String("zone", string(t.Zone)),
			slog.String("state", t.State.String()), slog.Uint64("revision", uint64(t.Revision)), slog.Duration("warmup", t.Warmup),
			slog.Uint64("cookie", uint64(balancer.CookieOf(t.ID))),
		}, common...)...)
	}
	if c.EraBegan {
		out.note(slog.LevelWarn, "knowledge: era began", append([]slog.Attr{
			slog.Uint64("era", uint64(position.Era)), slog.Uint64("revision", uint64(position.Revision)),
			slog.Uint64("version", uint64(position.RoutingVersion)), slog.Int("unchanged", len(c.Renumbered)),
			slog.Int("changed", len(c.Targets)), slog.Int("reappeared", len(c.Reappeared)), slog.Int("missing", len(c.Removed)),
		}, common...)...)
	}
	if len(c.Unreadable) > 0 {
		out.note(slog.LevelWarn, "knowledge: registrations unreadable", append([]slog.Attr{slog.Int("unknown_targets", len(c.Unreadable))}, common...)...)
	}
	for _, z := range c.Zones {
		out.note(slog.LevelInfo, "knowledge: zone state changed", append([]slog.Attr{
			slog.String("zone", string(z.Zone)), slog.Bool("evacuated", z.Evacuated),
			slog.Uint64("revision", uint64(z.Revision)), slog.Duration("hold", z.Hold),
		}, common...)...)
	}
	if c.OmittedZones > 0 {
		out.note(slog.LevelWarn, "knowledge: too many zones, states ignored", append([]slog.Attr{slog.Int("zones", c.OmittedZones)}, common...)...)
	}
	for _, removal := range c.Removed {
		out.note(slog.LevelInfo, "knowledge: target gone", append([]slog.Attr{
			slog.String("target", string(removal.ID)),
			slog.Uint64("revision", uint64(removal.Revision)), slog.Duration("hold", removal.Hold),
		}, common...)...)
	}
}

// Handler runs a decision of an engine with the current time and performs the
// resulting actions.
type Handler func(decide func(now cactuspin.Time, out *Actions))

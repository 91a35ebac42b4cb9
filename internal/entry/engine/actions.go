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

// StoreCall asks the driver for a call of the store, answered by
// Engine.StoreAnswered. There is one at a time.
type StoreCall struct {
	// FullRead asks for a page of everything, from From on; else changes after After
	// are watched.
	FullRead bool
	From     cactuspin.Cursor
	After    cactuspin.Revision
	Wait     time.Duration
	// SentAt is when the call was made.
	SentAt cactuspin.Time
}

// Send asks the driver to send a datagram to peers.
type Send struct {
	To       []netip.Addr
	Datagram encoder.Datagram
}

// Fetch asks the driver to fetch from a peer what is new after a revision,
// answered by Engine.Fetched. There is one at a time.
type Fetch struct {
	Host   netip.Addr
	After  cactuspin.Revision
	SentAt cactuspin.Time
}

// Note is a log line.
type Note struct {
	Level      slog.Level
	Message    string
	Attributes []slog.Attr
}

// Actions collects what an engine decided.
type Actions struct {
	Store  *StoreCall
	Sends  []Send
	Fetch  *Fetch
	Probes []balancer.Probe
	Notes  []Note
}

func (a *Actions) send(to []netip.Addr, d encoder.Datagram) {
	if len(to) > 0 {
		a.Sends = append(a.Sends, Send{To: to, Datagram: d})
	}
}

func (a *Actions) note(level slog.Level, message string, attributes ...slog.Attr) {
	a.Notes = append(a.Notes, Note{Level: level, Message: message, Attributes: attributes})
}

// Log writes the notes.
func (a *Actions) Log(l *slog.Logger) {
	for _, n := range a.Notes {
		l.LogAttrs(context.Background(), n.Level, n.Message, n.Attributes...)
	}
}

// noteChange logs what changed, from which source, and how old that was.
func noteChange(c *tracker.Change, known tracker.Position, source string, out *Actions) {
	from := []slog.Attr{slog.String("source", source), slog.Duration("age", known.Age)}
	if r := c.Routing; r != nil {
		out.note(slog.LevelInfo, "knowledge: routing in force", append([]slog.Attr{
			slog.Uint64("version", uint64(r.Version)),
			slog.Uint64("revision", uint64(r.Revision)), slog.Int("routes", len(r.Routes)),
		}, from...)...)
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		out.note(slog.LevelInfo, "knowledge: target registered", append([]slog.Attr{
			slog.String("target", string(t.ID)),
			slog.String("service", string(t.Service)), slog.String("address", t.Address.String()), slog.String("zone", string(t.Zone)),
			slog.String("state", t.State.String()), slog.Uint64("revision", uint64(t.Revision)), slog.Duration("warmup", t.Warmup),
		}, from...)...)
	}
	for _, g := range c.Removed {
		out.note(slog.LevelInfo, "knowledge: target gone", append([]slog.Attr{
			slog.String("target", string(g.ID)),
			slog.Uint64("revision", uint64(g.Revision)), slog.Duration("hold", g.Hold),
		}, from...)...)
	}
}

// Handler runs a decision of an engine and performs its actions.
type Handler func(decide func(now cactuspin.Time, out *Actions))

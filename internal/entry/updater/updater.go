// Package updater takes knowledge of the platform's store in, wherever it comes
// from, and hands what changed to the steerer, the log and the peers.
package updater

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/keeper"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/server/provider"
	"github.com/cactuspin/cactuspin/internal/steering/steerer"
)

// Config configures an Updater.
type Config struct {
	provider.Common
	Keeper  *keeper.Keeper
	Planner *planner.Planner
	Steerer *steerer.Steerer
}

// Updater merges updates.
type Updater struct {
	cfg Config
	// mu keeps changes in the order in which they were merged.
	mu     sync.Mutex
	loaded chan struct{}
	once   sync.Once
}

// New returns an Updater.
func New(c Config) *Updater { return &Updater{cfg: c, loaded: make(chan struct{})} }

// Loaded is closed when the host knows routes and targets.
func (u *Updater) Loaded() <-chan struct{} { return u.loaded }

// Update merges an update that came from source. It reports false if something
// before the update is missing.
func (u *Updater) Update(x *cactuspin.Update, source string) (changed, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.cfg.Clock()
	u.cfg.Planner.Learn(now, x.Hosts)
	c, ok := u.cfg.Keeper.Merge(now, x)
	if !ok {
		return false, false
	}
	p := u.cfg.Keeper.Position(now)
	u.cfg.Steerer.Refresh(now, p)
	if !c.Empty() {
		u.cfg.Steerer.Apply(now, &c)
		u.log(&c, p, source)
	}
	if p.Loaded {
		u.once.Do(func() { close(u.loaded) })
	}
	return !c.Empty(), true
}

// Confirm takes word of a peer about the newest revision. It reports false if
// the knowledge is behind it.
func (u *Updater) Confirm(revision, changed cactuspin.Revision, x Freshness) bool {
	now := u.cfg.Clock()
	if !u.cfg.Keeper.Confirm(now, revision, changed, x.Age, x.Settled) {
		return false
	}
	u.cfg.Steerer.Refresh(now, u.cfg.Keeper.Position(now))
	return true
}

func (u *Updater) log(c *keeper.Change, p keeper.Position, source string) {
	l := u.cfg.Logger
	if r := c.Routing; r != nil {
		l.Info("knowledge: routing in force", slog.Uint64("version", uint64(r.Version)), slog.Uint64("revision", uint64(r.Revision)),
			slog.Int("routes", len(r.Routes)), slog.String("source", source), slog.Duration("age", p.Age))
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		l.Info("knowledge: target registered", slog.String("target", string(t.ID)), slog.String("service", string(t.Service)),
			slog.String("address", t.Address.String()), slog.String("state", t.State.String()), slog.Uint64("revision", uint64(t.Revision)),
			slog.Duration("warmup", t.Warmup), slog.String("source", source), slog.Duration("age", p.Age))
	}
	for _, g := range c.Gone {
		l.Info("knowledge: target gone", slog.String("target", string(g.ID)), slog.Uint64("revision", uint64(g.Revision)),
			slog.Duration("hold", g.Hold), slog.String("source", source), slog.Duration("age", p.Age))
	}
}

// Freshness is how old word of a peer is, and how long the store had answered
// it without a fault.
type Freshness struct {
	Age, Settled time.Duration
}

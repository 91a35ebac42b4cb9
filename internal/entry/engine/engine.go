// Package engine decides for a whole host of the packet path. It takes typed
// events with the time and adds typed actions; it opens no socket, reads no
// clock and starts no goroutine, so that the daemon and the emulator run the
// same decisions.
package engine

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	// freshnessShare is the part of the bounds on knowledge, in percent, that its
	// age may reach before a host reads for itself; the rest is for the reading.
	freshnessShare = 45
	// waitShare is the part of those bounds, in percent, that a watch may wait. It
	// and a beacon's interval stay below freshnessShare.
	waitShare = 22
	// TickInterval is how often Tick is to be called: often enough that a change
	// of readers takes little of the bounds on knowledge.
	TickInterval = balancer.TickInterval
	// longPause is a pause after which waiting datagrams are too old to tell how
	// fresh they are.
	longPause = 500 * time.Millisecond
	// distrust is how long after a long pause no word of a peer counts as fresh.
	distrust = 150 * time.Millisecond
)

// DynamicConfig is what can change while an engine runs.
type DynamicConfig struct {
	Seeds []netip.Addr
	// MaxStaleness is the shorter of the bounds on routes and on targets' states.
	MaxStaleness time.Duration
}

// freshness is the age that knowledge may reach.
func (t *DynamicConfig) freshness() time.Duration { return t.MaxStaleness * freshnessShare / 100 }

// Config configures an engine.
type Config struct {
	DynamicConfig
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	MaxFlows    int
	Seed        uint64
}

// Engine decides for a host. It is safe for concurrent use.
type Engine struct {
	c       Config
	keeper  *tracker.Tracker
	planner *planner.Planner
	steerer *balancer.Balancer

	// mu guards what follows.
	mu       sync.Mutex
	random   *rand.Rand
	last     cactuspin.Time
	trustAt  cactuspin.Time
	reading  bool
	leaving  bool
	fetching bool
	// supplying is how many whole updates are being sent to peers.
	supplying int
	store     storeState
}

// New returns an engine that knows nothing yet.
func New(c Config) *Engine {
	freshness := c.freshness()
	return &Engine{
		c:       c,
		keeper:  tracker.New(),
		planner: planner.New(planner.Config{Self: c.Self, Incarnation: c.Incarnation, Seeds: c.Seeds, MaxAge: freshness, Seed: c.Seed}),
		steerer: balancer.New(balancer.Config{Zone: c.Self.Zone, Seed: c.Seed, StaleAfter: freshness, MaxFlows: c.MaxFlows}),
		random:  rand.New(rand.NewPCG(c.Seed, 2)),
		store:   storeState{pause: firstRetry},
	}
}

// Reconfigure takes a new tuning over.
func (e *Engine) Reconfigure(t DynamicConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.DynamicConfig = t
	e.planner.Reconfigure(t.Seeds, t.freshness())
	e.steerer.Reconfigure(t.freshness())
}

// Steer returns the verdict about a packet.
func (e *Engine) Steer(now cactuspin.Time, p *cactuspin.Packet) cactuspin.Verdict {
	return e.steerer.Steer(now, p)
}

// Loaded tells whether routes are known, so that packets can be steered.
func (e *Engine) Loaded(now cactuspin.Time) bool { return e.keeper.Position(now).Loaded }

// Ready tells whether the fabric may send packets here.
func (e *Engine) Ready(now cactuspin.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving && e.keeper.Position(now).Loaded
}

// Tick lets time pass; it is to be called every TickInterval.
func (e *Engine) Tick(now cactuspin.Time, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if gap := now.Sub(e.last); e.last != 0 && gap > longPause {
		out.note(slog.LevelWarn, "host: woke up", slog.Duration("gap", gap))
		e.trustAt = now.Add(distrust)
	}
	e.last = now
	known := e.keeper.Position(now)
	e.steerer.SetFreshness(now, known)
	for _, u := range e.steerer.Tick(now) {
		out.note(slog.LevelWarn, "flow: request unanswered", slog.String("caller", u.Caller.String()),
			slog.String("service", u.Service.String()), slog.String("target", string(u.Target)), slog.Duration("waited", u.Waited))
	}
	out.Probes = append(out.Probes, e.steerer.DueProbes(now)...)
	plan := e.planner.Tick(now, known, e.store.whole != nil)
	for _, a := range plan.Unresponsive {
		out.note(slog.LevelInfo, "peer: silent", slog.String("host", a.String()))
	}
	if plan.ReadStore != e.reading {
		e.reading = plan.ReadStore
		out.note(slog.LevelInfo, "store: reader changed", slog.Bool("reads", plan.ReadStore), slog.Bool("leader", plan.Leader),
			slog.Duration("age", known.Age))
	}
	e.call(now, out)
	if len(plan.ZoneRecipients)+len(plan.RemoteRecipients) > 0 {
		e.tell(now, &plan, out)
	}
}

// Stop begins a planned stop: the fabric and the peers are told, packets are
// steered on.
func (e *Engine) Stop(out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	out.note(slog.LevelInfo, "host: stopping")
}

// Probed takes the result of a probe that began at began.
func (e *Engine) Probed(now, began cactuspin.Time, p balancer.Probe, answered bool, out *Actions) {
	if e.steerer.RecordProbe(now, began, p.Target, answered) {
		out.note(slog.LevelInfo, "target: condition changed", slog.String("target", string(p.Target)),
			slog.String("address", p.Address.String()), slog.Bool("down", !answered), slog.Duration("took", now.Sub(began)))
	}
}

// take merges an update that came from source, and pushes what is new on.
func (e *Engine) take(now cactuspin.Time, u *cactuspin.Update, source string, out *Actions) bool {
	e.planner.AddPeers(now, u.Hosts, e.keeper.Position(now).Complete)
	c, ok := e.keeper.Merge(now, u)
	if !ok {
		return false
	}
	known := e.keeper.Position(now)
	e.steerer.SetFreshness(now, known)
	if c.Empty() {
		return true
	}
	e.steerer.Apply(now, &c)
	noteChange(&c, known, source, out)
	// Whole updates are not pushed: peers that lack something fetch it.
	if !u.Full {
		news := *u
		news.Hosts = nil
		out.send(e.planner.UpdateRecipients(now), encoder.Datagram{Update: &news})
	}
	return true
}

// Status is what a host knows and has in progress.
type Status struct {
	tracker.Position
	Reading, Leaving bool
	Peers            int
	Flows            int
	Verdicts         map[cactuspin.VerdictReason]uint64
	Down             []cactuspin.TargetID
}

// Status returns the state of the host for operators and metrics.
func (e *Engine) Status(now cactuspin.Time) Status {
	e.mu.Lock()
	reading, leaving := e.reading, e.leaving
	e.mu.Unlock()
	return Status{
		Position: e.keeper.Position(now), Reading: reading, Leaving: leaving, Peers: e.planner.AlivePeers(now),
		Flows: e.steerer.Flows(), Verdicts: e.steerer.Verdicts(), Down: e.steerer.DownTargets(),
	}
}

// Explain tells where packets of a flow go.
func (e *Engine) Explain(now cactuspin.Time, caller, service netip.AddrPort) balancer.Explanation {
	return e.steerer.Explain(now, caller, service)
}

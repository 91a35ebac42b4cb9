// Package engine makes the decisions of a whole host of the packet path. It is
// given typed events with the time and appends typed actions. It opens no
// socket, reads no clock and starts no goroutine, so that the daemon and the
// simulator run the same decisions.
package engine

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	// maxAgePercent is the share of MaxStaleness that the age of the knowledge
	// may reach before the host reads the store itself; the rest is for the
	// read.
	maxAgePercent = 45
	// watchWaitPercent is the share of MaxStaleness that a watch may wait.
	// Together with BeaconInterval it stays below maxAgePercent.
	watchWaitPercent = 22
	// TickInterval is the interval at which Tick has to be called. It is short,
	// so that a change of the reader uses only a small part of MaxStaleness.
	TickInterval = balancer.TickInterval
	// maxTickGap is the gap between two ticks after which the process is
	// considered to have been suspended. Datagrams that were queued meanwhile
	// may be too old to show how fresh knowledge is.
	maxTickGap = 500 * time.Millisecond
	// distrustPeriod is how long after such a gap messages from peers do not
	// count as fresh.
	distrustPeriod = 150 * time.Millisecond
)

// DynamicConfig is the part of the configuration that can change while an
// engine runs.
type DynamicConfig struct {
	Seeds []netip.Addr
	// MaxStaleness is the time within which a change of the routes or of a
	// target's state has to take effect, whichever limit is shorter.
	MaxStaleness time.Duration
	// Evacuations reports that evacuations have to take effect within MaxStaleness. Then
	// knowledge of peers that do not follow the states of zones is not used.
	Evacuations bool
}

// maxAge returns the age of the knowledge above which a host reads the store
// itself.
func (d *DynamicConfig) maxAge() time.Duration { return d.MaxStaleness * maxAgePercent / 100 }

// Config configures an engine.
type Config struct {
	DynamicConfig
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	MaxFlows    int
	Seed        uint64
}

// Engine makes the decisions of a host. It is safe for concurrent use.
type Engine struct {
	c        Config
	tracker  *tracker.Tracker
	planner  *planner.Planner
	balancer *balancer.Balancer

	// mu guards the following fields.
	mu         sync.Mutex
	random     *rand.Rand
	lastTick   cactuspin.Time
	trustAfter cactuspin.Time
	reading    bool
	leaving    bool
	// cold and eligible are the numbers of cold targets with a limit and of hosts that may
	// own them at the last tick.
	cold, eligible int
	fetching       bool
	// fullUpdates is the number of full updates that are being sent to peers.
	fullUpdates int
	store       storeState
}

// New returns an Engine without knowledge.
func New(c Config) *Engine {
	maxAge := c.maxAge()
	return &Engine{
		c:        c,
		tracker:  tracker.New(),
		planner:  planner.New(planner.Config{Self: c.Self, Incarnation: c.Incarnation, Seeds: c.Seeds, MaxAge: maxAge, Seed: c.Seed}),
		balancer: balancer.New(balancer.Config{Self: c.Self.Address, Zone: c.Self.Zone, Seed: c.Seed, StaleAfter: maxAge, MaxFlows: c.MaxFlows}),
		random:   rand.New(rand.NewPCG(c.Seed, 2)),
		store:    storeState{retryDelay: minRetryDelay},
	}
}

// Reconfigure replaces the dynamic configuration.
func (e *Engine) Reconfigure(d DynamicConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.DynamicConfig = d
	e.planner.Reconfigure(d.Seeds, d.maxAge())
	e.balancer.Reconfigure(d.maxAge())
}

// Steer returns the verdict about a packet.
func (e *Engine) Steer(now cactuspin.Time, p *cactuspin.Packet) cactuspin.Verdict {
	return e.balancer.Steer(now, p)
}

// Loaded reports whether routes are known, so that packets can be forwarded.
func (e *Engine) Loaded(now cactuspin.Time) bool { return e.tracker.Position(now).Loaded }

// Ready reports whether the fabric may send packets here.
func (e *Engine) Ready(now cactuspin.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving && e.tracker.Position(now).Loaded
}

// Tick performs the work that is due. It has to be called every TickInterval.
func (e *Engine) Tick(now cactuspin.Time, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if gap := now.Sub(e.lastTick); e.lastTick != 0 && gap > maxTickGap {
		out.note(slog.LevelWarn, "host: woke up", slog.Duration("gap", gap))
		e.trustAfter = now.Add(distrustPeriod)
	}
	e.lastTick = now
	position := e.tracker.Position(now)
	e.balancer.SetFreshness(now, position)
	for _, u := range e.balancer.Tick(now) {
		out.note(slog.LevelWarn, "flow: request unanswered", slog.String("caller", u.Caller.String()),
			slog.String("service", u.Service.String()), slog.String("target", string(u.Target)), slog.Duration("waited", u.Waited))
	}
	out.Probes = append(out.Probes, e.balancer.DueProbes(now)...)
	plan := e.planner.Tick(now, position, e.store.fullRead != nil)
	e.setEligible(now, out)
	for _, a := range plan.Unresponsive {
		out.note(slog.LevelInfo, "peer: silent", slog.String("host", a.String()))
	}
	if plan.ReadStore != e.reading {
		e.reading = plan.ReadStore
		out.note(slog.LevelInfo, "store: reader changed", slog.Bool("reads", plan.ReadStore), slog.Bool("leader", plan.Leader),
			slog.Duration("age", position.Age))
	}
	e.call(now, out)
	if len(plan.ZoneRecipients)+len(plan.RemoteRecipients) > 0 {
		e.sendBeacons(now, &plan, out)
	}
}

// Stop begins a planned stop: the fabric and the peers are notified that the host
// is leaving, and packets are still forwarded.
func (e *Engine) Stop(out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	out.note(slog.LevelInfo, "host: stopping")
}

// Probed handles the finding of a probe that began at began.
func (e *Engine) Probed(now, began cactuspin.Time, p balancer.Probe, f balancer.Finding, out *Actions) {
	if e.balancer.RecordProbe(now, began, p.Target, f) {
		out.note(slog.LevelInfo, "target: condition changed", slog.String("target", string(p.Target)),
			slog.String("address", p.Address.String()), slog.Bool("down", f != balancer.FindingAlive),
			slog.String("probe", f.String()), slog.Duration("took", now.Sub(began)))
		for _, r := range e.balancer.FlowsToReset(now, p.Target) {
			out.Resets = append(out.Resets, r)
			out.note(slog.LevelInfo, "flow: reset", slog.String("caller", r.Caller.String()), slog.String("service", r.Service.String()),
				slog.String("target", string(r.Target)), slog.String("reason", cactuspin.ReasonTargetDown.String()))
		}
	}
}

// merge merges an update from source and pushes the changes to peers. It
// reports false if an earlier update is missing.
func (e *Engine) merge(now cactuspin.Time, u *cactuspin.Update, source string, out *Actions) bool {
	first := !e.tracker.Position(now).Complete
	e.planner.AddPeers(now, u.Hosts, !first)
	c, ok := e.tracker.Merge(now, u)
	if !ok {
		return false
	}
	position := e.tracker.Position(now)
	e.balancer.SetFreshness(now, position)
	if c.Empty() {
		return true
	}
	e.balancer.Apply(now, &c)
	// The store has lost the announcement, or has it under a lease of another host.
	out.Announce = out.Announce || c.EraBegan
	noteChange(&c, position, first, source, out)
	for _, z := range position.Evacuated {
		changed := slices.ContainsFunc(c.Zones, func(x tracker.ZoneChange) bool { return x.Zone == z })
		if changed && !e.balancer.HasTargets(z) {
			out.note(slog.LevelWarn, "knowledge: zone without targets evacuated", slog.String("zone", string(z)))
		}
	}
	// Full updates are not pushed: peers that need one fetch it.
	if !u.Full {
		pushed := *u
		pushed.Hosts = nil
		out.send(e.planner.UpdateRecipients(now), encoder.Datagram{Update: &pushed})
	}
	return true
}

// Status is the state of a host and its knowledge.
type Status struct {
	tracker.Position
	Reading, Leaving bool
	Peers            int
	Flows            int
	Balance          balancer.Balance
	Verdicts         map[cactuspin.VerdictReason]uint64
	Down             []cactuspin.TargetID
	// ColdTargets is the number of cold targets in this host's zone that have a limit,
	// HeldAway the number of new flows that were kept from them.
	ColdTargets int
	HeldAway    uint64
}

// Status returns the state of the host for operators and metrics.
func (e *Engine) Status(now cactuspin.Time) Status {
	e.mu.Lock()
	reading, leaving := e.reading, e.leaving
	e.mu.Unlock()
	return Status{
		Position: e.tracker.Position(now), Reading: reading, Leaving: leaving, Peers: e.planner.AlivePeers(now),
		Flows: e.balancer.Flows(), Balance: e.balancer.Balance(now), Verdicts: e.balancer.Verdicts(), Down: e.balancer.DownTargets(),
		ColdTargets: e.balancer.ColdTargets(), HeldAway: e.balancer.HeldAway(),
	}
}

// Explain describes where packets of a flow are forwarded and why.
func (e *Engine) Explain(now cactuspin.Time, caller, service netip.AddrPort) balancer.Explanation {
	return e.balancer.Explain(now, caller, service)
}

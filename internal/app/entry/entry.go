// Package entry wires a host of the packet path.
package entry

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/forwarder"
	"github.com/cactuspin/cactuspin/internal/entry/gossiper"
	"github.com/cactuspin/cactuspin/internal/entry/learner"
	"github.com/cactuspin/cactuspin/internal/entry/prober"
	"github.com/cactuspin/cactuspin/internal/entry/responder"
	"github.com/cactuspin/cactuspin/internal/entry/updater"
	"github.com/cactuspin/cactuspin/internal/knowledge/keeper"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/server/provider"
	"github.com/cactuspin/cactuspin/internal/steering/steerer"
	"github.com/cactuspin/cactuspin/platform"
)

// Build is the version of the program; the linker sets it.
var Build = "dev"

const (
	// freshnessShare is the part of the bounds on knowledge, in percent, that its
	// age may reach before a host reads for itself; the rest is for the reading.
	freshnessShare = 45
	// waitShare is the part of those bounds, in percent, that a watch may wait. It
	// and a beacon's interval stay below freshnessShare.
	waitShare = 22
	// stopMargin is how long before the kill a stopping host has ended.
	stopMargin = time.Second
	// noticeTime is how long the fabric takes to notice that a host is not ready:
	// two checks at half a second each, and some lateness.
	noticeTime = 1500 * time.Millisecond
	// quietTime without a packet tells that the fabric no longer uses this host.
	quietTime = 400 * time.Millisecond
	// stopCheck is how often a stopping host looks whether it is done.
	stopCheck = 50 * time.Millisecond
)

// Main runs the host with the arguments and returns its exit code: 0 after a
// planned stop, 1 after a failure, 2 for wrong settings.
func Main(args []string, stdout, stderr io.Writer) int {
	a := kingpin.New("cactuspin-entry", "Entry host of cactuspin's packet path.")
	a.Version(Build)
	a.DefaultEnvars()
	a.UsageWriter(stdout)
	a.ErrorWriter(stderr)
	settings := a.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().String()
	level := a.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	if _, err := a.Parse(args); err != nil {
		return complain(stderr, err)
	}
	s, err := platform.LoadSettings(*settings)
	if err != nil {
		return complain(stderr, err)
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(*level)); err != nil {
		return complain(stderr, err)
	}
	logger := slog.New(slog.NewTextHandler(stdout, &slog.HandlerOptions{Level: l}))
	if err := run(*settings, s, logger); err != nil {
		logger.Error("host: failed", slog.Any("error", err))
		return 1
	}
	logger.Info("host: stopped")
	return 0
}

func complain(w io.Writer, err error) int {
	_, _ = io.WriteString(w, "cactuspin-entry: "+err.Error()+"\n")
	return 2
}

// host is a running host.
type host struct {
	settings platform.Settings
	common   provider.Common
	pauses   *provider.PauseClock
	keeper   *keeper.Keeper
	steerer  *steerer.Steerer
	planner  *planner.Planner
	updater  *updater.Updater
	learner  *learner.Learner
	gossiper *gossiper.Gossiper
	forward  *forwarder.Forwarder
	respond  *responder.Responder
	prober   *prober.Prober
	ctx      context.Context
	leaving  atomic.Bool
}

func run(path string, s platform.Settings, logger *slog.Logger) (err error) {
	defer func() { err = errors.Wrap(err, "entry host") }()
	h, err := newHost(s, logger)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(ctx)
	logger.Info("host: started", slog.String("host", s.Name), slog.String("zone", string(s.Zone)), slog.String("packets", s.Packets.String()), slog.String("build", Build))
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go h.reload(ctx, path, reload)
	select {
	case <-stop:
	case err := <-h.forward.Done():
		return err
	case err := <-h.respond.Done():
		return err
	}
	h.drain()
	return nil
}

func newHost(s platform.Settings, logger *slog.Logger) (h *host, err error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	random, incarnation := binary.BigEndian.Uint64(seed[:]), cactuspin.Incarnation(binary.BigEndian.Uint64(seed[8:]))
	h = &host{settings: s, pauses: provider.NewPauseClock(), keeper: keeper.New()}
	h.common = provider.Common{Logger: logger, Clock: h.pauses.Now}
	self := cactuspin.EntryHost{Address: s.IP, Zone: s.Zone}
	bound := min(s.ApplyWithin, s.DrainWithin)
	freshness := bound * freshnessShare / 100
	h.planner = planner.New(planner.Config{Self: self, Incarnation: incarnation, Seeds: s.Seeds, Freshness: freshness, Seed: random})
	h.steerer = steerer.New(steerer.Config{Zone: s.Zone, Seed: random, StaleAfter: freshness, MaxFlows: 1 << 17})
	h.updater = updater.New(updater.Config{Common: h.common, Keeper: h.keeper, Planner: h.planner, Steerer: h.steerer})
	h.prober = prober.New(prober.Config{Common: h.common, Steerer: h.steerer})
	h.learner = learner.New(learner.Config{
		Common: h.common, Store: platform.NewStore(s.Store, logger), Keeper: h.keeper, Updater: h.updater,
		Self: self, Wait: bound * waitShare / 100, Seed: random,
		Spread: func(u *cactuspin.Update) { h.gossiper.Spread(u) },
	})
	h.gossiper, err = gossiper.New(gossiper.Config{
		Common: h.common, Pauses: h.pauses, Self: self, Incarnation: incarnation,
		PeerPort: s.PeerPort, KnowledgePort: s.KnowledgePort,
		Keeper: h.keeper, Planner: h.planner, Updater: h.updater,
		Want: h.learner.Want, Loads: h.steerer.Loads, ShareLoads: h.steerer.ShareLoads, Tick: h.tick,
	})
	if err != nil {
		return nil, err
	}
	h.forward, err = forwarder.New(forwarder.Config{
		Common: h.common, Address: s.Packets, Format: platform.Format{}, Steerer: h.steerer,
		Ready: h.updater.Loaded(), Observe: h.observe,
	})
	if err != nil {
		return nil, err
	}
	h.respond, err = responder.New(responder.Config{Common: h.common, Handlers: h.handlers()})
	return h, err
}

func (h *host) handlers() map[netip.AddrPort]http.Handler {
	knowledge := http.NewServeMux()
	knowledge.Handle("GET "+gossiper.KnowledgePath, h.gossiper)
	return map[netip.AddrPort]http.Handler{
		netip.AddrPortFrom(h.settings.IP, h.settings.KnowledgePort): knowledge,
		h.settings.Readiness: platform.NewReadiness(h.ready),
	}
}

func (h *host) start(ctx context.Context) {
	h.ctx = ctx
	h.learner.Start(ctx)
	h.gossiper.Start(ctx)
	h.forward.Start(ctx)
	h.respond.Start(ctx)
	go h.announce(ctx)
}

// announce makes this host known to those that start later.
func (h *host) announce(ctx context.Context) {
	if err := h.learner.Announce(ctx, platform.NewStore(h.settings.Store, h.common.Logger)); err != nil && ctx.Err() == nil {
		h.common.Logger.Error("store: announcing ended", slog.Any("error", err))
	}
}

// reload checks the settings file when a signal says that it has changed. What
// a host is and where it listens stays as it was at the start.
func (h *host) reload(ctx context.Context, path string, changed <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			h.common.Logger.Error("host: settings not reloaded", slog.Any("error", err))
			continue
		}
		h.common.Logger.Info("host: settings reloaded")
	}
}

// ready tells the fabric whether this host takes packets.
func (h *host) ready() bool {
	select {
	case <-h.updater.Loaded():
		return !h.leaving.Load()
	default:
		return false
	}
}

func (h *host) tick(now cactuspin.Time) {
	h.steerer.Refresh(now, h.keeper.Position(now))
	h.steerer.Tick(now)
	h.prober.Start(h.ctx, now)
}

func (h *host) observe(p *cactuspin.Packet, v *cactuspin.Verdict) {
	h.common.Logger.Debug("flow: steered", slog.String("caller", p.Caller.String()), slog.String("service", p.Service.String()),
		slog.String("reason", v.Reason.String()), slog.String("target", string(v.Target)), slog.Int("busy", v.Busy),
		slog.Uint64("version", uint64(v.Version)), slog.Duration("age", v.Age))
}

// drain steers on until the fabric no longer sends packets here.
func (h *host) drain() {
	h.leaving.Store(true)
	h.gossiper.Leave()
	began := h.common.Clock()
	h.common.Logger.Info("host: stopping")
	for {
		time.Sleep(stopCheck)
		now := h.common.Clock()
		waited := now.Sub(began)
		if waited > h.settings.StopWithin-stopMargin {
			return
		}
		if waited > noticeTime && now.Sub(h.forward.Last()) > quietTime {
			return
		}
	}
}

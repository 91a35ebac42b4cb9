package entry

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/entry/forwarder"
	"github.com/cactuspin/cactuspin/internal/entry/gossiper"
	"github.com/cactuspin/cactuspin/internal/entry/httpserver"
	"github.com/cactuspin/cactuspin/internal/entry/meter"
	"github.com/cactuspin/cactuspin/internal/entry/prober"
	"github.com/cactuspin/cactuspin/internal/entry/reporter"
	"github.com/cactuspin/cactuspin/internal/entry/storeclient"
	"github.com/cactuspin/cactuspin/internal/entry/writer"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/steering/examiner"
	"github.com/cactuspin/cactuspin/platform"
)

const (
	// stopMargin is the time between the latest end of a planned stop and the moment
	// when the platform kills the process.
	stopMargin = time.Second
	// readinessDelay is how long the fabric takes to detect that a host is not ready:
	// two checks of half a second each, and a margin for delays.
	readinessDelay = 1500 * time.Millisecond
	// idleTime without a packet means that the fabric no longer uses this host.
	idleTime = 400 * time.Millisecond
	// stopCheckInterval is how often a stopping host checks whether it can end.
	stopCheckInterval = 50 * time.Millisecond
	// maxFlows limits the remembered flows, which use about 20 MB.
	maxFlows = 1 << 17
)

// host is an entry host with its components.
type host struct {
	settingsFile *platform.SettingsFile
	// settings holds the settings in force; reloadMu serializes changes to them.
	settings atomic.Pointer[platform.Settings]
	reloadMu sync.Mutex
	// settingsUnreadable is whether the last attempt to read the settings file failed.
	settingsUnreadable bool
	common             driver.Common
	pauses             *driver.PauseClock
	engine             *engine.Engine
	storeClient        *storeclient.Client
	gossiper           *gossiper.Gossiper
	prober             *prober.Prober
	forwarder          *forwarder.Forwarder
	server             *httpserver.Server
	reporter           *reporter.Reporter
	meter              *meter.Meter
	writer             *writer.Writer
	loaded             chan struct{}
	loadedOnce         sync.Once
	ctx                context.Context
}

func newHost(o *options, f *platform.SettingsFile, s *platform.Settings, logger *slog.Logger, w *writer.Writer) (h *host, err error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	h = &host{settingsFile: f, pauses: driver.NewPauseClock(), writer: w, loaded: make(chan struct{})}
	h.settings.Store(s)
	h.common = driver.Common{Logger: logger, Clock: h.pauses.Now}
	self := cactuspin.EntryHost{Address: s.IP, Zone: s.Zone}
	h.engine = engine.New(engine.Config{
		Self: self, MaxFlows: maxFlows,
		DynamicConfig: dynamicConfig(s),
		Incarnation:   cactuspin.Incarnation(binary.BigEndian.Uint64(seed[8:])), Seed: binary.BigEndian.Uint64(seed[:]),
	})
	h.storeClient = storeclient.New(storeclient.Config{
		Logger: logger, Self: self, Engine: h.engine, Handle: h.handle,
		Store: platform.NewStore(s.StoreAddress, logger), AnnouncementStore: platform.NewStore(s.StoreAddress, logger),
	})
	h.prober = prober.New(prober.Config{Common: h.common, Report: h.probed})
	h.meter = meter.New(meter.Config{Status: h.status, Counters: h.counters})
	h.reporter = reporter.New(reporter.Config{Logger: logger, Format: platform.PacketFormat{}, RecordResponseTime: h.meter.RecordResponseTime})
	return h, h.open(o)
}

// open opens the host's sockets.
func (h *host) open(o *options) (err error) {
	s := h.settings.Load()
	h.gossiper, err = gossiper.New(gossiper.Config{
		Common: h.common, Address: netip.AddrPortFrom(s.IP, s.PeerPort), KnowledgePort: s.KnowledgePort, Engine: h.engine, Handle: h.handle,
	})
	if err != nil {
		return err
	}
	h.forwarder, err = forwarder.New(forwarder.Config{
		Common: h.common, Address: s.PacketAddress, Format: platform.PacketFormat{}, Balancer: h.engine, Ready: h.loaded, Observe: h.reporter.Report,
	})
	if err != nil {
		return err
	}
	h.server, err = httpserver.New(httpserver.Config{Common: h.common, Handlers: h.handlers(o)})
	return err
}

func (h *host) handlers(o *options) map[netip.AddrPort]http.Handler {
	s := h.settings.Load()
	knowledge := http.NewServeMux()
	knowledge.Handle("GET "+gossiper.KnowledgePath, h.gossiper)
	handlers := map[netip.AddrPort]http.Handler{
		netip.AddrPortFrom(s.IP, s.KnowledgePort): knowledge,
		s.ReadinessAddress:                        platform.NewReadinessHandler(func() bool { return h.engine.Ready(h.common.Clock()) }),
	}
	if s.AdminAddress.IsValid() {
		handlers[s.AdminAddress] = newAdminHandler(h)
	}
	if o.metricsPort != 0 {
		metrics := http.NewServeMux()
		metrics.Handle("GET /metrics", h.meter)
		handlers[netip.AddrPortFrom(s.IP, o.metricsPort)] = metrics
	}
	return handlers
}

// handle calls the engine with the current time and performs the actions that it
// returns.
func (h *host) handle(decide func(now cactuspin.Time, out *engine.Actions)) {
	var out engine.Actions
	decide(h.common.Clock(), &out)
	out.Log(h.common.Logger)
	for i := range out.Sends {
		h.gossiper.Send(&out.Sends[i])
	}
	if out.Store != nil {
		h.storeClient.Call(h.ctx, out.Store)
	}
	if out.Fetch != nil {
		h.gossiper.Fetch(h.ctx, out.Fetch)
	}
	for _, r := range out.Resets {
		h.forwarder.Reset(r.Caller, r.Service, r.Acknowledgement)
	}
	if out.Announce {
		h.storeClient.Reannounce()
	}
	for _, p := range out.Probes {
		h.prober.Probe(p)
	}
	if h.engine.Loaded(h.common.Clock()) {
		h.loadedOnce.Do(func() { close(h.loaded) })
	}
}

func (h *host) start(ctx context.Context) {
	h.ctx = ctx
	h.gossiper.Start(ctx)
	h.forwarder.Start(ctx)
	h.server.Start(ctx)
	h.prober.Start(ctx)
	go h.tick(ctx)
	h.storeClient.Start(ctx)
	go h.openMeter(ctx)
	go h.watchSettings(ctx)
}

func (h *host) tick(ctx context.Context) {
	t := time.NewTicker(engine.TickInterval)
	defer t.Stop()
	for {
		h.handle(h.engine.Tick)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.pauses.Refresh()
		}
	}
}

// openMeter opens the meter once the host can forward packets.
func (h *host) openMeter(ctx context.Context) {
	select {
	case <-h.loaded:
	case <-ctx.Done():
		return
	}
	if err := h.meter.Open(); err != nil {
		h.common.Logger.Error("host: no metrics", slog.Any("error", err))
	}
}

// probed passes the result of a probe to the engine.
func (h *host) probed(r examiner.Result) {
	h.handle(func(now cactuspin.Time, out *engine.Actions) { h.engine.Probed(now, r.Began, r.Probe, r.Finding, out) })
}

func (h *host) status() engine.Status { return h.engine.Status(h.common.Clock()) }

func (h *host) counters() meter.Counters {
	sent, received := h.gossiper.Traffic()
	return meter.Counters{
		Malformed: h.forwarder.Malformed() + h.gossiper.Malformed(), Unsent: h.forwarder.Unsent(),
		PeerSent: sent, PeerReceived: received, LinesDropped: h.writer.Dropped(), LinesSuppressed: h.reporter.Suppressed(),
	}
}

// ended returns a channel that reports the end of each driver without which the host
// cannot work.
func (h *host) ended() <-chan error {
	parts := []<-chan error{h.forwarder.Done(), h.gossiper.Done(), h.server.Done(), h.prober.Done()}
	ended := make(chan error, len(parts))
	for _, done := range parts {
		go func() { ended <- <-done }()
	}
	return ended
}

// drain announces the planned stop and keeps forwarding until the fabric no longer
// sends packets to this host, or until the grace period is almost over. It returns
// the error of a driver that ends meanwhile.
func (h *host) drain(ended <-chan error) error {
	h.handle(func(_ cactuspin.Time, out *engine.Actions) { h.engine.Stop(out) })
	startTime := h.common.Clock()
	t := time.NewTicker(stopCheckInterval)
	defer t.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-t.C:
		}
		now := h.common.Clock()
		elapsed := now.Sub(startTime)
		if elapsed > h.settings.Load().StopGracePeriod-stopMargin {
			return nil
		}
		if elapsed > readinessDelay && now.Sub(h.forwarder.LastPacketTime()) > idleTime {
			return nil
		}
	}
}

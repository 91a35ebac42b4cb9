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
	"github.com/cactuspin/cactuspin/platform"
)

const (
	// stopMargin is how long before the kill a stopping host has ended.
	stopMargin = time.Second
	// noticeTime is how long the fabric takes to notice that a host is not ready:
	// two checks at half a second each, and some lateness.
	noticeTime = 1500 * time.Millisecond
	// quietTime without a packet tells that the fabric no longer uses this host.
	quietTime = 400 * time.Millisecond
	// stopCheck is how often a stopping host looks whether it is done.
	stopCheck = 50 * time.Millisecond
	// maxFlows bounds the remembered flows: some 20 MB.
	maxFlows = 1 << 17
)

// host is a running host.
type host struct {
	settingsFile *platform.SettingsFile
	// settings are those in force; reloading guards their change.
	settings  atomic.Pointer[platform.Settings]
	reloading sync.Mutex
	// settingsMissing says that the file could not be read the last time.
	settingsMissing bool
	common          driver.Common
	pauses          *driver.PauseClock
	engine          *engine.Engine
	learner         *storeclient.Client
	gossiper        *gossiper.Gossiper
	prober          *prober.Prober
	forwarder       *forwarder.Forwarder
	responder       *httpserver.Server
	reporter        *reporter.Reporter
	meter           *meter.Meter
	writer          *writer.Writer
	loaded          chan struct{}
	once            sync.Once
	ctx             context.Context
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
		DynamicConfig: tuningOf(s),
		Incarnation:   cactuspin.Incarnation(binary.BigEndian.Uint64(seed[8:])), Seed: binary.BigEndian.Uint64(seed[:]),
	})
	h.learner = storeclient.New(storeclient.Config{
		Logger: logger, Self: self, Engine: h.engine, Handle: h.handle,
		Store: platform.NewStore(s.StoreAddress, logger), AnnouncementStore: platform.NewStore(s.StoreAddress, logger),
	})
	h.prober = prober.New(prober.Config{Common: h.common, Engine: h.engine, Handle: h.handle})
	h.meter = meter.New(meter.Config{Status: h.status, Counters: h.figures})
	h.reporter = reporter.New(reporter.Config{Logger: logger, Format: platform.PacketFormat{}, RecordResponseTime: h.meter.RecordResponseTime})
	return h, h.open(o)
}

// open opens the sockets.
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
	h.responder, err = httpserver.New(httpserver.Config{Common: h.common, Handlers: h.handlers(o)})
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
		handlers[s.AdminAddress] = newOperators(h)
	}
	if o.metricsPort != 0 {
		metrics := http.NewServeMux()
		metrics.Handle("GET /metrics", h.meter)
		handlers[netip.AddrPortFrom(s.IP, o.metricsPort)] = metrics
	}
	return handlers
}

// handle runs a decision of the engine and performs its actions.
func (h *host) handle(decide func(now cactuspin.Time, out *engine.Actions)) {
	var out engine.Actions
	decide(h.common.Clock(), &out)
	out.Log(h.common.Logger)
	for i := range out.Sends {
		h.gossiper.Send(&out.Sends[i])
	}
	if out.Store != nil {
		h.learner.Call(h.ctx, out.Store)
	}
	if out.Fetch != nil {
		h.gossiper.Fetch(h.ctx, out.Fetch)
	}
	for _, p := range out.Probes {
		h.prober.Probe(h.ctx, p)
	}
	if h.engine.Loaded(h.common.Clock()) {
		h.once.Do(func() { close(h.loaded) })
	}
}

func (h *host) start(ctx context.Context) {
	h.ctx = ctx
	h.gossiper.Start(ctx)
	h.forwarder.Start(ctx)
	h.responder.Start(ctx)
	go h.tick(ctx)
	h.learner.Start(ctx)
	go h.measure(ctx)
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

// measure opens the meter once packets are steered.
func (h *host) measure(ctx context.Context) {
	select {
	case <-h.loaded:
	case <-ctx.Done():
		return
	}
	if err := h.meter.Open(); err != nil {
		h.common.Logger.Error("host: no metrics", slog.Any("error", err))
	}
}

func (h *host) status() engine.Status { return h.engine.Status(h.common.Clock()) }

func (h *host) figures() meter.Counters {
	sent, received := h.gossiper.Traffic()
	return meter.Counters{
		Malformed: h.forwarder.Malformed() + h.gossiper.Malformed(), Unsent: h.forwarder.Unsent(),
		PeerSent: sent, PeerReceived: received, LinesDropped: h.writer.Dropped(), LinesSuppressed: h.reporter.Suppressed(),
	}
}

// drain steers on until the fabric no longer sends packets here.
func (h *host) drain() {
	h.handle(func(_ cactuspin.Time, out *engine.Actions) { h.engine.Stop(out) })
	began := h.common.Clock()
	for {
		time.Sleep(stopCheck)
		now := h.common.Clock()
		waited := now.Sub(began)
		if waited > h.settings.Load().StopGracePeriod-stopMargin {
			return
		}
		if waited > noticeTime && now.Sub(h.forwarder.LastPacketTime()) > quietTime {
			return
		}
	}
}

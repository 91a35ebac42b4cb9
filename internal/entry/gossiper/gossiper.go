// Package gossiper exchanges knowledge with the other hosts: beacons and small
// updates in datagrams, whole updates over HTTP.
package gossiper

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/updater"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/keeper"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/server/provider"
)

const (
	// tickInterval is how often the planner is asked: often enough that a change
	// of readers takes little of the bounds on knowledge.
	tickInterval = 50 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer, which is milliseconds away.
	fetchTimeout = 400 * time.Millisecond
	// longPause is a pause after which waiting datagrams are too old to tell how
	// fresh they are.
	longPause = 500 * time.Millisecond
	// distrust is how long after a long pause no word of a peer counts as fresh.
	distrust = 150 * time.Millisecond
	// maxUpdate bounds a fetched update in bytes.
	maxUpdate = 64 << 20
	// KnowledgePath is where peers fetch updates.
	KnowledgePath = "/v1/knowledge"
)

// Config configures a Gossiper.
type Config struct {
	provider.Common
	Pauses      *provider.PauseClock
	Self        cactuspin.EntryHost
	Incarnation cactuspin.Incarnation
	// PeerPort takes datagrams, KnowledgePort fetches; the same on every host.
	PeerPort, KnowledgePort uint16
	Keeper                  *keeper.Keeper
	Planner                 *planner.Planner
	Updater                 *updater.Updater
	// Want takes whether this host is to read the store.
	Want func(read bool)
	// Loads returns what this host has in progress.
	Loads func() encoder.Loads
	// ShareLoads takes what other hosts have in progress.
	ShareLoads func(others encoder.Loads)
	// Tick is called with each tick.
	Tick func(now cactuspin.Time)
}

// Gossiper talks with peers.
type Gossiper struct {
	cfg     Config
	socket  *net.UDPConn
	client  *http.Client
	done    chan error
	leaving atomic.Bool
	// trustAt is when word of peers counts again after a pause.
	trustAt        atomic.Int64
	fetching       sync.Mutex
	sent, received atomic.Uint64
	reading        bool
}

// New opens the socket.
func New(c Config) (g *Gossiper, err error) {
	defer func() { err = errors.Wrap(err, "new gossiper") }()
	a := netip.AddrPortFrom(c.Self.Address, c.PeerPort)
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Gossiper{cfg: c, socket: s, client: &http.Client{Transport: t}, done: make(chan error, 1)}, nil
}

// Start talks until the context ends, which is reported on Done.
func (g *Gossiper) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = g.socket.Close() })
	go func() {
		go g.listen(ctx)
		g.done <- g.run(ctx)
	}()
}

// Done reports the end.
func (g *Gossiper) Done() <-chan error { return g.done }

// Leave tells the peers that this host is about to stop.
func (g *Gossiper) Leave() { g.leaving.Store(true) }

// Traffic returns the bytes sent to and received from peers in datagrams.
func (g *Gossiper) Traffic() (sent, received uint64) { return g.sent.Load(), g.received.Load() }

func (g *Gossiper) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last := g.cfg.Clock()
	g.tick(last)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		paused := g.cfg.Pauses.Refresh()
		now := g.cfg.Clock()
		if gap := now.Sub(last); gap > longPause {
			g.cfg.Logger.Warn("host: woke up", slog.Duration("gap", gap), slog.Duration("uncounted", paused))
			g.trustAt.Store(int64(now.Add(distrust)))
		}
		last = now
		g.tick(now)
	}
}

func (g *Gossiper) tick(now cactuspin.Time) {
	g.cfg.Tick(now)
	plan := g.cfg.Planner.Tick(now, g.cfg.Keeper.Position(now))
	if plan.Read != g.reading {
		g.cfg.Logger.Info("knowledge: reading the store", slog.Bool("reads", plan.Read), slog.Bool("leader", plan.Leader))
	}
	if g.reading != plan.Read {
		g.reading = plan.Read
		g.cfg.Want(plan.Read && !g.leaving.Load())
	}
	if len(plan.Tell)+len(plan.Leaders) == 0 {
		return
	}
	own := g.cfg.Loads()
	zone, total, others := g.cfg.Planner.Loads(now, own)
	g.cfg.ShareLoads(others)
	b := g.beacon(now)
	b.Answer = !b.Complete
	b.Loads, b.Total = own, total
	g.send(plan.Tell, &encoder.Datagram{Beacon: b})
	b.Loads, b.Total = zone, nil
	g.send(plan.Leaders, &encoder.Datagram{Beacon: b})
}

// beacon returns a beacon without loads.
func (g *Gossiper) beacon(now cactuspin.Time) *encoder.Beacon {
	p := g.cfg.Keeper.Position(now)
	return &encoder.Beacon{
		Host:        g.cfg.Self,
		Incarnation: g.cfg.Incarnation,
		Revision:    p.Revision,
		Changed:     p.Changed,
		Age:         p.Age,
		Settled:     p.Settled,
		Complete:    p.Complete,
		Leaving:     g.leaving.Load(),
	}
}

// Spread pushes news to peers if it fits into a datagram; otherwise they learn
// from the next beacon that they are behind.
func (g *Gossiper) Spread(u *cactuspin.Update) {
	small := *u
	small.Hosts = nil
	if small.Full {
		return
	}
	g.send(g.cfg.Planner.Audience(g.cfg.Clock()), &encoder.Datagram{Update: &small})
}

func (g *Gossiper) send(hosts []netip.Addr, d *encoder.Datagram) {
	if len(hosts) == 0 {
		return
	}
	b, err := encoder.Encode(d)
	if err != nil {
		g.cfg.Logger.Error("peers: datagram not encoded", slog.Any("error", err))
		return
	}
	if len(b) > encoder.MaxDatagram && d.Update != nil {
		return
	}
	for _, a := range hosts {
		if _, err := g.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(a, g.cfg.PeerPort)); err != nil {
			g.cfg.Logger.Debug("peers: datagram not sent", slog.String("host", a.String()), slog.Any("error", err))
		}
		g.sent.Add(uint64(len(b)))
	}
}

func (g *Gossiper) listen(ctx context.Context) {
	b := make([]byte, 64<<10)
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			g.cfg.Logger.Warn("peers: read failed", slog.Any("error", err))
			continue
		}
		g.received.Add(uint64(n))
		d, err := encoder.Decode(b[:n])
		if err != nil {
			g.cfg.Logger.Warn("peers: datagram ignored", slog.String("from", from.String()), slog.Any("error", err))
			continue
		}
		if d.Beacon != nil {
			g.hear(ctx, d.Beacon)
			continue
		}
		g.update(ctx, d.Update, from.Addr())
	}
}

func (g *Gossiper) hear(ctx context.Context, b *encoder.Beacon) {
	now := g.cfg.Clock()
	g.cfg.Planner.Hear(now, b)
	if b.Answer && g.cfg.Keeper.Position(now).Complete {
		g.send([]netip.Addr{b.Host.Address}, &encoder.Datagram{Beacon: g.beacon(now)})
	}
	if !b.Complete || now < cactuspin.Time(g.trustAt.Load()) {
		return
	}
	if !g.cfg.Updater.Confirm(b.Revision, b.Changed, updater.Freshness{Age: b.Age, Settled: b.Settled}) {
		g.fetchFrom(ctx, b.Host.Address)
	}
}

func (g *Gossiper) update(ctx context.Context, u *cactuspin.Update, from netip.Addr) {
	if now := g.cfg.Clock(); now < cactuspin.Time(g.trustAt.Load()) {
		return
	}
	changed, ok := g.cfg.Updater.Update(u, from.String())
	if !ok {
		g.fetchFrom(ctx, from)
	}
	if changed {
		g.Spread(u)
	}
}

// fetchFrom fetches what is missing in the background, one fetch at a time.
func (g *Gossiper) fetchFrom(ctx context.Context, host netip.Addr) {
	if !g.cfg.Planner.Fetch(g.cfg.Clock(), host) || !g.fetching.TryLock() {
		return
	}
	go func() {
		defer g.fetching.Unlock()
		if err := g.fetch(ctx, host); err != nil && ctx.Err() == nil {
			g.cfg.Logger.Info("peers: update not fetched", slog.String("host", host.String()), slog.Any("error", err))
		}
	}()
}

func (g *Gossiper) fetch(ctx context.Context, host netip.Addr) (err error) {
	defer func() { err = errors.Wrap(err, "fetch update") }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := g.cfg.Clock()
	after := g.cfg.Keeper.Position(asked).Revision
	u := "http://" + netip.AddrPortFrom(host, g.cfg.KnowledgePort).String() + KnowledgePath + "?after=" + strconv.FormatUint(uint64(after), 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	a, err := g.client.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { err = errors.CombineErrors(err, a.Body.Close()) }()
	if a.StatusCode != http.StatusOK {
		return errors.Newf("host answered %d", a.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxUpdate))
	if err != nil {
		return errors.WithStack(err)
	}
	x, err := encoder.DecodeUpdate(b)
	if err != nil {
		return err
	}
	x.Age += g.cfg.Clock().Sub(asked)
	if changed, _ := g.cfg.Updater.Update(&x, host.String()); changed {
		g.Spread(&x)
	}
	return nil
}

// ServeHTTP answers fetches of peers.
func (g *Gossiper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	u, ok := g.cfg.Keeper.Since(g.cfg.Clock(), cactuspin.Revision(after))
	if !ok {
		http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
		return
	}
	b, err := encoder.EncodeUpdate(&u)
	if err != nil {
		g.cfg.Logger.Error("peers: update not encoded", slog.Any("error", err))
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(b); err != nil {
		g.cfg.Logger.Debug("peers: update not sent", slog.Any("error", err))
	}
}

// Package gossiper carries what the engine tells other hosts: datagrams, and
// updates that are fetched over HTTP.
package gossiper

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

const (
	// fetchTimeout is how long a peer, which is milliseconds away, may take to begin
	// its answer to a fetch.
	fetchTimeout = 400 * time.Millisecond
	// bodyTimeout bounds a fetch: some hundred kilobytes over a small host's link.
	bodyTimeout = 2 * time.Second
	// maxUpdate bounds a fetched update in bytes.
	maxUpdate = 64 << 20
	// maxDatagram is the longest UDP payload in bytes.
	maxDatagram = 64 << 10
	// KnowledgePath is where peers fetch updates.
	KnowledgePath = "/v1/knowledge"
)

// Config configures a Gossiper.
type Config struct {
	driver.Common
	// Address takes datagrams; peers listen at the same port.
	Address netip.AddrPort
	// KnowledgePort is where peers answer fetches.
	KnowledgePort uint16
	Engine        *engine.Engine
	Handle        engine.Handler
}

// Gossiper talks with peers.
type Gossiper struct {
	cfg            Config
	socket         *net.UDPConn
	client         *http.Client
	done           chan error
	sent, received atomic.Uint64
	malformed      atomic.Uint64
}

// New opens the socket.
func New(c Config) (g *Gossiper, err error) {
	defer func() { err = errors.Wrap(err, "new gossiper") }()
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &net.Dialer{Timeout: fetchTimeout}
	t := &http.Transport{DialContext: d.DialContext, ResponseHeaderTimeout: fetchTimeout, DisableKeepAlives: true, DisableCompression: true}
	return &Gossiper{cfg: c, socket: s, client: &http.Client{Transport: t}, done: make(chan error, 1)}, nil
}

// Start listens until the context ends, which is reported on Done.
func (g *Gossiper) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = g.socket.Close() })
	go func() { g.done <- g.listen(ctx) }()
}

// Done reports the end.
func (g *Gossiper) Done() <-chan error { return g.done }

// Traffic returns the bytes sent to and received from peers in datagrams.
func (g *Gossiper) Traffic() (sent, received uint64) { return g.sent.Load(), g.received.Load() }

// Malformed returns the number of datagrams that could not be read.
func (g *Gossiper) Malformed() uint64 { return g.malformed.Load() }

// Send sends a datagram to peers. An update that is too long is left out: peers
// learn from the next beacon that they lack it.
func (g *Gossiper) Send(s *engine.Send) {
	b, err := encoder.Encode(&s.Datagram)
	if err != nil {
		g.cfg.Logger.Error("peer: datagram not encoded", slog.Any("error", err))
		return
	}
	if len(b) > encoder.MaxDatagramLength && s.Datagram.Update != nil {
		return
	}
	for _, a := range s.To {
		if _, err := g.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(a, g.cfg.Address.Port())); err != nil {
			g.cfg.Logger.Debug("peer: datagram not sent", slog.String("host", a.String()), slog.Any("error", err))
		}
		g.sent.Add(uint64(len(b)))
	}
}

func (g *Gossiper) listen(ctx context.Context) error {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			g.cfg.Logger.Warn("peer: read failed", slog.Any("error", err))
			continue
		}
		g.received.Add(uint64(n))
		d, err := encoder.Decode(b[:n])
		if err != nil {
			g.malformed.Add(1)
			g.cfg.Logger.Warn("peer: datagram ignored", slog.String("from", from.String()), slog.Any("error", err))
			continue
		}
		g.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { g.cfg.Engine.Datagram(now, from.Addr(), &d, out) })
	}
}

// Fetch fetches an update in the background and hands it to the engine.
func (g *Gossiper) Fetch(ctx context.Context, f *engine.Fetch) {
	go func() {
		u, err := g.fetch(ctx, f)
		if ctx.Err() != nil {
			return
		}
		g.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { g.cfg.Engine.Fetched(now, f, &u, err, out) })
	}()
}

func (g *Gossiper) fetch(ctx context.Context, f *engine.Fetch) (u cactuspin.Update, err error) {
	defer func() { err = errors.Wrap(err, "fetch update") }()
	ctx, cancel := context.WithTimeout(ctx, bodyTimeout)
	defer cancel()
	address := netip.AddrPortFrom(f.Host, g.cfg.KnowledgePort).String()
	path := "http://" + address + KnowledgePath + "?after=" + strconv.FormatUint(uint64(f.After), 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return u, errors.WithStack(err)
	}
	a, err := g.client.Do(r)
	if err != nil {
		return u, errors.WithStack(err)
	}
	defer func() { err = errors.CombineErrors(err, a.Body.Close()) }()
	if a.StatusCode != http.StatusOK {
		return u, errors.Newf("host answered %d", a.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxUpdate))
	if err != nil {
		return u, errors.WithStack(err)
	}
	return encoder.DecodeUpdate(b)
}

// ServeHTTP answers fetches of peers.
func (g *Gossiper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	u, err := g.cfg.Engine.UpdateSince(g.cfg.Clock(), cactuspin.Revision(after))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer g.cfg.Engine.UpdateSent(&u)
	b, err := encoder.EncodeUpdate(&u)
	if err != nil {
		g.cfg.Logger.Error("peer: update not encoded", slog.Any("error", err))
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(b); err != nil {
		g.cfg.Logger.Debug("peer: update not sent", slog.Any("error", err))
	}
}

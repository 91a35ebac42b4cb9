// Package gossiper exchanges the engine's messages with other hosts: datagrams,
// and updates that hosts fetch over HTTP.
package gossiper

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
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
	// responseTimeout limits how long a peer, which is milliseconds away, may take to
	// accept a connection, and then to begin its response.
	responseTimeout = 400 * time.Millisecond
	// fetchTimeout limits a whole fetch: some hundred kilobytes over the link of a
	// small host.
	fetchTimeout = 2 * time.Second
	// maxUpdateLength limits the length of a fetched update in bytes.
	maxUpdateLength = 64 << 20
	// maxDatagramLength is the length of the longest UDP payload in bytes.
	maxDatagramLength = 64 << 10
	// KnowledgePath is the URL path at which hosts serve updates.
	KnowledgePath = "/v1/knowledge"
)

// Config configures a Gossiper.
type Config struct {
	driver.Common
	// Address receives datagrams. Peers receive them at the same port.
	Address netip.AddrPort
	// KnowledgePort is the port at which peers serve updates.
	KnowledgePort uint16
	Engine        *engine.Engine
	// Handle runs a decision of the engine and performs its actions.
	Handle engine.Handler
}

// Gossiper exchanges messages with peers.
type Gossiper struct {
	cfg            Config
	socket         *net.UDPConn
	client         *http.Client
	done           chan error
	sent, received atomic.Uint64
	malformed      atomic.Uint64
}

// New returns a Gossiper and opens its socket.
func New(c Config) (g *Gossiper, err error) {
	defer func() { err = errors.Wrap(err, "create gossiper") }()
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &net.Dialer{Timeout: responseTimeout}
	t := &http.Transport{DialContext: d.DialContext, ResponseHeaderTimeout: responseTimeout, DisableKeepAlives: true, DisableCompression: true}
	return &Gossiper{cfg: c, socket: s, client: &http.Client{Transport: t}, done: make(chan error, 1)}, nil
}

// Start receives datagrams until the context ends, which is reported on Done.
func (g *Gossiper) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = g.socket.Close() })
	go func() { g.done <- g.receive(ctx) }()
}

// Done returns the channel that reports the end of receiving.
func (g *Gossiper) Done() <-chan error { return g.done }

// Traffic returns the bytes sent to and received from peers in datagrams.
func (g *Gossiper) Traffic() (sent, received uint64) { return g.sent.Load(), g.received.Load() }

// Malformed returns the number of datagrams that could not be decoded.
func (g *Gossiper) Malformed() uint64 { return g.malformed.Load() }

// Send sends a datagram to peers. It skips an update that is too long for a
// datagram, since the next beacon shows peers that they miss it.
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

func (g *Gossiper) receive(ctx context.Context) error {
	b := make([]byte, maxDatagramLength)
	var failures driver.ReadFailures
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			first, broken := failures.Add(err)
			if broken != nil {
				return errors.Wrap(broken, "read from peers")
			}
			if first {
				g.cfg.Logger.Warn("peer: read failed", slog.Any("error", err))
			}
			continue
		}
		failures.Reset()
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
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := netip.AddrPortFrom(f.Host, g.cfg.KnowledgePort).String()
	q := url.Values{"after": {strconv.FormatUint(uint64(f.After), 10)}, "era": {strconv.FormatUint(uint64(f.Era), 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+KnowledgePath+"?"+q.Encode(), nil)
	if err != nil {
		return u, errors.WithStack(err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return u, errors.WithStack(err)
	}
	defer func() { err = errors.CombineErrors(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return u, errors.Newf("host answered %d", response.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, maxUpdateLength))
	if err != nil {
		return u, errors.WithStack(err)
	}
	return encoder.DecodeUpdate(b)
}

// ServeHTTP serves updates to peers.
func (g *Gossiper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	era := uint64(g.cfg.Engine.Status(g.cfg.Clock()).Era)
	// Hosts of the previous build do not know eras. To them, the revisions are all there is.
	if q.Has("era") {
		if era, err = strconv.ParseUint(q.Get("era"), 10, 64); err != nil {
			http.Error(w, "era is not a number", http.StatusBadRequest)
			return
		}
	}
	u, err := g.cfg.Engine.UpdateSince(g.cfg.Clock(), cactuspin.Era(era), cactuspin.Revision(after))
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

// Package runner runs an entry host: it starts the drivers round the engine and
// performs the actions that the engine decides.
package runner

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
	"github.com/cactuspin/cactuspin/internal/server/administrator"
	"github.com/cactuspin/cactuspin/internal/server/connector"
	"github.com/cactuspin/cactuspin/internal/server/dialer"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/server/listener"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
)

// tickPeriod is how often the engine is told the time.
const tickPeriod = 10 * time.Millisecond

// watchersPerZone is how many hosts of a zone hold a watch on the platform.
const watchersPerZone = 2

// headerTimeout bounds the reading of an HTTP header.
const headerTimeout = 5 * time.Second

// closeTimeout bounds the end of the HTTP servers.
const closeTimeout = 1 * time.Second

// Peer is a host that is known from the settings.
type Peer struct {
	ID      cactuspin.HostID
	Address string
}

// Config configures a Runner.
type Config struct {
	driver.Common
	Engine        engine.Config
	Organisation  string
	FabricAddress netip.AddrPort
	Fabrics       []netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	Peers         []Peer
	PeerSecret    []byte
	// PeerTLS is used on both ends of a link between hosts, if it is set.
	PeerTLS     *tls.Config
	PlatformURL string
	Readers     int
	Build       string
	Level       *slog.LevelVar
	// Metrics makes the handler that serves the metrics of the runner.
	Metrics func(*Runner) (http.Handler, error)
}

// Runner is a running host.
type Runner struct {
	cfg       Config
	engine    *engine.Engine
	listener  *listener.Listener
	dialer    *dialer.Dialer
	linker    *connector.Connector
	watcher   *platformclient.Watcher
	reporter  *reporter
	stopped   chan struct{}
	listed    uint64
	peerHTTP  *http.Server
	adminHTTP *http.Server
}

// New opens the sockets of a host.
func New(c Config) (r *Runner, err error) {
	defer func() { err = errors.Wrap(err, "new host") }()
	r = &Runner{cfg: c, stopped: make(chan struct{}), reporter: newReporter(c.Logger)}
	if r.engine, err = engine.New(c.Engine); err != nil {
		return nil, err
	}
	r.listener, err = listener.New(listener.Config{
		Common:  c.Common,
		Address: c.FabricAddress,
		Fabrics: c.Fabrics,
		Readers: c.Readers,
		Host:    r.engine,
		Handle:  r.Handle,
	})
	if err != nil {
		return nil, err
	}
	r.dialer = dialer.New(dialer.Config{Common: c.Common, Host: r.engine, Handle: r.Handle})
	r.linker = connector.New(connector.Config{
		Common: c.Common,
		Self:   c.Engine.Self,
		Secret: c.PeerSecret,
		Client: &http.Client{Transport: &http.Transport{TLSClientConfig: c.PeerTLS}},
		Scheme: scheme(c.PeerTLS),
		Host:   r.engine,
		Handle: r.Handle,
	})
	r.watcher = platformclient.NewWatcher(platformclient.WatcherConfig{
		Common:       c.Common,
		Client:       platformclient.NewClient(platformclient.Config{Endpoint: c.PlatformURL}),
		Organisation: c.Organisation,
		Host:         r.engine,
		Handle:       r.Handle,
		ShouldWatch:  r.watches,
	})
	return r, r.newServers()
}

func scheme(t *tls.Config) string {
	if t == nil {
		return "ws"
	}
	return "wss"
}

func (r *Runner) newServers() (err error) {
	var metrics http.Handler
	if r.cfg.Metrics != nil {
		if metrics, err = r.cfg.Metrics(r); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.Handle(connector.Path, r.linker)
	r.peerHTTP = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, TLSConfig: r.cfg.PeerTLS}
	r.adminHTTP = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: administrator.New(administrator.Config{
		Common:      r.cfg.Common,
		Self:        r.cfg.Engine.Self,
		Zone:        r.cfg.Engine.Zone,
		Incarnation: r.cfg.Engine.Incarnation,
		Build:       r.cfg.Build,
		Engine:      r.engine,
		Handle:      r.Handle,
		Level:       r.cfg.Level,
		Metrics:     metrics,
	})}
	return nil
}

// Run serves until the context ends and the planned stop that follows is over.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run host") }()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	r.linker.Start(inner)
	r.dialer.Start(inner)
	for _, p := range r.cfg.Peers {
		r.linker.SetPeerAddress(p.ID, p.Address)
		r.engine.AddPeers(p.ID)
	}
	r.listener.Start(inner)
	r.watcher.Start(inner)
	r.reporter.Start(inner)
	for _, done := range []<-chan error{
		r.linker.Done(), r.dialer.Done(), r.listener.Done(), r.watcher.Done(), r.reporter.Done(),
	} {
		g.Go(func() error { return <-done })
	}
	g.Go(func() error { return serve(inner, r.peerHTTP, r.cfg.PeerAddress, r.cfg.PeerTLS != nil) })
	g.Go(func() error { return serve(inner, r.adminHTTP, r.cfg.AdminAddress, false) })
	g.Go(func() error { return r.tick(inner) })
	g.Go(func() error {
		select {
		case <-inner.Done():
			return nil
		case <-ctx.Done():
		}
		r.Handle(r.engine.Stop)
		select {
		case <-r.stopped:
		case <-inner.Done():
		}
		cancel()
		return nil
	})
	r.cfg.Logger.Info("host: serving", slog.String("host", r.cfg.Engine.Self.String()), slog.String("zone", string(r.cfg.Engine.Zone)))
	return g.Wait()
}

func serve(ctx context.Context, s *http.Server, a netip.AddrPort, secure bool) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", a.String())
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	if secure {
		l = tls.NewListener(l, s.TLSConfig)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := s.Shutdown(closing); err != nil {
		return errors.Wrap(s.Close(), "close server")
	}
	return nil
}

func (r *Runner) tick(ctx context.Context) error {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.Handle(r.engine.Tick)
			r.learn()
		}
	}
}

// learn gives the linker the addresses on the platform's list.
func (r *Runner) learn() {
	l := r.engine.HostList()
	if l.Revision == r.listed {
		return
	}
	r.listed = l.Revision
	for _, h := range l.Hosts {
		r.linker.SetPeerAddress(h.ID, h.Peer)
	}
}

// watches tells whether this host is among those of its zone that hold a watch.
func (r *Runner) watches() bool {
	v := r.engine.View()
	rank := 0
	for _, m := range v.Members {
		if m.Zone != v.Zone || m.Leaving {
			continue
		}
		if m.Host == v.Self {
			return rank < watchersPerZone
		}
		rank++
	}
	return false
}

// View returns what the host knows of the others.
func (r *Runner) View() *placer.View { return r.engine.View() }

// Engine returns the host's decisions, for its metrics.
func (r *Runner) Engine() *engine.Engine { return r.engine }

// Traffic returns what the links to other hosts carried, in bytes and messages.
func (r *Runner) Traffic() (sent, received, dropped uint64) { return r.linker.Traffic() }

// Malformed returns the number of datagrams that could not be read.
func (r *Runner) Malformed() uint64 { return r.listener.Dropped() }

// Decisions returns the number of decisions by kind.
func (r *Runner) Decisions() map[cactuspin.DecisionKind]uint64 { return r.reporter.counts() }

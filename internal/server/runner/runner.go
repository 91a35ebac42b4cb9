// Package runner runs an entry host: it starts the drivers around the engine and
// performs the actions that the engine decides on.
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

// tickInterval is the interval between two calls of the engine's Tick.
const tickInterval = 10 * time.Millisecond

// watchersPerZone is how many hosts of a zone watch the platform.
const watchersPerZone = 2

// headerTimeout limits how long reading an HTTP header may take.
const headerTimeout = 5 * time.Second

// shutdownTimeout limits how long the shutdown of an HTTP server may take.
const shutdownTimeout = 1 * time.Second

// Peer is another host listed in the settings.
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
	// PeerTLS is used at both ends of a link between hosts; nil disables TLS.
	PeerTLS     *tls.Config
	PlatformURL string
	Readers     int
	Build       string
	Level       *slog.LevelVar
	// Metrics creates the handler that serves the metrics of the runner.
	Metrics func(*Runner) (http.Handler, error)
}

// Runner is a running host.
type Runner struct {
	cfg          Config
	engine       *engine.Engine
	listener     *listener.Listener
	dialer       *dialer.Dialer
	connector    *connector.Connector
	watcher      *platformclient.Watcher
	reporter     *reporter
	stopped      chan struct{}
	listRevision uint64
	peerHTTP     *http.Server
	adminHTTP    *http.Server
}

// New returns a Runner with an open socket to the fabric; Run opens the others.
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
	r.connector = connector.New(connector.Config{
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
		ShouldWatch:  r.shouldWatch,
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
	mux.Handle(connector.Path, r.connector)
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

// Run serves until the context ends and the planned stop that follows is complete.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run host") }()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	r.connector.Start(runCtx)
	r.dialer.Start(runCtx)
	for _, p := range r.cfg.Peers {
		r.connector.SetPeerAddress(p.ID, p.Address)
		r.engine.AddPeers(p.ID)
	}
	r.listener.Start(runCtx)
	r.watcher.Start(runCtx)
	r.reporter.Start(runCtx)
	for _, done := range []<-chan error{
		r.connector.Done(), r.dialer.Done(), r.listener.Done(), r.watcher.Done(), r.reporter.Done(),
	} {
		g.Go(func() error { return <-done })
	}
	g.Go(func() error { return serve(runCtx, r.peerHTTP, r.cfg.PeerAddress, r.cfg.PeerTLS != nil) })
	g.Go(func() error { return serve(runCtx, r.adminHTTP, r.cfg.AdminAddress, false) })
	g.Go(func() error { return r.tick(runCtx) })
	g.Go(func() error {
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
		}
		r.Handle(r.engine.Stop)
		select {
		case <-r.stopped:
		case <-runCtx.Done():
		}
		cancel()
		return nil
	})
	r.cfg.Logger.Info("host: serving", slog.String("host", r.cfg.Engine.Self.String()), slog.String("zone", string(r.cfg.Engine.Zone)))
	return g.Wait()
}

func serve(ctx context.Context, s *http.Server, address netip.AddrPort, useTLS bool) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	if useTLS {
		l = tls.NewListener(l, s.TLSConfig)
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.Serve(l) }()
	select {
	case err := <-serveResult:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(s.Close(), "close server")
	}
	return nil
}

func (r *Runner) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.Handle(r.engine.Tick)
			r.updatePeers()
		}
	}
}

// updatePeers passes the addresses on the platform's list of hosts to the
// connector.
func (r *Runner) updatePeers() {
	l := r.engine.HostList()
	if l.Revision == r.listRevision {
		return
	}
	r.listRevision = l.Revision
	for _, h := range l.Hosts {
		r.connector.SetPeerAddress(h.ID, h.Peer)
	}
}

// shouldWatch reports whether this host is among those of its zone that watch the
// platform.
func (r *Runner) shouldWatch() bool {
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

// View returns the host's view of the other hosts.
func (r *Runner) View() *placer.View { return r.engine.View() }

// Engine returns the engine, from which the metrics are read.
func (r *Runner) Engine() *engine.Engine { return r.engine }

// Traffic returns the bytes sent and received on the links to other hosts and the
// number of messages dropped.
func (r *Runner) Traffic() (sent, received, dropped uint64) { return r.connector.Traffic() }

// Malformed returns the number of datagrams that could not be decoded.
func (r *Runner) Malformed() uint64 { return r.listener.Dropped() }

// Decisions returns the number of decisions by kind.
func (r *Runner) Decisions() map[cactuspin.DecisionKind]uint64 { return r.reporter.counts() }

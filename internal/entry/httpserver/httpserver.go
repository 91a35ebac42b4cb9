// Package httpserver serves HTTP at several addresses with a handler for each.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// headerTimeout limits how long a client may take to send the header of a request.
const headerTimeout = 2 * time.Second

// Config configures a Server.
type Config struct {
	driver.Common
	Handlers map[netip.AddrPort]http.Handler
}

// Server serves HTTP at several addresses.
type Server struct {
	servers   []*http.Server
	listeners []net.Listener
	done      chan error
}

// New returns a Server and opens its sockets.
func New(c Config) (s *Server, err error) {
	defer func() { err = errors.Wrap(err, "create HTTP server") }()
	s = &Server{done: make(chan error, 1)}
	for a, h := range c.Handlers {
		var n net.ListenConfig
		l, err := n.Listen(context.Background(), "tcp4", a.String())
		if err != nil {
			return nil, errors.CombineErrors(errors.WithStack(err), s.close())
		}
		s.listeners = append(s.listeners, l)
		s.servers = append(s.servers, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(c.Logger.Handler(), slog.LevelDebug)})
	}
	return s, nil
}

// Start serves until the context ends or a listener fails, which is reported on
// Done.
func (s *Server) Start(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	for i := range s.servers {
		g.Go(func() error { return s.servers[i].Serve(s.listeners[i]) })
	}
	context.AfterFunc(ctx, func() {
		for _, server := range s.servers {
			_ = server.Close()
		}
	})
	go func() { s.done <- g.Wait() }()
}

// Done returns the channel that reports the end of serving.
func (s *Server) Done() <-chan error { return s.done }

func (s *Server) close() (err error) {
	for _, l := range s.listeners {
		err = errors.CombineErrors(err, l.Close())
	}
	return err
}

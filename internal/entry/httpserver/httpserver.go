// Package httpserver serves HTTP at several addresses, each with its handler.
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

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 2 * time.Second

// Config configures a Responder.
type Config struct {
	driver.Common
	Handlers map[netip.AddrPort]http.Handler
}

// Server serves handlers.
type Server struct {
	servers   []*http.Server
	listeners []net.Listener
	done      chan error
}

// New opens the sockets.
func New(c Config) (r *Server, err error) {
	defer func() { err = errors.Wrap(err, "new responder") }()
	r = &Server{done: make(chan error, 1)}
	for a, h := range c.Handlers {
		var n net.ListenConfig
		l, err := n.Listen(context.Background(), "tcp4", a.String())
		if err != nil {
			return nil, errors.CombineErrors(errors.WithStack(err), r.close())
		}
		r.listeners = append(r.listeners, l)
		r.servers = append(r.servers, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(c.Logger.Handler(), slog.LevelDebug)})
	}
	return r, nil
}

// Start serves until the context ends, which is reported on Done.
func (r *Server) Start(ctx context.Context) {
	var g errgroup.Group
	for i := range r.servers {
		g.Go(func() error { return r.servers[i].Serve(r.listeners[i]) })
	}
	context.AfterFunc(ctx, func() {
		for _, s := range r.servers {
			_ = s.Close()
		}
	})
	go func() { r.done <- g.Wait() }()
}

// Done reports the end.
func (r *Server) Done() <-chan error { return r.done }

func (r *Server) close() (err error) {
	for _, l := range r.listeners {
		err = errors.CombineErrors(err, l.Close())
	}
	return err
}

package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// One listener that fails must end the server at once: a host whose readiness address
// no longer answers must not go on without it.
func TestOneFailedListenerEndsTheServer(t *testing.T) {
	g := NewWithT(t)
	s, err := New(Config{
		Common: driver.Common{Logger: slog.New(slog.DiscardHandler), Clock: driver.NewClock()},
		Handlers: map[netip.AddrPort]http.Handler{
			netip.MustParseAddrPort("127.88.0.1:0"): http.NotFoundHandler(),
			netip.MustParseAddrPort("127.88.0.2:0"): http.NotFoundHandler(),
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.Start(ctx)
	g.Expect(s.listeners[0].Close()).To(Succeed())
	select {
	case err := <-s.Done():
		g.Expect(err).To(MatchError(net.ErrClosed))
	case <-time.After(time.Minute):
		g.Expect("serving").To(Equal("ended"))
	}
}

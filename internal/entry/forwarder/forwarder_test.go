package forwarder

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// A socket that only fails must end the host, which the platform starts again. A host
// that reads it again and again uses up its processor and forwards nothing.
func TestABrokenSocketEndsForwarding(t *testing.T) {
	g := NewWithT(t)
	ready := make(chan struct{})
	close(ready)
	f, err := New(Config{
		Common:  driver.Common{Logger: slog.New(slog.DiscardHandler), Clock: driver.NewClock()},
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Ready: ready,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.socket.Close()).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Start(ctx)
	select {
	case err := <-f.Done():
		g.Expect(err).To(MatchError(net.ErrClosed))
	case <-time.After(time.Minute):
		g.Expect("forwarding").To(Equal("ended"))
	}
}

package prober_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/prober"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
	"github.com/cactuspin/cactuspin/internal/steering/examiner"
)

// silentAddress returns an address that leaves new connections unanswered: its
// queue of connections is full.
func silentAddress(t *testing.T, g *WithT) netip.AddrPort {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = unix.Close(socket) })
	g.Expect(unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(socket, 0)).To(Succeed())
	bound, err := unix.Getsockname(socket)
	g.Expect(err).NotTo(HaveOccurred())
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(bound.(*unix.SockaddrInet4).Port))
	filler, err := net.Dial("tcp4", a.String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = filler.Close() })
	return a
}

// refusingAddress returns an address at which nothing listens.
func refusingAddress(g *WithT) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(l.Close()).To(Succeed()) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func TestProbesFindWhatTheKernelKnows(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(listener.Close()).To(Succeed()) }()
	want := map[cactuspin.TargetID]string{"alive": "alive", "silent": "silent", "refusing": "refused"}
	addresses := map[cactuspin.TargetID]netip.AddrPort{
		"alive": netip.MustParseAddrPort(listener.Addr().String()), "silent": silentAddress(t, g), "refusing": refusingAddress(g),
	}

	found := make(chan examiner.Result, len(want))
	p := prober.New(prober.Config{
		Common: driver.Common{Logger: slog.New(slog.DiscardHandler), Clock: driver.NewClock()},
		Report: func(f examiner.Result) { found <- f },
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.Start(ctx)
	for id, a := range addresses {
		p.Probe(balancer.Probe{Target: id, Address: a})
	}
	got := map[cactuspin.TargetID]string{}
	for range want {
		select {
		case f := <-found:
			got[f.Probe.Target] = f.Finding.String()
		case <-time.After(time.Minute):
			g.Expect("a result").To(Equal("reported"))
		}
	}
	g.Expect(got).To(Equal(want))
	cancel()
	g.Expect(<-p.Done()).To(MatchError(context.Canceled))
}

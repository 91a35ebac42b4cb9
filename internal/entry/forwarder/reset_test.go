package forwarder

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/platform"
)

// A reset outside the caller's window is ignored, so that the caller would wait until its
// deadline.
func TestAResetWithoutAPacketReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	f, err := New(Config{
		Common:  driver.Common{Logger: slog.New(slog.DiscardHandler), Clock: driver.NewClock()},
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Format: platform.PacketFormat{},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.socket.Close() //nolint:errcheck // the test is over
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close() //nolint:errcheck // the test is over
	f.cfg.Address = netip.MustParseAddrPort(c.LocalAddr().String())
	caller, service := netip.MustParseAddrPort("127.0.0.1:4000"), netip.MustParseAddrPort("198.18.0.1:443")
	f.Reset(caller, service, 77)
	g.Expect(c.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	b := make([]byte, cactuspin.MaxPacketLength)
	n, err := c.Read(b)
	g.Expect(err).NotTo(HaveOccurred())
	var p cactuspin.Packet
	g.Expect(platform.PacketFormat{}.Parse(b[:n], &p)).To(Succeed())
	g.Expect(p).To(Equal(cactuspin.Packet{Caller: service, Service: caller, Flags: cactuspin.FlagRST, Sequence: 77}))
	g.Expect(f.Unsent()).To(BeZero())
}

package caller_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/caller"
)

// newCaller returns a caller of a service that never answers.
func newCaller(t *testing.T, g *WithT) *caller.Caller {
	service, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = service.Close() })
	k, err := caller.New(caller.Config{
		Service: netip.MustParseAddrPort(service.LocalAddr().String()), Timeout: time.Millisecond, RefreshInterval: 6 * time.Millisecond,
	})
	g.Expect(err).NotTo(HaveOccurred())
	return k
}

func TestNoAnswerIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	k := newCaller(t, g)
	a, err := k.Do(context.Background(), caller.Request{Path: "/"})
	g.Expect(err).To(MatchError(caller.ErrNoAnswer))
	g.Expect(a.Outcome).NotTo(Equal(caller.OutcomeSuccess))
}

func TestCloseCanBeCalledTwice(t *testing.T) {
	g := NewWithT(t)
	k := newCaller(t, g)
	g.Expect(k.Close()).To(Succeed())
	g.Expect(k.Close()).To(Succeed())
	g.Expect(k.Reopen()).To(MatchError(net.ErrClosed))
	_, err := k.Observe(context.Background(), caller.Request{Path: "/"})
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// An observation sets itself up again on a new socket; after Close that would be a
// socket which nobody closes.
func TestCloseEndsObservations(t *testing.T) {
	g := NewWithT(t)
	k := newCaller(t, g)
	states, err := k.Observe(context.Background(), caller.Request{Path: "/"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Close()).To(Succeed())
	g.Eventually(states, time.Minute).Should(BeClosed())
}

package storeclient_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/storeclient"
)

// store records the calls that announce a host.
type store struct {
	cactuspin.Store
	calls chan string
	// failures is the number of announcements that fail.
	failures int
}

// Announce records the call.
func (s *store) Announce(context.Context, cactuspin.EntryHost, time.Duration) (cactuspin.Lease, error) {
	s.calls <- "announce"
	if s.failures > 0 {
		s.failures--
		return cactuspin.Lease{ID: 7}, errors.New("transaction failed")
	}
	return cactuspin.Lease{ID: 7}, nil
}

// Renew records the call.
func (s *store) Renew(context.Context, cactuspin.Lease) error {
	s.calls <- "renew"
	return nil
}

func start(t *testing.T, s *store) *storeclient.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	self := cactuspin.EntryHost{Address: netip.MustParseAddr("10.0.0.1"), Zone: "z"}
	c := storeclient.New(storeclient.Config{Logger: slog.New(slog.DiscardHandler), AnnouncementStore: s, Self: self})
	c.Start(ctx)
	return c
}

// Guards against hosts that nobody finds after a restore until their next renewal, three
// minutes later, or that renew the lease of another host.
func TestARestoreLeadsToANewAnnouncementAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &store{calls: make(chan string, 10)}
	c := start(t, s)
	g.Eventually(s.calls).Should(Receive(Equal("announce")))
	c.Reannounce()
	g.Eventually(s.calls).Should(Receive(Equal("announce")))
	g.Consistently(s.calls, "100ms").ShouldNot(Receive())
}

// Guards against a lease that is renewed for ever although the announcement was not written.
func TestAFailedAnnouncementIsRepeated(t *testing.T) {
	g := NewWithT(t)
	s := &store{calls: make(chan string, 10), failures: 1}
	start(t, s)
	g.Eventually(s.calls).Should(Receive(Equal("announce")))
	g.Eventually(s.calls, "5s").Should(Receive(Equal("announce")))
}

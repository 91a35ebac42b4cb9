// Package prober finds out whether targets that left packets unanswered live:
// whether their addresses take a TCP connection. Nothing is sent on it, so that
// a probe takes no slot.
package prober

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/provider"
	"github.com/cactuspin/cactuspin/internal/steering/steerer"
)

const (
	// dialTimeout is many times the round trip between zones, which is some 10 ms.
	dialTimeout = 250 * time.Millisecond
	// secondDial is how much later a second connection is tried, since one lost
	// packet delays the first past its timeout.
	secondDial = 60 * time.Millisecond
	// maxLateness is how late a failed probe may end and still count: a host that
	// is slow itself cannot tell.
	maxLateness = 100 * time.Millisecond
)

// Config configures a Prober.
type Config struct {
	provider.Common
	Steerer *steerer.Steerer
}

// Prober probes targets.
type Prober struct{ cfg Config }

// New returns a Prober.
func New(c Config) *Prober { return &Prober{cfg: c} }

// Start probes what is due, in the background.
func (p *Prober) Start(ctx context.Context, now cactuspin.Time) {
	for _, x := range p.cfg.Steerer.Probes(now) {
		go p.probe(ctx, x)
	}
}

func (p *Prober) probe(ctx context.Context, x steerer.Probe) {
	began := p.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err := p.connect(ctx, x.Address)
	now := p.cfg.Clock()
	if err != nil && now.Sub(began) > dialTimeout+maxLateness {
		p.cfg.Logger.Debug("target: probe too late", slog.String("target", string(x.Target)), slog.Duration("took", now.Sub(began)))
		return
	}
	if p.cfg.Steerer.Probed(now, began, x.Target, err == nil) {
		p.cfg.Logger.Info("target: condition changed", slog.String("target", string(x.Target)), slog.String("address", x.Address.String()),
			slog.Bool("down", err != nil), slog.Duration("took", now.Sub(began)), slog.Any("error", err))
	}
}

// connect tries two connections and returns nil if one of them opens. A target
// that refuses one is dead for certain.
func (p *Prober) connect(ctx context.Context, a netip.AddrPort) error {
	opened := make(chan error, 2)
	var g errgroup.Group
	for i := range 2 {
		g.Go(func() error {
			select {
			case <-time.After(time.Duration(i) * secondDial):
			case <-ctx.Done():
			}
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp4", a.String())
			if err == nil {
				err = c.Close()
			}
			opened <- err
			return nil
		})
	}
	err := <-opened
	if err == nil || errors.Is(err, unix.ECONNREFUSED) {
		return err
	}
	return <-opened
}

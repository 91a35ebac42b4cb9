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
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
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
	driver.Common
	Engine *engine.Engine
	Handle engine.Handler
}

// Prober probes targets.
type Prober struct{ cfg Config }

// New returns a Prober.
func New(c Config) *Prober { return &Prober{cfg: c} }

// Probe probes a target in the background and hands the result to the engine.
func (p *Prober) Probe(ctx context.Context, x balancer.Probe) {
	go func() {
		began := p.cfg.Clock()
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		err := p.connect(limited, x.Address)
		took := p.cfg.Clock().Sub(began)
		if ctx.Err() != nil || (err != nil && took > dialTimeout+maxLateness) {
			p.cfg.Logger.Debug("target: probe without result", slog.String("target", string(x.Target)), slog.Duration("took", took))
			return
		}
		p.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { p.cfg.Engine.Probed(now, began, x, err == nil, out) })
	}()
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

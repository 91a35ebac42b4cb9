// Package prober checks whether targets that left packets unanswered are alive,
// that is, whether their addresses accept a TCP connection. It sends nothing on
// the connection, so a probe occupies no slot of the target.
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
	// dialTimeout limits a probe. It is many times the round-trip time between zones,
	// which is about 10 ms.
	dialTimeout = 250 * time.Millisecond
	// secondDialDelay is the delay of the second connection attempt, which is needed
	// because a single lost packet delays the first beyond its timeout.
	secondDialDelay = 60 * time.Millisecond
	// maxLateness is how long after its timeout a failed probe may end and still
	// count. If it ends later, this host is slow itself, and the result says nothing
	// about the target.
	maxLateness = 100 * time.Millisecond
)

// Config configures a Prober.
type Config struct {
	driver.Common
	Engine *engine.Engine
	// Handle runs a decision of the engine and performs its actions.
	Handle engine.Handler
}

// Prober probes targets.
type Prober struct{ cfg Config }

// New returns a Prober.
func New(c Config) *Prober { return &Prober{cfg: c} }

// Probe probes a target in the background and hands the result to the engine.
func (p *Prober) Probe(ctx context.Context, probe balancer.Probe) {
	go func() {
		start := p.cfg.Clock()
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		err := p.connect(limited, probe.Address)
		took := p.cfg.Clock().Sub(start)
		if ctx.Err() != nil || (err != nil && took > dialTimeout+maxLateness) {
			p.cfg.Logger.Debug("target: probe without result", slog.String("target", string(probe.Target)), slog.Duration("took", took))
			return
		}
		p.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { p.cfg.Engine.Probed(now, start, probe, err == nil, out) })
	}()
}

// connect makes two connection attempts and returns nil if one succeeds. A refused
// connection proves that the target is down, so the other attempt is not awaited.
func (p *Prober) connect(ctx context.Context, a netip.AddrPort) error {
	results := make(chan error, 2)
	var g errgroup.Group
	for i := range 2 {
		g.Go(func() error {
			select {
			case <-time.After(time.Duration(i) * secondDialDelay):
			case <-ctx.Done():
			}
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp4", a.String())
			if err == nil {
				err = c.Close()
			}
			results <- err
			return nil
		})
	}
	err := <-results
	if err == nil || errors.Is(err, unix.ECONNREFUSED) {
		return err
	}
	return <-results
}

// Package storeclient calls the platform's store for the engine and keeps the host
// announced there.
package storeclient

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
)

const (
	// callTimeout bounds a call beside its wait; the store answers in milliseconds.
	callTimeout = time.Second
	// leaseTime is how long an announcement outlives its host: long, since it only
	// tells starting hosts where others may be.
	leaseTime = 10 * time.Minute
	// renewInterval leaves time for two more tries before the lease ends.
	renewInterval = 3 * time.Minute
	// announceRetry is the pause after a failed announcement.
	announceRetry = 2 * time.Second
)

// Config configures a Learner.
type Config struct {
	Logger *slog.Logger
	// Store serves the engine's calls, Announcements the announcements.
	Store, Announcements cactuspin.Store
	Self                 cactuspin.EntryHost
	Engine               *engine.Engine
	// Handle runs a decision of the engine and performs its actions.
	Handle engine.Handler
}

// Client calls the store.
type Client struct {
	cfg    Config
	stores atomic.Pointer[stores]
	lease  cactuspin.LeaseID
	done   chan error
}

// stores are the clients in use; each serves one goroutine.
type stores struct{ calls, announcements cactuspin.Store }

// New returns a Learner.
func New(c Config) *Client {
	l := &Client{cfg: c, done: make(chan error, 1)}
	l.Use(c.Store, c.Announcements)
	return l
}

// Use makes further calls with other clients: the store has another address.
func (l *Client) Use(calls, announcements cactuspin.Store) {
	l.stores.Store(&stores{calls: calls, announcements: announcements})
}

// Call makes a call in the background and hands its answer to the engine.
func (l *Client) Call(ctx context.Context, c *engine.StoreCall) {
	go func() {
		u, err := l.call(ctx, c)
		if ctx.Err() != nil {
			return
		}
		l.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { l.cfg.Engine.StoreAnswered(now, c, &u, err, out) })
	}()
}

func (l *Client) call(ctx context.Context, c *engine.StoreCall) (cactuspin.Update, error) {
	if !c.FullRead {
		return l.stores.Load().calls.Watch(ctx, c.After, c.Wait)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.stores.Load().calls.Read(ctx, c.From)
}

// Start keeps this host announced until the context ends, which is reported on
// Done.
func (l *Client) Start(ctx context.Context) { go func() { l.done <- l.run(ctx) }() }

// Done reports the end.
func (l *Client) Done() <-chan error { return l.done }

func (l *Client) run(ctx context.Context) error {
	for {
		pause := renewInterval
		if err := l.announce(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Warn("store: host not announced", slog.Any("error", err))
			pause = announceRetry
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

func (l *Client) announce(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := l.stores.Load().announcements
	if l.lease != 0 {
		if err = s.Renew(ctx, l.lease); !errors.Is(err, cactuspin.ErrLeaseEnded) {
			return err
		}
	}
	l.lease, err = s.Announce(ctx, l.cfg.Self, leaseTime)
	return err
}

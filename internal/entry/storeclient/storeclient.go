// Package storeclient makes the engine's calls to the platform's store and keeps
// the host announced there.
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
	// callTimeout limits a call that announces the host; the store responds to it within
	// milliseconds.
	callTimeout = time.Second
	// leaseDuration is how long an announcement remains after its host has stopped.
	// It is long, since starting hosts use announcements only as hints for peers.
	leaseDuration = 10 * time.Minute
	// renewInterval leaves time for two more attempts before the lease ends.
	renewInterval = 3 * time.Minute
	// announceRetryDelay is the delay after a failed announcement.
	announceRetryDelay = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	Logger *slog.Logger
	// Store makes the engine's calls, AnnouncementStore the announcements.
	Store, AnnouncementStore cactuspin.Store
	Self                     cactuspin.EntryHost
	Engine                   *engine.Engine
	// Handle runs a decision of the engine and performs its actions.
	Handle engine.Handler
}

// Client makes the calls to the store.
type Client struct {
	cfg    Config
	stores atomic.Pointer[stores]
	lease  cactuspin.Lease
	// renew wakes the goroutine that announces the host.
	renew chan struct{}
	done  chan error
}

// stores are the current clients of the store. Each is used by one goroutine.
type stores struct{ calls, announcements cactuspin.Store }

// New returns a Client.
func New(c Config) *Client {
	client := &Client{cfg: c, renew: make(chan struct{}, 1), done: make(chan error, 1)}
	client.SetStores(c.Store, c.AnnouncementStore)
	return client
}

// SetStores replaces the clients of the store for further calls, for example when
// the address of the store has changed.
func (c *Client) SetStores(calls, announcements cactuspin.Store) {
	c.stores.Store(&stores{calls: calls, announcements: announcements})
}

// Call makes a call in the background and passes the result to the engine.
func (c *Client) Call(ctx context.Context, request *engine.StoreCall) {
	go func() {
		u, err := c.call(ctx, request)
		if ctx.Err() != nil {
			return
		}
		c.cfg.Handle(func(now cactuspin.Time, out *engine.Actions) { c.cfg.Engine.StoreAnswered(now, request, &u, err, out) })
	}()
}

func (c *Client) call(ctx context.Context, request *engine.StoreCall) (cactuspin.Update, error) {
	if !request.FullRead {
		return c.stores.Load().calls.Watch(ctx, request.After, request.Wait)
	}
	return c.stores.Load().calls.Read(ctx, request.From)
}

// Start keeps this host announced until the context ends, which is reported on
// Done.
func (c *Client) Start(ctx context.Context) { go func() { c.done <- c.run(ctx) }() }

// Reannounce announces this host again at once, because the store was restored. The lease
// is replaced, since its ID may belong to another host now.
func (c *Client) Reannounce() {
	select {
	case c.renew <- struct{}{}:
	default:
	}
}

// Done returns the channel that reports the end of the announcements.
func (c *Client) Done() <-chan error { return c.done }

func (c *Client) run(ctx context.Context) error {
	for {
		delay := renewInterval
		if err := c.announce(ctx); err != nil && ctx.Err() == nil {
			c.cfg.Logger.Warn("store: host not announced", slog.Any("error", err))
			delay = announceRetryDelay
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.renew:
			c.lease = cactuspin.Lease{}
		case <-time.After(delay):
		}
	}
}

func (c *Client) announce(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := c.stores.Load().announcements
	if c.lease.ID != 0 {
		if err = s.Renew(ctx, c.lease); !errors.Is(err, cactuspin.ErrLeaseEnded) {
			return err
		}
	}
	c.lease, err = s.Announce(ctx, c.cfg.Self, leaseDuration)
	if err != nil {
		// The announcement is missing even if its lease exists, so that renewing is not enough.
		c.lease = cactuspin.Lease{}
	}
	return err
}

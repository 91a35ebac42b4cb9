package platformclient

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// Timeouts and delays of the watches.
const (
	watchTimeout  = 20 * time.Second
	callTimeout   = 25 * time.Second
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// idleCheckInterval is how often a host that does not watch the platform checks
	// whether it should.
	idleCheckInterval = 500 * time.Millisecond
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	driver.Common
	Client       *Client
	Organisation string
	Host         cactuspin.Host
	Handle       driver.Handler
	// ShouldWatch reports whether this host is one of those that watch the
	// platform.
	ShouldWatch func() bool
}

// Watcher watches the bundle and the list of hosts while this host is one of those
// that watch the platform; the other hosts get both from their peers.
type Watcher struct {
	cfg  WatcherConfig
	done chan error
}

// NewWatcher returns a Watcher.
func NewWatcher(c WatcherConfig) *Watcher { return &Watcher{cfg: c, done: make(chan error, 1)} }

// Start watches until the context ends. Done reports the end.
func (w *Watcher) Start(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.watch(ctx, "bundle", w.pollBundle) })
	g.Go(func() error { return w.watch(ctx, "list", w.pollHostList) })
	go func() { w.done <- g.Wait() }()
}

// Done returns a channel that reports the end of the watches.
func (w *Watcher) Done() <-chan error { return w.done }

// watch calls poll in a loop with the revision that it returned last. After
// an error it waits; the delay doubles up to maxRetryDelay.
func (w *Watcher) watch(ctx context.Context, resource string, poll func(context.Context, uint64) (uint64, error)) error {
	retryDelay := minRetryDelay
	var revision uint64
	for ctx.Err() == nil {
		if !w.cfg.ShouldWatch() {
			sleep(ctx, idleCheckInterval)
			continue
		}
		r, err := poll(ctx, revision)
		switch {
		case err == nil && r <= revision:
			sleep(ctx, idleCheckInterval)
		case err == nil:
			revision = r
			retryDelay = minRetryDelay
		case errors.Is(err, ErrUnchanged):
			retryDelay = minRetryDelay
		default:
			w.cfg.Logger.Warn("platform: "+resource+" could not be read", slog.Any("error", err))
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return nil
}

func (w *Watcher) pollBundle(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := w.cfg.Client.Get(ctx, BundleKey(w.cfg.Organisation), after, watchTimeout)
	if err != nil {
		return 0, err
	}
	var s cactuspin.SignedBundle
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return 0, errors.Wrap(err, "decode bundle")
	}
	s.Confirmed = true
	w.deliver(cactuspin.PlatformEvent{Bundle: &s})
	return v.Revision, nil
}

func (w *Watcher) pollHostList(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := w.cfg.Client.HostList(ctx, after, watchTimeout)
	if err != nil {
		return 0, err
	}
	w.deliver(cactuspin.PlatformEvent{List: &l})
	return l.Revision, nil
}

func (w *Watcher) deliver(p cactuspin.PlatformEvent) {
	w.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) { w.cfg.Host.Platform(now, p, out) })
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

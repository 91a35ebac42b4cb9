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

// Times of the watches.
const (
	watchTime   = 20 * time.Second
	callTimeout = 25 * time.Second
	firstRetry  = 250 * time.Millisecond
	maxRetry    = 5 * time.Second
	// idleCheck is how often a host that holds no watch looks whether it should.
	idleCheck = 500 * time.Millisecond
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	driver.Common
	Client       *Client
	Organisation string
	Host         cactuspin.Host
	Handle       driver.Handler
	// ShouldWatch tells whether this host is one of those that hold a watch.
	ShouldWatch func() bool
}

// Watcher keeps a watch on the bundle and on the list while this host is chosen
// to; the other hosts get both from their peers.
type Watcher struct {
	cfg  WatcherConfig
	done chan error
}

// NewWatcher returns a Watcher.
func NewWatcher(c WatcherConfig) *Watcher { return &Watcher{cfg: c, done: make(chan error, 1)} }

// Start watches until the context ends, which is reported on Done.
func (w *Watcher) Start(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.loop(ctx, "bundle", w.bundle) })
	g.Go(func() error { return w.loop(ctx, "list", w.list) })
	go func() { w.done <- g.Wait() }()
}

// Done reports the end of the watches.
func (w *Watcher) Done() <-chan error { return w.done }

// loop calls next with the revision that it returned last. After an error it
// waits, longer each time.
func (w *Watcher) loop(ctx context.Context, what string, next func(context.Context, uint64) (uint64, error)) error {
	retry := firstRetry
	var revision uint64
	for ctx.Err() == nil {
		if !w.cfg.ShouldWatch() {
			sleep(ctx, idleCheck)
			continue
		}
		r, err := next(ctx, revision)
		switch {
		case err == nil && r <= revision:
			sleep(ctx, idleCheck)
		case err == nil:
			revision = r
			retry = firstRetry
		case errors.Is(err, ErrUnchanged):
			retry = firstRetry
		default:
			w.cfg.Logger.Warn("platform: "+what+" could not be read", slog.Any("error", err))
			sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
		}
	}
	return nil
}

func (w *Watcher) bundle(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := w.cfg.Client.Get(ctx, BundleKey(w.cfg.Organisation), after, watchTime)
	if err != nil {
		return 0, err
	}
	var s cactuspin.SignedBundle
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return 0, errors.Wrap(err, "decode bundle")
	}
	s.Confirmed = true
	w.give(cactuspin.PlatformEvent{Bundle: &s})
	return v.Revision, nil
}

func (w *Watcher) list(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := w.cfg.Client.HostList(ctx, after, watchTime)
	if err != nil {
		return 0, err
	}
	w.give(cactuspin.PlatformEvent{List: &l})
	return l.Revision, nil
}

func (w *Watcher) give(p cactuspin.PlatformEvent) {
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

// Package learner reads the platform's store while this host is to do so.
package learner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/updater"
	"github.com/cactuspin/cactuspin/internal/knowledge/keeper"
	"github.com/cactuspin/cactuspin/internal/server/provider"
)

const (
	// readTimeout bounds a read of everything, which takes some ten milliseconds.
	readTimeout = time.Second
	// firstRetry and maxRetry bound the pause after a failed call, which doubles.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// batchTime is the pause after news, so that changes which come in quick
	// succession take one call.
	batchTime = 100 * time.Millisecond
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
	provider.Common
	Store   cactuspin.Store
	Keeper  *keeper.Keeper
	Updater *updater.Updater
	Self    cactuspin.EntryHost
	// Wait is how long a watch of the store may take.
	Wait time.Duration
	// Spread hands news to the peers.
	Spread func(u *cactuspin.Update)
	Seed   uint64
}

// Learner reads the store.
type Learner struct {
	cfg    Config
	wanted chan bool
	done   chan error
	failed bool
	random *rand.Rand
}

// New returns a Learner.
func New(c Config) *Learner {
	return &Learner{cfg: c, wanted: make(chan bool, 1), done: make(chan error, 1), random: rand.New(rand.NewPCG(c.Seed, 2))}
}

// Want tells the learner whether to read.
func (l *Learner) Want(read bool) {
	select {
	case <-l.wanted:
	default:
	}
	l.wanted <- read
}

// Start reads until the context ends, which is reported on Done.
func (l *Learner) Start(ctx context.Context) { go func() { l.done <- l.run(ctx) }() }

// Done reports the end.
func (l *Learner) Done() <-chan error { return l.done }

func (l *Learner) run(ctx context.Context) error {
	wanted, pause := true, firstRetry
	for ctx.Err() == nil {
		wanted = l.next(ctx, wanted)
		if !wanted {
			continue
		}
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			l.fault(err)
			l.sleep(ctx, pause/2+time.Duration(l.random.Int64N(int64(pause))))
			pause = min(2*pause, maxRetry)
			continue
		}
		pause = firstRetry
		l.recovered()
	}
	return ctx.Err()
}

// next returns whether to read now; while not, it waits for a change.
func (l *Learner) next(ctx context.Context, wanted bool) bool {
	if wanted {
		select {
		case w := <-l.wanted:
			return w
		default:
			return true
		}
	}
	select {
	case w := <-l.wanted:
		return w
	case <-ctx.Done():
		return false
	}
}

// read makes one call: a watch, or a read of everything where there is nothing
// to go on from.
func (l *Learner) read(ctx context.Context) error {
	asked := l.cfg.Clock()
	p := l.cfg.Keeper.Position(asked)
	if !p.Complete {
		return l.readAll(ctx)
	}
	u, err := l.cfg.Store.Watch(ctx, p.Revision, l.cfg.Wait)
	if errors.Is(err, cactuspin.ErrHistoryLost) {
		l.cfg.Logger.Warn("store: history lost, reading everything", slog.Uint64("revision", uint64(p.Revision)))
		return l.readAll(ctx)
	}
	if err != nil {
		return err
	}
	now := l.cfg.Clock()
	u.Age = now.Sub(asked)
	if u.Revision == u.After {
		// An empty answer was given when the wait was over.
		u.Age = max(0, u.Age-l.cfg.Wait)
	}
	u.Settled = l.settled(now)
	l.take(ctx, &u)
	return nil
}

func (l *Learner) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := l.cfg.Clock()
	u, err := l.cfg.Store.Read(ctx)
	if err != nil {
		return err
	}
	now := l.cfg.Clock()
	u.Age = now.Sub(asked)
	u.Settled = l.settled(now)
	l.take(ctx, &u)
	return nil
}

// settled returns how long the store has answered. An answer after a fault is
// where a new span begins.
func (l *Learner) settled(now cactuspin.Time) time.Duration {
	if l.failed {
		return 0
	}
	return l.cfg.Keeper.Position(now).Settled
}

func (l *Learner) take(ctx context.Context, u *cactuspin.Update) {
	if changed, ok := l.cfg.Updater.Update(u, "store"); ok && changed {
		l.cfg.Spread(u)
	}
	if !u.Full && u.Revision > u.After {
		l.sleep(ctx, batchTime)
	}
}

func (l *Learner) fault(err error) {
	l.cfg.Keeper.Fault(l.cfg.Clock())
	if !l.failed {
		l.cfg.Logger.Warn("store: lost", slog.Any("error", err))
	}
	l.failed = true
}

func (l *Learner) recovered() {
	if l.failed {
		l.cfg.Logger.Info("store: regained")
	}
	l.failed = false
}

func (l *Learner) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Announce keeps this host announced until the context ends.
func (l *Learner) Announce(ctx context.Context, s cactuspin.Store) error {
	var lease cactuspin.LeaseID
	for {
		pause := renewInterval
		err := l.announce(ctx, s, &lease)
		if err != nil && ctx.Err() == nil {
			l.cfg.Logger.Warn("store: host not announced", slog.Any("error", err))
			pause = announceRetry
		}
		l.sleep(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (l *Learner) announce(ctx context.Context, s cactuspin.Store, lease *cactuspin.LeaseID) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if *lease != 0 {
		if err = s.Renew(ctx, *lease); err == nil || !errors.Is(err, cactuspin.ErrLeaseEnded) {
			return err
		}
	}
	*lease, err = s.Announce(ctx, l.cfg.Self, leaseTime)
	return err
}

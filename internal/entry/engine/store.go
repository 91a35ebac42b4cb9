package engine

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

const (
	// firstRetry and maxRetry bound the pause after a failed call, which doubles.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// batchTime is the pause after news, so that changes which come in quick
	// succession take one call.
	batchTime = 100 * time.Millisecond
)

// storeState is how the calls of the store go.
type storeState struct {
	// calling says that a call is not answered yet.
	calling bool
	nextAt  cactuspin.Time
	pause   time.Duration
	failed  bool
	// lost says that the history after the known revision is gone.
	lost bool
	// whole is the read of everything that has begun, or nil.
	whole *wholeRead
}

// call makes the next call of the store if this host is to read it.
func (e *Engine) call(now cactuspin.Time, out *Actions) {
	if !e.reading || e.leaving || e.store.calling || now < e.store.nextAt {
		return
	}
	known := e.keeper.Position(now)
	e.store.calling = true
	out.Store = &StoreCall{
		FullRead: !known.Complete || e.store.lost,
		From:     e.readOn(known.Complete),
		After:    known.Revision,
		Wait:     e.c.MaxStaleness * waitShare / 100,
		SentAt:   now,
	}
}

// StoreAnswered takes the answer to a call.
func (e *Engine) StoreAnswered(now cactuspin.Time, c *StoreCall, u *cactuspin.Update, err error, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.calling = false
	if errors.Is(err, cactuspin.ErrHistoryLost) {
		out.note(slog.LevelWarn, "store: history lost, reading everything", slog.Uint64("revision", uint64(c.After)))
		e.store.lost = true
		e.call(now, out)
		return
	}
	if err != nil {
		e.storeFailed(now, err, out)
		return
	}
	e.storeAnswered(now, c, u, out)
	e.call(now, out)
}

func (e *Engine) storeFailed(now cactuspin.Time, err error, out *Actions) {
	e.keeper.RecordStoreError(now)
	if !e.store.failed {
		out.note(slog.LevelWarn, "store: lost", slog.Any("error", err), slog.Duration("age", e.keeper.Position(now).Age))
	}
	e.store.failed = true
	e.store.nextAt = now.Add(e.store.pause/2 + time.Duration(e.random.Int64N(int64(e.store.pause))))
	e.store.pause = min(2*e.store.pause, maxRetry)
}

func (e *Engine) storeAnswered(now cactuspin.Time, c *StoreCall, u *cactuspin.Update, out *Actions) {
	settled := e.keeper.Position(now).HealthyFor
	if e.store.failed {
		out.note(slog.LevelInfo, "store: regained", slog.Uint64("revision", uint64(u.Revision)))
		settled = 0
	}
	e.store.failed, e.store.pause = false, firstRetry
	if c.FullRead {
		if u = e.readPage(now, c, u); u == nil {
			return
		}
	} else {
		u.Age = sinceAsked(now, c, u)
		if u.Revision > u.After {
			e.store.nextAt = now.Add(batchTime)
		}
	}
	u.HealthyFor = settled
	e.take(now, u, "store", out)
}

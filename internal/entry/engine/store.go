package engine

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay after a failed call,
	// which doubles with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// batchDelay is the delay after an answer with changes, so that changes in
	// quick succession need one call.
	batchDelay = 100 * time.Millisecond
	// maxUnusableAnswers is the number of unusable answers in a row after which the
	// store is read in whole. A connection that broke off once may work the next time.
	maxUnusableAnswers = 2
)

// storeState is the state of the calls to the store.
type storeState struct {
	// calling reports that a call is in progress.
	calling    bool
	nextCall   cactuspin.Time
	retryDelay time.Duration
	failed     bool
	// historyLost reports that the store no longer has the changes after the
	// known revision, or has no usable answer with them.
	historyLost bool
	// era is the newest era that an answer named; restored reports that the knowledge is
	// older, so that the store has to be read in whole.
	era      cactuspin.Era
	restored bool
	// unusable counts the answers in a row that could not be used.
	unusable int
	// fullRead is the full read in progress, or nil.
	fullRead *fullRead
}

// call makes the next call to the store if this host has to read it.
func (e *Engine) call(now cactuspin.Time, out *Actions) {
	if !e.reading || e.leaving || e.store.calling || now < e.store.nextCall {
		return
	}
	position := e.tracker.Position(now)
	e.store.calling = true
	e.store.restored = e.store.era > position.Era
	out.Store = &StoreCall{
		FullRead: !position.Complete || e.store.historyLost || e.store.restored,
		Era:      position.Era,
		From:     e.nextPage(position.Complete),
		After:    position.Revision,
		Wait:     e.c.MaxStaleness * watchWaitPercent / 100,
		SentAt:   now,
	}
}

// StoreAnswered handles the result of a call to the store.
func (e *Engine) StoreAnswered(now cactuspin.Time, c *StoreCall, u *cactuspin.Update, err error, out *Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.calling = false
	if u == nil {
		u = &cactuspin.Update{}
	}
	restored := e.recordEra(now, u, out)
	if errors.Is(err, cactuspin.ErrHistoryLost) {
		// Of a revision of another era, the store has no history in any case.
		if !restored && c.Era == e.tracker.Position(now).Era {
			out.note(slog.LevelWarn, "store: history lost, reading everything", slog.Uint64("revision", uint64(c.After)))
			e.store.historyLost = true
		}
		e.call(now, out)
		return
	}
	e.countUnusable(c, err, out)
	if err != nil {
		e.handleStoreError(now, err, out)
		return
	}
	if u.Era < max(e.store.era, e.tracker.Position(now).Era) {
		e.handleStoreError(now, errOlderEra, out)
		return
	}
	if !c.FullRead && (restored || u.Era != c.Era) {
		// The changes were counted in another era than the revision that was asked for.
		e.call(now, out)
		return
	}
	e.handleStoreAnswer(now, c, u, out)
	e.call(now, out)
}

// countUnusable counts the watch answers in a row that could not be used. The same watch
// would fail again, so that after a few of them the store is read page by page instead.
func (e *Engine) countUnusable(c *StoreCall, err error, out *Actions) {
	if !errors.Is(err, cactuspin.ErrAnswerUnusable) || c.FullRead {
		e.store.unusable = 0
		return
	}
	if e.store.unusable++; e.store.unusable < maxUnusableAnswers {
		return
	}
	e.store.unusable = 0
	e.store.historyLost = true
	out.note(slog.LevelWarn, "store: changes unusable, reading everything", slog.Uint64("revision", uint64(c.After)))
}

func (e *Engine) handleStoreError(now cactuspin.Time, err error, out *Actions) {
	e.tracker.RecordStoreError(now)
	if !e.store.failed {
		out.note(slog.LevelWarn, "store: lost", slog.Any("error", err), slog.Duration("age", e.tracker.Position(now).Age))
	}
	e.store.failed = true
	e.store.nextCall = now.Add(e.store.retryDelay/2 + time.Duration(e.random.Int64N(int64(e.store.retryDelay))))
	e.store.retryDelay = min(2*e.store.retryDelay, maxRetryDelay)
}

func (e *Engine) handleStoreAnswer(now cactuspin.Time, c *StoreCall, u *cactuspin.Update, out *Actions) {
	healthyFor := e.tracker.Position(now).HealthyFor
	if e.store.failed {
		out.note(slog.LevelInfo, "store: regained", slog.Uint64("revision", uint64(u.Revision)))
		healthyFor = 0
	}
	e.store.failed, e.store.retryDelay = false, minRetryDelay
	if c.FullRead {
		if u = e.readPage(now, c, u); u == nil {
			return
		}
	} else {
		u.Age = answerAge(now, c, u)
		if u.Revision > u.After {
			e.store.nextCall = now.Add(batchDelay)
		}
	}
	u.HealthyFor, u.Reader, u.KnowsZones = healthyFor, e.c.Self.Address, true
	e.merge(now, u, "store", out)
}

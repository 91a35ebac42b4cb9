// Package driver holds what all drivers share: the logger, the clocks, the function
// that passes events to the host and the pool of actions.
package driver

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cactuspin/cactuspin"
)

// Common is the part of the configuration that all drivers share.
type Common struct {
	Logger *slog.Logger
	Clock  Clock
}

// Clock returns the current time.
type Clock func() cactuspin.Time

// NewClock returns a clock that starts at the wall clock's time. It never goes back
// and includes the time in which the machine was paused.
func NewClock() Clock {
	start := cactuspin.Time(time.Now().UnixNano())
	startBootTime := bootTime()
	return func() cactuspin.Time { return start + bootTime() - startBootTime }
}

// PauseClock reads the monotonic clock, which needs no system call but leaves out
// pauses of the machine. Each call of Refresh adds the pauses so far.
type PauseClock struct {
	start         time.Time
	startBootTime cactuspin.Time
	paused        atomic.Int64
}

// NewPauseClock returns a clock that starts at the wall clock's time.
func NewPauseClock() *PauseClock { return &PauseClock{start: time.Now(), startBootTime: bootTime()} }

// Now returns the current time.
func (c *PauseClock) Now() cactuspin.Time {
	return cactuspin.Time(c.start.UnixNano()).Add(time.Since(c.start)) + cactuspin.Time(c.paused.Load())
}

// Refresh adds pauses that the monotonic clock left out, and returns how long the
// machine was paused since the last call.
func (c *PauseClock) Refresh() time.Duration {
	paused := max(0, bootTime().Sub(c.startBootTime)-time.Since(c.start))
	before := time.Duration(c.paused.Load())
	if paused-before < pauseTolerance {
		return 0
	}
	c.paused.Store(int64(paused))
	return paused - before
}

// pauseTolerance is the smallest difference between the two clocks that counts as a
// pause.
const pauseTolerance = 20 * time.Millisecond

func bootTime() cactuspin.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return cactuspin.Time(time.Now().UnixNano())
	}
	return cactuspin.Time(ts.Nano())
}

// Handler runs a decision of the host and performs the resulting actions.
type Handler func(decide func(now cactuspin.Time, out *cactuspin.Actions))

// actionsPool holds the collections of actions that the drivers reuse.
var actionsPool = sync.Pool{New: func() any { return new(cactuspin.Actions) }}

// BorrowActions returns an empty collection of actions from the pool.
func BorrowActions() *cactuspin.Actions {
	a, ok := actionsPool.Get().(*cactuspin.Actions)
	if !ok {
		return new(cactuspin.Actions)
	}
	return a
}

// ReturnActions empties a collection and returns it to the pool.
func ReturnActions(a *cactuspin.Actions) {
	a.Reset()
	actionsPool.Put(a)
}

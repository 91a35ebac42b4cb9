// Package driver holds what every driver needs: the logger, the clock and the
// way to hand events to the host.
package driver

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cactuspin/cactuspin"
)

// Common is passed to the constructor of every driver.
type Common struct {
	Logger *slog.Logger
	Clock  Clock
}

// Clock tells the time.
type Clock func() cactuspin.Time

// NewClock returns a clock that starts at the wall clock's time and from then on
// never goes back and counts pauses of the machine.
func NewClock() Clock {
	start := cactuspin.Time(time.Now().UnixNano())
	first := bootTime()
	return func() cactuspin.Time { return start + bootTime() - first }
}

// PauseClock reads the steady clock, which costs no system call, and counts
// pauses of the machine as often as Refresh is called.
type PauseClock struct {
	start  time.Time
	first  cactuspin.Time
	paused atomic.Int64
}

// NewPauseClock returns a clock that starts at the wall clock's time.
func NewPauseClock() *PauseClock { return &PauseClock{start: time.Now(), first: bootTime()} }

// Now returns the time.
func (c *PauseClock) Now() cactuspin.Time {
	return cactuspin.Time(c.start.UnixNano()).Add(time.Since(c.start)) + cactuspin.Time(c.paused.Load())
}

// Refresh takes account of pauses that the steady clock did not count, and
// returns how long the machine was paused since the last call.
func (c *PauseClock) Refresh() time.Duration {
	paused := max(0, bootTime().Sub(c.first)-time.Since(c.start))
	before := time.Duration(c.paused.Load())
	if paused-before < pauseSlack {
		return 0
	}
	c.paused.Store(int64(paused))
	return paused - before
}

// pauseSlack is by how much two readings of the clocks may differ without a pause.
const pauseSlack = 20 * time.Millisecond

func bootTime() cactuspin.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return cactuspin.Time(time.Now().UnixNano())
	}
	return cactuspin.Time(ts.Nano())
}

// Handler runs a decision of the host and performs its actions.
type Handler func(decide func(now cactuspin.Time, out *cactuspin.Actions))

// actions are reused by all drivers.
var actions = sync.Pool{New: func() any { return new(cactuspin.Actions) }}

// BorrowActions returns an empty collection of actions.
func BorrowActions() *cactuspin.Actions {
	a, ok := actions.Get().(*cactuspin.Actions)
	if !ok {
		return new(cactuspin.Actions)
	}
	return a
}

// ReturnActions takes a collection back.
func ReturnActions(a *cactuspin.Actions) {
	a.Reset()
	actions.Put(a)
}

package balancer

import (
	"slices"
	"sync"

	"github.com/cactuspin/cactuspin"
)

// negligible is a running mean of busy or failed requests that counts as none.
const negligible = 0.01

// activeSet holds the targets that this host sends flows to or suspects, so that
// passing time costs nothing for all others. It is safe for concurrent use.
type activeSet struct {
	mu      sync.Mutex
	targets []*target
}

// add takes a target in, if it is not there yet.
func (a *activeSet) add(t *target) {
	if t.active.Load() || !t.active.CompareAndSwap(false, true) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = append(a.targets, t)
}

// list returns the active targets.
func (a *activeSet) list() []*target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.targets)
}

// services returns the services that have active targets.
func (a *activeSet) services() map[*service]bool {
	found := map[*service]bool{}
	for _, t := range a.list() {
		found[t.service] = true
	}
	return found
}

// tick moves the running means on and lets go of targets without flows, load or
// suspicion.
func (a *activeSet) tick(now cactuspin.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = slices.DeleteFunc(a.targets, func(t *target) bool {
		t.meanBusy += (float64(t.busy.Load()) - t.meanBusy) * busyWeight
		t.settle()
		idle := t.flows.Load() == 0 && t.meanBusy < negligible && t.failed < negligible && (t.health.settled() || t.ended(now))
		if idle {
			t.meanBusy, t.failed = 0, 0
			t.active.Store(false)
		}
		return idle
	})
}

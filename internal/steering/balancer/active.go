package balancer

import (
	"slices"
	"sync"

	"github.com/cactuspin/cactuspin"
)

// negligible is the running mean of requests in progress or failed below which it
// counts as 0.
const negligible = 0.01

// activeSet holds the targets that have flows of this host or are suspect, so that
// ticks cost nothing for all others. It is safe for concurrent use.
type activeSet struct {
	mu      sync.Mutex
	targets []*target
}

// add adds a target unless the set contains it.
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

// tick updates the running means and removes targets without flows and load that
// are healthy or have ended.
func (a *activeSet) tick(now cactuspin.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = slices.DeleteFunc(a.targets, func(t *target) bool {
		t.meanBusy += (float64(t.busy.Load()) - t.meanBusy) * busyWeight
		t.decayFailures()
		idle := t.flows.Load() == 0 && t.meanBusy < negligible && t.failures < negligible && (t.health.isHealthy() || t.ended(now))
		if idle {
			t.meanBusy, t.failures = 0, 0
			t.active.Store(false)
		}
		return idle
	})
}

package engine

import (
	"sync"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// loadTable holds the free capacity that the hosts have reported. Its lock is
// acquired after all others.
type loadTable struct {
	mu    sync.RWMutex
	hosts map[cactuspin.HostID][]cactuspin.Load
}

func (t *loadTable) set(h cactuspin.HostID, ls []cactuspin.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[h] = ls
}

// free returns how many more requests of a service a host can accept.
func (t *loadTable) free(h cactuspin.HostID, s cactuspin.ServiceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, l := range t.hosts[h] {
		if l.Service == s {
			return int(l.Free)
		}
	}
	return 0
}

// unusable reports whether a host has reported that none of its targets of a
// service accepts new requests.
func (t *loadTable) unusable(h cactuspin.HostID, s cactuspin.ServiceID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, l := range t.hosts[h] {
		if l.Service == s {
			return l.Targets == 0
		}
	}
	return false
}

// flowOwner returns the owner of a flow among the hosts whose targets accept new
// requests, or among all hosts if there is none.
func (t *loadTable) flowOwner(sv *placer.ServiceView, flow uint64) (h cactuspin.HostID, ok bool) {
	id := sv.Service.ID
	h, ok = sv.Owner(flow, func(x cactuspin.HostID) bool { return t.unusable(x, id) })
	if ok {
		return h, true
	}
	return sv.Owner(flow, nil)
}

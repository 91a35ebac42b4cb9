package engine

import (
	"sync"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// loadBoard holds the free capacity that the other hosts reported. Its lock is
// taken last.
type loadBoard struct {
	mu    sync.RWMutex
	hosts map[cactuspin.HostID][]cactuspin.Load
}

func (b *loadBoard) set(h cactuspin.HostID, ls []cactuspin.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[h] = ls
}

// free returns how many requests of a service a host could take.
func (b *loadBoard) free(h cactuspin.HostID, s cactuspin.ServiceID) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, l := range b.hosts[h] {
		if l.Service == s {
			return int(l.Free)
		}
	}
	return 0
}

// unusable tells whether a host reported that none of its targets of a service
// takes new work.
func (b *loadBoard) unusable(h cactuspin.HostID, s cactuspin.ServiceID) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, l := range b.hosts[h] {
		if l.Service == s {
			return l.Targets == 0
		}
	}
	return false
}

// home returns the host that a flow belongs to among those whose targets take
// new work, or among all when none does.
func (b *loadBoard) home(sv *placer.ServiceView, flow uint64) (h cactuspin.HostID, ok bool) {
	id := sv.Service.ID
	h, ok = sv.Owner(flow, func(x cactuspin.HostID) bool { return b.unusable(x, id) })
	if ok {
		return h, true
	}
	return sv.Owner(flow, nil)
}

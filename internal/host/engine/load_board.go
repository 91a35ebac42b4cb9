package engine

import (
	"sync"

	"github.com/cactuspin/cactuspin"
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

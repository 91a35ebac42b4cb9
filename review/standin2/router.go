package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// checkInterval is the interval of the readiness checks; missesUntilOut in a row take a
// host out of rotation.
const (
	checkInterval  = 500 * time.Millisecond
	missesUntilOut = 2
)

// routers are the routers of the platform. They hash flows over the hosts in rotation.
type routers struct {
	mu     sync.Mutex
	zones  map[string][]*host
	client *http.Client
}

func newRouters() *routers {
	return &routers{zones: map[string][]*host{}, client: &http.Client{Timeout: checkInterval / 2, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (r *routers) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		for _, hosts := range r.zones {
			for _, h := range hosts {
				go r.check(ctx, h)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *routers) check(ctx context.Context, h *host) {
	ready := r.isReady(ctx, h)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.misses++
	if ready {
		h.misses = 0
	}
}

func (r *routers) isReady(ctx context.Context, h *host) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(h.address, readyPort).String()+"/ready", nil)
	if err != nil {
		return false
	}
	a, err := r.client.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// route returns the host for a flow: by rendezvous hashing, so that only the flows of a host
// that leaves the rotation move.
func (r *routers) route(zone string, local netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := r.zones[zone]
	var in []*host
	for _, h := range hosts {
		if h.misses < missesUntilOut {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(hosts) {
		in = hosts
	}
	var best *host
	var highest uint64
	for _, h := range in {
		x := fnv.New64a()
		_, _ = fmt.Fprint(x, local, h.address)
		if n := x.Sum64(); best == nil || n > highest {
			best, highest = h, n
		}
	}
	return netip.AddrPortFrom(best.address, packetPort)
}

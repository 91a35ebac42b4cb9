package main

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// probeInterval is the interval of the readiness checks.
const probeInterval = 500 * time.Millisecond

// router forwards requesters' packets to the entry hosts in rotation.
type router struct {
	mu     sync.Mutex
	hosts  []*entryHost
	client *http.Client
	rec    *recorder
}

func newRouter(hosts []*entryHost, rec *recorder) *router {
	t := &http.Transport{DisableKeepAlives: true}
	return &router{hosts: hosts, rec: rec, client: &http.Client{Transport: t, Timeout: probeInterval / 2}}
}

func (r *router) run(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		for _, h := range r.hosts {
			go r.check(ctx, h)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// check records a readiness check. Two misses take a host out of rotation.
func (r *router) check(ctx context.Context, h *entryHost) {
	ready := r.isReady(ctx, h)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := h.misses < 2
	h.misses++
	if ready {
		h.misses = 0
	}
	if is := h.misses < 2; is != was {
		r.rec.add("router: host %s in rotation: %t", h.name, is)
	}
}

func (r *router) isReady(ctx context.Context, h *entryHost) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready.String()+"/ready", nil)
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

// allReady reports whether all hosts are in rotation.
func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		if h.misses > 0 {
			return false
		}
	}
	return true
}

// route returns the host for a flow, by the highest hash over the hosts in rotation of
// a zone, so that only the flows of a host that leaves move.
func (r *router) route(zone string, src, dst netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	inZone, count := r.inRotation(func(h *entryHost) bool { return h.zone == zone })
	if len(inZone) == 0 {
		inZone, count = r.inRotation(func(h *entryHost) bool { return h.zone != zone })
	}
	if 2*len(inZone) < count {
		inZone = nil
		for _, h := range r.hosts {
			if h.zone == zone {
				inZone = append(inZone, h)
			}
		}
	}
	var best netip.AddrPort
	var highest uint64
	for _, h := range inZone {
		x := fnv.New64a()
		_, _ = x.Write([]byte(src.String() + "|" + dst.String() + "|" + h.name))
		if n := mix(x.Sum64()); n >= highest {
			best, highest = h.packets, n
		}
	}
	return best
}

// mix spreads a hash over all bits.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

func (r *router) inRotation(match func(*entryHost) bool) (hosts []*entryHost, count int) {
	for _, h := range r.hosts {
		if !match(h) {
			continue
		}
		count++
		if h.misses < 2 {
			hosts = append(hosts, h)
		}
	}
	return hosts, count
}

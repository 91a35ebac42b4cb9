package main

import (
	"net/netip"
	"sync"
)

// traffic knows what requesters and endpoints have seen of the flows.
type traffic struct {
	rec *recorder
	// routes are the services to which the configurations sent so far let each route go.
	routes map[string]string
	// checkResets and checkRoutes say which rules are judged.
	checkResets, checkRoutes bool

	mu       sync.Mutex
	openAt   map[netip.AddrPort]*endpoint
	byAddr   map[netip.AddrPort]*endpoint
	answered int
	failed   int
}

func newTraffic(rec *recorder, routes map[string]string) *traffic {
	return &traffic{
		rec: rec, routes: routes, openAt: map[netip.AddrPort]*endpoint{},
		byAddr: map[netip.AddrPort]*endpoint{},
	}
}

func (t *traffic) add(e *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAddr[e.address] = e
}

// opened records that a flow has opened: its endpoint has the end of the handshake.
func (t *traffic) opened(e *endpoint, p *packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openAt[p.from] = e
}

func (t *traffic) closed(p *packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openAt, p.from)
}

// ran records that an endpoint runs a request.
func (t *traffic) ran(e *endpoint, id, route string) {
	t.rec.add("endpoint %s of %s runs %s of route %s", e.id, e.service, id, route)
	if t.checkRoutes && t.routes[route] != e.service {
		t.rec.violation("ROUTE: %s of route %s, which leads to %s only, was run by %s of service %s", id, route, t.routes[route], e.id, e.service)
	}
}

// wasReset records a reset at a requester.
func (t *traffic) wasReset(f *flow, p *packet) {
	t.mu.Lock()
	e := t.openAt[f.local]
	delete(t.openAt, f.local)
	by := t.byAddr[p.sender]
	t.mu.Unlock()
	if !f.open || e == nil {
		return
	}
	sender := "host " + p.sender.String()
	if by != nil {
		sender = "endpoint " + by.id
	}
	t.rec.add("flow %s, open at %s, is reset by %s", f.local, e.id, sender)
	if t.checkResets && by != e {
		t.rec.violation("FLOW: flow %s is open at %s, which lives, and was reset by %s", f.local, e.id, sender)
	}
}

func (t *traffic) countResult(answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		t.answered++
	} else {
		t.failed++
	}
}

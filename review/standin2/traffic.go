package main

import (
	"net/netip"
	"sync"
	"time"
)

// opening is an opening packet: when its requester sent it, and when it arrived.
type opening struct{ sent, arrived time.Time }

// copyKey identifies an opening packet and its copies by their number.
type copyKey struct {
	flow   netip.AddrPort
	copies uint32
}

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
	sent     map[copyKey]time.Time
	openings map[*endpoint][]opening
	answered int
	failed   int
}

func newTraffic(rec *recorder, routes map[string]string) *traffic {
	return &traffic{
		rec: rec, routes: routes, openAt: map[netip.AddrPort]*endpoint{},
		byAddr: map[netip.AddrPort]*endpoint{}, sent: map[copyKey]time.Time{}, openings: map[*endpoint][]opening{},
	}
}

func (t *traffic) add(e *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAddr[e.address] = e
}

// opened records that a flow has opened: its endpoint has the end of the handshake.
func (t *traffic) opened(e *endpoint, p *packet, o opening) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openAt[p.from] = e
	t.openings[e] = append(t.openings[e], o)
}

// sending records that a requester sends an opening packet or a copy of it.
func (t *traffic) sending(local netip.AddrPort, copies uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[copyKey{local, copies}] = time.Now()
}

// openingOf returns the opening packet p that arrives now.
func (t *traffic) openingOf(p *packet) opening {
	t.mu.Lock()
	defer t.mu.Unlock()
	return opening{t.sent[copyKey{p.from, p.ack}], time.Now()}
}

// mostInASecond returns the highest number of flows opened at an endpoint whose opening
// packets were sent and arrived within one second of a span of time.
func (t *traffic) mostInASecond(e *endpoint, from, to time.Time) (most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, first := range t.openings[e] {
		begin := first.sent
		end := begin.Add(time.Second)
		if begin.Before(from) || end.After(to) {
			continue
		}
		n := 0
		for _, o := range t.openings[e] {
			if !o.sent.Before(begin) && o.arrived.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
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

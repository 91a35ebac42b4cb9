package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// heartbeatInterval is how often an endpoint writes its registration (heartbeat_ms).
const heartbeatInterval = 1200 * time.Millisecond

// endpointFlow is a flow at an endpoint.
type endpointFlow struct {
	// seq is the number of the endpoint's next byte, expected that of the next data.
	seq, echo, initial, expected uint32
	open                         bool
	// took is the opening packet that the endpoint took.
	took     opening
	response []packet
}

// endpoint is a server: it runs the requests of the flows that it has accepted.
type endpoint struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	workTime          time.Duration
	// warmup is how long the endpoint is cold after its start.
	warmup     time.Duration
	store      *metastore.Store
	rec        *recorder
	traffic    *traffic
	packetPort uint16
	socket     *net.UDPConn
	listener   net.Listener

	mu      sync.Mutex
	flows   map[netip.AddrPort]*endpointFlow
	state   string
	started time.Time
	// coldUntil is when the endpoint has warmed up.
	coldUntil time.Time
	count     int
	// outdated reports that the entry in the store is not what the endpoint has to say.
	outdated bool
	// offline reports that the store takes no writes.
	offline bool
	// closing makes the endpoint end each flow after its next answer.
	closing bool
}

// listen opens the sockets of the endpoint and registers it.
func (e *endpoint) listen(ctx context.Context) (err error) {
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address)); err != nil {
		return err
	}
	var c net.ListenConfig
	if e.listener, err = c.Listen(ctx, "tcp4", e.address.String()); err != nil {
		return err
	}
	e.flows, e.state, e.started = map[netip.AddrPort]*endpointFlow{}, "ready", time.Now()
	e.coldUntil = e.started.Add(e.warmup)
	e.register()
	go e.acceptConnections()
	go e.receive()
	go e.beat(ctx)
	return nil
}

func (e *endpoint) close() {
	_ = e.socket.Close()
	_ = e.listener.Close()
}

// acceptConnections accepts connections on the address of the health check.
func (e *endpoint) acceptConnections() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

func (e *endpoint) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixLength {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != e.number && number != 0 {
			continue
		}
		if p, ok := decode(b[prefixLength:n]); ok {
			e.handle(&p)
		}
	}
}

// entry returns the registration.
func (e *endpoint) entry() map[string]any {
	e.count++
	left := max(0, time.Until(e.coldUntil))
	return map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": 3,
		"state": e.state, "warmup_left_ms": left.Milliseconds(), "seq_no": e.count, "born": e.started.UnixMilli(),
	}
}

func (e *endpoint) register() {
	b, err := json.Marshal(e.entry())
	if err != nil {
		return
	}
	e.outdated = false
	e.store.Put("servers/"+e.id, b)
	e.rec.add("endpoint %s writes its entry: %s", e.id, b)
}

// beat writes the entry again if it has to change. The store does not count a change of
// seq_no alone as a change. The beats of the endpoints do not coincide.
func (e *endpoint) beat(ctx context.Context) {
	time.Sleep(rand.N(heartbeatInterval))
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.mu.Lock()
		if e.outdated && !e.offline {
			e.register()
		}
		e.mu.Unlock()
	}
}

// overwrite lets another writer replace the entry: some fields differ, those that are nil
// are missing.
func (e *endpoint) overwrite(changes map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.entry()
	maps.Copy(entry, changes)
	maps.DeleteFunc(entry, func(_ string, v any) bool { return v == nil })
	b, err := json.Marshal(entry)
	if err != nil {
		return
	}
	e.outdated = true
	e.store.Put("servers/"+e.id, b)
	e.rec.add("another writer replaces the entry of %s: %s", e.id, b)
}

// coolDown makes the endpoint cold. Its next heartbeat says so.
func (e *endpoint) coolDown(warmup time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil, e.outdated = time.Now().Add(warmup), true
	e.rec.add("endpoint %s is cold for %s", e.id, warmup)
}

// drain reports draining. The endpoint goes on serving.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.closing = "draining", true
	e.register()
}

// setOffline says whether the store takes writes. While it does not, the entry may lapse.
func (e *endpoint) setOffline(offline bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offline = offline
}

// lapse removes the entry as the store does after three intervals of silence.
func (e *endpoint) lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outdated = true
	e.store.Remove("servers/" + e.id)
	e.rec.add("entry of %s has expired", e.id)
}

func (e *endpoint) send(p packet) {
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.to.Addr(), e.packetPort))
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.from]
	if p.flags == bitSYN {
		e.handleSYN(f, p)
		return
	}
	if f != nil && !f.open && p.ack == f.seq {
		f.open = true
		e.traffic.opened(e, p, f.took)
	}
	switch {
	case f == nil || !f.open:
		e.rec.add("endpoint %s resets a flow that it does not hold: %s", e.id, p.from)
		e.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitRST, seq: p.ack})
	case p.flags&bitRST != 0:
		e.end(p)
	case len(p.data) > 0:
		f.echo = p.echo
		e.handleData(f, p)
	case p.flags&bitFIN != 0:
		e.end(p)
		e.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitFIN | bitACK, seq: p.ack, ack: p.seq + 1})
	}
}

func (e *endpoint) handleSYN(f *endpointFlow, p *packet) {
	if f != nil && f.open {
		return
	}
	if f == nil || f.initial != p.seq {
		f = &endpointFlow{seq: rand.Uint32(), initial: p.seq, expected: p.seq + 1, took: e.traffic.openingOf(p)}
		e.flows[p.from] = f
		f.seq++
	}
	f.echo = p.echo
	e.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitSYN | bitACK, seq: f.seq - 1, ack: p.seq + 1})
}

func (e *endpoint) end(p *packet) {
	delete(e.flows, p.from)
	e.traffic.closed(p)
}

// handleData runs a request; one that is sent again gets the same answer.
func (e *endpoint) handleData(f *endpointFlow, p *packet) {
	if p.seq != f.expected {
		for _, a := range f.response {
			e.send(a)
		}
		return
	}
	f.expected, f.response = p.seq+uint32(len(p.data)), nil
	id, route, size := parseRequest(p.data)
	e.traffic.ran(e, id, route)
	time.AfterFunc(e.workTime, func() { e.answer(f, p, size) })
}

func (e *endpoint) answer(f *endpointFlow, p *packet, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[p.from] != f {
		return
	}
	body := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)...)
	for len(body) > 0 {
		n := min(len(body), maxPayload)
		a := packet{from: p.to, to: p.from, echo: f.echo, flags: bitACK, seq: f.seq, ack: f.expected, data: body[:n]}
		f.response = append(f.response, a)
		e.send(a)
		f.seq += uint32(n)
		body = body[n:]
	}
	if e.closing {
		e.send(packet{from: p.to, to: p.from, echo: f.echo, flags: bitFIN | bitACK, seq: f.seq, ack: f.expected})
	}
}

// parseRequest returns the ID of a request, its route and the size of its answer.
func parseRequest(b []byte) (id, route string, size int) {
	for line := range bytes.SplitSeq(b, []byte("\r\n")) {
		if x, ok := bytes.CutPrefix(line, []byte("X-Cactuspin-Request-Id: ")); ok {
			id = string(x)
		}
		if x, ok := bytes.CutPrefix(line, []byte("X-Route: ")); ok {
			route = string(x)
		}
		if x, ok := bytes.CutPrefix(line, []byte("X-Size: ")); ok {
			_, _ = fmt.Sscan(string(x), &size)
		}
	}
	return id, route, size
}

package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// heartbeat is the interval at which an endpoint writes its registration.
const heartbeat = 1200 * time.Millisecond

// endpoint is a server of a service. It lives until the end of the case.
type endpoint struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	requesterPort     uint16
	work              time.Duration
	born              int64
	store             *metastore.Store
	d                 *deployment
	socket            *net.UDPConn
	health            net.Listener

	mu    sync.Mutex
	seqNo int
	flows map[flowID]*endpointFlow
	// registered reports that the store holds the endpoint's own entry.
	registered bool
}

// flowID is the four-tuple of a flow.
type flowID struct{ requester, route netip.AddrPort }

// endpointFlow is the state of a flow at its endpoint.
type endpointFlow struct {
	seq, next, echo uint32
	opened, ended   bool
	running         bool
	response        []packet
}

func newEndpoint(d *deployment, number uint64, service, zone string, ip netip.Addr, work time.Duration) (e *endpoint, err error) {
	e = &endpoint{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, work: work,
		requesterPort: d.packetPort, store: d.store, d: d, born: time.Now().UnixMilli(), flows: map[flowID]*endpointFlow{},
	}
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))); err != nil {
		return nil, err
	}
	_ = e.socket.SetReadBuffer(4 << 20)
	e.address = netip.AddrPortFrom(ip, uint16(e.socket.LocalAddr().(*net.UDPAddr).Port))
	var c net.ListenConfig
	if e.health, err = c.Listen(context.Background(), "tcp4", e.address.String()); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *endpoint) run(ctx context.Context) {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Cactuspin-Instance-Id", e.id)
	})}
	context.AfterFunc(ctx, func() {
		_ = e.socket.Close()
		_ = server.Close()
	})
	go func() { _ = server.Serve(e.health) }()
	go e.register(ctx)
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixLength {
			continue
		}
		// The prefix names this endpoint, or is 0 for any endpoint.
		if to := binary.BigEndian.Uint64(b); to != e.number && to != 0 {
			continue
		}
		if p, ok := decode(b[prefixLength:n]); ok {
			e.handle(&p)
		}
	}
}

// register writes the registration at each heartbeat.
func (e *endpoint) register(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		e.writeRegistration()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// writeRegistration writes the entry. The entry changes only if more than seq_no changes.
func (e *endpoint) writeRegistration() {
	e.mu.Lock()
	e.seqNo++
	written := e.registered
	e.registered = true
	entry := map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": 3,
		"state": "ready", "warmup_left_ms": 0, "seq_no": e.seqNo, "born": e.born,
	}
	e.mu.Unlock()
	b, err := json.Marshal(entry)
	if written || err != nil {
		return
	}
	e.store.Put("servers/"+e.id, b)
	e.d.rec.add("endpoint %s: registered", e.id)
}

func (e *endpoint) send(p packet) {
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), e.requesterPort))
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := flowID{requester: p.src, route: p.dst}
	f := e.flows[id]
	if f != nil {
		f.echo = p.echo
	}
	switch {
	case p.flags&flagRST != 0:
		delete(e.flows, id)
	case p.flags == flagSYN:
		e.handleSYN(id, f, p)
	case p.flags&flagSYN != 0:
		// Forged: endpoints do not open flows.
	case f == nil || (!f.opened && p.ack != f.seq+1):
		e.reset(p)
	case f.ended:
		e.handleEnded(p)
	default:
		if !f.opened {
			f.opened = true
			e.d.flowOpened(id, e)
		}
		e.handleOpen(id, f, p)
	}
}

func (e *endpoint) handleSYN(id flowID, f *endpointFlow, p *packet) {
	if f == nil || f.ended {
		f = &endpointFlow{seq: rand.Uint32(), next: p.seq + 1, echo: p.echo}
		e.flows[id] = f
	}
	e.send(packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagSYN | flagACK, seq: f.seq, ack: f.next})
}

// reset answers a packet of a flow that the endpoint does not hold.
func (e *endpoint) reset(p *packet) {
	e.d.rec.add("endpoint %s (%s): resets a flow that it does not hold, requester %s route %s", e.id, e.service, p.src, p.dst)
	e.send(packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagRST, seq: p.ack})
}

func (e *endpoint) handleEnded(p *packet) {
	if len(p.data) > 0 {
		e.reset(p)
		return
	}
	if p.flags&flagFIN != 0 {
		e.send(packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagACK, seq: p.ack, ack: p.seq + 1})
	}
}

func (e *endpoint) handleOpen(id flowID, f *endpointFlow, p *packet) {
	switch {
	case len(p.data) > 0 && p.seq == f.next && !f.running:
		f.running, f.next, f.response = true, p.seq+uint32(len(p.data)), nil
		request, size := parseRequest(p.data)
		e.d.requestRun(request, id, e)
		q := *p
		time.AfterFunc(e.work, func() { e.respond(f, &q, request, size) })
	case len(p.data) > 0:
		for _, a := range f.response {
			e.send(a)
		}
	}
	if p.flags&flagFIN != 0 {
		f.ended = true
		e.send(packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagFIN | flagACK, seq: p.ack, ack: p.seq + uint32(len(p.data)) + 1})
	}
}

func (e *endpoint) respond(f *endpointFlow, p *packet, request string, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.running = false
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Cactuspin-Response-Seal: %s/%s\r\n\r\n", size, e.service, request)
	body := append([]byte(text), make([]byte, size)...)
	e.d.rec.add("endpoint %s (%s): answers request %s", e.id, e.service, request)
	for seq := p.ack; len(body) > 0; {
		n := min(len(body), maxData)
		a := packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagACK, seq: seq, ack: f.next, data: body[:n]}
		f.response = append(f.response, a)
		e.send(a)
		seq += uint32(n)
		body = body[n:]
	}
}

// parseRequest returns the id of a request and the size of the body that it asks for.
func parseRequest(b []byte) (id string, size int) {
	for line := range strings.SplitSeq(string(b), "\r\n") {
		if x, ok := strings.CutPrefix(line, "X-Cactuspin-Request-Id: "); ok {
			id = x
		}
		if x, ok := strings.CutPrefix(line, "X-Size: "); ok {
			_, _ = fmt.Sscan(x, &size)
		}
	}
	return id, size
}

package netemulator

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// workTime is how long a target works on a request.
const workTime = 20 * time.Millisecond

// targetFlow is a flow at a target.
type targetFlow struct {
	seq, echo, got uint32
	answered       []packet
	busy           bool
}

// Target is a stand-in of a back end.
type Target struct {
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	store   *metastore.Store
	judge   *Oracle
	socket  *net.UDPConn
	probes  net.Listener
	// callerPort is where callers listen.
	callerPort uint16
	mu         sync.Mutex
	flows      map[netip.AddrPort]*targetFlow
	state      string
	beats      int
	requests   int
	down       bool
	// drained is when the target reported that it drains.
	drained time.Time
}

// newTarget opens a target's sockets and registers it.
func newTarget(number uint64, service, zone string, address netip.AddrPort, callerPort uint16, store *metastore.Store, judge *Oracle) (t *Target, err error) {
	defer func() { err = errors.Wrap(err, "new target") }()
	t = &Target{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, address: address,
		store: store, judge: judge, callerPort: callerPort, flows: map[netip.AddrPort]*targetFlow{}, state: "ready",
	}
	if t.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, errors.WithStack(err)
	}
	var n net.ListenConfig
	if t.probes, err = n.Listen(context.Background(), "tcp4", address.String()); err != nil {
		return nil, errors.WithStack(err)
	}
	t.register()
	return t, nil
}

func (t *Target) register() {
	t.beats++
	b, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 3,
		"state": t.state, "warmup_left_ms": 0, "seq_no": t.beats, "born": time.Now().UnixMilli(),
	})
	if err == nil {
		t.store.Put("servers/"+t.id, b)
	}
}

// run serves until the context ends.
func (t *Target) run(ctx context.Context) {
	context.AfterFunc(ctx, t.close)
	go accept(t.probes)
	b := make([]byte, 2048)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixLength || binary.BigEndian.Uint64(b) != t.number {
			continue
		}
		if p, ok := decode(b[prefixLength:n]); ok {
			t.handle(p)
		}
	}
}

func (t *Target) close() {
	_ = t.socket.Close()
	_ = t.probes.Close()
}

func (t *Target) send(p packet) {
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.to.Addr(), t.callerPort))
}

func (t *Target) handle(p packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	f := t.flows[p.from]
	switch {
	case p.flags&bitRST != 0:
		delete(t.flows, p.from)
	case p.flags == bitSYN:
		if !t.drained.IsZero() {
			t.judge.late(time.Since(t.drained))
		}
		if f == nil {
			f = &targetFlow{seq: rand.Uint32()}
			t.flows[p.from] = f
		}
		f.echo, f.got = p.echo, p.seq+1
		t.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitSYN | bitACK, seq: f.seq, ack: f.got})
	case f == nil:
		t.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitRST, seq: p.ack})
	case len(p.data) > 0:
		t.request(f, p)
	case p.flags&bitFIN != 0:
		delete(t.flows, p.from)
		t.send(packet{from: p.to, to: p.from, echo: p.echo, flags: bitFIN | bitACK, seq: p.ack, ack: p.seq + 1})
	}
}

// request takes a request; a copy gets the answer again.
func (t *Target) request(f *targetFlow, p packet) {
	if p.seq != f.got {
		for _, a := range f.answered {
			t.send(a)
		}
		return
	}
	if f.busy {
		return
	}
	f.busy = true
	t.requests++
	id, size := parseRequest(p.data)
	t.judge.ran(id, t.service)
	time.AfterFunc(workTime, func() { t.answer(f, p, size) })
}

func (t *Target) answer(f *targetFlow, p packet, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	f.busy = false
	f.got = p.seq + uint32(len(p.data))
	body := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)...)
	seq := p.ack
	f.answered = nil
	for len(body) > 0 {
		n := min(len(body), maxData)
		a := packet{from: p.to, to: p.from, echo: f.echo, flags: bitACK, seq: seq, ack: f.got, data: body[:n]}
		f.answered = append(f.answered, a)
		t.send(a)
		seq += uint32(n)
		body = body[n:]
	}
	if t.state != "ready" {
		t.send(packet{from: p.to, to: p.from, echo: f.echo, flags: bitFIN | bitACK, seq: seq, ack: f.got})
	}
}

// parseRequest returns the id of a request and the size of its answer.
func parseRequest(b []byte) (id string, size int) {
	for _, line := range bytes.Split(b, []byte("\r\n")) {
		if x, ok := bytes.CutPrefix(line, []byte("X-Cactuspin-Request-Id: ")); ok {
			id = string(x)
		}
		if x, ok := bytes.CutPrefix(line, []byte("X-Size: ")); ok {
			_, _ = fmt.Sscan(string(x), &size)
		}
	}
	return id, size
}

// Drain makes the target leave: it reports draining, serves on for a while and
// ends.
func (t *Target) Drain(serveOn time.Duration) {
	t.mu.Lock()
	t.state, t.drained = "draining", time.Now()
	t.register()
	t.mu.Unlock()
	time.AfterFunc(serveOn, func() {
		t.store.Remove("servers/" + t.id)
		t.judge.gone(t.address, 0)
		t.close()
	})
}

// lapseTime is three intervals of a target's reports.
const lapseTime = 3600 * time.Millisecond

// crash makes the target deaf and forget its flows. Its registration lapses, and
// it starts anew under its id.
func (t *Target) crash(ctx context.Context, down time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.state != "ready" {
		return
	}
	t.down, t.flows = true, map[netip.AddrPort]*targetFlow{}
	t.judge.gone(t.address, down)
	_ = t.probes.Close()
	if down > lapseTime {
		time.AfterFunc(lapseTime, func() { t.store.Remove("servers/" + t.id) })
	}
	time.AfterFunc(down, func() { t.restart(ctx) })
}

func (t *Target) restart(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp4", t.address.String())
	if err != nil {
		return
	}
	t.probes, t.down = l, false
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go accept(l)
	t.register()
}

// accept takes probes.
func accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

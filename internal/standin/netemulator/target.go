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

// workTime is how long a target takes to execute a request.
const workTime = 20 * time.Millisecond

// targetFlow is the state of a flow at a target.
type targetFlow struct {
	// initial is the sequence number of the flow's SYN, expected that of its next data.
	seq, cookie, initial, expected uint32
	response                       []packet
	processing                     bool
}

// Target emulates a back end.
type Target struct {
	id            string
	number        uint64
	service       string
	zone          string
	address       netip.AddrPort
	store         *metastore.Store
	oracle        *Oracle
	socket        *net.UDPConn
	probeListener net.Listener
	// callerPort is the port on which callers listen.
	callerPort uint16
	mu         sync.Mutex
	flows      map[netip.AddrPort]*targetFlow
	state      string
	// started is when the target last started.
	started  time.Time
	reports  int
	requests int
	down     bool
	// stopped reports that the target has drained and ended.
	stopped bool
	// drainingSince is when the target reported draining.
	drainingSince time.Time
}

// newTarget opens a target's sockets and registers it.
func newTarget(number uint64, service, zone string, address netip.AddrPort, callerPort uint16, store *metastore.Store, oracle *Oracle) (t *Target, err error) {
	defer func() { err = errors.Wrap(err, "new target") }()
	t = &Target{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, address: address,
		store: store, oracle: oracle, callerPort: callerPort, flows: map[netip.AddrPort]*targetFlow{}, state: "ready", started: time.Now(),
	}
	if t.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, errors.WithStack(err)
	}
	var listenConfig net.ListenConfig
	if t.probeListener, err = listenConfig.Listen(context.Background(), "tcp4", address.String()); err != nil {
		return nil, errors.WithStack(err)
	}
	t.register()
	return t, nil
}

func (t *Target) register() {
	t.reports++
	b, err := json.Marshal(t.registration())
	if err == nil {
		t.store.Put("servers/"+t.id, b)
	}
}

func (t *Target) registration() map[string]any {
	return map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 3,
		"state": t.state, "warmup_left_ms": 0, "seq_no": t.reports, "born": t.started.UnixMilli(),
	}
}

// run handles packets until the context ends.
func (t *Target) run(ctx context.Context) {
	context.AfterFunc(ctx, t.close)
	go acceptProbes(t.probeListener)
	b := make([]byte, 2048)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < targetPrefixLength || binary.BigEndian.Uint64(b) != t.number {
			continue
		}
		if p, ok := decode(b[targetPrefixLength:n]); ok {
			t.handlePacket(p)
		}
	}
}

func (t *Target) close() {
	_ = t.socket.Close()
	_ = t.probeListener.Close()
}

func (t *Target) send(p packet) {
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.to.Addr(), t.callerPort))
}

func (t *Target) handlePacket(p packet) {
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
		t.oracle.flowOpened(t.zone)
		if !t.drainingSince.IsZero() {
			t.oracle.flowOpenedWhileDraining(time.Since(t.drainingSince))
		}
		if f == nil || f.initial != p.seq {
			f = &targetFlow{seq: rand.Uint32(), initial: p.seq, expected: p.seq + 1}
			t.flows[p.from] = f
		}
		f.cookie = p.cookie
		t.send(packet{from: p.to, to: p.from, cookie: p.cookie, flags: bitSYN | bitACK, seq: f.seq, ack: p.seq + 1})
	case f == nil:
		t.send(packet{from: p.to, to: p.from, cookie: p.cookie, flags: bitRST, seq: p.ack})
	case len(p.data) > 0:
		t.handleRequest(f, p)
	case p.flags&bitFIN != 0:
		delete(t.flows, p.from)
		t.send(packet{from: p.to, to: p.from, cookie: p.cookie, flags: bitFIN | bitACK, seq: p.ack, ack: p.seq + 1})
	}
}

// handleRequest executes a request; a retransmission gets the same response again.
func (t *Target) handleRequest(f *targetFlow, p packet) {
	if p.seq != f.expected {
		for _, a := range f.response {
			t.send(a)
		}
		return
	}
	if f.processing {
		return
	}
	f.processing = true
	t.requests++
	id, size := parseRequest(p.data)
	t.oracle.requestExecuted(id, t.service)
	time.AfterFunc(workTime, func() { t.respond(f, p, size) })
}

func (t *Target) respond(f *targetFlow, p packet, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	f.processing = false
	f.expected = p.seq + uint32(len(p.data))
	body := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)...)
	seq := p.ack
	f.response = nil
	for len(body) > 0 {
		n := min(len(body), maxPayload)
		a := packet{from: p.to, to: p.from, cookie: f.cookie, flags: bitACK, seq: seq, ack: f.expected, data: body[:n]}
		f.response = append(f.response, a)
		t.send(a)
		seq += uint32(n)
		body = body[n:]
	}
	if t.state != "ready" {
		t.send(packet{from: p.to, to: p.from, cookie: f.cookie, flags: bitFIN | bitACK, seq: seq, ack: f.expected})
	}
}

// parseRequest returns the ID of a request and the size of its response.
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

// Drain drains the target: it reports draining, keeps serving for the given time, and
// then deregisters and stops.
func (t *Target) Drain(servingTime time.Duration) {
	t.mu.Lock()
	t.state, t.drainingSince = "draining", time.Now()
	t.register()
	t.mu.Unlock()
	time.AfterFunc(servingTime, func() {
		t.mu.Lock()
		t.stopped = true
		t.mu.Unlock()
		t.store.Remove("servers/" + t.id)
		t.oracle.targetStopped(t.address, 0)
		t.close()
	})
}

// registrationTimeout is three intervals of a target's reports.
const registrationTimeout = 3600 * time.Millisecond

// crash makes the target ignore packets and drop its flows. Its registration expires if
// the downtime is longer than registrationTimeout, and it restarts under the same ID.
func (t *Target) crash(ctx context.Context, downtime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.state != "ready" {
		return
	}
	t.down, t.flows = true, map[netip.AddrPort]*targetFlow{}
	t.oracle.targetStopped(t.address, downtime)
	_ = t.probeListener.Close()
	if downtime > registrationTimeout {
		time.AfterFunc(registrationTimeout, func() { t.store.Remove("servers/" + t.id) })
	}
	time.AfterFunc(downtime, func() { t.restart(ctx) })
}

func (t *Target) restart(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp4", t.address.String())
	if err != nil {
		return
	}
	t.probeListener, t.down, t.started = l, false, time.Now()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go acceptProbes(l)
	t.register()
}

// acceptProbes accepts and closes the connections of probes.
func acceptProbes(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

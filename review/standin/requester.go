package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of requesters.
const (
	openTimeout         = 1400 * time.Millisecond
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxAttempts         = 3
)

// synCopies are the times after the first SYN at which copies of it are sent.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

var (
	errSystemReset   = errors.New("reset by the system")
	errEndpointReset = errors.New("reset by an endpoint")
	errTimeout       = errors.New("time budget is over")
)

// requestKind is a kind of requests.
type requestKind struct {
	name, kind    string
	route         netip.AddrPort
	users, size   int
	longFlows     bool
	budget, pause time.Duration
}

// client is an address of requesters, with the flows of its users by port.
type client struct {
	d      *deployment
	zone   string
	ip     netip.Addr
	socket *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*requesterFlow
	nextPort uint16
}

// requesterFlow is a flow as its requester sees it.
type requesterFlow struct {
	c             *client
	id            flowID
	packets       chan packet
	seq, ack      uint32
	echo          uint32
	open, closing bool
	openedAt      time.Time
	lastSent      time.Time
}

func newClient(d *deployment, zone string, ip netip.Addr) (c *client, err error) {
	c = &client{d: d, zone: zone, ip: ip, flows: map[uint16]*requesterFlow{}, nextPort: 1024}
	c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.packetPort)))
	if err == nil {
		_ = c.socket.SetReadBuffer(4 << 20)
	}
	return c, err
}

// run receives packets until the context ends.
func (c *client) run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || p.src != f.id.route {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

func (c *client) newFlow(route netip.AddrPort) *requesterFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	f := &requesterFlow{c: c, packets: make(chan packet, 1024), seq: rand.Uint32()}
	f.id = flowID{requester: netip.AddrPortFrom(c.ip, c.nextPort), route: route}
	c.flows[c.nextPort] = f
	return f
}

func (f *requesterFlow) send(p packet) {
	p.src, p.dst = f.id.requester, f.id.route
	f.lastSent = time.Now()
	host := f.c.d.router.route(f.c.zone, p.src, p.dst)
	_, _ = f.c.socket.WriteToUDPAddrPort(p.encode(), host)
}

// drop forgets the flow.
func (f *requesterFlow) drop() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.id.requester.Port())
}

// openFlow opens the flow: SYN, two copies of it, and the wait for an answer.
func (f *requesterFlow) openFlow(deadline time.Time) error {
	began := time.Now()
	end := began.Add(openTimeout)
	if deadline.Before(end) {
		end = deadline
	}
	f.send(packet{flags: flagSYN, seq: f.seq})
	for copies := 0; ; {
		next := end
		if copies < len(synCopies) && began.Add(synCopies[copies]).Before(end) {
			next = began.Add(synCopies[copies])
		}
		select {
		case p := <-f.packets:
			switch {
			case p.flags&flagRST != 0:
				return resetError(&p)
			case p.flags == flagSYN|flagACK && p.ack == f.seq+1:
				f.seq, f.ack, f.echo, f.open, f.openedAt = f.seq+1, p.seq+1, p.echo, true, time.Now()
				return nil
			}
		case <-time.After(time.Until(next)):
			if next.Equal(end) {
				return errTimeout
			}
			copies++
			f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		}
	}
}

func resetError(p *packet) error {
	if p.sum == 0 {
		return errSystemReset
	}
	return errEndpointReset
}

// exchange sends a request on the open flow and returns the whole answer.
func (f *requesterFlow) exchange(request string, deadline time.Time) (answer string, err error) {
	first := packet{flags: flagACK, seq: f.seq, ack: f.ack, echo: f.echo, data: []byte(request)}
	f.send(first)
	f.seq += uint32(len(request))
	x := &reception{}
	interval := firstRetransmission
	retransmission := time.Now().Add(interval)
	for {
		next := deadline
		if len(x.body) == 0 && retransmission.Before(deadline) {
			next = retransmission
		}
		select {
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				return "", resetError(&p)
			}
			f.receive(x, &p)
			if whole(x.body) {
				return string(x.body), nil
			}
		case <-time.After(time.Until(next)):
			if next.Equal(deadline) {
				return "", errTimeout
			}
			f.send(first)
			interval = min(2*interval, maxRetransmission)
			retransmission = time.Now().Add(interval)
		}
	}
}

// reception is the part of an answer that has arrived.
type reception struct {
	body           []byte
	unacknowledged int
}

// receive adds a packet to the answer and acknowledges every second one.
func (f *requesterFlow) receive(x *reception, p *packet) {
	if p.flags&flagSYN != 0 {
		// A late answer to a copy of the SYN, possibly of another endpoint.
		return
	}
	f.echo = p.echo
	if p.flags&flagFIN != 0 {
		f.closing = true
	}
	if len(p.data) == 0 || p.seq != f.ack {
		return
	}
	x.body = append(x.body, p.data...)
	f.ack += uint32(len(p.data))
	if x.unacknowledged++; x.unacknowledged == 2 {
		x.unacknowledged = 0
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
	}
}

// whole reports whether an answer is complete.
func whole(b []byte) bool {
	head, body, found := strings.Cut(string(b), "\r\n\r\n")
	if !found {
		return false
	}
	size := -1
	for line := range strings.SplitSeq(head, "\r\n") {
		if x, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			_, _ = fmt.Sscan(x, &size)
		}
	}
	return len(body) == size
}

// user makes one request after the other.
type user struct {
	c    *client
	kind *requestKind
	name string
	flow *requesterFlow
}

func (u *user) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		u.request(fmt.Sprintf("%s-%d", u.name, n))
		pause := u.kind.pause/2 + rand.N(u.kind.pause)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		u.watchIdleFlow()
	}
}

// watchIdleFlow handles packets that came while the flow was idle.
func (u *user) watchIdleFlow() {
	for u.flow != nil {
		select {
		case p := <-u.flow.packets:
			switch {
			case p.flags&flagRST != 0:
				u.failed("", resetError(&p))
			case p.flags&flagFIN != 0:
				u.close()
			}
		default:
			return
		}
	}
}

// request makes a request and retries it where that is safe.
func (u *user) request(id string) {
	deadline := time.Now().Add(u.kind.budget)
	u.c.d.requestSent(id, u.kind)
	for attempt := 1; attempt <= maxAttempts && time.Now().Before(deadline); attempt++ {
		opened, err := u.attempt(fmt.Sprintf("%s.%d", id, attempt), deadline)
		if err == nil {
			u.c.d.requestServed(id)
			if !u.kind.longFlows || u.flow.closing || time.Since(u.flow.openedAt) > u.c.d.flowLifetime {
				u.close()
			}
			return
		}
		if opened && u.kind.kind == "non_idempotent" {
			break
		}
	}
	u.c.d.requestLost(id, u.kind)
}

func (u *user) attempt(id string, deadline time.Time) (opened bool, err error) {
	if u.flow == nil {
		u.flow = u.c.newFlow(u.kind.route)
		if err := u.flow.openFlow(deadline); err != nil {
			u.failed(id, err)
			return false, err
		}
	}
	text := fmt.Sprintf("GET /%s HTTP/1.1\r\nX-Cactuspin-Request-Id: %s\r\nX-Size: %d\r\n\r\n", u.kind.name, id, u.kind.size)
	u.c.d.rec.add("requester %s route %s: sends request %s", u.flow.id.requester, u.flow.id.route, id)
	answer, err := u.flow.exchange(text, deadline)
	if err != nil {
		u.failed(id, err)
		return true, err
	}
	u.c.d.answered(id, answer, u.flow.id)
	return true, nil
}

// failed ends the flow after a failure.
func (u *user) failed(id string, err error) {
	f := u.flow
	u.flow = nil
	f.drop()
	if f.open && errors.Is(err, errSystemReset) {
		u.c.d.openFlowReset(f, id)
		return
	}
	u.c.d.rec.add("requester %s route %s: request %s failed, flow open %t: %v", f.id.requester, f.id.route, id, f.open, err)
}

func (u *user) close() {
	f := u.flow
	u.flow = nil
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
	f.drop()
}

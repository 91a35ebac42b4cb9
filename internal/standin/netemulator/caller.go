package netemulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of a caller.
const (
	deadline   = 1500 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	firstWait  = 200 * time.Millisecond
	maxTries   = 3
	checkEvery = 500 * time.Millisecond
	// closeWait is how long a target's end of the flow may come after its answer.
	closeWait = 2 * time.Millisecond
)

// routers choose the host of a flow among those that are ready.
type routers struct {
	mu     sync.Mutex
	hosts  map[string][]*entryHost
	client *http.Client
}

// entryHost is where a host takes packets.
type entryHost struct {
	packets, ready netip.AddrPort
	misses         int
}

func (r *routers) run(ctx context.Context) {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		r.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *routers) check(ctx context.Context) {
	for _, zone := range r.hosts {
		for _, h := range zone {
			ok := r.isReady(ctx, h)
			r.mu.Lock()
			h.misses++
			if ok {
				h.misses = 0
			}
			r.mu.Unlock()
		}
	}
}

func (r *routers) isReady(ctx context.Context, h *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, checkEvery/2)
	defer cancel()
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

// route returns the host of a flow: the one with the highest hash.
func (r *routers) route(zone string, flow netip.AddrPort) (best netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []*entryHost
	for _, h := range r.hosts[zone] {
		if h.misses < 2 {
			up = append(up, h)
		}
	}
	if 2*len(up) < len(r.hosts[zone]) {
		up = r.hosts[zone]
	}
	var highest uint64
	for _, h := range up {
		x := fnv.New64a()
		_, _ = fmt.Fprint(x, flow, h.packets)
		if n := x.Sum64(); n >= highest {
			best, highest = h.packets, n
		}
	}
	return best
}

// caller is a stand-in of a caller. It does one thing at a time.
type caller struct {
	zone    string
	address netip.Addr
	service netip.AddrPort
	name    string
	repeat  bool
	keep    bool
	size    int
	routers *routers
	judge   *Oracle
	socket  *net.UDPConn
	packets chan packet
	port    atomic.Uint32
	// The open flow, and the target that took it.
	open     bool
	target   netip.AddrPort
	echo     uint32
	seq, ack uint32
}

var errReset = errors.New("reset")

func (c *caller) listen(port uint16) (err error) {
	c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, port)))
	if err != nil {
		return errors.Wrap(err, "caller")
	}
	c.packets = make(chan packet, 256)
	go func() {
		b := make([]byte, 2048)
		for {
			n, sender, err := c.socket.ReadFromUDPAddrPort(b)
			if err != nil {
				close(c.packets)
				return
			}
			if p, ok := decode(b[:n]); ok && p.to.Port() == uint16(c.port.Load()) {
				p.sender = sender
				c.packets <- p
			}
		}
	}()
	return nil
}

// run makes requests until the context ends.
func (c *caller) run(ctx context.Context, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		c.ask(ctx, fmt.Sprintf("%s-%s-%d", c.name, c.address, n))
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
	_ = c.socket.Close()
}

// ask makes one request, with tries where that is safe.
func (c *caller) ask(ctx context.Context, id string) {
	c.judge.asked(c.name)
	// A request that was begun is seen through when callers stop asking.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	began := time.Now()
	for try := 1; try <= maxTries && ctx.Err() == nil; try++ {
		sent, err := c.try(ctx, id, try)
		if err == nil {
			c.judge.served(c.name, time.Since(began))
			if !c.keep || c.closing() {
				c.close()
			}
			return
		}
		c.judge.noted(id, try, err)
		c.open = false
		if sent && !c.repeat {
			break
		}
	}
	c.judge.failed(c.name)
}

func (c *caller) try(ctx context.Context, id string, try int) (sent bool, err error) {
	if !c.open {
		if err := c.synchronise(ctx); err != nil {
			return false, err
		}
	}
	request := fmt.Appendf(nil, "GET / HTTP/1.1\r\nX-Cactuspin-Request-Id: %s.%d\r\nX-Service: %s\r\nX-Size: %d\r\n\r\n", id, try, c.name, c.size)
	return true, c.exchange(ctx, request)
}

func (c *caller) send(p packet) {
	p.from, p.to = netip.AddrPortFrom(c.address, uint16(c.port.Load())), c.service
	if h := c.routers.route(c.zone, p.from); h.IsValid() {
		_, _ = c.socket.WriteToUDPAddrPort(p.encode(), h)
	}
}

// synchronise opens a flow from a new port.
func (c *caller) synchronise(ctx context.Context) error {
	c.port.Add(1)
	c.seq, c.echo = rand.Uint32(), 0
	ctx, cancel := context.WithTimeout(ctx, openLimit)
	defer cancel()
	for i, wait := range []time.Duration{firstWait, 2 * firstWait, openLimit} {
		c.send(packet{flags: bitSYN, seq: c.seq, ack: uint32(i)})
		p, err := c.receive(ctx, wait, func(p packet) bool { return p.flags&bitSYN != 0 })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		c.open, c.echo, c.ack, c.target = true, p.echo, p.seq+1, p.sender
		c.seq++
		c.send(packet{flags: bitACK, echo: c.echo, seq: c.seq, ack: c.ack})
		return nil
	}
	return context.DeadlineExceeded
}

// exchange sends a request, again while there is no answer, and takes the whole
// answer.
func (c *caller) exchange(ctx context.Context, request []byte) error {
	var answer []byte
	for wait := firstWait; ; wait *= 2 {
		if len(answer) == 0 {
			c.send(packet{flags: bitACK, echo: c.echo, seq: c.seq, ack: c.ack, data: request})
		}
		p, err := c.receive(ctx, wait, func(p packet) bool { return len(p.data) > 0 && p.seq == c.ack })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		for {
			answer = append(answer, p.data...)
			c.ack += uint32(len(p.data))
			c.echo = p.echo
			if whole(answer) {
				c.seq += uint32(len(request))
				c.send(packet{flags: bitACK, echo: c.echo, seq: c.seq, ack: c.ack})
				return nil
			}
			if p, err = c.receive(ctx, deadline, func(p packet) bool { return len(p.data) > 0 && p.seq == c.ack }); err != nil {
				return err
			}
		}
	}
}

// whole tells whether an answer has all its bytes.
func whole(b []byte) bool {
	var size int
	head := len("HTTP/1.1 200 OK\r\nContent-Length: ")
	if len(b) < head {
		return false
	}
	n, err := fmt.Sscan(string(b[head:min(len(b), head+10)]), &size)
	if n != 1 || err != nil {
		return false
	}
	return len(b) >= len(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size))+size
}

// receive returns the next packet of the flow that is wanted.
func (c *caller) receive(ctx context.Context, wait time.Duration, want func(packet) bool) (p packet, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return p, ctx.Err()
		case p, ok := <-c.packets:
			switch {
			case !ok:
				return p, net.ErrClosed
			case p.to.Port() != uint16(c.port.Load()):
			case p.flags&bitRST != 0:
				if c.open && p.sender != c.target {
					c.judge.reset(c.target)
				}
				return p, errReset
			case want(p):
				return p, nil
			}
		}
	}
}

// closing tells whether the target closes the flow.
func (c *caller) closing() bool {
	for {
		select {
		case p, ok := <-c.packets:
			if !ok || (p.to.Port() == uint16(c.port.Load()) && p.flags&(bitFIN|bitRST) != 0) {
				return true
			}
		case <-time.After(closeWait):
			return false
		}
	}
}

func (c *caller) close() {
	c.send(packet{flags: bitFIN | bitACK, echo: c.echo, seq: c.seq, ack: c.ack})
	c.open = false
}

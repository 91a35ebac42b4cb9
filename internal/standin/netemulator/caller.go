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

// Time limits of a caller.
const (
	deadline                 = 1500 * time.Millisecond
	openTimeout              = 1400 * time.Millisecond
	initialRetransmitTimeout = 200 * time.Millisecond
	maxAttempts              = 3
	checkInterval            = 500 * time.Millisecond
	// closeTimeout is how long a caller waits after a response for the target to close
	// the flow.
	closeTimeout = 2 * time.Millisecond
)

// routers select the host of a flow among those that are ready.
type routers struct {
	mu     sync.Mutex
	hosts  map[string][]*entryHost
	client *http.Client
}

// entryHost holds the addresses of a host and the state of its readiness checks.
type entryHost struct {
	packetAddress, readyAddress netip.AddrPort
	failedChecks                int
}

func (r *routers) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
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
			h.failedChecks++
			if ok {
				h.failedChecks = 0
			}
			r.mu.Unlock()
		}
	}
}

func (r *routers) isReady(ctx context.Context, h *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, checkInterval/2)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress.String()+"/ready", nil)
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

// route returns the host of a flow by rendezvous hashing: the one with the highest
// hash.
func (r *routers) route(zone string, flow netip.AddrPort) (best netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []*entryHost
	for _, h := range r.hosts[zone] {
		if h.failedChecks < 2 {
			ready = append(ready, h)
		}
	}
	if 2*len(ready) < len(r.hosts[zone]) {
		ready = r.hosts[zone]
	}
	var highest uint64
	for _, h := range ready {
		x := fnv.New64a()
		_, _ = fmt.Fprint(x, flow, h.packetAddress)
		if n := x.Sum64(); n >= highest {
			best, highest = h.packetAddress, n
		}
	}
	return best
}

// caller emulates a caller. It makes one request at a time.
type caller struct {
	zone         string
	address      netip.Addr
	service      netip.AddrPort
	name         string
	idempotent   bool
	keepAlive    bool
	responseSize int
	routers      *routers
	oracle       *Oracle
	socket       *net.UDPConn
	packets      chan packet
	port         atomic.Uint32
	// The state of the open flow, and the target that accepted it.
	open     bool
	target   netip.AddrPort
	cookie   uint32
	seq, ack uint32
}

var errReset = errors.New("reset")

func (c *caller) listen(port uint16) (err error) {
	c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, port)))
	if err != nil {
		return errors.Wrap(err, "open caller socket")
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
		c.request(ctx, fmt.Sprintf("%s-%s-%d", c.name, c.address, n))
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
	_ = c.socket.Close()
}

// request makes one request and retries it where that is safe.
func (c *caller) request(ctx context.Context, id string) {
	c.oracle.requestStarted(c.name)
	// A request in progress is completed even after the run has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	startedAt := time.Now()
	for attempt := 1; attempt <= maxAttempts && ctx.Err() == nil; attempt++ {
		sent, err := c.attempt(ctx, id, attempt)
		if err == nil {
			c.oracle.requestServed(c.name, time.Since(startedAt))
			if !c.keepAlive || c.targetClosed() {
				c.close()
			}
			return
		}
		c.oracle.recordFailedTry(id, attempt, err)
		c.open = false
		if sent && !c.idempotent {
			break
		}
	}
	c.oracle.requestFailed(c.name)
}

func (c *caller) attempt(ctx context.Context, id string, attempt int) (sent bool, err error) {
	if !c.open {
		if err := c.openFlow(ctx); err != nil {
			return false, err
		}
	}
	request := fmt.Appendf(nil, "GET / HTTP/1.1\r\nX-Cactuspin-Request-Id: %s.%d\r\nX-Service: %s\r\nX-Size: %d\r\n\r\n", id, attempt, c.name, c.responseSize)
	return true, c.exchange(ctx, request)
}

func (c *caller) send(p packet) {
	p.from, p.to = netip.AddrPortFrom(c.address, uint16(c.port.Load())), c.service
	if h := c.routers.route(c.zone, p.from); h.IsValid() {
		_, _ = c.socket.WriteToUDPAddrPort(p.encode(), h)
	}
}

// openFlow opens a flow from a new port.
func (c *caller) openFlow(ctx context.Context) error {
	c.port.Add(1)
	c.seq, c.cookie = rand.Uint32(), 0
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for i, timeout := range []time.Duration{initialRetransmitTimeout, 2 * initialRetransmitTimeout, openTimeout} {
		c.send(packet{flags: bitSYN, seq: c.seq, ack: uint32(i)})
		p, err := c.receive(ctx, timeout, func(p packet) bool { return p.flags&bitSYN != 0 })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		c.open, c.cookie, c.ack, c.target = true, p.cookie, p.seq+1, p.sender
		c.seq++
		c.send(packet{flags: bitACK, cookie: c.cookie, seq: c.seq, ack: c.ack})
		return nil
	}
	return context.DeadlineExceeded
}

// exchange sends a request, retransmits it until a response begins, and receives the
// whole response.
func (c *caller) exchange(ctx context.Context, request []byte) error {
	var response []byte
	for timeout := initialRetransmitTimeout; ; timeout *= 2 {
		if len(response) == 0 {
			c.send(packet{flags: bitACK, cookie: c.cookie, seq: c.seq, ack: c.ack, data: request})
		}
		p, err := c.receive(ctx, timeout, func(p packet) bool { return len(p.data) > 0 && p.seq == c.ack })
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		for {
			response = append(response, p.data...)
			c.ack += uint32(len(p.data))
			c.cookie = p.cookie
			if complete(response) {
				c.seq += uint32(len(request))
				c.send(packet{flags: bitACK, cookie: c.cookie, seq: c.seq, ack: c.ack})
				return nil
			}
			if p, err = c.receive(ctx, deadline, func(p packet) bool { return len(p.data) > 0 && p.seq == c.ack }); err != nil {
				return err
			}
		}
	}
}

// complete reports whether a response has all its bytes.
func complete(b []byte) bool {
	var size int
	prefix := len("HTTP/1.1 200 OK\r\nContent-Length: ")
	if len(b) < prefix {
		return false
	}
	n, err := fmt.Sscan(string(b[prefix:min(len(b), prefix+10)]), &size)
	if n != 1 || err != nil {
		return false
	}
	return len(b) >= len(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size))+size
}

// receive returns the next packet of the flow that matches.
func (c *caller) receive(ctx context.Context, timeout time.Duration, match func(packet) bool) (p packet, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
					c.oracle.checkReset(c.target)
				}
				return p, errReset
			case match(p):
				return p, nil
			}
		}
	}
}

// targetClosed reports whether the target closes the flow within closeTimeout.
func (c *caller) targetClosed() bool {
	for {
		select {
		case p, ok := <-c.packets:
			if !ok || (p.to.Port() == uint16(c.port.Load()) && p.flags&(bitFIN|bitRST) != 0) {
				return true
			}
		case <-time.After(closeTimeout):
			return false
		}
	}
}

func (c *caller) close() {
	c.send(packet{flags: bitFIN | bitACK, cookie: c.cookie, seq: c.seq, ack: c.ack})
	c.open = false
}

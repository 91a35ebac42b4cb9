package soak_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy is a TCP proxy on loopback that injects faults into the connections through it.
type proxy struct {
	listener net.Listener
	backend  string
	mu       sync.Mutex
	open     map[net.Conn]bool
	delay    time.Duration
	// dropAll discards data in both directions, dropResponses only data from the
	// backend.
	dropAll, dropResponses bool
}

func newProxy(ctx context.Context, listenAddress, backend netip.AddrPort) (p *proxy, err error) {
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp4", listenAddress.String())
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: l, backend: backend.String(), open: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		p.reset()
	})
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) accept(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		s, err := d.DialContext(ctx, "tcp4", p.backend)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.open[c], p.open[s] = true, true
		p.mu.Unlock()
		go p.copy(c, s, false)
		go p.copy(s, c, true)
	}
}

func (p *proxy) copy(from, to net.Conn, responses bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		delay, drop := p.delay, p.dropAll || (p.dropResponses && responses)
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			break
		}
	}
	_, _ = from.Close(), to.Close()
	p.mu.Lock()
	delete(p.open, from)
	p.mu.Unlock()
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// disrupt applies a fault to all connections and reverts it after d.
func (p *proxy) disrupt(set func(p *proxy), d time.Duration) {
	p.mu.Lock()
	set(p)
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.delay, p.dropAll, p.dropResponses = 0, false, false
	})
}

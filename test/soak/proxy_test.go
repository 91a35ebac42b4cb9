package soak_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy is a TCP proxy on loopback that harms the connections through it.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	open     map[net.Conn]bool
	delay    time.Duration
	// silent drops what goes through in both directions, oneWay only answers.
	silent, oneWay bool
}

func newProxy(ctx context.Context, at, to netip.AddrPort) (p *proxy, err error) {
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp4", at.String())
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: l, to: to.String(), open: map[net.Conn]bool{}}
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
		s, err := d.DialContext(ctx, "tcp4", p.to)
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

func (p *proxy) copy(from, to net.Conn, answers bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		delay, drop := p.delay, p.silent || (p.oneWay && answers)
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

// reset ends all connections by a reset.
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

// harm sets what is done to connections until it is undone.
func (p *proxy) harm(set func(p *proxy), d time.Duration) {
	p.mu.Lock()
	set(p)
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.delay, p.silent, p.oneWay = 0, false, false
	})
}

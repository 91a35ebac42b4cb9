// Package dialer maintains the connections to the targets: CoAP over TCP.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/translator"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// dialTimeout limits how long opening a connection may take.
const dialTimeout = 1 * time.Second

// writeTimeout limits how long one write to a target may take.
const writeTimeout = 2 * time.Second

// queueLength is how many messages are queued for one connection.
const queueLength = 1024

// Config configures a Dialer.
type Config struct {
	driver.Common
	Host   cactuspin.Host
	Handle driver.Handler
}

// Dialer holds the connections to the targets.
type Dialer struct {
	cfg   Config
	ctx   context.Context
	group *errgroup.Group
	done  chan error

	mu    sync.Mutex
	conns map[cactuspin.Target]*connection
}

// New returns a Dialer without connections.
func New(c Config) *Dialer {
	return &Dialer{cfg: c, conns: make(map[cactuspin.Target]*connection), done: make(chan error, 1)}
}

// Start enables connections until the context ends. Done reports when they have
// ended.
func (d *Dialer) Start(ctx context.Context) {
	d.group, d.ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		<-d.ctx.Done()
		d.closeAll()
		return nil
	})
	go func() { d.done <- d.group.Wait() }()
}

// Done returns a channel that reports the end of all connections.
func (d *Dialer) Done() <-chan error { return d.done }

// Send queues a message. It returns false if the message will certainly not be
// sent.
func (d *Dialer) Send(s cactuspin.TargetSend) bool {
	d.mu.Lock()
	c := d.conns[s.Target]
	d.mu.Unlock()
	if c == nil {
		return false
	}
	return c.enqueue(queuedMessage{send: s})
}

// Control opens, pings or closes a connection.
func (d *Dialer) Control(x cactuspin.TargetControl) {
	switch x.Kind {
	case cactuspin.TargetDial:
		d.dial(x.Target)
	case cactuspin.TargetPing:
		d.mu.Lock()
		c := d.conns[x.Target]
		d.mu.Unlock()
		if c != nil {
			c.enqueue(queuedMessage{ping: true})
		}
	case cactuspin.TargetClose:
		d.mu.Lock()
		c := d.conns[x.Target]
		delete(d.conns, x.Target)
		d.mu.Unlock()
		if c != nil {
			c.close()
		}
	}
}

func (d *Dialer) dial(t cactuspin.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[t] != nil || d.ctx.Err() != nil {
		return
	}
	c := &connection{dialer: d, target: t, queue: make(chan queuedMessage, queueLength), closed: make(chan struct{})}
	d.conns[t] = c
	d.group.Go(func() error {
		c.run(d.ctx)
		return nil
	})
}

// remove removes a connection and reports whether it was still the current one of
// its target.
func (d *Dialer) remove(c *connection) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[c.target] != c {
		return false
	}
	delete(d.conns, c.target)
	return true
}

func (d *Dialer) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.close()
	}
}

// signal reports an event to the host.
func (d *Dialer) signal(s cactuspin.TargetSignal) {
	d.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) { d.cfg.Host.Target(now, s, out) })
}

// connect opens a TCP connection and sends the CSM, the capabilities and settings
// message (RFC 8323, section 5.3).
func connect(ctx context.Context, t cactuspin.Target) (conn net.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", t) }()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err = dialer.DialContext(ctx, "tcp", t.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := translator.EncodeCSM()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(b); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return conn, nil
}

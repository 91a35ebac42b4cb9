// Package dialer drives the connections to the targets: CoAP over TCP.
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

// dialTimeout bounds the opening of a connection.
const dialTimeout = 1 * time.Second

// writeTimeout bounds one write to a target.
const writeTimeout = 2 * time.Second

// queueLength is how many messages wait for one connection.
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

// Start lets connections be opened until the context ends, which is reported on
// Done.
func (d *Dialer) Start(ctx context.Context) {
	d.group, d.ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		<-d.ctx.Done()
		d.closeAll()
		return nil
	})
	go func() { d.done <- d.group.Wait() }()
}

// Done reports the end of all connections.
func (d *Dialer) Done() <-chan error { return d.done }

// Send queues a message. It returns false when the message certainly does not
// leave.
func (d *Dialer) Send(s cactuspin.TargetSend) bool {
	d.mu.Lock()
	c := d.conns[s.Target]
	d.mu.Unlock()
	if c == nil {
		return false
	}
	return c.enqueue(item{send: s})
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
			c.enqueue(item{ping: true})
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
	c := &connection{dialer: d, target: t, queue: make(chan item, queueLength), closed: make(chan struct{})}
	d.conns[t] = c
	d.group.Go(func() error {
		c.run(d.ctx)
		return nil
	})
}

// forget removes a connection and tells whether it was still the current one.
func (d *Dialer) forget(c *connection) bool {
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

// signal tells the host of an event.
func (d *Dialer) signal(s cactuspin.TargetSignal) {
	d.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) { d.cfg.Host.Target(now, s, out) })
}

// connect opens a socket and sends the settings message.
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

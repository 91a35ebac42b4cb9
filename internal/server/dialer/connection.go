package dialer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/translator"
)

// item is a message in the queue of a connection.
type item struct {
	send cactuspin.TargetSend
	ping bool
	pong []byte
}

// connection is one connection to a target. It is used once.
type connection struct {
	dialer *Dialer
	target cactuspin.Target
	queue  chan item
	once   sync.Once
	closed chan struct{}

	mu    sync.Mutex
	ended bool
}

// enqueue returns false when the connection has ended or its queue is full.
func (c *connection) enqueue(i item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	select {
	case c.queue <- i:
		return true
	default:
		return false
	}
}

func (c *connection) close() { c.once.Do(func() { close(c.closed) }) }

// run opens the connection, carries messages and reports its end. What was
// still queued is reported as not sent before that.
func (c *connection) run(ctx context.Context) {
	err := c.carry(ctx)
	c.close()
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.returnQueue()
	if c.dialer.forget(c) {
		c.dialer.signal(cactuspin.TargetSignal{Target: c.target, Kind: cactuspin.SignalDisconnected})
	}
	c.dialer.cfg.Logger.Debug("dialer: connection ended", slog.String("target", c.target.String()), slog.Any("error", err))
}

func (c *connection) carry(ctx context.Context) error {
	conn, err := connect(ctx, c.target)
	if err != nil {
		return err
	}
	c.dialer.signal(cactuspin.TargetSignal{Target: c.target, Kind: cactuspin.SignalConnected})
	reader := make(chan error, 1)
	go func() { reader <- c.read(conn) }()
	err = c.write(conn)
	return errors.CombineErrors(err, errors.CombineErrors(conn.Close(), <-reader))
}

// write sends what is queued until the connection is closed.
func (c *connection) write(conn net.Conn) error {
	for {
		select {
		case <-c.closed:
			return nil
		case i := <-c.queue:
			if err := c.writeItem(conn, i); err != nil {
				return err
			}
		}
	}
}

// writeItem checks the deadline right before the write: the process may have
// been paused since the decision.
func (c *connection) writeItem(conn net.Conn, i item) (err error) {
	var b []byte
	now := c.dialer.cfg.Clock()
	switch {
	case i.ping:
		b, err = translator.EncodePing()
	case i.pong != nil:
		b, err = translator.EncodePong(i.pong)
	case i.send.NotAfter != 0 && now >= i.send.NotAfter:
		c.notSent(i)
		return nil
	default:
		b, err = translator.EncodeRequest(&i.send, i.send.NotAfter.Sub(now))
		if err != nil {
			c.notSent(i)
			return nil
		}
	}
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	_, err = conn.Write(b)
	return errors.WithStack(err)
}

// read takes messages of the target until the connection ends.
func (c *connection) read(conn net.Conn) error {
	defer c.close()
	buf := make([]byte, 0, translator.MaxFrameLength)
	chunk := make([]byte, translator.MaxFrameLength)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return errors.WithStack(err)
		}
		buf = append(buf, chunk[:n]...)
		if buf, err = c.takeFrames(buf); err != nil {
			return err
		}
	}
}

// takeFrames handles all whole messages in b and returns the rest.
func (c *connection) takeFrames(b []byte) (rest []byte, err error) {
	used := 0
	for used < len(b) {
		f, n, err := translator.DecodeFrame(c.target, b[used:])
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		used += n
		c.takeFrame(f)
	}
	return append(b[:0], b[used:]...), nil
}

func (c *connection) takeFrame(f translator.Frame) {
	switch {
	case f.Ignored:
	case f.Ping:
		c.enqueue(item{pong: append([]byte{}, f.Token...)})
	default:
		c.dialer.signal(f.Signal)
	}
}

func (c *connection) returnQueue() {
	for {
		select {
		case i := <-c.queue:
			c.notSent(i)
		default:
			return
		}
	}
}

func (c *connection) notSent(i item) {
	if i.ping || i.pong != nil {
		return
	}
	c.dialer.signal(cactuspin.TargetSignal{
		Target:   c.target,
		Kind:     cactuspin.SignalNotSent,
		Exchange: i.send.Exchange,
	})
}

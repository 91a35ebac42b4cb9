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

// queuedMessage is a message in the queue of a connection: a request, a ping or a
// pong.
type queuedMessage struct {
	send cactuspin.TargetSend
	ping bool
	pong []byte
}

// connection is one connection to a target. It is not opened again after it ended.
type connection struct {
	dialer *Dialer
	target cactuspin.Target
	queue  chan queuedMessage
	once   sync.Once
	closed chan struct{}

	mu    sync.Mutex
	ended bool
}

// enqueue queues a message. It returns false if the connection has ended or its
// queue is full.
func (c *connection) enqueue(m queuedMessage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	select {
	case c.queue <- m:
		return true
	default:
		return false
	}
}

func (c *connection) close() { c.once.Do(func() { close(c.closed) }) }

// run opens the connection, transfers messages and reports the connection's end.
// Before that it reports the messages still queued as not sent.
func (c *connection) run(ctx context.Context) {
	err := c.serve(ctx)
	c.close()
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.reportQueueNotSent()
	if c.dialer.remove(c) {
		c.dialer.signal(cactuspin.TargetSignal{Target: c.target, Kind: cactuspin.SignalDisconnected})
	}
	c.dialer.cfg.Logger.Debug("dialer: connection ended", slog.String("target", c.target.String()), slog.Any("error", err))
}

func (c *connection) serve(ctx context.Context) error {
	conn, err := connect(ctx, c.target)
	if err != nil {
		return err
	}
	c.dialer.signal(cactuspin.TargetSignal{Target: c.target, Kind: cactuspin.SignalConnected})
	readResult := make(chan error, 1)
	go func() { readResult <- c.read(conn) }()
	err = c.write(conn)
	return errors.CombineErrors(err, errors.CombineErrors(conn.Close(), <-readResult))
}

// write sends the queued messages until the connection is closed.
func (c *connection) write(conn net.Conn) error {
	for {
		select {
		case <-c.closed:
			return nil
		case m := <-c.queue:
			if err := c.writeMessage(conn, m); err != nil {
				return err
			}
		}
	}
}

// writeMessage checks the deadline right before the write, because the process may
// have been paused since the host decided to send the message.
func (c *connection) writeMessage(conn net.Conn, m queuedMessage) (err error) {
	var b []byte
	now := c.dialer.cfg.Clock()
	switch {
	case m.ping:
		b, err = translator.EncodePing()
	case m.pong != nil:
		b, err = translator.EncodePong(m.pong)
	case m.send.NotAfter != 0 && now >= m.send.NotAfter:
		c.reportNotSent(m)
		return nil
	default:
		b, err = translator.EncodeRequest(&m.send, m.send.NotAfter.Sub(now))
		if err != nil {
			c.reportNotSent(m)
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

// read handles messages from the target until the connection ends.
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
		if buf, err = c.handleFrames(buf); err != nil {
			return err
		}
	}
}

// handleFrames handles all complete messages in b and returns the rest.
func (c *connection) handleFrames(b []byte) (rest []byte, err error) {
	consumed := 0
	for consumed < len(b) {
		f, n, err := translator.DecodeFrame(c.target, b[consumed:])
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		consumed += n
		c.handleFrame(f)
	}
	return append(b[:0], b[consumed:]...), nil
}

func (c *connection) handleFrame(f translator.Frame) {
	switch {
	case f.Ignored:
	case f.Ping:
		c.enqueue(queuedMessage{pong: append([]byte{}, f.Token...)})
	default:
		c.dialer.signal(f.Signal)
	}
}

func (c *connection) reportQueueNotSent() {
	for {
		select {
		case m := <-c.queue:
			c.reportNotSent(m)
		default:
			return
		}
	}
}

func (c *connection) reportNotSent(m queuedMessage) {
	if m.ping || m.pong != nil {
		return
	}
	c.dialer.signal(cactuspin.TargetSignal{
		Target:   c.target,
		Kind:     cactuspin.SignalNotSent,
		Exchange: m.send.Exchange,
	})
}

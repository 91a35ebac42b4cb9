// Package listener receives callers' datagrams from the fabric and sends answers
// to it.
package listener

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/translator"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// receiveBufferSize is the size of the socket's receive buffer in bytes.
const receiveBufferSize = 8 << 20

// Config configures a Listener.
type Config struct {
	driver.Common
	// Address is the local address to which the fabric sends datagrams.
	Address netip.AddrPort
	// Fabrics are the addresses to which answers are sent in turn.
	Fabrics []netip.AddrPort
	// Readers is the number of goroutines that read datagrams.
	Readers int
	Host    cactuspin.Host
	Handle  driver.Handler
}

// Listener receives and sends datagrams on the socket to the fabric.
type Listener struct {
	cfg        Config
	conn       *net.UDPConn
	nextFabric atomic.Uint32
	dropped    atomic.Uint64
	done       chan error
}

// New returns a Listener with an open socket.
func New(c Config) (l *Listener, err error) {
	defer func() { err = errors.Wrap(err, "new listener") }()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Listener{cfg: c, conn: conn, done: make(chan error, 1)}, nil
}

// Start reads datagrams until the context ends. Done reports the end.
func (l *Listener) Start(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	for range max(1, l.cfg.Readers) {
		g.Go(func() error { return l.read(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return l.conn.Close()
	})
	go func() { l.done <- g.Wait() }()
}

// Done returns a channel that reports the end of the listener.
func (l *Listener) Done() <-chan error { return l.done }

// Dropped returns the number of datagrams that could not be decoded.
func (l *Listener) Dropped() uint64 { return l.dropped.Load() }

func (l *Listener) read(ctx context.Context) error {
	buf := make([]byte, translator.MaxDatagramLength+1)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read datagram")
		}
		if err := l.handleDatagram(buf[:n]); err != nil {
			l.dropped.Add(1)
			l.cfg.Logger.Debug("listener: datagram dropped", slog.Any("error", err))
		}
	}
}

func (l *Listener) handleDatagram(b []byte) error {
	if len(b) > translator.MaxDatagramLength {
		return errors.New("datagram is too large")
	}
	caller, service, body, err := translator.Unwrap(b)
	if err != nil {
		return err
	}
	r, err := translator.Decode(caller, service, body)
	if err != nil {
		return err
	}
	l.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) {
		if r.Request != nil {
			l.cfg.Host.Request(now, *r.Request, out)
			return
		}
		l.cfg.Host.Acknowledge(now, *r.Acknowledgement, out)
	})
	return nil
}

// Send sends an answer to the fabric. There is no retry after an error, because the
// caller repeats its request.
func (l *Listener) Send(a *cactuspin.Answer) error {
	b, err := translator.EncodeAnswer(a)
	if err != nil {
		return err
	}
	to := l.cfg.Fabrics[int(l.nextFabric.Add(1))%len(l.cfg.Fabrics)]
	_, err = l.conn.WriteToUDPAddrPort(b, to)
	return errors.Wrap(err, "send answer")
}

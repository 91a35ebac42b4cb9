// Package forwarder forwards callers' packets to targets: it reads them from the
// fabric, asks the balancer for a verdict and sends them on. This path never waits
// for anything else.
package forwarder

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// receiveBufferSize is the size of the socket's receive buffer in bytes. It holds
// one second of packets at a few thousand packets per second.
const receiveBufferSize = 2 << 20

// Config configures a Forwarder.
type Config struct {
	driver.Common
	// Address receives packets from the fabric. Callers receive packets at the same
	// port.
	Address  netip.AddrPort
	Format   cactuspin.PacketFormat
	Balancer cactuspin.Balancer
	// Ready is closed when the balancer can decide. Until then, packets wait in the
	// receive buffer of the socket.
	Ready <-chan struct{}
	// Observe is called with the verdict on each packet b. It must not block.
	Observe func(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict, b []byte)
}

// Forwarder forwards packets.
type Forwarder struct {
	cfg        Config
	socket     *net.UDPConn
	done       chan error
	lastPacket atomic.Int64
	malformed  atomic.Uint64
	unsent     atomic.Uint64
}

// New returns a Forwarder and opens its socket.
func New(c Config) (f *Forwarder, err error) {
	defer func() { err = errors.Wrap(err, "create forwarder") }()
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := s.SetReadBuffer(receiveBufferSize); err != nil {
		c.Logger.Warn("packets: receive buffer not set", slog.Any("error", err))
	}
	return &Forwarder{cfg: c, socket: s, done: make(chan error, 1)}, nil
}

// Start forwards packets until the context ends, which is reported on Done.
func (f *Forwarder) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	go func() { f.done <- f.run(ctx) }()
}

// Done returns the channel that reports the end of forwarding.
func (f *Forwarder) Done() <-chan error { return f.done }

// LastPacketTime returns when the last well-formed packet arrived.
func (f *Forwarder) LastPacketTime() cactuspin.Time { return cactuspin.Time(f.lastPacket.Load()) }

// Malformed returns the number of packets that could not be parsed.
func (f *Forwarder) Malformed() uint64 { return f.malformed.Load() }

// Unsent returns the number of packets that could not be sent.
func (f *Forwarder) Unsent() uint64 { return f.unsent.Load() }

func (f *Forwarder) run(ctx context.Context) error {
	select {
	case <-f.cfg.Ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	b := make([]byte, cactuspin.TargetPrefixLength+cactuspin.MaxPacketLength)
	var p cactuspin.Packet
	var failures driver.ReadFailures
	for {
		n, _, err := f.socket.ReadFromUDPAddrPort(b[cactuspin.TargetPrefixLength:])
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			first, broken := failures.Add(err)
			if broken != nil {
				return errors.Wrap(broken, "read packets")
			}
			if first {
				f.cfg.Logger.Warn("packets: read failed", slog.Any("error", err))
			}
			continue
		}
		failures.Reset()
		f.handle(b[:cactuspin.TargetPrefixLength+n], &p)
	}
}

// handle balances the packet that follows the first TargetPrefixLength bytes of b.
func (f *Forwarder) handle(b []byte, p *cactuspin.Packet) {
	packet := b[cactuspin.TargetPrefixLength:]
	if err := f.cfg.Format.Parse(packet, p); err != nil {
		if f.malformed.Add(1) == 1 {
			f.cfg.Logger.Warn("packets: malformed packet", slog.Int("bytes", len(packet)))
		}
		return
	}
	now := f.cfg.Clock()
	f.lastPacket.Store(int64(now))
	v := f.cfg.Balancer.Steer(now, p)
	var err error
	switch v.Kind {
	case cactuspin.VerdictForward:
		if v.Cookie != 0 {
			f.cfg.Format.PutCookie(packet, v.Cookie)
		}
		f.cfg.Format.PutTarget(b, v.TargetNumber)
		_, err = f.socket.WriteToUDPAddrPort(b, v.TargetAddress)
	case cactuspin.VerdictReset:
		err = f.sendReset(p)
	case cactuspin.VerdictDrop:
	}
	if err != nil {
		f.unsent.Add(1)
	}
	f.cfg.Observe(now, p, &v, packet)
}

// Reset resets an open flow at its caller, who has acknowledged the given number.
func (f *Forwarder) Reset(caller, service netip.AddrPort, acknowledgement uint32) {
	p := cactuspin.Packet{Caller: caller, Service: service, Flags: cactuspin.FlagACK, Acknowledgement: acknowledgement}
	if f.sendReset(&p) != nil {
		f.unsent.Add(1)
	}
}

// sendReset resets the flow of the caller's packet p.
func (f *Forwarder) sendReset(p *cactuspin.Packet) error {
	var reset [cactuspin.MaxPacketLength]byte
	to := netip.AddrPortFrom(p.Caller.Addr(), f.cfg.Address.Port())
	_, err := f.socket.WriteToUDPAddrPort(f.cfg.Format.AppendReset(reset[:0], p), to)
	return err
}

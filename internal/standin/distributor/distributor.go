// Package distributor stands in for the fabric: it hands each datagram of a caller to
// any host and brings answers back. Delay, loss, doubling and reordering can be
// set.
package distributor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin/internal/edge/translator"
)

// receiveBuffer is the size of each socket's buffer in bytes.
const receiveBuffer = 8 << 20

// Config configures a Sprayer.
type Config struct {
	// Services are the addresses that callers send to.
	Services []netip.AddrPort
	// Listen is where hosts send answers.
	Listen netip.AddrPort
	// Seed makes the choices of host and faults.
	Seed uint64
	// Delay and Jitter hold each datagram back; jitter reorders.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Double are the parts of datagrams that are lost or doubled.
	Loss        float64
	Duplication float64
}

// Distributor is the fabric's stand-in.
type Distributor struct {
	cfg      Config
	inside   *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	hosts  []netip.AddrPort
}

// New opens the sockets.
func New(c Config) (s *Distributor, err error) {
	defer func() { err = errors.Wrap(err, "new fabric") }()
	s = &Distributor{
		cfg:      c,
		services: make(map[netip.AddrPort]*net.UDPConn),
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if s.inside, err = listen(c.Listen); err != nil {
		return nil, err
	}
	for _, a := range c.Services {
		if s.services[a], err = listen(a); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return conn, errors.WithStack(conn.SetReadBuffer(receiveBuffer))
}

// SetHosts changes the hosts that datagrams are handed to.
func (s *Distributor) SetHosts(hs []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hs
}

// Run carries datagrams until the context ends.
func (s *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for a, conn := range s.services {
		g.Go(func() error { return s.inward(ctx, a, conn) })
	}
	g.Go(func() error { return s.outward(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		err := s.inside.Close()
		for _, conn := range s.services {
			err = errors.CombineErrors(err, conn.Close())
		}
		return err
	})
	return g.Wait()
}

func (s *Distributor) inward(ctx context.Context, service netip.AddrPort, conn *net.UDPConn) error {
	buf := make([]byte, translator.MaxDatagramLength)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		b, err := translator.Wrap(caller, service, buf[:n])
		if err != nil {
			continue
		}
		s.carry(func() {
			if host, ok := s.anyHost(); ok {
				_, _ = s.inside.WriteToUDPAddrPort(b, host)
			}
		})
	}
}

func (s *Distributor) outward(ctx context.Context) error {
	buf := make([]byte, 2*translator.MaxDatagramLength)
	for {
		n, _, err := s.inside.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		service, caller, body, err := translator.Unwrap(buf[:n])
		conn := s.services[service]
		if err != nil || conn == nil {
			continue
		}
		b := append([]byte(nil), body...)
		s.carry(func() { _, _ = conn.WriteToUDPAddrPort(b, caller) })
	}
}

// carry sends now or later, not at all or twice.
func (s *Distributor) carry(send func()) {
	s.mu.Lock()
	lost := s.random.Float64() < s.cfg.Loss
	copies := 1
	if s.random.Float64() < s.cfg.Duplication {
		copies = 2
	}
	delays := [2]time.Duration{}
	for i := range copies {
		delays[i] = s.cfg.Delay
		if s.cfg.Jitter > 0 {
			delays[i] += time.Duration(s.random.Int64N(int64(s.cfg.Jitter)))
		}
	}
	s.mu.Unlock()
	if lost {
		return
	}
	for i := range copies {
		if delays[i] == 0 {
			send()
			continue
		}
		time.AfterFunc(delays[i], send)
	}
}

func (s *Distributor) anyHost() (a netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hosts) == 0 {
		return a, false
	}
	return s.hosts[s.random.IntN(len(s.hosts))], true
}

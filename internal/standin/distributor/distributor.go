// Package distributor emulates the fabric: it forwards each datagram of a caller to a
// random host and returns the answers. Delay, loss, duplication and reordering can be
// configured.
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

// receiveBuffer is the size of each socket's receive buffer in bytes.
const receiveBuffer = 8 << 20

// Config configures a Distributor.
type Config struct {
	// Services are the addresses to which callers send.
	Services []netip.AddrPort
	// Listen is the address to which hosts send answers.
	Listen netip.AddrPort
	// Seed seeds the random choice of hosts, delays, losses and duplicates.
	Seed uint64
	// Delay is the fixed delay of each datagram, Jitter the upper bound of a random one,
	// which also reorders datagrams.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Duplication are the probabilities that a datagram is lost or duplicated.
	Loss        float64
	Duplication float64
}

// Distributor forwards datagrams between callers and hosts.
type Distributor struct {
	cfg      Config
	hostConn *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	hosts  []netip.AddrPort
}

// New opens the sockets of a Distributor.
func New(c Config) (s *Distributor, err error) {
	defer func() { err = errors.Wrap(err, "new distributor") }()
	s = &Distributor{
		cfg:      c,
		services: make(map[netip.AddrPort]*net.UDPConn),
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if s.hostConn, err = listen(c.Listen); err != nil {
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

// SetHosts sets the hosts to which datagrams are forwarded.
func (s *Distributor) SetHosts(hs []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hs
}

// Run forwards datagrams until the context is cancelled.
func (s *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for a, conn := range s.services {
		g.Go(func() error { return s.forwardToHosts(ctx, a, conn) })
	}
	g.Go(func() error { return s.forwardToCallers(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		err := s.hostConn.Close()
		for _, conn := range s.services {
			err = errors.CombineErrors(err, conn.Close())
		}
		return err
	})
	return g.Wait()
}

func (s *Distributor) forwardToHosts(ctx context.Context, service netip.AddrPort, conn *net.UDPConn) error {
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
				_, _ = s.hostConn.WriteToUDPAddrPort(b, host)
			}
		})
	}
}

func (s *Distributor) forwardToCallers(ctx context.Context) error {
	buf := make([]byte, 2*translator.MaxDatagramLength)
	for {
		n, _, err := s.hostConn.ReadFromUDPAddrPort(buf)
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

// carry calls send after the configured delay, with the configured loss and duplication.
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

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
func New(c Config) (d *Distributor, err error) {
	defer func() { err = errors.Wrap(err, "new distributor") }()
	d = &Distributor{
		cfg:      c,
		services: make(map[netip.AddrPort]*net.UDPConn),
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if d.hostConn, err = listen(c.Listen); err != nil {
		return nil, err
	}
	for _, a := range c.Services {
		if d.services[a], err = listen(a); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return conn, errors.WithStack(conn.SetReadBuffer(receiveBuffer))
}

// SetHosts sets the hosts to which datagrams are forwarded.
func (d *Distributor) SetHosts(hs []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hs
}

// Run forwards datagrams until the context is cancelled.
func (d *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for a, conn := range d.services {
		g.Go(func() error { return d.forwardToHosts(ctx, a, conn) })
	}
	g.Go(func() error { return d.forwardToCallers(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		err := d.hostConn.Close()
		for _, conn := range d.services {
			err = errors.CombineErrors(err, conn.Close())
		}
		return err
	})
	return g.Wait()
}

func (d *Distributor) forwardToHosts(ctx context.Context, service netip.AddrPort, conn *net.UDPConn) error {
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
		d.carry(func() {
			if host, ok := d.anyHost(); ok {
				_, _ = d.hostConn.WriteToUDPAddrPort(b, host)
			}
		})
	}
}

func (d *Distributor) forwardToCallers(ctx context.Context) error {
	buf := make([]byte, 2*translator.MaxDatagramLength)
	for {
		n, _, err := d.hostConn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		service, caller, body, err := translator.Unwrap(buf[:n])
		conn := d.services[service]
		if err != nil || conn == nil {
			continue
		}
		b := append([]byte(nil), body...)
		d.carry(func() { _, _ = conn.WriteToUDPAddrPort(b, caller) })
	}
}

// carry calls send after the configured delay, with the configured loss and duplication.
func (d *Distributor) carry(send func()) {
	d.mu.Lock()
	lost := d.random.Float64() < d.cfg.Loss
	copies := 1
	if d.random.Float64() < d.cfg.Duplication {
		copies = 2
	}
	delays := [2]time.Duration{}
	for i := range copies {
		delays[i] = d.cfg.Delay
		if d.cfg.Jitter > 0 {
			delays[i] += time.Duration(d.random.Int64N(int64(d.cfg.Jitter)))
		}
	}
	d.mu.Unlock()
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

func (d *Distributor) anyHost() (a netip.AddrPort, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 {
		return a, false
	}
	return d.hosts[d.random.IntN(len(d.hosts))], true
}

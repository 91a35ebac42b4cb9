package netemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// The kinds of work of a site, and the services that do them.
const (
	kindFeed       = "feed"
	kindOrder      = "order"
	kindDiagram    = "diagram"
	serviceDesk    = "desk"
	serviceShelf   = "shelf"
	packetPort     = 8172
	readyPort      = 8167
	controlPort    = 8166
	targetPort     = 8080
	firstPort      = 2000
	firstInner     = 7720
	lastInner      = 7735
	drainServeOn   = 4 * time.Second
	settingsFormat = `node_name: "host-%[1]d"
ip: "%[2]s"
zone: "%[3]s"
listen: {datagram_addr: "%[2]s:%[4]d", ready_addr: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internal_ports: [%[7]d, %[8]d]
seeds: [%[9]s]
limits: {memory_mb: 284}
bounds: {config_apply_ms: 3000, drain_ms: 3000, grace_s: 6, flow_max_s: 60}
platform: {address: "%[10]s"}
`
)

func serviceOf(kind string) string {
	if kind == kindDiagram {
		return serviceShelf
	}
	return serviceDesk
}

// Config says what a site has.
type Config struct {
	Zones, HostsPerZone, TargetsPerZone, CallersPerZone int
	// NetworkIndex keeps the addresses of sites on one machine apart: 0 to 40.
	NetworkIndex int
	// Directory takes the settings files of the hosts, host-N.yaml.
	Directory string
	// Length is how long callers ask; a target drains after a third of it.
	Length time.Duration
	// StoreAddress is where the store listens, AdvertisedStoreAddress where hosts reach it; the
	// same if not set.
	StoreAddress, AdvertisedStoreAddress netip.AddrPort
}

// Testbed is a store, routers, targets and callers on loopback addresses.
type Testbed struct {
	cfg     Config
	store   *metastore.Store
	judge   *Oracle
	routers *routers
	targets []*Target
	callers []*caller
	server  *http.Server
	version atomic.Int64
}

// calmTime is how long after a fault bounds in time do not hold yet.
const calmTime = 4 * time.Second

// loopback returns the address of thing n of a kind in a zone.
func (c *Config) loopback(kind, zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(kind + kinds*c.NetworkIndex), byte(zone + 1), byte(n + 1)})
}

// Kinds of things, in their addresses.
const (
	kindHosts = iota + 101
	kindTargets
	kindCallers
	kinds = 3
)

// AddressesFree tells whether no process of another site uses the hosts' addresses.
func (c *Config) AddressesFree() bool {
	for z := range c.Zones {
		for i := range c.HostsPerZone {
			a := netip.AddrPortFrom(c.loopback(kindHosts, z, i), packetPort)
			l, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
			if err != nil || l.Close() != nil {
				return false
			}
		}
	}
	return true
}

// New opens a site and writes the hosts' settings.
func New(c Config) (s *Testbed, err error) {
	defer func() { err = errors.Wrap(err, "new site") }()
	s = &Testbed{cfg: c, store: metastore.New(), judge: newJudge()}
	s.routers = &routers{hosts: map[string][]*entryHost{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var n net.ListenConfig
	l, err := n.Listen(context.Background(), "tcp4", c.StoreAddress.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.UpdateConfiguration()
	if !c.AdvertisedStoreAddress.IsValid() {
		c.AdvertisedStoreAddress = c.StoreAddress
	}
	if err := s.writeSettings(c.AdvertisedStoreAddress.String()); err != nil {
		return nil, err
	}
	for z := range c.Zones {
		if err := s.addZone(z); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }

// configure writes a configuration.
func (s *Testbed) configure(version int) {
	route := func(name, address string, port int, kind, service string, priority int) map[string]any {
		return map[string]any{"name": name, "host": address, "prefix": fmt.Sprintf("/%d/", port), "kind": kind, "timeout_ms": 1500, "priority": priority, "service": service}
	}
	routes := []any{
		route(kindFeed, "198.18.0.1", 443, "idempotent", serviceDesk, 2),
		route(kindOrder, "198.18.0.1", 8443, "non_idempotent", serviceDesk, 1),
		route(kindDiagram, "198.18.0.2", 443, "download", serviceShelf, 2),
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes, "limits": map[string]int{"idle_timeout_ms": 15000}})
	if err == nil {
		s.store.Put("op/config", b)
	}
}

func (s *Testbed) writeSettings(store string) error {
	var seeds []string
	for z := range s.cfg.Zones {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s.cfg.loopback(kindHosts, z, 0), controlPort)))
	}
	n := 0
	for z := range s.cfg.Zones {
		for i := range s.cfg.HostsPerZone {
			n++
			a := s.cfg.loopback(kindHosts, z, i)
			text := fmt.Sprintf(settingsFormat, n, a, zoneName(z), packetPort, readyPort, controlPort, firstInner, lastInner, strings.Join(seeds, ", "), store)
			if err := os.WriteFile(filepath.Join(s.cfg.Directory, fmt.Sprintf("host-%d.yaml", n)), []byte(text), 0o600); err != nil {
				return errors.WithStack(err)
			}
			s.routers.hosts[zoneName(z)] = append(s.routers.hosts[zoneName(z)], &entryHost{
				packets: netip.AddrPortFrom(a, packetPort), ready: netip.AddrPortFrom(a, readyPort),
			})
		}
	}
	return nil
}

func (s *Testbed) addZone(z int) error {
	for i := range s.cfg.TargetsPerZone + 1 {
		service := serviceDesk
		if i == s.cfg.TargetsPerZone {
			service = serviceShelf
		}
		a := netip.AddrPortFrom(s.cfg.loopback(kindTargets, z, i), targetPort)
		t, err := newTarget(uint64(0xa0000000+z*256+i), service, zoneName(z), a, packetPort, s.store, s.judge)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
	}
	for i := range s.cfg.CallersPerZone {
		c := &caller{zone: zoneName(z), address: s.cfg.loopback(kindCallers, z, i), routers: s.routers, judge: s.judge}
		c.port.Store(firstPort)
		switch i % 3 {
		case 0:
			c.name, c.service, c.repeat, c.keep, c.size = kindFeed, netip.MustParseAddrPort("198.18.0.1:443"), true, true, 4000
		case 1:
			c.name, c.service, c.size = kindOrder, netip.MustParseAddrPort("198.18.0.1:8443"), 600
		default:
			c.name, c.service, c.repeat, c.size = kindDiagram, netip.MustParseAddrPort("198.18.0.2:443"), true, 20000
		}
		if err := c.listen(packetPort); err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

// WaitReady returns when all hosts are ready, or false after the limit.
func (s *Testbed) WaitReady(ctx context.Context, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(checkEvery / 5) {
		all := true
		for _, zone := range s.routers.hosts {
			for _, h := range zone {
				all = all && s.routers.isReady(ctx, h)
			}
		}
		if all {
			return true
		}
	}
	return false
}

// Run lets callers ask, drains a target and changes the configuration, and
// returns what was seen.
func (s *Testbed) Run(ctx context.Context) Report {
	time.AfterFunc(s.cfg.Length/3, func() { s.Drain(0) })
	time.AfterFunc(s.cfg.Length/2, s.UpdateConfiguration)
	return s.RunTraffic(ctx)
}

// Store returns the store, for faults of it.
func (s *Testbed) Store() *metastore.Store { return s.store }

// ConfigurationVersion returns the version of the newest configuration.
func (s *Testbed) ConfigurationVersion() uint64 { return uint64(s.version.Load()) }

// AdminAddresses returns where the hosts answer operators.
func (s *Testbed) AdminAddresses() (all []netip.AddrPort) {
	for _, zone := range s.routers.hosts {
		for _, h := range zone {
			all = append(all, netip.AddrPortFrom(h.packets.Addr(), controlPort))
		}
	}
	return all
}

// TargetCount returns how many targets there are.
func (s *Testbed) TargetCount() int { return len(s.targets) }

// Drain makes a target leave.
func (s *Testbed) Drain(target int) { s.targets[target].Drain(drainServeOn) }

// Crash ends a target without a word; it starts anew under its id later.
func (s *Testbed) Crash(ctx context.Context, target int, down time.Duration) {
	s.targets[target].crash(ctx, down)
}

// SuspendTimeBounds excuses what time-bound promises say for a while: a fault strikes now
// and lasts for d.
func (s *Testbed) SuspendTimeBounds(d time.Duration) { s.judge.disturb(d + calmTime) }

// UpdateConfiguration writes the next configuration.
func (s *Testbed) UpdateConfiguration() { s.configure(int(s.version.Add(6))) }

// RunTraffic lets callers ask and returns what was seen.
func (s *Testbed) RunTraffic(ctx context.Context) Report {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	for _, t := range s.targets {
		go t.run(serving)
	}
	go s.routers.run(serving)
	asking, end := context.WithTimeout(ctx, s.cfg.Length)
	defer end()
	var g sync.WaitGroup
	for _, c := range s.callers {
		g.Go(func() { c.run(asking, 400*time.Millisecond) })
	}
	g.Wait()
	defer func() { _ = s.server.Close() }()
	return s.judge.result(s.targets, s.store.CallCount())
}

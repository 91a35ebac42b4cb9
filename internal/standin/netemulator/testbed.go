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

// Kinds of work, the services that perform them, and ports and settings of the testbed.
const (
	kindFeed          = "feed"
	kindOrder         = "order"
	kindDiagram       = "diagram"
	serviceDesk       = "desk"
	serviceShelf      = "shelf"
	packetPort        = 8172
	readyPort         = 8167
	controlPort       = 8166
	targetPort        = 8080
	initialCallerPort = 2000
	firstInternalPort = 7720
	lastInternalPort  = 7735
	drainServingTime  = 4 * time.Second
	settingsFormat    = `node_name: "host-%[1]d"
ip: "%[2]s"
zone: "%[3]s"
listen: {datagram_addr: "%[2]s:%[4]d", ready_addr: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internal_ports: [%[7]d, %[8]d]
seeds: [%[9]s]
limits: {memory_mb: 284}
bounds: {config_apply_ms: 3000, drain_ms: 3000, evacuation_ms: 5000, grace_s: 6, flow_max_s: 60}
platform: {address: "%[10]s"}
`
)

func serviceOf(kind string) string {
	if kind == kindDiagram {
		return serviceShelf
	}
	return serviceDesk
}

// Config describes a testbed.
type Config struct {
	Zones, HostsPerZone, TargetsPerZone, CallersPerZone int
	// NetworkIndex selects the loopback addresses, so that several testbeds can run on
	// one machine: 0 to 40.
	NetworkIndex int
	// Directory is where the settings files of the hosts, host-N.yaml, are written.
	Directory string
	// Length is how long callers send requests; Run drains a target after a third of
	// it.
	Length time.Duration
	// StoreAddress is where the store listens. AdvertisedStoreAddress is the address in
	// the hosts' settings; it defaults to StoreAddress.
	StoreAddress, AdvertisedStoreAddress netip.AddrPort
}

// Testbed runs a store, routers, targets and callers on loopback addresses.
type Testbed struct {
	cfg         Config
	store       *metastore.Store
	oracle      *Oracle
	routers     *routers
	targets     []*Target
	callers     []*caller
	storeServer *http.Server
	version     atomic.Int64
	// configurationMu lets one configuration be written at a time, so that versions only
	// increase.
	configurationMu sync.Mutex
	// feedsMoved reports that feeds are led to the shelf service.
	feedsMoved atomic.Bool
}

// gracePeriod is how long after a fault the time bounds do not apply.
const gracePeriod = 4 * time.Second

// loopbackAddress returns an address in a zone; octet is the second octet of network 0,
// which selects hosts, targets or callers.
func (c *Config) loopbackAddress(octet, zone, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(octet + octetsPerNetwork*c.NetworkIndex), byte(zone + 1), byte(index + 1)})
}

// Second octets of the loopback addresses in network 0, and their number per network.
const (
	octetHosts = iota + 101
	octetTargets
	octetCallers
	octetsPerNetwork = 3
)

// AddressesFree reports whether no process of another testbed uses the hosts'
// addresses.
func (c *Config) AddressesFree() bool {
	for z := range c.Zones {
		for i := range c.HostsPerZone {
			a := netip.AddrPortFrom(c.loopbackAddress(octetHosts, z, i), packetPort)
			l, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
			if err != nil || l.Close() != nil {
				return false
			}
		}
	}
	return true
}

// New starts the store, writes the hosts' settings and creates targets and callers.
func New(c Config) (tb *Testbed, err error) {
	defer func() { err = errors.Wrap(err, "new testbed") }()
	tb = &Testbed{cfg: c, store: metastore.New(), oracle: newOracle()}
	tb.routers = &routers{hosts: map[string][]*entryHost{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp4", c.StoreAddress.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tb.storeServer = &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Second}
	go func() { _ = tb.storeServer.Serve(listener) }()
	tb.UpdateConfiguration()
	if !c.AdvertisedStoreAddress.IsValid() {
		c.AdvertisedStoreAddress = c.StoreAddress
	}
	if err := tb.writeSettings(c.AdvertisedStoreAddress.String()); err != nil {
		return nil, err
	}
	for z := range c.Zones {
		if err := tb.addZone(z); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }

// putConfiguration writes a configuration of the given version to the store.
func (tb *Testbed) putConfiguration(version int) {
	route := func(name, address string, port int, kind, service string, priority int) map[string]any {
		return map[string]any{"name": name, "host": address, "prefix": fmt.Sprintf("/%d/", port), "kind": kind, "timeout_ms": 1500, "priority": priority, "service": service}
	}
	feeds := serviceDesk
	if tb.feedsMoved.Load() {
		feeds = serviceShelf
	}
	tb.oracle.allow(kindFeed, feeds)
	routes := []any{
		route(kindFeed, "198.18.0.1", 443, "idempotent", feeds, 2),
		route(kindOrder, "198.18.0.1", 8443, "non_idempotent", serviceDesk, 1),
		route(kindDiagram, "198.18.0.2", 443, "download", serviceShelf, 2),
	}
	services := []map[string]string{{"name": serviceDesk}, {"name": serviceShelf}}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"idle_timeout_ms": 15000}})
	if err == nil {
		tb.store.Put("op/config", b)
	}
}

func (tb *Testbed) writeSettings(store string) error {
	var seeds []string
	for z := range tb.cfg.Zones {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(tb.cfg.loopbackAddress(octetHosts, z, 0), controlPort)))
	}
	n := 0
	for z := range tb.cfg.Zones {
		for i := range tb.cfg.HostsPerZone {
			n++
			a := tb.cfg.loopbackAddress(octetHosts, z, i)
			text := fmt.Sprintf(settingsFormat, n, a, zoneName(z), packetPort, readyPort, controlPort, firstInternalPort, lastInternalPort, strings.Join(seeds, ", "), store)
			if err := os.WriteFile(filepath.Join(tb.cfg.Directory, fmt.Sprintf("host-%d.yaml", n)), []byte(text), 0o600); err != nil {
				return errors.WithStack(err)
			}
			tb.routers.hosts[zoneName(z)] = append(tb.routers.hosts[zoneName(z)], &entryHost{
				packetAddress: netip.AddrPortFrom(a, packetPort), readyAddress: netip.AddrPortFrom(a, readyPort),
			})
		}
	}
	return nil
}

func (tb *Testbed) addZone(z int) error {
	for i := range tb.cfg.TargetsPerZone + 1 {
		service := serviceDesk
		if i == tb.cfg.TargetsPerZone {
			service = serviceShelf
		}
		a := netip.AddrPortFrom(tb.cfg.loopbackAddress(octetTargets, z, i), targetPort)
		t, err := newTarget(uint64(0xa0000000+z*256+i), service, zoneName(z), a, packetPort, tb.store, tb.oracle)
		if err != nil {
			return err
		}
		tb.targets = append(tb.targets, t)
	}
	for i := range tb.cfg.CallersPerZone {
		c := &caller{zone: zoneName(z), address: tb.cfg.loopbackAddress(octetCallers, z, i), routers: tb.routers, oracle: tb.oracle}
		c.port.Store(initialCallerPort)
		switch i % 3 {
		case 0:
			c.name, c.service, c.idempotent, c.keepAlive, c.responseSize = kindFeed, netip.MustParseAddrPort("198.18.0.1:443"), true, true, 4000
		case 1:
			c.name, c.service, c.responseSize = kindOrder, netip.MustParseAddrPort("198.18.0.1:8443"), 600
		default:
			c.name, c.service, c.idempotent, c.responseSize = kindDiagram, netip.MustParseAddrPort("198.18.0.2:443"), true, 20000
		}
		if err := c.listen(packetPort); err != nil {
			return err
		}
		tb.callers = append(tb.callers, c)
	}
	return nil
}

// WaitReady waits until all hosts are ready and reports whether they are within the
// limit.
func (tb *Testbed) WaitReady(ctx context.Context, limit time.Duration) bool {
	for startedAt := time.Now(); time.Since(startedAt) < limit; time.Sleep(checkInterval / 5) {
		allReady := true
		for _, zone := range tb.routers.hosts {
			for _, h := range zone {
				allReady = allReady && tb.routers.isReady(ctx, h)
			}
		}
		if allReady {
			return true
		}
	}
	return false
}

// Run runs the traffic while it drains a target and updates the configuration, and
// returns the report.
func (tb *Testbed) Run(ctx context.Context) Report {
	time.AfterFunc(tb.cfg.Length/3, func() { tb.Drain(0) })
	time.AfterFunc(tb.cfg.Length/2, tb.UpdateConfiguration)
	defer tb.CloseStore()
	return tb.RunTraffic(ctx)
}

// Store returns the store, for fault injection.
func (tb *Testbed) Store() *metastore.Store { return tb.store }

// ConfigurationVersion returns the version of the newest configuration.
func (tb *Testbed) ConfigurationVersion() uint64 { return uint64(tb.version.Load()) }

// AdminAddresses returns the admin addresses of the hosts.
func (tb *Testbed) AdminAddresses() (addresses []netip.AddrPort) {
	for _, zone := range tb.routers.hosts {
		for _, h := range zone {
			addresses = append(addresses, netip.AddrPortFrom(h.packetAddress.Addr(), controlPort))
		}
	}
	return addresses
}

// ZoneCount returns the number of zones.
func (tb *Testbed) ZoneCount() int { return tb.cfg.Zones }

// TargetCount returns the number of targets.
func (tb *Testbed) TargetCount() int { return len(tb.targets) }

// Drain drains a target and then stops it.
func (tb *Testbed) Drain(target int) { tb.targets[target].Drain(drainServingTime) }

// Crash stops a target without deregistration; it restarts under the same ID after the
// downtime.
func (tb *Testbed) Crash(ctx context.Context, target int, downtime time.Duration) {
	tb.targets[target].crash(ctx, downtime)
}

// SuspendTimeBounds suspends the checks of time bounds for a fault that begins now and
// lasts for d, and for the grace period after it.
func (tb *Testbed) SuspendTimeBounds(d time.Duration) { tb.oracle.startGracePeriod(d + gracePeriod) }

// UpdateConfiguration writes the next configuration to the store.
func (tb *Testbed) UpdateConfiguration() {
	tb.configurationMu.Lock()
	defer tb.configurationMu.Unlock()
	tb.putConfiguration(int(tb.version.Add(6)))
}

// MoveFeeds leads the feeds to the other service by a new configuration.
func (tb *Testbed) MoveFeeds() {
	tb.feedsMoved.Store(!tb.feedsMoved.Load())
	tb.UpdateConfiguration()
}

// RunTraffic runs the targets, routers and callers for the configured length and
// returns the report. The store goes on until CloseStore, since hosts may still have to
// learn of its last changes.
func (tb *Testbed) RunTraffic(ctx context.Context) Report {
	servingCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	for _, t := range tb.targets {
		go t.run(servingCtx)
	}
	go tb.routers.run(servingCtx)
	callerCtx, stopCallers := context.WithTimeout(ctx, tb.cfg.Length)
	defer stopCallers()
	var group sync.WaitGroup
	for _, c := range tb.callers {
		group.Go(func() { c.run(callerCtx, 400*time.Millisecond) })
	}
	group.Wait()
	return tb.oracle.result(tb.targets, tb.store.CallCount())
}

// CloseStore ends the store.
func (tb *Testbed) CloseStore() { _ = tb.storeServer.Close() }

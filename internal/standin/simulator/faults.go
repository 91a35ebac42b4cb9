package simulator

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
)

// The services and routes of a simulation.
const (
	serviceOrders   = cactuspin.ServiceName("orders")
	serviceDiagrams = cactuspin.ServiceName("diagrams")
)

var (
	feedRoute    = netip.MustParseAddrPort("198.18.0.1:443")
	orderRoute   = netip.MustParseAddrPort("198.18.0.1:8443")
	diagramRoute = netip.MustParseAddrPort("198.18.0.2:443")
	spareRoute   = netip.MustParseAddrPort("198.18.0.9:443")
)

func (s *Simulation) build() {
	for z, name := range s.scenario.Zones {
		zone := cactuspin.ZoneID(name)
		for i := range s.scenario.HostsPerZone {
			a := netip.AddrFrom4([4]byte{10, byte(z + 1), 0, byte(10 + i)})
			s.hosts = append(s.hosts, &host{location: location{zone: zone}, sim: s, index: len(s.hosts), address: a})
		}
		for range s.scenario.TargetsPerZone {
			s.addTarget(zone, serviceOrders)
		}
		s.addTarget(zone, serviceDiagrams)
		for i := range s.scenario.CallersPerZone {
			s.addCaller(zone, byte(z), i)
		}
	}
	s.after(500*time.Millisecond, func() { s.putConfiguration(configurationChange{}) })
	for _, h := range s.hosts {
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), h.start)
	}
	for _, t := range s.targets {
		s.after(700*time.Millisecond+time.Duration(s.random.Int64N(int64(300*time.Millisecond))), t.register)
	}
	s.after(s.scenario.warmUp()-readyInterval, s.routers.check)
	s.after(s.scenario.warmUp(), func() {
		for _, c := range s.callers {
			c.run()
		}
	})
}

func (s *Simulation) addTarget(zone cactuspin.ZoneID, service cactuspin.ServiceName) *target {
	s.lastID++
	n := uint64(0xabc000 + s.lastID*4099)
	return s.addTargetAt(zone, service, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(s.lastID >> 8), byte(s.lastID)}), 8080), n)
}

func (s *Simulation) addTargetAt(zone cactuspin.ZoneID, service cactuspin.ServiceName, a netip.AddrPort, n uint64) *target {
	t := &target{location: location{zone: zone}, sim: s, alive: true, flows: map[*connection]bool{}}
	t.registration = cactuspin.RegisteredTarget{
		ID: cactuspin.TargetID(fmt.Sprintf("t%06x", n)), Number: n, Service: service, Address: a, Zone: zone, Slots: slots,
		Started: int64(s.now) / int64(time.Millisecond),
	}
	s.targets = append(s.targets, t)
	return t
}

func (s *Simulation) addCaller(zone cactuspin.ZoneID, z byte, i int) {
	c := &caller{sim: s, zone: zone, address: netip.AddrFrom4([4]byte{100, 64, z, byte(i + 1)}), port: uint16(1024 + 40*i)}
	switch {
	case i%6 == 5:
		c.route = diagramRoute
		c.idempotent = true
	case i%3 == 2:
		c.route = orderRoute
	default:
		c.route, c.idempotent = feedRoute, true
	}
	s.callers = append(s.callers, c)
}

// configurationChange is what a configuration changes in the routes of the first one.
type configurationChange struct {
	// omitted is the address of a route that is left out.
	omitted netip.AddrPort
	// diagrams is the service to which the diagram route leads instead of its own.
	diagrams cactuspin.ServiceName
}

// putConfiguration writes the next configuration to the store.
func (s *Simulation) putConfiguration(c configurationChange) {
	version := cactuspin.RoutingVersion(3 + 4*len(s.oracle.configurations))
	r := &cactuspin.Routing{Version: version, IdleTimeout: idleTimeout}
	add := func(name string, a netip.AddrPort, service cactuspin.ServiceName, kind cactuspin.WorkKind, priority int) {
		if c.omitted != a {
			r.Routes = append(r.Routes, cactuspin.Route{
				Name: cactuspin.RouteName(name), Address: a, Kind: kind, Timeout: deadline, Priority: priority,
				Services: []cactuspin.WeightedService{{Service: service, Weight: 1}},
			})
		}
	}
	add("feed", feedRoute, serviceOrders, cactuspin.WorkIdempotent, 2)
	add("order", orderRoute, serviceOrders, cactuspin.WorkNonIdempotent, 1)
	add("diagram", diagramRoute, cmp.Or(c.diagrams, serviceDiagrams), cactuspin.WorkDownload, 2)
	if len(s.oracle.configurations) > 0 {
		add("spare", spareRoute, serviceOrders, cactuspin.WorkIdempotent, 2)
	}
	s.store.putRouting(r)
	s.oracle.configurations = append(s.oracle.configurations, acceptedRouting{at: s.now, routing: r})
}

// injectFault injects a fault.
func (s *Simulation) injectFault(f *Fault) {
	s.trace("FAULT %s %s", f.Kind, f.Mode)
	handle, ok := s.faultHandlers()[f.Kind]
	if !ok {
		s.oracle.reportViolation("STORY", "fault %q is unknown", f.Kind)
		return
	}
	handle(f)
}

// faultHandlers returns the functions that inject faults, by kind.
func (s *Simulation) faultHandlers() map[string]func(*Fault) {
	return map[string]func(*Fault){
		"config_change":      func(*Fault) { s.putConfiguration(configurationChange{}) },
		"config_drop":        func(*Fault) { s.putConfiguration(configurationChange{omitted: diagramRoute}) },
		"config_move":        func(*Fault) { s.putConfiguration(configurationChange{diagrams: serviceOrders}) },
		"host_kill":          func(f *Fault) { s.eachHost(f, func(h *host) { h.kill(f.For.Duration) }) },
		"host_freeze":        func(f *Fault) { s.eachHost(f, func(h *host) { h.freeze(f.For.Duration) }) },
		"host_stop":          func(f *Fault) { s.eachHost(f, func(h *host) { h.stop() }) },
		"host_cut":           func(f *Fault) { s.eachHost(f, func(h *host) { s.isolateHost(h, f) }) },
		"host_store_cut":     func(f *Fault) { s.eachHost(f, func(h *host) { s.isolateFromStore(h, f) }) },
		"kill_all":           s.killAllHosts,
		"store_down":         s.injectStoreOutage,
		"store_refuses":      s.refuseHosts,
		"store_slow":         s.slowStore,
		"store_forgets":      s.stallWatchesAndCompact,
		"store_backup":       func(*Fault) { s.store.backUp() },
		"store_restore":      s.restoreStore,
		"store_silences":     func(*Fault) { s.store.dropWatches() },
		"zone_cut":           s.isolateZone,
		"zone_evacuate":      s.evacuateZones,
		"lossy":              s.dropDatagrams,
		"target_crash":       func(f *Fault) { s.eachTarget(f, (*target).crash) },
		"target_drain":       func(f *Fault) { s.eachTarget(f, (*target).drain) },
		"target_restart":     func(f *Fault) { s.eachTarget(f, s.restartTarget) },
		"target_reuse":       func(f *Fault) { s.eachTarget(f, s.reuseAddress) },
		"target_add":         func(f *Fault) { s.eachTarget(f, s.addSibling) },
		"target_fails":       func(f *Fault) { s.eachTarget(f, func(t *target) { s.failTarget(t, f) }) },
		"target_stall":       func(f *Fault) { s.eachTarget(f, func(t *target) { s.delayTarget(t, f) }) },
		"target_overwritten": func(f *Fault) { s.eachTarget(f, func(t *target) { s.overwriteRegistration(t, f) }) },
		"target_store_cut":   func(f *Fault) { s.eachTarget(f, s.expireRegistration) },
	}
}

func (s *Simulation) eachHost(f *Fault, apply func(*host)) {
	for i := range max(1, f.Count) {
		apply(s.hosts[(f.Host+i)%len(s.hosts)])
	}
}

func (s *Simulation) eachTarget(f *Fault, apply func(*target)) {
	for i := range max(1, f.Count) {
		apply(s.targets[(f.Target+i)%len(s.targets)])
	}
}

func (s *Simulation) isolateHost(h *host, f *Fault) {
	h.isolated = true
	s.after(f.For.Duration, func() {
		h.isolated = false
		s.oracle.startGracePeriod(h)
	})
	s.oracle.startGracePeriod(h)
}

func (s *Simulation) isolateFromStore(h *host, f *Fault) {
	h.storeUnreachable = true
	s.after(f.For.Duration, func() {
		h.storeUnreachable = false
		s.oracle.startGracePeriod(h)
	})
}

func (s *Simulation) killAllHosts(f *Fault) {
	for _, h := range s.hosts {
		h.kill(f.For.Duration)
	}
	s.oracle.recoveryDeadline = s.now.Add(f.For.Duration + recoveryBound)
	s.oracle.killedAt, s.oracle.intervals = s.now, map[int]requestCounts{}
}

func (s *Simulation) injectStoreOutage(f *Fault) {
	s.store.beginOutage(f.Mode != "error", f.Mode == "lapse")
	s.oracle.startStoreGracePeriod()
	s.after(f.For.Duration, func() {
		s.store.endOutage()
		s.oracle.startStoreGracePeriod()
	})
}

func (s *Simulation) refuseHosts(f *Fault) {
	s.store.unresponsive = f.Mode == "silent"
	s.eachHost(f, func(h *host) { s.store.refusedHosts[h] = true })
	s.after(f.For.Duration, func() {
		s.store.unresponsive = false
		s.eachHost(f, func(h *host) {
			delete(s.store.refusedHosts, h)
			s.oracle.startGracePeriod(h)
		})
	})
}

func (s *Simulation) slowStore(f *Fault) {
	s.store.extraDelay = 50 * storeDelay
	s.oracle.startStoreGracePeriod()
	s.after(f.For.Duration, func() {
		s.store.extraDelay = 0
		s.oracle.startStoreGracePeriod()
	})
}

// stallWatchesAndCompact withholds changes from watches for a second and then drops the
// history.
func (s *Simulation) stallWatchesAndCompact(*Fault) {
	s.store.watchesStalled = true
	s.oracle.startStoreGracePeriod()
	s.after(time.Second, s.store.compactHistory)
}

func (s *Simulation) isolateZone(f *Fault) {
	z := cactuspin.ZoneID(f.Zone)
	s.isolatedZones[z] = true
	startGracePeriods := func() {
		for _, h := range s.hosts {
			if h.zone == z {
				s.oracle.startGracePeriod(h)
			}
		}
		for _, t := range s.targets {
			if t.zone == z {
				s.oracle.startGracePeriod(t)
			}
		}
	}
	startGracePeriods()
	for _, t := range s.targets {
		if t.zone == z {
			s.after(registrationTimeout, func() { s.expireIsolated(t) })
		}
	}
	s.after(f.For.Duration, func() {
		delete(s.isolatedZones, z)
		startGracePeriods()
		for _, t := range s.targets {
			t.register()
		}
	})
}

// expireIsolated removes the registration of a target whose zone is still isolated.
func (s *Simulation) expireIsolated(t *target) {
	if s.isolatedZones[t.zone] && !s.store.unavailable {
		s.store.removeTarget(t.registration.ID)
	}
}

func (s *Simulation) dropDatagrams(f *Fault) {
	s.lossRate = f.Share
	for _, h := range s.hosts {
		s.oracle.startGracePeriod(h)
	}
	s.after(f.For.Duration, func() {
		s.lossRate = 0
		for _, h := range s.hosts {
			s.oracle.startGracePeriod(h)
		}
		for _, t := range s.targets {
			s.oracle.startGracePeriod(t)
		}
	})
}

// failTarget makes a target fail its requests while its registration stays healthy.
func (s *Simulation) failTarget(t *target, f *Fault) {
	t.failureMode = f.Mode
	s.after(f.For.Duration, func() { t.failureMode = "" })
}

// delayTarget delays every packet to a target, so that callers retransmit their SYN
// packets before the first one is answered.
func (s *Simulation) delayTarget(t *target, f *Fault) {
	t.receiveDelay = 300 * time.Millisecond
	s.oracle.startGracePeriod(t)
	s.after(f.For.Duration, func() {
		t.receiveDelay = 0
		s.oracle.startGracePeriod(t)
	})
}

// restartTarget crashes a target and starts it again under the same ID.
func (s *Simulation) restartTarget(t *target) {
	t.crash()
	s.after(800*time.Millisecond, t.restart)
}

// reuseAddress crashes a target and later starts a target of another service at its
// address.
func (s *Simulation) reuseAddress(t *target) {
	t.crash()
	other := serviceDiagrams
	if t.registration.Service == other {
		other = serviceOrders
	}
	s.after(2*time.Second, func() {
		s.lastID++
		n := s.addTargetAt(t.zone, other, t.registration.Address, uint64(0xdef000+s.lastID*4099))
		n.register()
	})
}

// overwriteRegistration lets another writer replace the registration of a live target by
// one that cannot be used; the target writes its own again later.
func (s *Simulation) overwriteRegistration(t *target, f *Fault) {
	s.store.overwriteTarget(t.registration.ID)
	s.after(f.For.Duration, t.register)
}

// addSibling adds an idle target of the same service in the same zone.
func (s *Simulation) addSibling(t *target) { s.addTarget(t.zone, t.registration.Service).register() }

// expireRegistration removes the registration of a live target that cannot reach the
// store for two seconds.
func (s *Simulation) expireRegistration(t *target) {
	s.oracle.startGracePeriod(t)
	s.store.removeTarget(t.registration.ID)
	s.after(2*time.Second, func() {
		s.oracle.startGracePeriod(t)
		t.register()
	})
}

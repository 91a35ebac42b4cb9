package simulator

import (
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
	for z, name := range s.story.Zones {
		zone := cactuspin.ZoneID(name)
		for i := range s.story.HostsPerZone {
			a := netip.AddrFrom4([4]byte{10, byte(z + 1), 0, byte(10 + i)})
			s.hosts = append(s.hosts, &host{place: place{zone: zone}, sim: s, index: len(s.hosts), address: a})
		}
		for range s.story.TargetsPerZone {
			s.addTarget(zone, serviceOrders)
		}
		s.addTarget(zone, serviceDiagrams)
		for i := range s.story.CallersPerZone {
			s.addCaller(zone, byte(z), i)
		}
	}
	s.after(500*time.Millisecond, func() { s.configure(nil) })
	for _, h := range s.hosts {
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), h.start)
	}
	for _, t := range s.targets {
		s.after(700*time.Millisecond+time.Duration(s.random.Int64N(int64(300*time.Millisecond))), t.register)
	}
	s.after(s.story.lead()-readyInterval, s.routers.check)
	s.after(s.story.lead(), func() {
		for _, c := range s.callers {
			c.loop()
		}
	})
}

func (s *Simulation) addTarget(zone cactuspin.ZoneID, service cactuspin.ServiceName) *target {
	s.nextID++
	n := uint64(0xabc000 + s.nextID*4099)
	return s.addTargetAt(zone, service, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(s.nextID >> 8), byte(s.nextID)}), 8080), n)
}

func (s *Simulation) addTargetAt(zone cactuspin.ZoneID, service cactuspin.ServiceName, a netip.AddrPort, n uint64) *target {
	t := &target{place: place{zone: zone}, sim: s, alive: true, flows: map[*connection]bool{}}
	t.entry = cactuspin.RegisteredTarget{
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

// configure writes the next configuration; without is a route that it lacks.
func (s *Simulation) configure(without *netip.AddrPort) {
	version := cactuspin.RoutingVersion(3 + 4*len(s.oracle.changes))
	r := &cactuspin.Routing{Version: version, IdleTimeout: idleTimeout}
	add := func(name string, a netip.AddrPort, service cactuspin.ServiceName, kind cactuspin.WorkKind, priority int) {
		if without == nil || *without != a {
			r.Routes = append(r.Routes, cactuspin.Route{
				Name: cactuspin.RouteName(name), Address: a, Kind: kind, Timeout: deadline, Priority: priority,
				Services: []cactuspin.WeightedService{{Service: service, Weight: 1}},
			})
		}
	}
	add("feed", feedRoute, serviceOrders, cactuspin.WorkIdempotent, 2)
	add("order", orderRoute, serviceOrders, cactuspin.WorkNonIdempotent, 1)
	add("diagram", diagramRoute, serviceDiagrams, cactuspin.WorkDownload, 2)
	if len(s.oracle.changes) > 0 {
		add("spare", spareRoute, serviceOrders, cactuspin.WorkIdempotent, 2)
	}
	s.store.putRouting(r)
	s.oracle.changes = append(s.oracle.changes, acceptance{at: s.now, routing: r})
}

// strike lets a fault happen.
func (s *Simulation) strike(f *Fault) {
	s.trace("FAULT %s %s", f.Kind, f.Mode)
	do, ok := s.strikes()[f.Kind]
	if !ok {
		s.oracle.breaks("STORY", "fault %q is unknown", f.Kind)
		return
	}
	do(f)
}

// strikes are the faults by name.
func (s *Simulation) strikes() map[string]func(*Fault) {
	return map[string]func(*Fault){
		"config_change":    func(*Fault) { s.configure(nil) },
		"config_drop":      func(*Fault) { s.configure(&diagramRoute) },
		"host_kill":        func(f *Fault) { s.eachHost(f, func(h *host) { h.kill(f.For.Duration) }) },
		"host_freeze":      func(f *Fault) { s.eachHost(f, func(h *host) { h.freeze(f.For.Duration) }) },
		"host_stop":        func(f *Fault) { s.eachHost(f, func(h *host) { h.stop() }) },
		"host_cut":         func(f *Fault) { s.eachHost(f, func(h *host) { s.cutHost(h, f) }) },
		"host_store_cut":   func(f *Fault) { s.eachHost(f, func(h *host) { s.cutStore(h, f) }) },
		"kill_all":         s.killAll,
		"store_down":       s.storeDown,
		"store_refuses":    s.storeRefuses,
		"store_slow":       s.storeSlow,
		"store_forgets":    s.storeForgets,
		"store_silences":   func(*Fault) { s.store.silence() },
		"zone_cut":         s.cutZone,
		"lossy":            s.loseDatagrams,
		"target_crash":     func(f *Fault) { s.eachTarget(f, (*target).crash) },
		"target_drain":     func(f *Fault) { s.eachTarget(f, (*target).drain) },
		"target_restart":   func(f *Fault) { s.eachTarget(f, s.restartTarget) },
		"target_reuse":     func(f *Fault) { s.eachTarget(f, s.reuseTarget) },
		"target_add":       func(f *Fault) { s.eachTarget(f, s.addBeside) },
		"target_fails":     func(f *Fault) { s.eachTarget(f, func(t *target) { s.failTarget(t, f) }) },
		"target_stall":     func(f *Fault) { s.eachTarget(f, func(t *target) { s.stallTarget(t, f) }) },
		"target_store_cut": func(f *Fault) { s.eachTarget(f, s.lapseTarget) },
	}
}

func (s *Simulation) eachHost(f *Fault, do func(*host)) {
	for i := range max(1, f.Count) {
		do(s.hosts[(f.Host+i)%len(s.hosts)])
	}
}

func (s *Simulation) eachTarget(f *Fault, do func(*target)) {
	for i := range max(1, f.Count) {
		do(s.targets[(f.Target+i)%len(s.targets)])
	}
}

func (s *Simulation) cutHost(h *host, f *Fault) {
	h.cut = true
	s.after(f.For.Duration, func() {
		h.cut = false
		s.oracle.disturb(h)
	})
	s.oracle.disturb(h)
}

func (s *Simulation) cutStore(h *host, f *Fault) {
	h.storeCut = true
	s.after(f.For.Duration, func() {
		h.storeCut = false
		s.oracle.disturb(h)
	})
}

func (s *Simulation) killAll(f *Fault) {
	for _, h := range s.hosts {
		h.kill(f.For.Duration)
	}
	s.oracle.recoverAt = s.now.Add(f.For.Duration + recoverBound)
	s.oracle.killedAt, s.oracle.spans = s.now, map[int]tally{}
}

func (s *Simulation) storeDown(f *Fault) {
	s.store.fail(f.Mode != "error", f.Mode == "lapse")
	s.oracle.disturbStore()
	s.after(f.For.Duration, func() {
		s.store.restore()
		s.oracle.disturbStore()
	})
}

func (s *Simulation) storeRefuses(f *Fault) {
	s.store.silent = f.Mode == "silent"
	s.eachHost(f, func(h *host) { s.store.refused[h] = true })
	s.after(f.For.Duration, func() {
		s.store.silent = false
		s.eachHost(f, func(h *host) {
			delete(s.store.refused, h)
			s.oracle.disturb(h)
		})
	})
}

func (s *Simulation) storeSlow(f *Fault) {
	s.store.slow = 50 * storeDelay
	s.oracle.disturbStore()
	s.after(f.For.Duration, func() {
		s.store.slow = 0
		s.oracle.disturbStore()
	})
}

// storeForgets keeps news from watches for a second and then drops the history.
func (s *Simulation) storeForgets(*Fault) {
	s.store.mute = true
	s.oracle.disturbStore()
	s.after(time.Second, s.store.forget)
}

func (s *Simulation) cutZone(f *Fault) {
	z := cactuspin.ZoneID(f.Zone)
	s.cutZones[z] = true
	disturb := func() {
		for _, h := range s.hosts {
			if h.zone == z {
				s.oracle.disturb(h)
			}
		}
		for _, t := range s.targets {
			if t.zone == z {
				s.oracle.disturb(t)
			}
		}
	}
	disturb()
	for _, t := range s.targets {
		if t.zone == z {
			s.after(lapseTime, func() { s.lapseCut(t) })
		}
	}
	s.after(f.For.Duration, func() {
		delete(s.cutZones, z)
		disturb()
		for _, t := range s.targets {
			t.register()
		}
	})
}

// lapseCut ends the registration of a target whose zone is still cut off.
func (s *Simulation) lapseCut(t *target) {
	if s.cutZones[t.zone] && !s.store.down {
		s.store.removeTarget(t.entry.ID)
	}
}

func (s *Simulation) loseDatagrams(f *Fault) {
	s.lossy = f.Share
	for _, h := range s.hosts {
		s.oracle.disturb(h)
	}
	s.after(f.For.Duration, func() {
		s.lossy = 0
		for _, h := range s.hosts {
			s.oracle.disturb(h)
		}
		for _, t := range s.targets {
			s.oracle.disturb(t)
		}
	})
}

// stallTarget makes a target take everything late, so that copies of first
// packets are sent while it answers the first.
// failTarget makes a target that is well fail what it is asked.
func (s *Simulation) failTarget(t *target, f *Fault) {
	t.fails = f.Mode
	s.after(f.For.Duration, func() { t.fails = "" })
}

func (s *Simulation) stallTarget(t *target, f *Fault) {
	t.stall = 300 * time.Millisecond
	s.oracle.disturb(t)
	s.after(f.For.Duration, func() {
		t.stall = 0
		s.oracle.disturb(t)
	})
}

// restartTarget crashes a target that starts again under its id.
func (s *Simulation) restartTarget(t *target) {
	t.crash()
	s.after(800*time.Millisecond, t.restart)
}

// reuseTarget ends a target whose address goes to another service.
func (s *Simulation) reuseTarget(t *target) {
	t.crash()
	other := serviceDiagrams
	if t.entry.Service == other {
		other = serviceOrders
	}
	s.after(2*time.Second, func() {
		s.nextID++
		n := s.addTargetAt(t.zone, other, t.entry.Address, uint64(0xdef000+s.nextID*4099))
		n.register()
	})
}

// addBeside adds an empty target of the same service and zone.
func (s *Simulation) addBeside(t *target) { s.addTarget(t.zone, t.entry.Service).register() }

// lapseTarget ends the registration of a living target that cannot reach the
// store for a while.
func (s *Simulation) lapseTarget(t *target) {
	s.oracle.disturb(t)
	s.store.removeTarget(t.entry.ID)
	s.after(2*time.Second, func() {
		s.oracle.disturb(t)
		t.register()
	})
}

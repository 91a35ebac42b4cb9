package simulator

import (
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	// startupTime is how long a process takes to start.
	startupTime = 100 * time.Millisecond
	// shutdownTime is how long a stopping host keeps steering packets.
	shutdownTime = 2 * time.Second
	// probeTimeout is the time after which an unanswered probe counts as failed.
	probeTimeout = 250 * time.Millisecond
	// fetchTimeout is the time after which an unanswered fetch fails; transferTimeout
	// limits a fetch whose response takes too long to transfer.
	fetchTimeout    = 400 * time.Millisecond
	transferTimeout = 2 * time.Second
	// registrationBytes is the size of a registration in an update between hosts.
	registrationBytes = 70
	// decodeCostRatio is the cost of decoding a registration from a host, relative to
	// that of reading one from the store.
	decodeCostRatio = 0.1
)

// host is an entry host: an engine whose actions are performed on the models.
type host struct {
	location
	sim     *Simulation
	index   int
	address netip.Addr
	engine  *engine.Engine
	// generation counts the processes of this host; running reports that one is
	// running.
	generation int
	running    bool
	frozen     bool
	// pending holds calls that arrive while the process is frozen, and packets that
	// arrive before it has routes.
	pending []func()
	// storeUnreachable reports that the host cannot reach the store.
	storeUnreachable bool
	lastVersion      cactuspin.RoutingVersion
	link             link
	// busyUntil is when the host finishes decoding what it has received.
	busyUntil cactuspin.Time
}

// link is a network link that transfers messages one after another.
type link struct{ freeAt cactuspin.Time }

// transfer returns how long it takes until n bytes are transferred at a rate in bytes
// per second; a rate of 0 means no limit.
func (l *link) transfer(now cactuspin.Time, n int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	l.freeAt = max(l.freeAt, now).Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return l.freeAt.Sub(now)
}

// processingTime returns how long it takes until the host has decoded the given number
// of registrations, including those it is still working on.
func (h *host) processingTime(registrations int, costRatio float64) time.Duration {
	cost := time.Duration(float64(registrations) * costRatio * float64(h.sim.scenario.ReadCost.Duration))
	h.busyUntil = max(h.busyUntil, h.sim.now).Add(cost)
	return h.busyUntil.Sub(h.sim.now)
}

func (h *host) start() {
	h.generation++
	h.running, h.frozen, h.lastVersion = true, false, 0
	h.busyUntil = 0
	h.pending = nil
	var seeds []netip.Addr
	for i := 0; i < len(h.sim.hosts) && i < 3; i++ {
		seeds = append(seeds, h.sim.hosts[i].address)
	}
	self := cactuspin.EntryHost{Address: h.address, Zone: h.zone}
	h.engine = engine.New(engine.Config{
		DynamicConfig: engine.DynamicConfig{Seeds: seeds, MaxStaleness: min(applyBound, drainBound, evacuationBound), Evacuations: !h.previousBuild()},
		Self:          self, Incarnation: cactuspin.Incarnation(h.sim.random.Uint64()), MaxFlows: 1 << 14, Seed: h.sim.random.Uint64(),
	})
	h.announce()
	h.tick(h.generation)
}

// announce announces the host at the store once; a call that fails is not repeated.
func (h *host) announce() {
	generation := h.generation
	h.sim.after(storeDelay, func() {
		if h.generation == generation && !h.sim.store.unavailable && !h.sim.storeBlocked(h) {
			h.sim.store.announceHost(cactuspin.EntryHost{Address: h.address, Zone: h.zone})
		}
	})
}

func (h *host) tick(generation int) {
	if h.generation != generation {
		return
	}
	h.sim.after(engine.TickInterval, func() { h.tick(generation) })
	if !h.frozen {
		h.execute(func(out *engine.Actions) { h.engine.Tick(h.sim.now, out) })
		if h.engine.Loaded(h.sim.now) {
			h.processPending()
		}
	}
}

// execute calls the engine and performs its actions, or defers the call while the
// process is frozen.
func (h *host) execute(call func(out *engine.Actions)) {
	switch {
	case !h.running:
	case h.frozen:
		h.pending = append(h.pending, func() { h.execute(call) })
	default:
		var out engine.Actions
		call(&out)
		h.performActions(&out)
	}
}

func (h *host) performActions(out *engine.Actions) {
	for _, n := range out.Notes {
		h.sim.trace("host %d: %s %v", h.index, n.Message, n.Attributes)
	}
	for i := range out.Sends {
		h.send(&out.Sends[i])
	}
	if out.Store != nil {
		h.sim.store.handleCall(h, out.Store)
	}
	if out.Fetch != nil {
		h.fetch(out.Fetch)
	}
	for _, r := range out.Resets {
		h.sim.resetFlow(h, r)
	}
	if out.Announce {
		h.announce()
	}
	for _, p := range out.Probes {
		startedAt, generation, p := h.sim.now, h.generation, p
		finding, duration := h.sim.probe(h, p.Address)
		h.sim.after(duration, func() {
			if h.generation == generation {
				h.execute(func(out *engine.Actions) { h.engine.Probed(h.sim.now, startedAt, p, finding, out) })
			}
		})
	}
}

// send sends a datagram to other hosts.
func (h *host) send(s *engine.Send) {
	if h.previousBuild() {
		s.Datagram = datagramOfPreviousBuild(s.Datagram)
	}
	if b, err := encoder.Encode(&s.Datagram); err == nil {
		h.sim.oracle.peerBytes += len(b) * len(s.To)
	}
	for _, a := range s.To {
		p := h.sim.hostAt(a)
		if p == nil {
			continue
		}
		d := s.Datagram
		if p.previousBuild() {
			d = datagramOfPreviousBuild(d)
		}
		h.sim.transmit(&h.location, &p.location, func() {
			p.execute(func(out *engine.Actions) { p.engine.Datagram(p.sim.now, h.address, &d, out) })
		})
	}
}

func (h *host) fetch(f *engine.Fetch) {
	generation, p, ended := h.generation, h.sim.hostAt(f.Host), false
	answer := func(u cactuspin.Update, err error) {
		if h.generation == generation && !ended {
			ended = true
			if h.previousBuild() {
				u = updateOfPreviousBuild(u)
			}
			h.execute(func(out *engine.Actions) { h.engine.Fetched(h.sim.now, f, &u, err, out) })
		}
	}
	if p == nil || !p.running || p.frozen || h.sim.blocked(&h.location, &p.location) {
		h.sim.after(fetchTimeout, func() { answer(cactuspin.Update{}, errUnavailable) })
		return
	}
	h.sim.after(transferTimeout, func() { answer(cactuspin.Update{}, errUnavailable) })
	h.sim.after(3*h.sim.delay(&h.location, &p.location), func() { p.serveFetch(h, f, answer) })
}

// serveFetch answers another host's fetch with an update.
func (h *host) serveFetch(to *host, f *engine.Fetch, answer func(cactuspin.Update, error)) {
	if !h.running {
		return
	}
	e := h.engine
	era := f.Era
	if h.previousBuild() || to.previousBuild() {
		era = e.Status(h.sim.now).Era
	}
	u, err := e.UpdateSince(h.sim.now, era, f.After)
	if h.previousBuild() {
		u = updateOfPreviousBuild(u)
	}
	if err != nil {
		answer(u, err)
		return
	}
	sent := h.processingTime(len(u.Targets), decodeCostRatio) + h.link.transfer(h.sim.now, registrationBytes*len(u.Targets), h.sim.scenario.HostBandwidth)
	h.sim.after(sent, func() {
		e.UpdateSent(&u)
		h.sim.after(to.processingTime(len(u.Targets), decodeCostRatio), func() { answer(u, nil) })
	})
}

// handlePacket steers a caller's packet.
func (h *host) handlePacket(c *connection, p cactuspin.Packet, r *request) {
	h.execute(func(*engine.Actions) {
		if !h.engine.Loaded(h.sim.now) {
			// The socket buffers packets until the host has routes.
			h.pending = append(h.pending, func() { h.handlePacket(c, p, r) })
			return
		}
		v := h.engine.Steer(h.sim.now, &p)
		h.sim.oracle.checkVerdict(h, &v)
		h.sim.oracle.checkPlacement(h, c, &p, &v)
		switch v.Kind {
		case cactuspin.VerdictForward:
			if v.Cookie != 0 {
				p.Cookie = v.Cookie
			}
			h.sim.deliver(h, c, &p, &v, r)
		case cactuspin.VerdictReset:
			h.sim.after(h.sim.delayToCaller(), func() { c.handleReset(h, nil, v.Reason) })
		case cactuspin.VerdictDrop:
		}
	})
}

func (h *host) processPending() {
	if h.frozen || !h.running {
		return
	}
	pending := h.pending
	h.pending = nil
	for _, f := range pending {
		f()
	}
}

func (h *host) kill(downtime time.Duration) {
	h.generation++
	h.running = false
	h.sim.oracle.startGracePeriod(h)
	h.sim.trace("host %d: killed", h.index)
	h.sim.after(downtime+startupTime, func() {
		h.start()
		h.sim.oracle.startGracePeriod(h)
	})
}

func (h *host) freeze(d time.Duration) {
	h.frozen = true
	h.sim.oracle.startGracePeriod(h)
	generation := h.generation
	h.sim.after(d, func() {
		if h.generation == generation {
			h.frozen = false
			h.sim.oracle.startGracePeriod(h)
			h.processPending()
		}
	})
}

// stop performs a planned stop, followed by a restart.
func (h *host) stop() {
	h.sim.oracle.startGracePeriod(h)
	h.execute(func(out *engine.Actions) { h.engine.Stop(out) })
	generation := h.generation
	h.sim.after(shutdownTime, func() {
		if h.generation == generation {
			h.kill(0)
		}
	})
}

func (s *Simulation) hostAt(a netip.Addr) *host {
	for _, h := range s.hosts {
		if h.address == a {
			return h
		}
	}
	return nil
}

func (s *Simulation) storeBlocked(h *host) bool {
	return h.storeUnreachable || h.isolated || s.isolatedZones[h.zone]
}

// routers distribute callers' packets to hosts.
type routers struct {
	sim          *Simulation
	failedChecks map[*host]int
}

func (r *routers) check() {
	if r.failedChecks == nil {
		r.failedChecks = map[*host]int{}
	}
	for _, h := range r.sim.hosts {
		if h.running && !h.frozen && !h.isolated && h.engine.Ready(r.sim.now) {
			r.failedChecks[h] = 0
		} else {
			r.failedChecks[h]++
		}
	}
	r.sim.after(readyInterval, r.check)
}

// route returns the host that receives a caller's packets.
func (r *routers) route(c *connection) *host {
	var ready, zoneHosts []*host
	for _, h := range r.sim.hosts {
		if h.zone != c.caller.zone {
			continue
		}
		zoneHosts = append(zoneHosts, h)
		if r.failedChecks[h] < 2 {
			ready = append(ready, h)
		}
	}
	if 2*len(ready) < len(zoneHosts) {
		ready = zoneHosts
	}
	// Rendezvous hashing: when a host leaves, only its own flows move to other hosts.
	var best *host
	highest := uint64(0)
	for _, h := range ready {
		if x := (uint64(c.address.Port())*2654435761 + uint64(h.index)*40503*7919) * 0x9E3779B97F4A7C15; best == nil || x > highest {
			best, highest = h, x
		}
	}
	return best
}

// resetFlow resets a flow without a packet of its caller.
func (s *Simulation) resetFlow(h *host, r balancer.Reset) {
	for _, c := range s.callers {
		if x := c.connection; x != nil && x.address == r.Caller && x.service == r.Service {
			s.after(s.delayToCaller(), func() { x.handleReset(h, nil, cactuspin.ReasonTargetDown) })
		}
	}
}

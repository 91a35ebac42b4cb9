package simulator

import (
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	// startTime is how long a process takes to start.
	startTime = 100 * time.Millisecond
	// stopTime is how long a stopping host steers on.
	stopTime = 2 * time.Second
	// probeTimeout is when an unanswered probe has failed.
	probeTimeout = 250 * time.Millisecond
	// fetchTimeout is when an unanswered fetch has failed, bodyTimeout when one
	// whose answer takes too long has.
	fetchTimeout = 400 * time.Millisecond
	bodyTimeout  = 2 * time.Second
	// entryBytes is what a registration takes in an update between hosts.
	entryBytes = 70
	// decodeShare is the cost of reading a registration from a host, as a share of
	// that of reading it from the store.
	decodeShare = 0.1
)

// host is an entry host: an engine whose actions are performed on the models.
type host struct {
	place
	sim     *Simulation
	index   int
	address netip.Addr
	engine  *engine.Engine
	// life counts the processes of this host; running says that one runs.
	life    int
	running bool
	frozen  bool
	// held is what arrives while the process is frozen.
	held []func()
	// storeCut says that the store is out of reach.
	storeCut bool
	version  cactuspin.RoutingVersion
	link     link
	// processor is when the host is done with what it reads.
	processor cactuspin.Time
}

// link is a link that carries one thing after another.
type link struct{ free cactuspin.Time }

// carry returns how long it takes until n bytes are over, at a rate in bytes a
// second; 0 is no limit.
func (l *link) carry(now cactuspin.Time, n int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	l.free = max(l.free, now).Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return l.free.Sub(now)
}

// work returns how long it takes until the host has read n registrations.
func (h *host) work(n int, share float64) time.Duration {
	cost := time.Duration(float64(n) * share * float64(h.sim.story.ReadCost.Duration))
	h.processor = max(h.processor, h.sim.now).Add(cost)
	return h.processor.Sub(h.sim.now)
}

func (h *host) start() {
	h.life++
	h.running, h.frozen, h.version = true, false, 0
	h.processor = 0
	h.held = nil
	var seeds []netip.Addr
	for i := 0; i < len(h.sim.hosts) && i < 3; i++ {
		seeds = append(seeds, h.sim.hosts[i].address)
	}
	self := cactuspin.EntryHost{Address: h.address, Zone: h.zone}
	h.engine = engine.New(engine.Config{
		DynamicConfig: engine.DynamicConfig{Seeds: seeds, MaxStaleness: min(applyBound, drainBound)},
		Self:          self, Incarnation: cactuspin.Incarnation(h.sim.random.Uint64()), MaxFlows: 1 << 14, Seed: h.sim.random.Uint64(),
	})
	life := h.life
	h.sim.after(storeDelay, func() {
		if h.life == life && !h.sim.store.down && !h.sim.blockedStore(h) {
			h.sim.store.announce(self)
		}
	})
	h.tick(life)
}

func (h *host) tick(life int) {
	if h.life != life {
		return
	}
	h.sim.after(engine.TickInterval, func() { h.tick(life) })
	if !h.frozen {
		h.do(func(out *engine.Actions) { h.engine.Tick(h.sim.now, out) })
		if h.engine.Loaded(h.sim.now) {
			h.release()
		}
	}
}

// do runs a decision, or holds it while the process is frozen.
func (h *host) do(decide func(out *engine.Actions)) {
	switch {
	case !h.running:
	case h.frozen:
		h.held = append(h.held, func() { h.do(decide) })
	default:
		var out engine.Actions
		decide(&out)
		h.perform(&out)
	}
}

func (h *host) perform(out *engine.Actions) {
	for _, n := range out.Notes {
		h.sim.trace("host %d: %s %v", h.index, n.Message, n.Attributes)
	}
	for _, s := range out.Sends {
		if b, err := encoder.Encode(&s.Datagram); err == nil {
			h.sim.oracle.peerBytes += len(b) * len(s.To)
		}
		for _, a := range s.To {
			if p := h.sim.hostAt(a); p != nil {
				d := s.Datagram
				h.sim.carry(&h.place, &p.place, func() {
					p.do(func(out *engine.Actions) { p.engine.Datagram(p.sim.now, h.address, &d, out) })
				})
			}
		}
	}
	if out.Store != nil {
		h.sim.store.call(h, out.Store)
	}
	if out.Fetch != nil {
		h.fetch(out.Fetch)
	}
	for _, p := range out.Probes {
		began, life, p := h.sim.now, h.life, p
		answered, took := h.sim.probe(h, p.Address)
		h.sim.after(took, func() {
			if h.life == life {
				h.do(func(out *engine.Actions) { h.engine.Probed(h.sim.now, began, p, answered, out) })
			}
		})
	}
}

func (h *host) fetch(f *engine.Fetch) {
	life, p, ended := h.life, h.sim.hostAt(f.Host), false
	answer := func(u cactuspin.Update, err error) {
		if h.life == life && !ended {
			ended = true
			h.do(func(out *engine.Actions) { h.engine.Fetched(h.sim.now, f, &u, err, out) })
		}
	}
	if p == nil || !p.running || p.frozen || h.sim.blocked(&h.place, &p.place) {
		h.sim.after(fetchTimeout, func() { answer(cactuspin.Update{}, errUnavailable) })
		return
	}
	h.sim.after(bodyTimeout, func() { answer(cactuspin.Update{}, errUnavailable) })
	h.sim.after(3*h.sim.delay(&h.place, &p.place), func() { p.supply(h, f, answer) })
}

// supply answers a fetch.
func (h *host) supply(to *host, f *engine.Fetch, answer func(cactuspin.Update, error)) {
	if !h.running {
		return
	}
	e := h.engine
	u, err := e.UpdateSince(h.sim.now, f.After)
	if err != nil {
		answer(u, err)
		return
	}
	sent := h.work(len(u.Targets), decodeShare) + h.link.carry(h.sim.now, entryBytes*len(u.Targets), h.sim.story.HostBandwidth)
	h.sim.after(sent, func() {
		e.UpdateSent(&u)
		h.sim.after(to.work(len(u.Targets), decodeShare), func() { answer(u, nil) })
	})
}

// packet takes a caller's packet.
func (h *host) packet(c *connection, p cactuspin.Packet, r *request) {
	h.do(func(*engine.Actions) {
		if !h.engine.Loaded(h.sim.now) {
			// The socket holds packets until there are routes.
			h.held = append(h.held, func() { h.packet(c, p, r) })
			return
		}
		v := h.engine.Steer(h.sim.now, &p)
		h.sim.oracle.steered(h, &v)
		switch v.Kind {
		case cactuspin.VerdictForward:
			if v.Cookie != 0 {
				p.Cookie = v.Cookie
			}
			h.sim.deliver(h, c, &p, &v, r)
		case cactuspin.VerdictReset:
			h.sim.after(h.sim.callerWay(), func() { c.reset(h, nil, v.Reason) })
		case cactuspin.VerdictDrop:
		}
	})
}

func (h *host) release() {
	if h.frozen || !h.running {
		return
	}
	held := h.held
	h.held = nil
	for _, f := range held {
		f()
	}
}

func (h *host) kill(down time.Duration) {
	h.life++
	h.running = false
	h.sim.oracle.disturb(h)
	h.sim.trace("host %d: killed", h.index)
	h.sim.after(down+startTime, func() {
		h.start()
		h.sim.oracle.disturb(h)
	})
}

func (h *host) freeze(d time.Duration) {
	h.frozen = true
	h.sim.oracle.disturb(h)
	life := h.life
	h.sim.after(d, func() {
		if h.life == life {
			h.frozen = false
			h.sim.oracle.disturb(h)
			h.release()
		}
	})
}

// stop is a planned stop and a new start.
func (h *host) stop() {
	h.sim.oracle.disturb(h)
	h.do(func(out *engine.Actions) { h.engine.Stop(out) })
	life := h.life
	h.sim.after(stopTime, func() {
		if h.life == life {
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

func (s *Simulation) blockedStore(h *host) bool { return h.storeCut || h.cut || s.cutZones[h.zone] }

// routers hand callers' packets to hosts.
type routers struct {
	sim    *Simulation
	misses map[*host]int
}

func (r *routers) check() {
	if r.misses == nil {
		r.misses = map[*host]int{}
	}
	for _, h := range r.sim.hosts {
		if h.running && !h.frozen && !h.cut && h.engine.Ready(r.sim.now) {
			r.misses[h] = 0
		} else {
			r.misses[h]++
		}
	}
	r.sim.after(readyInterval, r.check)
}

// route returns the host that takes a caller's packets.
func (r *routers) route(c *connection) *host {
	var up, all []*host
	for _, h := range r.sim.hosts {
		if h.zone != c.caller.zone {
			continue
		}
		all = append(all, h)
		if r.misses[h] < 2 {
			up = append(up, h)
		}
	}
	if 2*len(up) < len(all) {
		up = all
	}
	// The host with the highest hash takes the flow, so that only flows of a host
	// that left move.
	var best *host
	highest := uint64(0)
	for _, h := range up {
		if x := (uint64(c.address.Port())*2654435761 + uint64(h.index)*40503*7919) * 0x9E3779B97F4A7C15; best == nil || x > highest {
			best, highest = h, x
		}
	}
	return best
}

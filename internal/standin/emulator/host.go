package emulator

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/host/engine"
)

// Host is an entry host on the virtual clock.
type Host struct {
	ID     cactuspin.HostID
	Zone   cactuspin.ZoneID
	Engine *engine.Engine
	Alive  bool
	// Stopped is set once a planned stop has completed.
	Stopped bool

	e          *Emulator
	generation int
	leaving    bool
	frozen     bool
	// pending holds the events that arrive while the host is frozen.
	pending []func()
	// deferNext defers the actions of the next decision until the host resumes.
	deferNext bool
	version   cactuspin.BundleVersion
	// InForceSince is when each bundle came into force on this host.
	InForceSince map[cactuspin.BundleVersion]cactuspin.Time
	// SentBytes counts the bytes sent to other hosts, ControlBytes those of messages
	// that carry no request.
	SentBytes, ControlBytes uint64
	// Decisions counts the host's decisions by kind.
	Decisions map[cactuspin.DecisionKind]int
}

// AddHost starts a new host that knows only the IDs of the other hosts.
func (e *Emulator) AddHost(id cactuspin.HostID, z cactuspin.ZoneID) *Host {
	h := &Host{ID: id, Zone: z, e: e, Decisions: make(map[cactuspin.DecisionKind]int)}
	e.hosts = append(e.hosts, h)
	slices.SortFunc(e.hosts, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
	h.Restart()
	return h
}

// Restart starts a new process at the host's address.
func (h *Host) Restart() {
	c := engine.Config{
		Self:           h.ID,
		Zone:           h.Zone,
		Incarnation:    cactuspin.Incarnation(h.e.random.Uint64()),
		Seed:           h.e.random.Uint64(),
		Start:          h.e.now,
		Keys:           h.e.keys(),
		Signers:        h.e.signers,
		CookieLifetime: h.e.cfg.CookieLifetime,
		Records:        h.e.cfg.Records,
	}
	x, err := engine.New(c)
	if err != nil {
		panic(err)
	}
	h.Engine = x
	h.generation++
	h.Alive = true
	h.Stopped = false
	h.leaving = false
	h.frozen = false
	h.deferNext = false
	h.pending = nil
	h.version = 0
	h.InForceSince = make(map[cactuspin.BundleVersion]cactuspin.Time)
	for _, o := range h.e.hosts {
		x.AddPeers(o.ID)
	}
	h.tick(h.generation, time.Duration(h.e.random.Int64N(int64(tickPeriod))))
	h.e.Platform.watch(h, h.generation)
}

// Kill ends the process immediately and closes its connections.
func (h *Host) Kill() {
	h.Alive = false
	h.generation++
	for _, t := range h.e.Oracle.targets {
		t.closeConnection(h)
	}
}

// Stop starts a planned stop.
func (h *Host) Stop() {
	h.leaving = true
	h.process(h.Engine.Stop)
}

// Freeze pauses the process for d. With mid set, the pause begins at the next
// decision, before its actions are carried out.
func (h *Host) Freeze(d time.Duration, mid bool) {
	h.deferNext = mid
	if !mid {
		h.frozen = true
	}
	generation := h.generation
	h.e.After(d, func() {
		if h.generation == generation {
			h.resume()
		}
	})
}

func (h *Host) resume() {
	h.frozen = false
	h.deferNext = false
	pending := h.pending
	h.pending = nil
	for _, f := range pending {
		f()
	}
}

func (h *Host) tick(generation int, d time.Duration) {
	h.e.After(d, func() {
		if h.generation != generation || !h.Alive {
			return
		}
		if !h.frozen {
			h.process(h.Engine.Tick)
			h.e.Oracle.checkVersion(h)
		}
		h.tick(generation, tickPeriod)
	})
}

// deliver passes an event to the host, or queues it while the host is frozen.
func (h *Host) deliver(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	generation := h.generation
	if !h.Alive {
		return
	}
	if h.frozen {
		h.pending = append(h.pending, func() {
			if h.generation == generation {
				h.process(decide)
			}
		})
		return
	}
	h.process(decide)
}

func (h *Host) process(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	out := &cactuspin.Actions{}
	decide(h.e.now, out)
	if h.deferNext {
		h.deferNext = false
		h.frozen = true
		h.pending = append(h.pending, func() { h.perform(out) })
		return
	}
	h.perform(out)
}

func (h *Host) perform(out *cactuspin.Actions) {
	for _, d := range out.Decisions {
		h.Decisions[d.Kind]++
		if h.e.cfg.Trace != nil {
			h.e.cfg.Trace(h.ID, h.e.now, d)
		}
	}
	for _, a := range out.Answers {
		h.e.sendToCaller(a)
	}
	for _, c := range out.Controls {
		h.control(c)
	}
	for _, p := range out.Peers {
		h.send(p)
	}
	for i := range out.Relays {
		m := cactuspin.PeerMessage{Relay: &out.Relays[i].Request}
		h.send(cactuspin.PeerSend{Host: out.Relays[i].Host, Message: m})
	}
	for _, s := range out.Sends {
		t := h.e.targets[s.Target]
		h.e.step(h, t)
		expired := s.NotAfter != 0 && h.e.now >= s.NotAfter
		if t == nil || expired || !t.send(h, s) {
			h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) {
				h.Engine.Target(now, cactuspin.TargetSignal{
					Target: s.Target, Kind: cactuspin.SignalNotSent, Exchange: s.Exchange,
				}, out)
			})
		}
	}
	if out.Stopped && !h.Stopped {
		h.Stopped = true
		h.Kill()
	}
}

func (h *Host) control(c cactuspin.TargetControl) {
	t := h.e.targets[c.Target]
	if t == nil {
		return
	}
	switch c.Kind {
	case cactuspin.TargetDial:
		t.dial(h)
	case cactuspin.TargetPing:
		t.ping(h)
	case cactuspin.TargetClose:
		t.closeConnection(h)
	}
}

// send sends a message to another host, encoded and decoded as on the wire.
func (h *Host) send(p cactuspin.PeerSend) {
	to := h.e.Host(p.Host)
	if to == nil {
		return
	}
	b, err := cbor.Marshal(p.Message)
	if err != nil {
		panic(err)
	}
	h.SentBytes += uint64(len(b))
	if m := p.Message; m.Relay == nil && m.Execute == nil && m.ExecuteResult == nil {
		h.ControlBytes += uint64(len(b))
	}
	h.e.link(h, to).carry(func() {
		if p.Message.Heartbeat == nil {
			h.e.step(to, nil)
		}
		var m cactuspin.PeerMessage
		if err := cbor.Unmarshal(b, &m); err != nil {
			panic(err)
		}
		from := h.ID
		to.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { to.Engine.Peer(now, from, m, out) })
	})
}

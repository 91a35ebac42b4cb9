package emulator

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/host/engine"
)

// Host is an entry host under the virtual clock.
type Host struct {
	ID     cactuspin.HostID
	Zone   cactuspin.ZoneID
	Engine *engine.Engine
	Alive  bool
	// Stopped is set when a planned stop has ended.
	Stopped bool

	e       *Emulator
	life    int
	leaving bool
	frozen  bool
	// pending holds what arrives while the host is frozen.
	pending []func()
	// holdNext keeps back the actions of the next decision until the host wakes.
	holdNext bool
	version  cactuspin.BundleVersion
	// InForceSince is when each bundle came into force here.
	InForceSince map[cactuspin.BundleVersion]cactuspin.Time
	// SentBytes counts the bytes to other hosts, ControlBytes those that carry no request.
	SentBytes, ControlBytes uint64
	// Decisions counts decisions by kind.
	Decisions map[cactuspin.DecisionKind]int
}

// AddHost starts a new host that knows nothing yet.
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
	h.life++
	h.Alive = true
	h.Stopped = false
	h.leaving = false
	h.frozen = false
	h.holdNext = false
	h.pending = nil
	h.version = 0
	h.InForceSince = make(map[cactuspin.BundleVersion]cactuspin.Time)
	for _, o := range h.e.hosts {
		x.AddPeers(o.ID)
	}
	h.tick(h.life, time.Duration(h.e.random.Int64N(int64(tickPeriod))))
	h.e.Platform.watch(h, h.life)
}

// Kill ends the process at once. Its connections break.
func (h *Host) Kill() {
	h.Alive = false
	h.life++
	for _, t := range h.e.Oracle.order {
		t.hangUp(h)
	}
}

// Stop begins a planned stop.
func (h *Host) Stop() {
	h.leaving = true
	h.do(h.Engine.Stop)
}

// Freeze pauses the process. With mid it is paused between its next decision and
// what follows from it.
func (h *Host) Freeze(d time.Duration, mid bool) {
	h.holdNext = mid
	if !mid {
		h.frozen = true
	}
	life := h.life
	h.e.After(d, func() {
		if h.life == life {
			h.wake()
		}
	})
}

func (h *Host) wake() {
	h.frozen = false
	h.holdNext = false
	pending := h.pending
	h.pending = nil
	for _, f := range pending {
		f()
	}
}

func (h *Host) tick(life int, d time.Duration) {
	h.e.After(d, func() {
		if h.life != life || !h.Alive {
			return
		}
		if !h.frozen {
			h.do(h.Engine.Tick)
			h.e.Oracle.checkVersion(h)
		}
		h.tick(life, tickPeriod)
	})
}

// deliver hands an event to the host, or keeps it while the host is frozen.
func (h *Host) deliver(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	life := h.life
	if !h.Alive {
		return
	}
	if h.frozen {
		h.pending = append(h.pending, func() {
			if h.life == life {
				h.do(decide)
			}
		})
		return
	}
	h.do(decide)
}

func (h *Host) do(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	out := &cactuspin.Actions{}
	decide(h.e.now, out)
	if h.holdNext {
		h.holdNext = false
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
		late := s.NotAfter != 0 && h.e.now >= s.NotAfter
		if t == nil || late || !t.send(h, s) {
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
		t.hangUp(h)
	}
}

// send carries a message to another host through its codec.
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

package emulator

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
)

// coldFactor is the factor by which a cold target is slower.
const coldFactor = 5

// Options of a block-wise answer (RFC 7252, RFC 7959).
const (
	optionETag   = 4
	optionBlock2 = 23
)

// Blocks is the number of blocks of a diagram.
const Blocks = 4

// Target is a model of a target. It does not deduplicate requests.
type Target struct {
	Address     cactuspin.Target
	Service     string
	Zone        cactuspin.ZoneID
	Slots       int
	ServiceTime time.Duration
	// Shed makes the target refuse all requests.
	Shed bool
	// ActiveRequests is the number of requests that run now, MaxActiveRequests the
	// maximum so far.
	ActiveRequests, MaxActiveRequests int
	// BusyTime is the total time for which slots were held.
	BusyTime time.Duration
	// feeds holds the current observations.
	feeds map[feedKey]bool
	// Registrations counts all observations so far, Requests all requests that needed
	// a slot, ShedRequests those of them that were refused.
	Registrations, Requests, ShedRequests int

	e         *Emulator
	epoch     int
	state     int
	frozen    bool
	pending   []func()
	coldUntil cactuspin.Time
	conns     map[cactuspin.HostID]*conn
	down      bool
}

type feedKey struct {
	host     cactuspin.HostID
	exchange cactuspin.ExchangeID
}

// conn is a connection of one process of a host.
type conn struct {
	host       *Host
	generation int
	blackholed bool
	open       bool
}

// AddTarget starts a target.
func (e *Emulator) AddTarget(service string, r cactuspin.TargetRule) *Target {
	t := &Target{
		Address: r.Address, Service: service, Zone: r.Zone, Slots: r.Slots, ServiceTime: e.cfg.ServiceTime,
		e: e, feeds: make(map[feedKey]bool), conns: make(map[cactuspin.HostID]*conn),
	}
	e.targets[r.Address] = t
	e.Oracle.targets = append(e.Oracle.targets, t)
	return t
}

// Feeds returns the number of current observations.
func (t *Target) Feeds() int { return len(t.feeds) }

// State returns the number of the current state.
func (t *Target) State() int { return t.state }

// Publish changes the state and notifies the observers.
func (t *Target) Publish() {
	t.state++
	keys := slices.SortedFunc(maps.Keys(t.feeds), func(a, b feedKey) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.exchange, b.exchange))
	})
	for _, k := range keys {
		t.notify(t.e.Host(k.host), k.exchange)
	}
}

// Restart closes all connections and discards the running requests. The target is
// cold for the given time.
func (t *Target) Restart(cold time.Duration) {
	t.epoch++
	t.ActiveRequests = 0
	t.coldUntil = t.e.now.Add(cold)
	for _, h := range t.e.hosts {
		t.closeConnection(h)
		t.signalDisconnected(h)
	}
}

// Freeze pauses the target for d.
func (t *Target) Freeze(d time.Duration) {
	t.frozen = true
	t.e.After(d, func() {
		t.frozen = false
		pending := t.pending
		t.pending = nil
		for _, f := range pending {
			f()
		}
	})
}

// BlackholeConnections drops all messages on the current connections; new
// connections work.
func (t *Target) BlackholeConnections() {
	for _, c := range t.conns {
		c.blackholed = true
	}
}

// SetDown makes the target refuse connections and closes the open ones, or makes it
// accept connections again.
func (t *Target) SetDown(down bool) {
	t.down = down
	if down {
		t.Restart(0)
	}
}

func (t *Target) dial(h *Host) {
	generation := h.generation
	t.e.After(2*localDelay, func() {
		if h.generation != generation || !h.Alive {
			return
		}
		if t.down {
			t.signalDisconnected(h)
			return
		}
		if c := t.conns[h.ID]; c != nil && c.open && c.generation == generation {
			return
		}
		t.conns[h.ID] = &conn{host: h, generation: generation, open: true}
		t.signal(h, cactuspin.TargetSignal{Target: t.Address, Kind: cactuspin.SignalConnected})
	})
}

func (t *Target) closeConnection(h *Host) {
	if c := t.conns[h.ID]; c != nil {
		c.open = false
		delete(t.conns, h.ID)
	}
	for k := range t.feeds {
		if k.host == h.ID {
			delete(t.feeds, k)
		}
	}
}

func (t *Target) signalDisconnected(h *Host) {
	t.signal(h, cactuspin.TargetSignal{Target: t.Address, Kind: cactuspin.SignalDisconnected})
}

func (t *Target) signal(h *Host, s cactuspin.TargetSignal) {
	h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { h.Engine.Target(now, s, out) })
}

// sendSignal sends a signal over a connection, unless the connection is closed or
// blackholed.
func (t *Target) sendSignal(c *conn, s cactuspin.TargetSignal) {
	s.Target = t.Address
	t.e.After(localDelay, func() {
		if !c.open || c.blackholed || c.host.generation != c.generation {
			return
		}
		t.e.step(c.host, t)
		t.signal(c.host, s)
	})
}

func (t *Target) ping(h *Host) {
	t.deliver(h, func(c *conn) { t.sendSignal(c, cactuspin.TargetSignal{Kind: cactuspin.SignalPong}) })
}

// deliver runs f at the target once a message from the host has arrived. It returns
// false if the host has no open connection.
func (t *Target) deliver(h *Host, f func(c *conn)) bool {
	c := t.conns[h.ID]
	if c == nil || !c.open || c.generation != h.generation {
		return false
	}
	t.e.After(localDelay, func() {
		if !c.open || c.blackholed {
			return
		}
		if t.frozen {
			t.pending = append(t.pending, func() { f(c) })
			return
		}
		f(c)
	})
	return true
}

func (t *Target) send(h *Host, s cactuspin.TargetSend) bool {
	return t.deliver(h, func(c *conn) { t.handle(c, s) })
}

func (t *Target) handle(c *conn, s cactuspin.TargetSend) {
	t.e.step(c.host, t)
	if s.Observe != cactuspin.ObserveNone {
		t.observe(c, s)
		return
	}
	t.Requests++
	if t.Shed || t.ActiveRequests >= t.Slots {
		t.ShedRequests++
		t.sendSignal(c, cactuspin.TargetSignal{
			Kind: cactuspin.SignalAnswer, Exchange: s.Exchange, Code: cactuspin.CodeServiceUnavailable,
		})
		return
	}
	t.e.Oracle.recordRun(t, s)
	t.ActiveRequests++
	t.MaxActiveRequests = max(t.MaxActiveRequests, t.ActiveRequests)
	work := t.ServiceTime
	if t.e.now < t.coldUntil {
		work *= coldFactor
	}
	t.BusyTime += work
	epoch := t.epoch
	t.e.After(work, func() { t.finish(c, s, epoch) })
}

func (t *Target) finish(c *conn, s cactuspin.TargetSend, epoch int) {
	if t.epoch != epoch {
		return
	}
	if t.frozen {
		t.pending = append(t.pending, func() { t.finish(c, s, epoch) })
		return
	}
	t.ActiveRequests--
	a := cactuspin.TargetSignal{Kind: cactuspin.SignalAnswer, Exchange: s.Exchange, Code: cactuspin.CodeContent}
	if s.Method == cactuspin.MethodPost {
		a.Payload = append([]byte("done "), s.Payload...)
	} else {
		a.Payload, a.Options = t.block(s)
	}
	t.sendSignal(c, a)
}

// block returns one block of a diagram. The content differs between epochs.
func (t *Target) block(s cactuspin.TargetSend) (payload []byte, os []cactuspin.Option) {
	const numberShift, moreBit = 4, 1 << 3
	n := byte(0)
	for _, o := range s.Options {
		if o.Number == optionBlock2 && len(o.Value) > 0 {
			n = o.Value[0] >> numberShift
		}
	}
	v := n << numberShift
	if n < Blocks-1 {
		v |= moreBit
	}
	tag := binary.BigEndian.AppendUint32(nil, uint32(t.epoch))
	payload = fmt.Appendf(nil, "%s epoch %d block %d;", t.Service, t.epoch, n)
	return payload, []cactuspin.Option{{Number: optionETag, Value: tag}, {Number: optionBlock2, Value: []byte{v}}}
}

func (t *Target) observe(c *conn, s cactuspin.TargetSend) {
	k := feedKey{c.host.ID, s.Exchange}
	if s.Observe == cactuspin.ObserveCancel {
		delete(t.feeds, k)
		return
	}
	t.e.Oracle.recordRegistration(t, s)
	t.Registrations++
	t.feeds[k] = true
	t.notify(c.host, s.Exchange)
}

func (t *Target) notify(h *Host, x cactuspin.ExchangeID) {
	c := t.conns[h.ID]
	if c == nil || t.frozen {
		return
	}
	t.sendSignal(c, cactuspin.TargetSignal{
		Kind: cactuspin.SignalAnswer, Exchange: x, Code: cactuspin.CodeContent, Notification: true,
		Payload: fmt.Appendf(nil, "%s state %d", t.Service, t.state),
	})
}

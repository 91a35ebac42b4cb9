// Package emulator runs whole hosts in one process under a virtual clock, with
// small fakes of fabric, platform, targets and callers. The same seed gives the
// same run. It causes failures and judges by what the targets really ran.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// Start is the virtual time at which a run begins.
const Start = cactuspin.Time(1_800_000_000) * cactuspin.Time(time.Second)

// tickPeriod is how often a host is told the time.
const tickPeriod = 10 * time.Millisecond

// Config configures an Emulator.
type Config struct {
	Seed uint64
	// Hosts is the number of entry hosts, spread over the zones in turn.
	Hosts int
	Zones []cactuspin.ZoneID
	// Bundle is the text of the first bundle.
	Bundle []byte
	// ZoneDelay is the time between two zones, CallerDelay between a caller and
	// a host, one way; Jitter is the largest further delay.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Jitter      time.Duration
	// Loss and Double are the parts of callers' datagrams lost or doubled.
	Loss        float64
	Duplication float64
	// ServiceTime is how long a target takes for a request.
	ServiceTime time.Duration
	// Trace gets a line for each decision, if it is set.
	Trace func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision)
	// CookieLifetime is passed to the hosts.
	CookieLifetime time.Duration
	// Records is passed to the hosts.
	Records int
}

// Emulator is a running system.
type Emulator struct {
	cfg      Config
	now      cactuspin.Time
	events   eventQueue
	sequence uint64
	random   *rand.Rand
	private  string
	signers  signer.Signers

	hosts    []*Host
	targets  map[cactuspin.Target]*Target
	callers  map[netip.AddrPort]receiver
	nextPort uint16
	links    map[linkKey]*link
	cuts     map[zonePair]bool
	noPeers  map[linkKey]bool
	Platform *Platform
	Oracle   *Oracle
	// OnStep is called at each step of a request, observation or handover, with
	// the host and the target that it happens at, if any.
	OnStep func(h *Host, t *Target)
}

type receiver interface {
	receive(a cactuspin.Answer)
}

// event is something that happens at a time.
type event struct {
	at       cactuspin.Time
	sequence uint64
	run      func()
}

// New builds a system whose hosts run and know each other; the first bundle is
// on the platform.
func New(c Config) (e *Emulator, err error) {
	defer func() { err = errors.Wrap(err, "new emulator") }()
	e = &Emulator{
		cfg:      c,
		now:      Start,
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		targets:  make(map[cactuspin.Target]*Target),
		callers:  make(map[netip.AddrPort]receiver),
		links:    make(map[linkKey]*link),
		cuts:     make(map[zonePair]bool),
		noPeers:  make(map[linkKey]bool),
		nextPort: 1024,
	}
	public, private, err := signer.Generate()
	if err != nil {
		return nil, err
	}
	e.private = private
	if e.signers, err = signer.ParseSigners("ana " + public); err != nil {
		return nil, err
	}
	b, err := bundleparser.Parse(c.Bundle)
	if err != nil {
		return nil, err
	}
	e.Oracle = newOracle(e)
	e.Platform = newPlatform(e)
	for i := range b.Services {
		for _, t := range b.Services[i].Targets {
			e.AddTarget(b.Services[i].Name, t)
		}
	}
	for i := range c.Hosts {
		e.AddHost(cactuspin.HostID(i+1), c.Zones[i%len(c.Zones)])
	}
	e.Platform.Publish()
	_, err = e.Platform.Apply(c.Bundle)
	return e, err
}

// Now returns the virtual time.
func (e *Emulator) Now() cactuspin.Time { return e.now }

// Hosts returns the hosts in the order of their IDs.
func (e *Emulator) Hosts() []*Host { return e.hosts }

// Host returns the host with the ID, or nil.
func (e *Emulator) Host(id cactuspin.HostID) *Host {
	for _, h := range e.hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// Target returns the target at an address.
func (e *Emulator) Target(a cactuspin.Target) *Target { return e.targets[a] }

// Targets returns all targets of a service.
func (e *Emulator) Targets(service string) (ts []*Target) {
	for _, t := range e.Oracle.order {
		if t.Service == service {
			ts = append(ts, t)
		}
	}
	return ts
}

// After runs f when d has passed.
func (e *Emulator) After(d time.Duration, f func()) {
	e.sequence++
	heap.Push(&e.events, event{at: e.now.Add(max(d, 0)), sequence: e.sequence, run: f})
}

// Run lets d pass.
func (e *Emulator) Run(d time.Duration) { e.RunUntil(d, func() bool { return false }) }

// RunUntil lets d pass, or less when done returns true after an event.
func (e *Emulator) RunUntil(d time.Duration, done func() bool) bool {
	end := e.now.Add(d)
	for len(e.events) > 0 && e.events[0].at <= end {
		x, ok := heap.Pop(&e.events).(event)
		if !ok {
			break
		}
		e.now = x.at
		x.run()
		if done() {
			return true
		}
	}
	e.now = end
	return false
}

func (e *Emulator) step(h *Host, t *Target) {
	if e.OnStep != nil {
		e.OnStep(h, t)
	}
}

func (e *Emulator) jitter() time.Duration {
	if e.cfg.Jitter <= 0 {
		return 0
	}
	return time.Duration(e.random.Int64N(int64(e.cfg.Jitter)))
}

// DegradeNetwork makes the callers' network worse for a time. The silence of a feed is
// counted from its end.
func (e *Emulator) DegradeNetwork(loss, double float64, jitter, d time.Duration) {
	e.Oracle.excusedUntil = max(e.Oracle.excusedUntil, e.now.Add(d))
	e.cfg.Loss += loss
	e.cfg.Duplication += double
	e.cfg.Jitter += jitter
	e.After(d, func() {
		e.cfg.Loss -= loss
		e.cfg.Duplication -= double
		e.cfg.Jitter -= jitter
	})
}

// keys are the sealing keys of all hosts.
func (e *Emulator) keys() []sealer.Key {
	return []sealer.Key{{Number: 1, Secret: [sealer.KeyLength]byte{1, 2, 3}}}
}

// newAddress returns an address for a caller that none has had before.
func (e *Emulator) newAddress() netip.AddrPort {
	const callersPerAddress = 60000
	e.nextPort++
	n := len(e.callers)
	ip := netip.AddrFrom4([4]byte{10, byte(n / callersPerAddress), byte(e.random.UintN(256)), byte(e.random.UintN(256))})
	return netip.AddrPortFrom(ip, e.nextPort)
}

// sendToHosts carries a caller's datagram through the fabric to any host. A
// doubled one may reach two.
func (e *Emulator) sendToHosts(deliver func(h *Host)) {
	e.transmit(func() {
		if h := e.Platform.anyHost(); h != nil {
			e.After(e.cfg.CallerDelay+e.jitter(), func() { deliver(h) })
		}
	})
}

// sendToCaller carries an answer back.
func (e *Emulator) sendToCaller(a cactuspin.Answer) {
	e.transmit(func() {
		e.After(e.cfg.CallerDelay+e.jitter(), func() {
			if c := e.callers[a.Caller]; c != nil {
				c.receive(a)
			}
		})
	})
}

// transmit sends a datagram once, twice or not at all.
func (e *Emulator) transmit(send func()) {
	copies := 1
	if e.random.Float64() < e.cfg.Duplication {
		copies = 2
	}
	for range copies {
		if e.random.Float64() >= e.cfg.Loss {
			send()
		}
	}
}

// eventQueue is a heap by time, then by order of arrival.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; it is called by the heap.
func (q *eventQueue) Push(x any) {
	if ev, ok := x.(event); ok {
		*q = append(*q, ev)
	}
}

// Pop removes the last event; it is called by the heap.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

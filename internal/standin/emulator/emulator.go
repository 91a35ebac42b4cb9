// Package emulator runs complete hosts in one process on a virtual clock, with
// simple models of the fabric, the platform, the targets and the callers. A run is
// deterministic: the same seed gives the same run. The emulator injects failures
// and checks the guarantees against the requests that the targets actually ran.
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

// tickPeriod is the interval between ticks of a host.
const tickPeriod = 10 * time.Millisecond

// Config configures an Emulator.
type Config struct {
	Seed uint64
	// Hosts is the number of entry hosts, assigned to the zones in rotation.
	Hosts int
	Zones []cactuspin.ZoneID
	// Bundle is the text of the first configuration bundle.
	Bundle []byte
	// ZoneDelay is the one-way delay between two zones, CallerDelay the one-way
	// delay between a caller and a host; Jitter is the upper bound of the random
	// delay added to each.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Jitter      time.Duration
	// Loss and Duplication are the probabilities that a datagram between a caller
	// and a host is lost or duplicated.
	Loss        float64
	Duplication float64
	// ServiceTime is how long a target works on a request.
	ServiceTime time.Duration
	// Trace, if set, is called for each decision of a host.
	Trace func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision)
	// CookieLifetime is passed on to the hosts.
	CookieLifetime time.Duration
	// Records is passed on to the hosts.
	Records int
}

// Emulator is a simulated system of hosts, targets and callers.
type Emulator struct {
	cfg        Config
	now        cactuspin.Time
	events     eventQueue
	sequence   uint64
	random     *rand.Rand
	privateKey string
	signers    signer.Signers

	hosts        []*Host
	targets      map[cactuspin.Target]*Target
	callers      map[netip.AddrPort]receiver
	nextPort     uint16
	links        map[linkKey]*link
	cuts         map[zonePair]bool
	blockedPeers map[linkKey]bool
	Platform     *Platform
	Oracle       *Oracle
	// OnStep, if set, is called at each step of a request, an observation or a
	// handover, with the host and the target at which the step happens, if any.
	OnStep func(h *Host, t *Target)
}

type receiver interface {
	receive(a cactuspin.Answer)
}

// event is a function scheduled at a virtual time.
type event struct {
	at       cactuspin.Time
	sequence uint64
	run      func()
}

// New builds a system whose hosts are running and know each other. The first
// bundle is already accepted by the platform.
func New(c Config) (e *Emulator, err error) {
	defer func() { err = errors.Wrap(err, "new emulator") }()
	e = &Emulator{
		cfg:          c,
		now:          Start,
		random:       rand.New(rand.NewPCG(c.Seed, 1)),
		targets:      make(map[cactuspin.Target]*Target),
		callers:      make(map[netip.AddrPort]receiver),
		links:        make(map[linkKey]*link),
		cuts:         make(map[zonePair]bool),
		blockedPeers: make(map[linkKey]bool),
		nextPort:     1024,
	}
	publicKey, privateKey, err := signer.Generate()
	if err != nil {
		return nil, err
	}
	e.privateKey = privateKey
	if e.signers, err = signer.ParseSigners("ana " + publicKey); err != nil {
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

// Targets returns all targets of a service, in the order in which they were added.
func (e *Emulator) Targets(service string) (ts []*Target) {
	for _, t := range e.Oracle.targets {
		if t.Service == service {
			ts = append(ts, t)
		}
	}
	return ts
}

// After schedules f to run after d of virtual time.
func (e *Emulator) After(d time.Duration, f func()) {
	e.sequence++
	heap.Push(&e.events, event{at: e.now.Add(max(d, 0)), sequence: e.sequence, run: f})
}

// Run advances the virtual time by d and runs the events that fall due.
func (e *Emulator) Run(d time.Duration) { e.RunUntil(d, func() bool { return false }) }

// RunUntil advances the virtual time by d, or until done returns true after an
// event. It reports whether done returned true.
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

// DegradeNetwork adds loss, duplication and jitter to the callers' network for d.
// The gaps between a feed's notifications are measured from the end of this period.
func (e *Emulator) DegradeNetwork(loss, duplication float64, jitter, d time.Duration) {
	e.Oracle.degradedUntil = max(e.Oracle.degradedUntil, e.now.Add(d))
	e.cfg.Loss += loss
	e.cfg.Duplication += duplication
	e.cfg.Jitter += jitter
	e.After(d, func() {
		e.cfg.Loss -= loss
		e.cfg.Duplication -= duplication
		e.cfg.Jitter -= jitter
	})
}

// keys returns the sealing keys that all hosts share.
func (e *Emulator) keys() []sealer.Key {
	return []sealer.Key{{Number: 1, Secret: [sealer.KeyLength]byte{1, 2, 3}}}
}

// newAddress returns a caller address that has not been used before.
func (e *Emulator) newAddress() netip.AddrPort {
	const callersPerAddress = 60000
	e.nextPort++
	n := len(e.callers)
	ip := netip.AddrFrom4([4]byte{10, byte(n / callersPerAddress), byte(e.random.UintN(256)), byte(e.random.UintN(256))})
	return netip.AddrPortFrom(ip, e.nextPort)
}

// sendToHosts delivers a caller's datagram to a random listed host, as the fabric
// does. The two copies of a duplicated datagram may reach different hosts.
func (e *Emulator) sendToHosts(deliver func(h *Host)) {
	e.transmit(func() {
		if h := e.Platform.anyHost(); h != nil {
			e.After(e.cfg.CallerDelay+e.jitter(), func() { deliver(h) })
		}
	})
}

// sendToCaller delivers an answer to its caller.
func (e *Emulator) sendToCaller(a cactuspin.Answer) {
	e.transmit(func() {
		e.After(e.cfg.CallerDelay+e.jitter(), func() {
			if c := e.callers[a.Caller]; c != nil {
				c.receive(a)
			}
		})
	})
}

// transmit calls send once, twice for a duplicated datagram, or not at all for a
// lost one.
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

// eventQueue is a heap ordered by time, then by insertion order.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if ev, ok := x.(event); ok {
		*q = append(*q, ev)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

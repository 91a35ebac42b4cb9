package engine_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	coldRate   = 5.0
	coldWarmup = 2 * time.Second
	// The platform's bound: warmup_per_s x warmup_overrun + warmup_slack.
	coldBound = coldRate*1.5 + 5
	// zonesReturnAfter is when the evacuations end. Hosts learn of it, and of the
	// registrations that follow, at most maxNewsDelay later.
	zonesReturnAfter = 2500 * time.Millisecond
	maxNewsDelay     = 800 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
	coldRunLength    = 5 * time.Second
	targetsPerZone   = 12
	synsPerSecond    = 3000
	// readTime is how long a host takes to read the store at most.
	readTime = 100 * time.Millisecond
)

// coldFleet plays hosts with their beacons on a virtual clock while zones return from
// evacuations, and records the new flows of each target.
type coldFleet struct {
	coldRun
	random  *rand.Rand
	now     cactuspin.Time
	hosts   []*coldHost
	byIP    map[netip.Addr]*coldHost
	events  map[cactuspin.Time][]func()
	targets []cactuspin.RegisteredTarget
	flows   map[cactuspin.TargetID][]cactuspin.Time
	// blocked reports whether datagrams from one host to another are lost.
	blocked                   func(from, to *coldHost) bool
	ports, refused, forwarded int
	// refusedCold counts the flows that were refused after the zones had returned.
	refusedCold int
}

type coldHost struct {
	cactuspin.EntryHost
	index  int
	engine *engine.Engine
	alive  bool
}

// coldRun describes a run. Its zones return at the same time.
type coldRun struct {
	name        string
	hosts       int
	unlimited   bool
	returning   []cactuspin.ZoneID
	knownShare  float64
	disturb     func(f *coldFleet)
	mustUseCold bool
	// othersWarm reports that other targets can take all flows.
	othersWarm bool
	// smallOnly leaves the run out with 300 hosts, where each takes seconds.
	smallOnly bool
}

var coldZones = []cactuspin.ZoneID{"a", "b", "c"}

func (r coldRun) play(seed uint64) *coldFleet {
	f := &coldFleet{
		coldRun: r, random: rand.New(rand.NewPCG(seed, 7)), now: now, byIP: map[netip.Addr]*coldHost{},
		events: map[cactuspin.Time][]func(){}, flows: map[cactuspin.TargetID][]cactuspin.Time{},
		blocked: func(_, _ *coldHost) bool { return false },
	}
	for i := range targetsPerZone * len(coldZones) {
		f.targets = append(f.targets, cactuspin.RegisteredTarget{
			ID: cactuspin.TargetID(fmt.Sprintf("t-%d", i)), Number: uint64(i + 1), Service: "s", Slots: 2, Started: 1, Revision: 5,
			Zone: coldZones[i%len(coldZones)], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80),
		})
	}
	for i := range r.hosts {
		z := i % len(coldZones)
		h := &coldHost{index: i, EntryHost: cactuspin.EntryHost{Zone: coldZones[z], Address: netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)})}}
		f.hosts, f.byIP[h.Address] = append(f.hosts, h), h
	}
	for _, h := range f.hosts {
		f.start(h, true)
	}
	f.after(zonesReturnAfter, f.returnZones)
	if r.disturb != nil {
		r.disturb(f)
	}
	for f.now < now.Add(coldRunLength) {
		f.step()
	}
	return f
}

func (f *coldFleet) after(d time.Duration, run func()) {
	at := f.now.Add(d.Truncate(time.Millisecond))
	f.events[at] = append(f.events[at], run)
}

func (f *coldFleet) delay(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

func (f *coldFleet) step() {
	for _, run := range f.events[f.now] {
		run()
	}
	delete(f.events, f.now)
	for range synsPerSecond / 1000 {
		f.syn()
	}
	for _, h := range f.hosts {
		if h.alive && (int(f.now.Sub(now)/time.Millisecond)+h.index)%int(engine.TickInterval/time.Millisecond) == 0 {
			f.act(h, h.engine.Tick)
		}
	}
	f.now = f.now.Add(time.Millisecond)
}

// start starts a host, which reads the store within readTime.
func (f *coldFleet) start(h *coldHost, evacuated bool) {
	h.alive = true
	h.engine = engine.New(engine.Config{
		DynamicConfig: engine.DynamicConfig{MaxStaleness: maxStaleness, Seeds: f.seeds()}, Self: h.EntryHost,
		Incarnation: cactuspin.Incarnation(f.now), MaxFlows: 1 << 12, Seed: f.random.Uint64(),
	})
	f.act(h, h.engine.Tick)
	f.after(readTime/2+f.delay(readTime/2), func() { f.read(h, evacuated) })
}

// read gives a host the knowledge that the store has now.
func (f *coldFleet) read(h *coldHost, evacuated bool) {
	u := &cactuspin.Update{Full: true, Revision: 10, Targets: f.targets, Routing: f.routing()}
	for _, other := range f.hosts {
		if f.knownShare == 0 || f.random.Float64() < f.knownShare {
			u.Hosts = append(u.Hosts, other.EntryHost)
		}
	}
	for _, z := range f.returning {
		if evacuated {
			u.Zones = append(u.Zones, cactuspin.ZoneState{Zone: z, Evacuated: true, Revision: 7})
		}
	}
	f.send(h, u)
}

func (f *coldFleet) seeds() (seeds []netip.Addr) {
	for _, h := range f.hosts[:min(len(f.hosts), 2*len(coldZones))] {
		seeds = append(seeds, h.Address)
	}
	return seeds
}

func (f *coldFleet) routing() *cactuspin.Routing {
	r := &cactuspin.Routing{Version: 1, Revision: 2, IdleTimeout: time.Minute, Services: []cactuspin.ServiceName{"s"}, Routes: []cactuspin.Route{{
		Name: "r", Address: coldService, Timeout: time.Second, Services: []cactuspin.WeightedService{{Service: "s", Weight: 1}},
	}}}
	if !f.unlimited {
		r.Warmups = []cactuspin.ServiceSettings{{Name: "s", Warmup: coldWarmup, WarmupRate: coldRate}}
	}
	return r
}

var coldService = netip.MustParseAddrPort("198.18.0.1:443")

func (f *coldFleet) send(h *coldHost, u *cactuspin.Update) {
	f.act(h, func(at cactuspin.Time, out *engine.Actions) {
		h.engine.Datagram(at, other.Address, &encoder.Datagram{Update: u}, out)
	})
}

// act runs a decision of a host and delivers its beacons. What hosts know of the store
// reaches each by itself, so that the delays differ.
func (f *coldFleet) act(h *coldHost, decide func(cactuspin.Time, *engine.Actions)) {
	var out engine.Actions
	decide(f.now, &out)
	if out.Fetch != nil {
		h.engine.Fetched(f.now, out.Fetch, nil, errors.New("not in this test"), &engine.Actions{})
	}
	for _, s := range out.Sends {
		for _, a := range s.To {
			to := f.byIP[a]
			if s.Datagram.Beacon == nil || to == nil || f.blocked(h, to) || f.random.IntN(50) == 0 {
				continue
			}
			f.after(time.Millisecond+f.delay(15*time.Millisecond), func() {
				if to.alive {
					f.act(to, func(at cactuspin.Time, out *engine.Actions) { to.engine.Datagram(at, h.Address, &s.Datagram, out) })
				}
			})
		}
	}
}

// returnZones ends the evacuations. The targets tell that they are cold with their next
// heartbeat.
func (f *coldFleet) returnZones() {
	for _, h := range f.hosts {
		f.after(f.delay(maxNewsDelay), func() {
			u := &cactuspin.Update{After: 10, Revision: 11}
			for _, z := range f.returning {
				u.Zones = append(u.Zones, cactuspin.ZoneState{Zone: z, Revision: 11})
			}
			f.send(h, u)
		})
	}
	for i := range f.targets {
		if !f.returns(f.targets[i].Zone) {
			continue
		}
		written := f.delay(heartbeat)
		f.after(written, func() {
			f.targets[i].Warmup, f.targets[i].Revision = coldWarmup-written, cactuspin.Revision(12+i)
			for _, h := range f.hosts {
				u := &cactuspin.Update{After: 11, Revision: cactuspin.Revision(12 + i), Targets: []cactuspin.RegisteredTarget{f.targets[i]}}
				f.after(maxNewsDelay/2+f.delay(maxNewsDelay/2), func() { f.send(h, u) })
			}
		})
	}
}

func (f *coldFleet) returns(z cactuspin.ZoneID) bool {
	for _, x := range f.returning {
		if x == z {
			return true
		}
	}
	return false
}

// syn lets a host that is alive place a new flow.
func (f *coldFleet) syn() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	if !h.alive {
		return
	}
	f.ports++
	v := h.engine.Steer(f.now, &cactuspin.Packet{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(f.ports >> 16), byte(f.ports >> 8)}), uint16(1024+f.ports%256)),
		Service: coldService, Flags: cactuspin.FlagSYN,
	})
	if v.Kind != cactuspin.VerdictForward {
		f.refused++
		if f.now >= now.Add(zonesReturnAfter) {
			f.refusedCold++
		}
		return
	}
	f.forwarded++
	f.flows[v.Target] = append(f.flows[v.Target], f.now)
}

// worst returns the highest number of new flows in a sliding second at a target while it
// was cold, and the number of new flows that all cold targets got.
func (f *coldFleet) worst() (highest, total int) {
	from := now.Add(zonesReturnAfter)
	for i := range f.targets {
		if !f.returns(f.targets[i].Zone) {
			continue
		}
		var recent []cactuspin.Time
		for _, at := range f.flows[f.targets[i].ID] {
			if at < from || at >= from.Add(coldWarmup) {
				continue
			}
			total++
			recent = append(recent, at)
			for at.Sub(recent[0]) >= time.Second {
				recent = recent[1:]
			}
			highest = max(highest, len(recent))
		}
	}
	return highest, total
}

// partition cuts the hosts of each zone into groups, from before the zones return until
// they have warmed up.
func partition(groups int) func(f *coldFleet) {
	return func(f *coldFleet) {
		f.after(zonesReturnAfter-time.Second, func() {
			f.blocked = func(from, to *coldHost) bool { return from.index/3%groups != to.index/3%groups }
		})
		f.after(zonesReturnAfter+time.Second, func() { f.blocked = func(_, _ *coldHost) bool { return false } })
	}
}

// joinShare lets a share of the hosts start around the return of the zones.
func joinShare(share float64, evacuated bool) func(f *coldFleet) {
	return func(f *coldFleet) {
		for _, h := range f.hosts {
			if f.random.Float64() >= share {
				continue
			}
			h.alive = !evacuated
			at := zonesReturnAfter - time.Second + f.delay(time.Second)
			if !evacuated {
				at = zonesReturnAfter + heartbeat + maxNewsDelay - f.delay(2*time.Second)
			}
			f.after(at, func() { f.start(h, f.now < now.Add(zonesReturnAfter)) })
		}
	}
}

var coldRuns = []coldRun{
	{name: "one zone returns", returning: coldZones[:1], mustUseCold: true, othersWarm: true},
	{name: "all zones return", returning: coldZones, mustUseCold: true},
	{name: "partition into 2 groups", returning: coldZones, disturb: partition(2), smallOnly: true},
	{name: "partition into 3 groups", returning: coldZones, disturb: partition(3), smallOnly: true},
	{name: "partition into 7 groups", returning: coldZones, disturb: partition(7)},
	{name: "each host isolated", returning: coldZones, disturb: partition(1 << 20)},
	{name: "a third of the links works in one direction", returning: coldZones, smallOnly: true, disturb: func(f *coldFleet) {
		f.blocked = func(from, to *coldHost) bool { return (5*(from.index/3)+7*(to.index/3))%3 == 0 }
	}},
	{name: "different host lists", returning: coldZones, knownShare: 0.2},
	{name: "hosts join", returning: coldZones, disturb: joinShare(0.5, true)},
	{name: "all hosts start", returning: coldZones, disturb: joinShare(1, true), smallOnly: true},
	{name: "the first hosts die", returning: coldZones, disturb: func(f *coldFleet) {
		for i, h := range f.hosts[:len(f.hosts)/2] {
			f.after(zonesReturnAfter+time.Duration(i%8)*250*time.Millisecond, func() { h.alive = false })
		}
	}},
	{name: "hosts restart after the return", returning: coldZones, disturb: joinShare(0.1, false), smallOnly: true},
}

// Guards against hosts that together send more new flows to a cold target than it can
// handle, whatever they know of each other. COLD_SEEDS is the number of seeds, 1 by default.
func TestColdTargetsGetFewNewFlowsFromAllHosts(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COLD_SEEDS"))
	for _, n := range []int{1, 3, 28, 100, 300} {
		for _, r := range coldRuns {
			if n == 300 && r.smallOnly {
				continue
			}
			r.hosts = n
			t.Run(fmt.Sprintf("%d hosts/%s", n, r.name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(1, seeds)) {
					r.check(t, seed+1)
				}
			})
		}
	}
}

func (r coldRun) check(t *testing.T, seed uint64) {
	g := NewWithT(t)
	f := r.play(seed)
	highest, total := f.worst()
	t.Logf("seed %d: highest %d in a second, %d flows to cold targets, %d forwarded, %d refused", seed, highest, total, f.forwarded, f.refused)
	g.Expect(float64(highest)).To(BeNumerically("<=", coldBound), "seed %d", seed)
	if r.mustUseCold {
		g.Expect(total).To(BeNumerically(">", 0), "seed %d", seed)
	}
	if r.othersWarm {
		g.Expect(f.refusedCold).To(BeZero(), "seed %d", seed)
	}
}

// Guards the test above: without a limit, hosts exceed the bound.
func TestColdTargetsWithoutLimitGetTooManyNewFlows(t *testing.T) {
	for _, n := range []int{1, 3, 28, 100, 300} {
		r := coldRun{hosts: n, returning: coldZones, unlimited: true}
		highest, _ := r.play(1).worst()
		NewWithT(t).Expect(float64(highest)).To(BeNumerically(">", coldBound), "%d hosts", n)
	}
}

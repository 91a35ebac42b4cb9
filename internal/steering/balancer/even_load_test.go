package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/planner"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// evenLoad is a load of testdata/even_loads.yaml, which describes the fields.
type evenLoad struct {
	Name        string    `yaml:"name"`
	Hosts       int       `yaml:"hosts"`
	Targets     int       `yaml:"targets"`
	Utilization float64   `yaml:"utilization"`
	Feeds       float64   `yaml:"feeds"`
	Speeds      []float64 `yaml:"speeds"`
	Doubled     bool      `yaml:"doubled"`
	Restarted   bool      `yaml:"restarted"`
	Unranked    float64   `yaml:"unranked"`
	Skew        float64   `yaml:"skew"`
	Loss        float64   `yaml:"loss"`
	MinRemoved  float64   `yaml:"min_removed"`
	Long        bool      `yaml:"long"`
}

// evenRule says who places the flows of a run.
type evenRule int

const (
	// ruleOwnCounts: hosts that use their own counts only.
	ruleOwnCounts evenRule = iota
	// rulePartition: hosts that know their rank and exchange flows.
	rulePartition
	// ruleOracle: one that knows all targets' speeds, requests and flows.
	ruleOracle
)

const (
	evenSlots     = 2
	evenQueue     = 6
	evenLength    = 45 * time.Second
	evenWarmup    = 15 * time.Second
	evenFlowLife  = 30 * time.Second
	evenMeanPause = 1500 * time.Millisecond
	// The work of requests on long flows and of others; it varies by half.
	evenFeedWork  = 35 * time.Millisecond
	evenOrderWork = 45 * time.Millisecond
	// evenNoise is by how much two runs of one rule differ.
	evenNoise = 0.02
	// shedWait is the wait that a refused request counts for.
	shedWait = 300 * time.Millisecond
)

// evenTarget is a target with its slots, queue and open long flows.
type evenTarget struct {
	factor  float64
	busy    int
	flows   int
	waiting []func()
}

func (t *evenTarget) inService() int { return t.busy + len(t.waiting) }

// evenHost is a host.
type evenHost struct {
	*balancer.Balancer
	planner *planner.Planner
	address netip.Addr
	// generation counts the restarts of all hosts before its start.
	generation int
	// ranked reports that it takes part in the exchange of flows.
	ranked bool
}

// evenFlow is a flow of a caller.
type evenFlow struct {
	loadFlow
	host    *evenHost
	target  *evenTarget
	address netip.AddrPort
	ends    cactuspin.Time
	// generation is that of the hosts at the opening.
	generation int
}

// evenRun is a run of a load. The events are those of load_test.go.
type evenRun struct {
	evenLoad
	rule   evenRule
	random *rand.Rand
	// network is for the exchange, so that all rules get the same load.
	network *rand.Rand
	now     cactuspin.Time
	queue   loadEvents
	hosts   []*evenHost
	// weights are the running sums of the hosts' shares of the flows.
	weights    []float64
	targets    []*evenTarget
	byID       map[cactuspin.TargetID]*evenTarget
	knowledge  tracker.Change
	generation int
	ports      int
	waits      []float64
	waited     int
	imbalance  []float64
}

// evenResult is what a run measures.
type evenResult struct {
	// waited is the share of requests that waited for a slot or were refused.
	waited float64
	// p99 is the 99th percentile of the wait in milliseconds.
	p99 float64
	// imbalance is the mean of the highest over the mean number of requests at a target.
	imbalance float64
}

func (r evenResult) String() string {
	return fmt.Sprintf("waited %.4f, 99th percentile %.1f ms, imbalance %.2f", r.waited, r.p99, r.imbalance)
}

func (l evenLoad) play(seed uint64, rule evenRule) evenResult {
	r := &evenRun{evenLoad: l, rule: rule, random: rand.New(rand.NewPCG(seed, 2)), network: rand.New(rand.NewPCG(seed, 3)), now: now, byID: map[cactuspin.TargetID]*evenTarget{}}
	r.knowledge.Routing = routing()
	capacity := 0.0
	for i := range l.Targets {
		t := registered(i+1, "desk", "a")
		t.Slots = evenSlots
		r.knowledge.Targets = append(r.knowledge.Targets, t)
		x := &evenTarget{factor: l.Speeds[i%len(l.Speeds)]}
		r.targets, r.byID[t.ID] = append(r.targets, x), x
		capacity += evenSlots / x.factor
	}
	total := 0.0
	for h := range l.Hosts {
		r.hosts = append(r.hosts, r.newHost(h))
		total += math.Exp(l.Skew * r.random.NormFloat64())
		r.weights = append(r.weights, total)
	}
	if rule != ruleOracle {
		r.tick()
	}
	r.after(evenWarmup, r.sample)
	work := l.Feeds*evenFeedWork.Seconds() + (1-l.Feeds)*evenOrderWork.Seconds()
	perSecond := l.Utilization * capacity / work
	r.callers(perSecond)
	if l.Doubled {
		r.after(evenLength/2, func() { r.callers(perSecond) })
	}
	if l.Restarted {
		r.after(evenLength/2, func() { r.restart(perSecond) })
	}
	for len(r.queue) > 0 && r.queue[0].at < now.Add(evenLength) {
		e := heap.Pop(&r.queue).(loadEvent)
		r.now = e.at
		e.run()
	}
	slices.Sort(r.waits)
	sum := 0.0
	for _, x := range r.imbalance {
		sum += x
	}
	return evenResult{float64(r.waited) / float64(len(r.waits)), r.waits[len(r.waits)*99/100] * 1000, sum / float64(len(r.imbalance))}
}

func (r *evenRun) newHost(h int) *evenHost {
	seed := r.random.Uint64()
	b := balancer.New(balancer.Config{Zone: "a", Seed: seed, StaleAfter: time.Hour, MaxFlows: 1 << 14})
	c := r.knowledge
	c.Targets = slices.Clone(c.Targets)
	// Hosts learn of targets in any order.
	r.random.Shuffle(len(c.Targets), func(i, j int) { c.Targets[i], c.Targets[j] = c.Targets[j], c.Targets[i] })
	b.Apply(r.now, &c)
	b.SetFreshness(r.now, tracker.Position{HealthyFor: time.Minute})
	self := cactuspin.EntryHost{Address: netip.AddrFrom4([4]byte{10, 1, byte(h / 200), byte(h%200 + 1)}), Zone: "a"}
	p := planner.New(planner.Config{Self: self, Incarnation: cactuspin.Incarnation(r.generation + 1), MaxAge: time.Hour, Seed: seed})
	for i := range r.Hosts {
		p.AddPeers(r.now, []cactuspin.EntryHost{{Address: netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i%200 + 1)}), Zone: "a"}}, false)
	}
	return &evenHost{Balancer: b, planner: p, address: self.Address, generation: r.generation, ranked: r.rule == rulePartition && r.network.Float64() >= r.Unranked}
}

// restart replaces all hosts. Their callers open their flows anew within a second.
func (r *evenRun) restart(perSecond float64) {
	r.generation++
	for h := range r.hosts {
		r.hosts[h] = r.newHost(h)
	}
	r.openFeeds(perSecond)
}

func (r *evenRun) after(d time.Duration, run func()) {
	heap.Push(&r.queue, loadEvent{at: r.now.Add(d), run: run})
}

// tick passes the time to the hosts and exchanges their beacons.
func (r *evenRun) tick() {
	for _, h := range r.hosts {
		h.Tick(r.now)
		r.sendBeacons(h)
	}
	r.after(balancer.TickInterval, r.tick)
}

func (r *evenRun) sendBeacons(h *evenHost) {
	plan := h.planner.Tick(r.now, tracker.Position{Complete: true}, false)
	if len(plan.ZoneRecipients) == 0 {
		return
	}
	own := h.Loads()
	_, total, others := h.planner.AggregateLoads(r.now, own)
	h.MergeLoads(others)
	b := encoder.Beacon{
		Host: cactuspin.EntryHost{Address: h.address, Zone: "a"}, Incarnation: cactuspin.Incarnation(h.generation + 1),
		Complete: true, Reader: h.address, Loads: own, Total: total,
	}
	if h.ranked {
		share := h.planner.Share(r.now, h.FlowCounts(), true)
		h.SetShare(r.now, share.Rank, share.Others)
		b.ZoneHosts, b.Flows, b.TotalFlows = share.SentHosts, share.SentFlows, share.SentTotal
	}
	encoded, err := encoder.Encode(&encoder.Datagram{Beacon: &b})
	if err != nil {
		panic(err)
	}
	r.after(networkTime, func() {
		received, err := encoder.Decode(encoded)
		if err != nil {
			panic(err)
		}
		for _, x := range r.hosts {
			if slices.Contains(plan.ZoneRecipients, x.address) && r.network.Float64() >= r.Loss {
				x.planner.HandleBeacon(r.now, received.Beacon)
			}
		}
	})
}

func (r *evenRun) sample() {
	highest, sum := 0, 0
	for _, t := range r.targets {
		highest, sum = max(highest, t.inService()), sum+t.inService()
	}
	if sum > 0 {
		r.imbalance = append(r.imbalance, float64(highest*len(r.targets))/float64(sum))
	}
	r.after(balancer.TickInterval, r.sample)
}

// callers starts callers with long flows and others that open a flow for each request.
func (r *evenRun) callers(perSecond float64) {
	r.openFeeds(perSecond)
	r.orders(perSecond * (1 - r.Feeds))
}

func (r *evenRun) openFeeds(perSecond float64) {
	for range int(perSecond * r.Feeds * (evenMeanPause + evenFeedWork).Seconds()) {
		r.after(time.Duration(r.random.Int64N(int64(time.Second))), func() { r.feed(r.open(feeds)) })
	}
}

func (r *evenRun) orders(perSecond float64) {
	if perSecond <= 0 {
		return
	}
	r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.request(r.open(orders), evenOrderWork, func(f *evenFlow) { r.send(f, cactuspin.FlagACK|cactuspin.FlagFIN, 0) })
		r.orders(perSecond)
	})
}

// feed sends requests on a flow until its end. Its caller then opens another.
func (r *evenRun) feed(f *evenFlow) {
	switch {
	case f.generation != r.generation:
		f.target.flows--
	case r.now >= f.ends:
		f.target.flows--
		r.send(f, cactuspin.FlagACK|cactuspin.FlagFIN, 0)
		r.feed(r.open(feeds))
	default:
		r.request(f, evenFeedWork, func(f *evenFlow) {
			r.after(evenMeanPause*2/3+time.Duration(r.random.Int64N(int64(evenMeanPause*2/3))), func() { r.feed(f) })
		})
	}
}

// pickHost returns the host of a new flow.
func (r *evenRun) pickHost() *evenHost {
	n, _ := slices.BinarySearch(r.weights, r.random.Float64()*r.weights[len(r.weights)-1])
	return r.hosts[n]
}

func (r *evenRun) open(address netip.AddrPort) *evenFlow {
	r.ports++
	f := &evenFlow{host: r.pickHost(), address: address, generation: r.generation}
	f.port, f.ends = r.ports, r.now.Add(time.Duration(r.random.ExpFloat64()*float64(evenFlowLife)))
	if r.rule == ruleOracle {
		f.target = r.bestTarget(address == feeds)
	} else {
		v := f.host.Steer(r.now, &cactuspin.Packet{Caller: caller(f.port), Service: address, Flags: cactuspin.FlagSYN, Sequence: 100})
		f.cookie, f.target = v.Cookie, r.byID[v.Target]
	}
	if address == feeds {
		f.target.flows++
	}
	return f
}

// bestTarget returns the target at which a request waits shortest, or, for a long flow, the
// one whose flows need its slots least.
func (r *evenRun) bestTarget(long bool) (best *evenTarget) {
	lowest := math.Inf(1)
	first := r.random.IntN(len(r.targets))
	for i := range r.targets {
		t := r.targets[(first+i)%len(r.targets)]
		load := float64(t.flows) * t.factor
		if !long {
			load += 1000 * float64(max(0, t.inService()+1-evenSlots)) * t.factor
		}
		if load < lowest {
			best, lowest = t, load
		}
	}
	return best
}

// send passes a packet of the caller through the host of its flow.
func (r *evenRun) send(f *evenFlow, flags cactuspin.PacketFlags, length uint16) {
	if r.rule == ruleOracle || f.host.generation != r.generation {
		return
	}
	p := data(f.port, f.address, f.cookie, f.requests)
	p.Flags, p.Length, p.Acknowledgement = flags, length, 1+f.received
	f.host.Steer(r.now, p)
}

func (r *evenRun) request(f *evenFlow, mean time.Duration, done func(*evenFlow)) {
	began, t := r.now, f.target
	r.send(f, cactuspin.FlagACK, 50)
	finish := func(answer uint32) {
		r.after(networkTime, func() {
			f.requests, f.received = f.requests+1, f.received+answer
			r.send(f, cactuspin.FlagACK, 0)
			done(f)
		})
	}
	begin := func() {
		t.busy++
		r.count(began, r.now.Sub(began))
		r.after(time.Duration(float64(mean)*(0.5+r.random.Float64())*t.factor), func() {
			t.busy--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			finish(answerBytes)
		})
	}
	switch {
	case t.busy < evenSlots:
		begin()
	case len(t.waiting) < evenQueue:
		t.waiting = append(t.waiting, begin)
	default:
		r.count(began, shedWait)
		finish(refusalBytes)
	}
}

func (r *evenRun) count(began cactuspin.Time, wait time.Duration) {
	if began < now.Add(evenWarmup) {
		return
	}
	r.waits = append(r.waits, wait.Seconds())
	if wait > 0 {
		r.waited++
	}
}

// playSeeds returns the mean results of several seeds.
func (l evenLoad) playSeeds(seeds int, rule evenRule) (mean evenResult) {
	for seed := range seeds {
		x := l.play(uint64(seed+1), rule)
		mean.waited += x.waited / float64(seeds)
		mean.p99 += x.p99 / float64(seeds)
		mean.imbalance += x.imbalance / float64(seeds)
	}
	return mean
}

// TestEvenLoad fails if hosts that know their rank make requests wait nearly as often as
// hosts that place flows by their own counts alone, or more often. CACTUSPIN_EVEN_LOAD_SEEDS
// sets the number of runs of each load and includes the loads for long runs.
func TestEvenLoad(t *testing.T) {
	loads := readLoads[evenLoad](t, "testdata/even_loads.yaml")
	seeds := 1
	if s := os.Getenv("CACTUSPIN_EVEN_LOAD_SEEDS"); s != "" {
		_, err := fmt.Sscan(s, &seeds)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
	for _, l := range loads {
		if l.Long && os.Getenv("CACTUSPIN_EVEN_LOAD_SEEDS") == "" {
			continue
		}
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			own, partition, oracle := l.playSeeds(seeds, ruleOwnCounts), l.playSeeds(seeds, rulePartition), l.playSeeds(seeds, ruleOracle)
			removed := (own.waited - partition.waited) / (own.waited - oracle.waited)
			t.Logf("own counts: %v", own)
			t.Logf("partition:  %v", partition)
			t.Logf("oracle:     %v", oracle)
			t.Logf("removed:    %.2f of the excess", removed)
			if l.MinRemoved > 0 {
				g.Expect(removed).To(BeNumerically(">=", l.MinRemoved))
			}
			g.Expect(partition.waited).To(BeNumerically("<=", own.waited*(1+evenNoise)))
		})
	}
}

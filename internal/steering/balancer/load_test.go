package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// load is a load on the targets of one zone, played on a virtual clock: hosts that
// see a part of the flows each place them, targets with few slots and a short queue
// work on the requests and shed what does not fit.
type load struct {
	Name    string `yaml:"name"`
	Hosts   int    `yaml:"hosts"`
	Targets int    `yaml:"targets"`
	Slots   int    `yaml:"slots"`
	Queue   int    `yaml:"queue"`
	// Utilization is the share of the slots that the requests need.
	Utilization float64 `yaml:"utilization"`
	// Feeds is the share of the work that comes on long flows with pauses.
	Feeds float64 `yaml:"feeds"`
	// WorkMS is the mean time a request occupies a slot, AimMS the time within which
	// callers want their answers, both in milliseconds.
	WorkMS float64 `yaml:"work_ms"`
	AimMS  float64 `yaml:"aim_ms"`
	// Slow is the number of targets that take SlowFactor times as long.
	Slow       int     `yaml:"slow"`
	SlowFactor float64 `yaml:"slow_factor"`
	// MinGain is by how much the share of requests answered in time must exceed that
	// of flows placed at random.
	MinGain float64 `yaml:"min_gain"`
}

// outcome counts what callers get.
type outcome struct{ inTime, late, shed int }

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.inTime+o.late+o.shed) }

func (o outcome) String() string {
	n := float64(o.inTime + o.late + o.shed)
	return fmt.Sprintf("%.4f in time, %.4f late, %.4f shed of %.0f", float64(o.inTime)/n, float64(o.late)/n, float64(o.shed)/n, n)
}

// loadRun is one run of a load.
type loadRun struct {
	load
	random  *rand.Rand
	now     cactuspin.Time
	queue   loadEvents
	hosts   []*balancer.Balancer
	targets map[cactuspin.TargetID]*loadTarget
	ids     []cactuspin.TargetID
	// atRandom places flows at random instead of asking a host.
	atRandom bool
	ports    int
	result   outcome
}

type loadEvent struct {
	at  cactuspin.Time
	run func()
}

type loadEvents []loadEvent

func (q loadEvents) Len() int           { return len(q) }
func (q loadEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q loadEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *loadEvents) Push(x any)        { *q = append(*q, x.(loadEvent)) }
func (q *loadEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// loadTarget is a target with its slots and queue.
type loadTarget struct {
	factor  float64
	busy    int
	waiting []func()
}

// loadFlow is a caller's flow through one host.
type loadFlow struct {
	host     *balancer.Balancer
	port     int
	cookie   cactuspin.Cookie
	target   *loadTarget
	requests uint32
	// received is the number of bytes of answers that the caller has.
	received uint32
}

const (
	answerBytes  = 2000
	refusalBytes = 120
)

const (
	loadLength  = 30 * time.Second
	loadWarmup  = 2 * time.Second
	feedPause   = 400 * time.Millisecond
	networkTime = 4 * time.Millisecond
)

func (l load) play(seed uint64, atRandom bool) outcome {
	r := &loadRun{load: l, random: rand.New(rand.NewPCG(seed, 1)), now: now, targets: map[cactuspin.TargetID]*loadTarget{}, atRandom: atRandom}
	change := tracker.Change{Routing: routing()}
	for i := range l.Targets {
		t := registered(i+1, "desk", "a")
		t.Slots = l.Slots
		change.Targets = append(change.Targets, t)
		r.ids = append(r.ids, t.ID)
		r.targets[t.ID] = &loadTarget{factor: 1}
		if i < l.Slow {
			r.targets[t.ID].factor = l.SlowFactor
		}
	}
	for i := range l.Hosts {
		b := balancer.New(balancer.Config{Zone: "a", Seed: seed*1000 + uint64(i), StaleAfter: time.Hour, MaxFlows: 1 << 14})
		b.Apply(now, &change)
		b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
		r.hosts = append(r.hosts, b)
	}
	work := time.Duration(l.WorkMS * float64(time.Millisecond))
	perSecond := l.Utilization * float64(l.Targets*l.Slots) / work.Seconds()
	feeds := int(perSecond * l.Feeds * (feedPause + work + networkTime).Seconds())
	for range feeds {
		r.after(time.Duration(r.random.Int64N(int64(feedPause))), func() { r.feed(r.open(r.newPort())) })
	}
	r.orders(perSecond * (1 - l.Feeds))
	r.tick()
	r.run()
	return r.result
}

// newPort returns the caller's port of a new flow.
func (r *loadRun) newPort() int {
	r.ports++
	return r.ports
}

func (r *loadRun) after(d time.Duration, run func()) {
	heap.Push(&r.queue, loadEvent{at: r.now.Add(d), run: run})
}

func (r *loadRun) run() {
	for len(r.queue) > 0 && r.queue[0].at < now.Add(loadLength) {
		e := heap.Pop(&r.queue).(loadEvent)
		r.now = e.at
		e.run()
	}
}

func (r *loadRun) tick() {
	for _, h := range r.hosts {
		h.Tick(r.now)
	}
	r.after(balancer.TickInterval, r.tick)
}

// orders opens a flow for each request, at random times.
func (r *loadRun) orders(perSecond float64) {
	if perSecond <= 0 {
		return
	}
	r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.request(r.open(r.newPort()), func(f *loadFlow) { r.send(f, cactuspin.FlagACK|cactuspin.FlagFIN, 0) })
		r.orders(perSecond)
	})
}

// feed sends requests on one flow with pauses.
func (r *loadRun) feed(f *loadFlow) {
	r.request(f, func(f *loadFlow) {
		r.after(feedPause/2+time.Duration(r.random.Int64N(int64(feedPause))), func() { r.feed(f) })
	})
}

// open opens a flow through a random host.
func (r *loadRun) open(port int) *loadFlow {
	f := &loadFlow{host: r.hosts[r.random.IntN(len(r.hosts))], port: port}
	v := f.host.Steer(r.now, &cactuspin.Packet{Caller: caller(port), Service: feeds, Flags: cactuspin.FlagSYN, Sequence: 100})
	f.cookie, f.target = v.Cookie, r.targets[v.Target]
	if r.atRandom {
		f.target = r.targets[r.ids[r.random.IntN(len(r.ids))]]
	}
	return f
}

// send passes a packet of the caller through the host of its flow.
func (r *loadRun) send(f *loadFlow, flags cactuspin.PacketFlags, length uint16) {
	p := data(f.port, feeds, f.cookie, f.requests)
	p.Flags, p.Length, p.Acknowledgement = flags, length, 1+f.received
	f.host.Steer(r.now, p)
}

// request sends a request and calls done after its answer.
func (r *loadRun) request(f *loadFlow, done func(*loadFlow)) {
	began := r.now
	r.send(f, cactuspin.FlagACK, 50)
	work := time.Duration(r.WorkMS * (0.5 + r.random.Float64()) * f.target.factor * float64(time.Millisecond))
	finish := func(served bool) {
		r.after(networkTime, func() {
			f.requests++
			f.received += refusalBytes
			if served {
				f.received += answerBytes - refusalBytes
			}
			r.send(f, cactuspin.FlagACK, 0)
			r.count(began, served)
			done(f)
		})
	}
	begin := func() {
		f.target.busy++
		r.after(work, func() {
			f.target.busy--
			if len(f.target.waiting) > 0 {
				next := f.target.waiting[0]
				f.target.waiting = f.target.waiting[1:]
				next()
			}
			finish(true)
		})
	}
	switch {
	case f.target.busy < r.Slots:
		begin()
	case len(f.target.waiting) < r.Queue:
		f.target.waiting = append(f.target.waiting, begin)
	default:
		finish(false)
	}
}

func (r *loadRun) count(began cactuspin.Time, served bool) {
	switch took := r.now.Sub(began); {
	case began < now.Add(loadWarmup):
	case !served:
		r.result.shed++
	case took.Seconds()*1000 <= r.AimMS:
		r.result.inTime++
	default:
		r.result.late++
	}
}

// playSeeds adds up runs with several seeds.
func (l load) playSeeds(atRandom bool) (sum outcome) {
	for seed := range uint64(5) {
		o := l.play(seed+1, atRandom)
		sum.inTime, sum.late, sum.shed = sum.inTime+o.inTime, sum.late+o.late, sum.shed+o.shed
	}
	return sum
}

// readLoads reads the loads of a file, of which there is at least one.
func readLoads[T any](t *testing.T, path string) (loads []T) {
	t.Helper()
	g := NewWithT(t)
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(yaml.Unmarshal(text, &loads)).To(Succeed())
	g.Expect(loads).NotTo(BeEmpty())
	return loads
}

func TestLoads(t *testing.T) {
	loads := readLoads[load](t, "testdata/loads.yaml")
	NewWithT(t).Expect(slices.IndexFunc(loads, func(l load) bool { return l.MinGain > 0 })).To(BeNumerically(">=", 0))
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			placed, random := l.playSeeds(false), l.playSeeds(true)
			t.Logf("%s, placed: %v", l.Name, placed)
			t.Logf("%s, random: %v", l.Name, random)
			g.Expect(placed.share() - random.share()).To(BeNumerically(">=", l.MinGain))
		})
	}
}

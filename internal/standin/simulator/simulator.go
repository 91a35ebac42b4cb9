// Package simulator plays hosts of the packet path against small models of the
// platform's store, routers, callers and targets, on a virtual clock. Faults
// come from a story; an oracle notes each broken promise.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactuspin/cactuspin"
)

// start is when a simulation begins; it is no special moment.
const start = cactuspin.Time(1_700_000_000_000_000_000)

// Sizes and times of a simulation, taken from the users' deployment in Lima
// where it says them.
const (
	zoneDelay     = 200 * time.Microsecond
	crossDelay    = 3400 * time.Microsecond
	callerDelay   = 3 * time.Millisecond
	storeDelay    = 4 * time.Millisecond
	drainBound    = 3 * time.Second
	applyBound    = 3 * time.Second
	calmTime      = 4 * time.Second
	recoverBound  = 12 * time.Second
	maxFlowAge    = 60 * time.Second
	idleTimeout   = 15 * time.Second
	readyInterval = 500 * time.Millisecond
)

// Simulation is one run.
type Simulation struct {
	now     cactuspin.Time
	queue   eventQueue
	order   int
	random  *rand.Rand
	story   *Scenario
	store   *store
	hosts   []*host
	targets []*target
	callers []*caller
	routers *routers
	oracle  *oracle
	nextID  int
	// cutZones are cut off from the others, lossy is the share of lost datagrams.
	cutZones map[cactuspin.ZoneID]bool
	lossy    float64
	// Trace takes a line for each event of note, if set.
	Trace func(line string)
}

type event struct {
	at    cactuspin.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for the heap.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop is for the heap.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// New prepares a run of a story.
func New(s *Scenario, seed uint64) *Simulation {
	x := &Simulation{now: start, random: rand.New(rand.NewPCG(seed, 7)), story: s, cutZones: map[cactuspin.ZoneID]bool{}}
	x.oracle = &oracle{sim: x, runs: map[string]int{}, calmFrom: map[any]cactuspin.Time{}}
	x.store = newStore(x)
	x.routers = &routers{sim: x}
	x.build()
	return x
}

// Run plays the story and returns what was seen.
func (s *Simulation) Run() Result {
	for i := range s.story.Faults {
		f := s.story.Faults[i]
		s.after(s.story.lead()+f.At.Duration, func() { s.strike(&f) })
	}
	end := s.now.Add(s.story.lead() + s.story.Length.Duration)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e, ok := heap.Pop(&s.queue).(event)
		if !ok {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.oracle.result()
}

func (s *Simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(d), order: s.order, run: run})
}

func (s *Simulation) trace(format string, arguments ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.3f ", s.now.Sub(start.Add(s.story.lead())).Seconds()) + fmt.Sprintf(format, arguments...))
	}
}

// place is where something runs.
type place struct {
	zone cactuspin.ZoneID
	// cut says that nothing reaches it from outside.
	cut bool
}

// carry delivers a datagram from one place to another unless it is lost.
func (s *Simulation) carry(from, to *place, run func()) {
	if s.blocked(from, to) || s.random.Float64() < s.lossy {
		return
	}
	s.after(s.delay(from, to), func() {
		if !s.blocked(from, to) {
			run()
		}
	})
}

func (s *Simulation) blocked(from, to *place) bool {
	return from.cut || to.cut || (from.zone != to.zone && (s.cutZones[from.zone] || s.cutZones[to.zone]))
}

func (s *Simulation) delay(from, to *place) time.Duration {
	d := zoneDelay
	if from.zone != to.zone {
		d = crossDelay
	}
	return d + time.Duration(s.random.Int64N(int64(d)/3))
}

// callerWay is the delay between a caller and anything else; partitions between
// zones do not concern it.
func (s *Simulation) callerWay() time.Duration {
	return callerDelay + time.Duration(s.random.Int64N(int64(callerDelay)/3))
}

// Package simulator runs the engines of entry hosts on a virtual clock against small
// models of the platform's store, routers, callers and targets. A scenario injects
// faults, and an oracle records each violated invariant.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactuspin/cactuspin"
)

// simulationStart is the virtual time at which a simulation begins. Nothing depends on
// its value.
const simulationStart = cactuspin.Time(1_700_000_000_000_000_000)

// Delays and time limits of a simulation. They follow the users' deployment in Lima
// where it states them.
const (
	intraZoneDelay = 200 * time.Microsecond
	crossZoneDelay = 3400 * time.Microsecond
	callerDelay    = 3 * time.Millisecond
	storeDelay     = 4 * time.Millisecond
	drainBound     = 3 * time.Second
	applyBound     = 3 * time.Second
	gracePeriod    = 4 * time.Second
	recoveryBound  = 12 * time.Second
	maxFlowAge     = 60 * time.Second
	idleTimeout    = 15 * time.Second
	readyInterval  = 500 * time.Millisecond
)

// Simulation is one run of a scenario.
type Simulation struct {
	now      cactuspin.Time
	events   eventQueue
	sequence int
	random   *rand.Rand
	scenario *Scenario
	store    *store
	hosts    []*host
	targets  []*target
	callers  []*caller
	routers  *routers
	oracle   *oracle
	lastID   int
	// isolatedZones are partitioned from all other zones; lossRate is the share of
	// datagrams that are lost.
	isolatedZones map[cactuspin.ZoneID]bool
	lossRate      float64
	// Trace, if set, is called with one line for each notable event.
	Trace func(line string)
}

type event struct {
	at       cactuspin.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// New prepares a run of a scenario with a seed for its random numbers.
func New(scenario *Scenario, seed uint64) *Simulation {
	sim := &Simulation{now: simulationStart, random: rand.New(rand.NewPCG(seed, 7)), scenario: scenario, isolatedZones: map[cactuspin.ZoneID]bool{}}
	sim.oracle = &oracle{sim: sim, executions: map[string]int{}, gracePeriodEnds: map[any]cactuspin.Time{}, zones: map[cactuspin.ZoneID]*zoneRecord{}}
	sim.store = newStore(sim)
	sim.routers = &routers{sim: sim}
	sim.build()
	return sim
}

// Run runs the scenario to its end and returns the result.
func (s *Simulation) Run() Result {
	for i := range s.scenario.Faults {
		f := s.scenario.Faults[i]
		s.after(s.scenario.warmUp()+f.At.Duration, func() { s.injectFault(&f) })
	}
	end := s.now.Add(s.scenario.warmUp() + s.scenario.Length.Duration)
	for len(s.events) > 0 && s.events[0].at <= end {
		e, ok := heap.Pop(&s.events).(event)
		if !ok {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.oracle.result()
}

func (s *Simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *Simulation) trace(format string, arguments ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.3f ", s.now.Sub(simulationStart.Add(s.scenario.warmUp())).Seconds()) + fmt.Sprintf(format, arguments...))
	}
}

// location is where a process runs in the network.
type location struct {
	zone cactuspin.ZoneID
	// isolated reports that no packet from outside reaches the location.
	isolated bool
}

// transmit delivers a datagram from one location to another unless it is lost or the
// two are partitioned.
func (s *Simulation) transmit(from, to *location, run func()) {
	if s.blocked(from, to) || s.random.Float64() < s.lossRate {
		return
	}
	s.after(s.delay(from, to), func() {
		if !s.blocked(from, to) {
			run()
		}
	})
}

func (s *Simulation) blocked(from, to *location) bool {
	return from.isolated || to.isolated || (from.zone != to.zone && (s.isolatedZones[from.zone] || s.isolatedZones[to.zone]))
}

func (s *Simulation) delay(from, to *location) time.Duration {
	d := intraZoneDelay
	if from.zone != to.zone {
		d = crossZoneDelay
	}
	return d + time.Duration(s.random.Int64N(int64(d)/3))
}

// delayToCaller returns the random delay between a caller and a host or target.
// Partitions between zones do not affect callers.
func (s *Simulation) delayToCaller() time.Duration {
	return callerDelay + time.Duration(s.random.Int64N(int64(callerDelay)/3))
}

package tester

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// Sizes of a flood.
const (
	floodWork     = 20 * time.Millisecond
	floodDeadline = 500 * time.Millisecond
	floodTime     = 2 * time.Second
	floodSettle   = 500 * time.Millisecond
	// floodCallers is the number of flows of each kind.
	floodCallers = 500
	// normalLoad is the part of its share that a kind asks for without a flood.
	normalLoad = 0.8
)

// floodKind is a kind of work in a flood: its name and share of the slots.
type floodKind struct {
	name  string
	share float64
}

// floodKinds are the kinds of the order desk, the most urgent first.
var floodKinds = []floodKind{{"order", 0.6}, {"stock", 0.3}}

// FloodRow is the result of one flood.
type FloodRow struct {
	Variant  string
	Flooded  string
	Multiple int
	Kinds    []FloodKind
	// Goodput is the work answered in time as a part of the capacity.
	Goodput float64
}

// FloodKind is what one kind of work got.
type FloodKind struct {
	Name     string
	Sent     int
	InTime   int
	P50, P99 time.Duration
}

// InTimeShare is the part of a kind's requests that was answered in time.
func (k FloodKind) InTimeShare() float64 {
	if k.Sent == 0 {
		return 1
	}
	return float64(k.InTime) / float64(k.Sent)
}

// String is a row of the table.
func (r FloodRow) String() string {
	s := fmt.Sprintf("| %s | %s | %d |", r.Variant, r.Flooded, r.Multiple)
	for _, k := range r.Kinds {
		s += fmt.Sprintf(" %.1f %% (%s / %s) |", 100*k.InTimeShare(), k.P50.Round(time.Millisecond), k.P99.Round(time.Millisecond))
	}
	return s + fmt.Sprintf(" %.1f %% |", 100*r.Goodput)
}

// Flood measures what each kind of work keeps while some flood in at a multiple
// of the whole capacity. With an empty flooded all kinds ask for a normal load.
func (m *Matrix) Flood(flooded []string, times int) (row FloodRow, err error) {
	c, err := m.newCell(m.Seed, nil)
	if err != nil {
		return row, err
	}
	for _, t := range c.e.Targets(orderService) {
		t.ServiceTime = floodWork
	}
	f := newFlood(flooded, times, capacity(c.e))
	callers := make([][]*emulator.Caller, len(f.kinds))
	for i := range f.kinds {
		callers[i] = c.openFlows()
	}
	c.e.Run(floodSettle)
	f.end = c.e.Now().Add(floodTime)
	for i, k := range f.kinds {
		c.arrivals(f, k, callers[i])
	}
	c.e.Run(floodTime + 2*floodDeadline)
	c.e.Oracle.CheckOutcomes()
	if len(c.e.Oracle.Violations) > 0 {
		return row, fmt.Errorf("promises broken in a flood: %v", c.e.Oracle.Violations[0])
	}
	return f.row("cactuspin"), nil
}

// openFlows opens the flows of a kind; a first order gives each its cookie.
func (c *cell) openFlows() (callers []*emulator.Caller) {
	for range floodCallers {
		x := c.e.NewCaller(orderService)
		x.Order(0, nil)
		callers = append(callers, x)
		c.e.Run(time.Millisecond)
	}
	return callers
}

// capacity is the requests that all targets answer in a second.
func capacity(e *emulator.Emulator) (perSecond float64) {
	for _, t := range e.Targets(orderService) {
		perSecond += float64(t.Slots) / floodWork.Seconds()
	}
	return perSecond
}

// flood is a run under way.
type flood struct {
	flooded  []string
	times    int
	capacity float64
	kinds    []*floodState
	end      cactuspin.Time
}

type floodState struct {
	floodKind
	rate   float64
	sent   int
	useful int
	took   []time.Duration
}

func newFlood(flooded []string, times int, capacity float64) *flood {
	f := &flood{flooded: flooded, times: times, capacity: capacity}
	for _, k := range floodKinds {
		rate := normalLoad * k.share * capacity
		if slices.Contains(flooded, k.name) {
			rate = float64(times) * capacity
		}
		f.kinds = append(f.kinds, &floodState{floodKind: k, rate: rate})
	}
	return f
}

// arrivals sends requests of a kind at its rate, each from the next flow.
func (c *cell) arrivals(f *flood, k *floodState, callers []*emulator.Caller) {
	n := int(k.rate * floodTime.Seconds())
	for i := range n {
		at := time.Duration(float64(i) / k.rate * float64(time.Second))
		c.e.After(at, func() {
			k.sent++
			done := func(x *emulator.Exchange) { k.done(x, c.e.Now() <= f.end) }
			if k.name == "order" {
				callers[i%len(callers)].Order(floodDeadline, done)
				return
			}
			callers[i%len(callers)].Read("/stock", floodDeadline, done)
		})
	}
}

// done counts an answer; only one that came during the flood counts as work done
// in it.
func (k *floodState) done(x *emulator.Exchange, during bool) {
	if x.Outcome != emulator.OutcomeWhole || x.ResponseTime > floodDeadline+floodTrip {
		return
	}
	k.took = append(k.took, x.ResponseTime)
	if during {
		k.useful++
	}
}

// floodTrip is the time that datagrams are under way besides.
const floodTrip = 30 * time.Millisecond

func (f *flood) row(variant string) FloodRow {
	r := FloodRow{Variant: variant, Multiple: f.times, Flooded: "none"}
	if len(f.flooded) == 1 {
		r.Flooded = f.flooded[0]
	}
	if len(f.flooded) > 1 {
		r.Flooded = "both"
	}
	work := 0
	for _, k := range f.kinds {
		slices.Sort(k.took)
		work += k.useful
		r.Kinds = append(r.Kinds, FloodKind{
			Name: k.name, Sent: k.sent, InTime: len(k.took), P50: quantile(k.took, 0.5), P99: quantile(k.took, 0.99),
		})
	}
	r.Goodput = float64(work) / (f.capacity * floodTime.Seconds())
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

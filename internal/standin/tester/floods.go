package tester

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// Parameters of a flood.
const (
	floodServiceTime = 20 * time.Millisecond
	floodDeadline    = 500 * time.Millisecond
	floodTime        = 2 * time.Second
	floodWarmup      = 500 * time.Millisecond
	// floodCallers is the number of flows of each kind.
	floodCallers = 500
	// normalLoad is the offered load of a kind that is not flooded, relative to its
	// share of the capacity.
	normalLoad = 0.8
)

// floodKind is a kind of request in a flood, with its share of the slots.
type floodKind struct {
	name  string
	share float64
}

// floodKinds are the kinds of the order desk, the most important first.
var floodKinds = []floodKind{{"order", 0.6}, {"stock", 0.3}}

// FloodRow is the result of one flood.
type FloodRow struct {
	Variant  string
	Flooded  string
	Multiple int
	Kinds    []FloodKind
	// Goodput is the number of requests answered in time, relative to the capacity.
	Goodput float64
}

// FloodKind is the result of one kind of request.
type FloodKind struct {
	Name     string
	Sent     int
	InTime   int
	P50, P99 time.Duration
}

// InTimeShare returns the share of a kind's requests that were answered in time.
func (k FloodKind) InTimeShare() float64 {
	if k.Sent == 0 {
		return 1
	}
	return float64(k.InTime) / float64(k.Sent)
}

// String returns the result as a row of a Markdown table.
func (r FloodRow) String() string {
	s := fmt.Sprintf("| %s | %s | %d |", r.Variant, r.Flooded, r.Multiple)
	for _, k := range r.Kinds {
		s += fmt.Sprintf(" %.1f %% (%s / %s) |", 100*k.InTimeShare(), k.P50.Round(time.Millisecond), k.P99.Round(time.Millisecond))
	}
	return s + fmt.Sprintf(" %.1f %% |", 100*r.Goodput)
}

// Flood measures how many requests of each kind are answered in time while the flooded
// kinds arrive at a multiple of the whole capacity. If flooded is empty, all kinds
// arrive at their normal load.
func (m *Matrix) Flood(flooded []string, multiple int) (row FloodRow, err error) {
	c, err := m.newCell(m.Seed, nil)
	if err != nil {
		return row, err
	}
	for _, t := range c.e.Targets(orderService) {
		t.ServiceTime = floodServiceTime
	}
	f := newFlood(flooded, multiple, capacity(c.e))
	callers := make([][]*emulator.Caller, len(f.kinds))
	for i := range f.kinds {
		callers[i] = c.openFlows()
	}
	c.e.Run(floodWarmup)
	f.end = c.e.Now().Add(floodTime)
	for i, k := range f.kinds {
		c.scheduleArrivals(f, k, callers[i])
	}
	c.e.Run(floodTime + 2*floodDeadline)
	c.e.Oracle.CheckOutcomes()
	if len(c.e.Oracle.Violations) > 0 {
		return row, fmt.Errorf("guarantees violated in a flood: %v", c.e.Oracle.Violations[0])
	}
	return f.row("cactuspin"), nil
}

// openFlows opens the flows of a kind and sends an order on each to obtain a cookie.
func (c *cell) openFlows() (callers []*emulator.Caller) {
	for range floodCallers {
		x := c.e.NewCaller(orderService)
		x.Order(0, nil)
		callers = append(callers, x)
		c.e.Run(time.Millisecond)
	}
	return callers
}

// capacity returns the number of requests that all targets together can answer per second.
func capacity(e *emulator.Emulator) (perSecond float64) {
	for _, t := range e.Targets(orderService) {
		perSecond += float64(t.Slots) / floodServiceTime.Seconds()
	}
	return perSecond
}

// flood is the state of a running flood.
type flood struct {
	flooded  []string
	multiple int
	capacity float64
	kinds    []*floodState
	end      cactuspin.Time
}

type floodState struct {
	floodKind
	rate          float64
	sent          int
	goodput       int
	responseTimes []time.Duration
}

func newFlood(flooded []string, multiple int, capacity float64) *flood {
	f := &flood{flooded: flooded, multiple: multiple, capacity: capacity}
	for _, k := range floodKinds {
		rate := normalLoad * k.share * capacity
		if slices.Contains(flooded, k.name) {
			rate = float64(multiple) * capacity
		}
		f.kinds = append(f.kinds, &floodState{floodKind: k, rate: rate})
	}
	return f
}

// scheduleArrivals schedules the requests of a kind at its rate, on its flows in rotation.
func (c *cell) scheduleArrivals(f *flood, k *floodState, callers []*emulator.Caller) {
	n := int(k.rate * floodTime.Seconds())
	for i := range n {
		at := time.Duration(float64(i) / k.rate * float64(time.Second))
		c.e.After(at, func() {
			k.sent++
			done := func(x *emulator.Exchange) { k.recordAnswer(x, c.e.Now() <= f.end) }
			if k.name == "order" {
				callers[i%len(callers)].Order(floodDeadline, done)
				return
			}
			callers[i%len(callers)].Read("/stock", floodDeadline, done)
		})
	}
}

// recordAnswer records an answer. Only answers that arrive during the flood count towards
// the goodput.
func (k *floodState) recordAnswer(x *emulator.Exchange, during bool) {
	if x.Outcome != emulator.OutcomeWhole || x.ResponseTime > floodDeadline+floodNetworkTime {
		return
	}
	k.responseTimes = append(k.responseTimes, x.ResponseTime)
	if during {
		k.goodput++
	}
}

// floodNetworkTime is added to the deadline to account for the network delay.
const floodNetworkTime = 30 * time.Millisecond

func (f *flood) row(variant string) FloodRow {
	r := FloodRow{Variant: variant, Multiple: f.multiple, Flooded: "none"}
	if len(f.flooded) == 1 {
		r.Flooded = f.flooded[0]
	}
	if len(f.flooded) > 1 {
		r.Flooded = "both"
	}
	answered := 0
	for _, k := range f.kinds {
		slices.Sort(k.responseTimes)
		answered += k.goodput
		r.Kinds = append(r.Kinds, FloodKind{
			Name: k.name, Sent: k.sent, InTime: len(k.responseTimes),
			P50: quantile(k.responseTimes, 0.5), P99: quantile(k.responseTimes, 0.99),
		})
	}
	r.Goodput = float64(answered) / (f.capacity * floodTime.Seconds())
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

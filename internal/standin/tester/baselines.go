package tester

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Baselines are simple balancers for comparison. They ignore kinds and deadlines, and
// they don't queue requests themselves: the first picks a random target, where requests
// wait in an unbounded queue; with the others, a target without a free slot sheds the
// request.
const (
	BaselineNoAdmission = "no admission"
	BaselineRoundRobin  = "round robin"
	BaselineHashing     = "plain hashing"
)

// Baselines lists the baselines in the order of the printed table.
var Baselines = []string{BaselineNoAdmission, BaselineRoundRobin, BaselineHashing}

// Size of the simulated service: the order desk.
const (
	baselineTargets = 14
	baselineSlots   = 3
)

// arrival is a request of a baseline run.
type arrival struct {
	at   time.Duration
	kind *floodState
	flow int
}

// FloodBaseline measures the same flood as Matrix.Flood with a baseline.
func FloodBaseline(name string, flooded []string, multiple int, seed uint64) FloodRow {
	f := newFlood(flooded, multiple, baselineTargets*baselineSlots/floodServiceTime.Seconds())
	random := rand.New(rand.NewPCG(seed, 3))
	targets := make([]baselineTarget, baselineTargets)
	next := 0
	for _, a := range f.merge() {
		a.kind.sent++
		var t *baselineTarget
		switch name {
		case BaselineNoAdmission:
			t = &targets[random.IntN(baselineTargets)]
		case BaselineRoundRobin:
			t = &targets[next%baselineTargets]
			next++
		default:
			t = &targets[a.flow*2654435761%baselineTargets]
		}
		responseTime, ok := t.serve(a.at, name == BaselineNoAdmission)
		if ok && responseTime <= floodDeadline {
			a.kind.responseTimes = append(a.kind.responseTimes, responseTime)
			if a.at+responseTime <= floodTime {
				a.kind.goodput++
			}
		}
	}
	return f.row(name)
}

// merge returns the arrivals of all kinds, ordered by time.
func (f *flood) merge() (all []arrival) {
	counts := make([]int, len(f.kinds))
	for {
		best := -1
		var at time.Duration
		for i, k := range f.kinds {
			if counts[i] >= int(k.rate*floodTime.Seconds()) {
				continue
			}
			x := time.Duration(float64(counts[i]) / k.rate * float64(time.Second))
			if best < 0 || x < at {
				best, at = i, x
			}
		}
		if best < 0 {
			return all
		}
		all = append(all, arrival{at: at, kind: f.kinds[best], flow: counts[best] % floodCallers})
		counts[best]++
	}
}

// baselineTarget holds the time at which each slot becomes free.
type baselineTarget struct{ freeAt slotHeap }

// serve returns the response time of a request. ok is false if the request was shed.
func (t *baselineTarget) serve(now time.Duration, queue bool) (responseTime time.Duration, ok bool) {
	for len(t.freeAt) < baselineSlots {
		heap.Push(&t.freeAt, time.Duration(0))
	}
	begin := max(now, t.freeAt[0])
	if begin > now && !queue {
		return 0, false
	}
	t.freeAt[0] = begin + floodServiceTime
	heap.Fix(&t.freeAt, 0)
	return begin + floodServiceTime - now, true
}

// slotHeap is a min-heap of times.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) {
	if d, ok := x.(time.Duration); ok {
		*h = append(*h, d)
	}
}

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

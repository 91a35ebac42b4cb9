package netemulator

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxNoted bounds the failed tries that a report lists.
const maxNoted = 12

// Report is what a run showed.
type Report struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
	Failed int `json:"failed"`
	// BrokenFlows counts resets by hosts of flows that are open at living targets.
	BrokenFlows int `json:"broken_flows"`
	// LateFlows counts flows that opened at targets which drained for too long.
	LateFlows int `json:"late_flows"`
	// DoubledRuns counts orders that ran more than once.
	DoubledRuns int `json:"doubled_runs"`
	// WrongService counts requests that ran at another service.
	WrongService int `json:"wrong_service"`
	// Imbalance is the busiest target's requests over the mean of its service.
	Imbalance  float64 `json:"imbalance"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	StoreCalls int     `json:"store_calls"`
	// Tries are the first tries that failed.
	Tries []string `json:"failed_tries,omitempty"`
}

// Oracle counts what callers and targets see.
type Oracle struct {
	mu        sync.Mutex
	report    Report
	runs      map[string]int
	latencies []float64
	// goneUntil tells which targets are away; calmAt is when bounds hold again.
	goneUntil map[netip.AddrPort]time.Time
	calmAt    time.Time
}

func newJudge() *Oracle {
	return &Oracle{runs: map[string]int{}, goneUntil: map[netip.AddrPort]time.Time{}}
}

func (j *Oracle) asked(string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Asked++
}

func (j *Oracle) served(_ string, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Served++
	j.latencies = append(j.latencies, took.Seconds()*1000)
}

func (j *Oracle) failed(string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Failed++
}

// noted takes a try that failed.
func (j *Oracle) noted(id string, try int, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.report.Tries) < maxNoted {
		j.report.Tries = append(j.report.Tries, fmt.Sprintf("%s.%d: %v", id, try, err))
	}
}

// drainBound is how long after its report a draining target may get new flows.
const drainBound = 3 * time.Second

// reset notes that a host reset a flow that was open at a target.
func (j *Oracle) reset(target netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if back, gone := j.goneUntil[target]; gone && (back.IsZero() || time.Now().Before(back)) {
		return
	}
	if time.Now().After(j.calmAt) {
		j.report.BrokenFlows++
	}
}

// gone notes that a target is away, for good or until it starts anew.
func (j *Oracle) gone(target netip.AddrPort, down time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.goneUntil[target] = time.Time{}
	if down > 0 {
		j.goneUntil[target] = time.Now().Add(down + calmTime)
	}
}

// late notes that a flow opened at a target that had drained for a while.
func (j *Oracle) late(drained time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if drained > drainBound && time.Now().After(j.calmAt) {
		j.report.LateFlows++
	}
}

// disturb excuses bounds in time for d.
func (j *Oracle) disturb(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := time.Now().Add(d); t.After(j.calmAt) {
		j.calmAt = t
	}
}

// ran notes that a target of a service begins a request.
func (j *Oracle) ran(id, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	request := id
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		request = id[:i]
	}
	kind, _, _ := strings.Cut(id, "-")
	if kind == kindOrder {
		if j.runs[request]++; j.runs[request] > 1 {
			j.report.DoubledRuns++
		}
	}
	if serviceOf(kind) != service {
		j.report.WrongService++
	}
}

func (j *Oracle) result(targets []*Target, calls int) Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.report
	r.StoreCalls = calls
	sort.Float64s(j.latencies)
	if n := len(j.latencies); n > 0 {
		r.P50, r.P99 = j.latencies[n/2], j.latencies[n*99/100]
	}
	total, count, most := map[string]int{}, map[string]int{}, map[string]int{}
	for _, t := range targets {
		t.mu.Lock()
		if t.state == "ready" {
			total[t.service] += t.requests
			count[t.service]++
			most[t.service] = max(most[t.service], t.requests)
		}
		t.mu.Unlock()
	}
	for s, n := range total {
		if n > 0 {
			r.Imbalance = max(r.Imbalance, float64(most[s])*float64(count[s])/float64(n))
		}
	}
	return r
}

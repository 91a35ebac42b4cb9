package packeteer

import (
	"fmt"
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
	// BrokenFlows counts resets of open flows.
	BrokenFlows int `json:"broken_flows"`
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

// Judge counts what callers and targets see.
type Judge struct {
	mu        sync.Mutex
	report    Report
	runs      map[string]int
	latencies []float64
}

func newJudge() *Judge { return &Judge{runs: map[string]int{}} }

func (j *Judge) asked(string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Asked++
}

func (j *Judge) served(_ string, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Served++
	j.latencies = append(j.latencies, took.Seconds()*1000)
}

func (j *Judge) failed(string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report.Failed++
}

// noted takes a try that failed.
func (j *Judge) noted(id string, try int, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.report.Tries) < maxNoted {
		j.report.Tries = append(j.report.Tries, fmt.Sprintf("%s.%d: %v", id, try, err))
	}
}

func (j *Judge) reset(open bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if open {
		j.report.BrokenFlows++
	}
}

// ran notes that a target of a service begins a request.
func (j *Judge) ran(id, service string) {
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

func (j *Judge) result(targets []*Target, calls int) Report {
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

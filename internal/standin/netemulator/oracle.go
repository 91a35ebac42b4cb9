package netemulator

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxFailedTries limits the failed tries listed in a report.
const maxFailedTries = 12

// Report holds the results of a run.
type Report struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
	Failed int `json:"failed"`
	// BrokenFlows counts flows open at live targets that a host reset.
	BrokenFlows int `json:"broken_flows"`
	// LateFlows counts flows opened at targets that had been draining for too long.
	LateFlows int `json:"late_flows"`
	// EvacuatedFlows counts flows opened in zones that had been evacuated for too long.
	EvacuatedFlows int `json:"evacuated_flows"`
	// DoubledRuns counts repeated executions of orders.
	DoubledRuns int `json:"doubled_runs"`
	// WrongService counts requests executed by a target of another service.
	WrongService int `json:"wrong_service"`
	// Imbalance is the number of requests of the busiest target, relative to the mean
	// of its service.
	Imbalance  float64 `json:"imbalance"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	StoreCalls int     `json:"store_calls"`
	// Tries lists the first failed tries.
	Tries []string `json:"failed_tries,omitempty"`
}

// Oracle collects the observations of callers and targets and checks them.
type Oracle struct {
	mu         sync.Mutex
	report     Report
	executions map[string]int
	latencies  []float64
	// allowed holds the services to which any configuration so far has led each kind of
	// work.
	allowed map[string]map[string]bool
	// evacuatedSince holds since when zones are evacuated.
	evacuatedSince map[string]time.Time
	// unavailableUntil holds the targets that are stopped and when their grace period
	// after a restart ends; zero means that they do not restart. gracePeriodEnd is when
	// the time bounds apply again.
	unavailableUntil map[netip.AddrPort]time.Time
	gracePeriodEnd   time.Time
}

func newOracle() *Oracle {
	o := &Oracle{executions: map[string]int{}, unavailableUntil: map[netip.AddrPort]time.Time{}, allowed: map[string]map[string]bool{}, evacuatedSince: map[string]time.Time{}}
	for _, kind := range []string{kindFeed, kindOrder, kindDiagram} {
		o.allow(kind, serviceOf(kind))
	}
	return o
}

// allow records that a configuration leads a kind of work to a service.
func (o *Oracle) allow(kind, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.allowed[kind] == nil {
		o.allowed[kind] = map[string]bool{}
	}
	o.allowed[kind][service] = true
}

func (o *Oracle) requestStarted(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Asked++
}

func (o *Oracle) requestServed(_ string, duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Served++
	o.latencies = append(o.latencies, duration.Seconds()*1000)
}

func (o *Oracle) requestFailed(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Failed++
}

// recordFailedTry records a failed try.
func (o *Oracle) recordFailedTry(id string, try int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.report.Tries) < maxFailedTries {
		o.report.Tries = append(o.report.Tries, fmt.Sprintf("%s.%d: %v", id, try, err))
	}
}

// drainBound is how long after it reports draining a target may still receive new
// flows.
const drainBound = 3 * time.Second

// checkReset records a reset by a host of a flow that was open at a target.
func (o *Oracle) checkReset(target netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until, stopped := o.unavailableUntil[target]; stopped && (until.IsZero() || time.Now().Before(until)) {
		return
	}
	if time.Now().After(o.gracePeriodEnd) {
		o.report.BrokenFlows++
	}
}

// targetStopped records that a target stopped, permanently or for a downtime.
func (o *Oracle) targetStopped(target netip.AddrPort, downtime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailableUntil[target] = time.Time{}
	if downtime > 0 {
		o.unavailableUntil[target] = time.Now().Add(downtime + gracePeriod)
	}
}

// flowOpenedWhileDraining records that a flow opened at a target that has been draining
// for the given time.
func (o *Oracle) flowOpenedWhileDraining(drainingFor time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if drainingFor > drainBound && time.Now().After(o.gracePeriodEnd) {
		o.report.LateFlows++
	}
}

// startGracePeriod suspends the time bounds for d.
func (o *Oracle) startGracePeriod(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := time.Now().Add(d); t.After(o.gracePeriodEnd) {
		o.gracePeriodEnd = t
	}
}

// requestExecuted records that a target of a service starts to execute a request.
func (o *Oracle) requestExecuted(id, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request := id
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		request = id[:i]
	}
	kind, _, _ := strings.Cut(id, "-")
	if kind == kindOrder {
		if o.executions[request]++; o.executions[request] > 1 {
			o.report.DoubledRuns++
		}
	}
	if !o.allowed[kind][service] {
		o.report.WrongService++
	}
}

func (o *Oracle) result(targets []*Target, calls int) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.report
	r.StoreCalls = calls
	sort.Float64s(o.latencies)
	if n := len(o.latencies); n > 0 {
		r.P50, r.P99 = o.latencies[n/2], o.latencies[n*99/100]
	}
	total, count, highest := map[string]int{}, map[string]int{}, map[string]int{}
	for _, t := range targets {
		t.mu.Lock()
		if t.state == "ready" {
			total[t.service] += t.requests
			count[t.service]++
			highest[t.service] = max(highest[t.service], t.requests)
		}
		t.mu.Unlock()
	}
	for s, n := range total {
		if n > 0 {
			r.Imbalance = max(r.Imbalance, float64(highest[s])*float64(count[s])/float64(n))
		}
	}
	return r
}

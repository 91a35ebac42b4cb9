package balancer

import (
	"hash/fnv"
	"math"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// subjectOf derives the subject of a service's targets in a zone, the same at
// every host.
func subjectOf(service cactuspin.ServiceName, zone cactuspin.ZoneID) encoder.Subject {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(zone))
	return encoder.Subject(h.Sum32())
}

// Loads returns the requests in progress and the flows that this host has at the
// targets of each service and zone, and the targets that failed requests. Its size
// does not grow with the number of targets, except for failing ones.
func (b *Balancer) Loads() (loads encoder.Loads) {
	var failures encoder.Loads
	b.mu.Lock()
	defer b.mu.Unlock()
	type sum struct {
		busy  float64
		flows int32
	}
	sums := map[*zone]*sum{}
	for _, t := range b.active.list() {
		if t.removedAt != 0 {
			continue
		}
		x := sums[t.zone]
		if x == nil {
			x = &sum{}
			sums[t.zone] = x
		}
		x.busy += t.meanBusy
		x.flows += max(0, t.flows.Load())
		if failed := uint8(min(math.MaxUint8, t.failures*encoder.FailedRequestsScale)); failed > 0 {
			failures = append(failures, encoder.Load{Subject: encoder.Subject(t.cookie), FailedRequests: failed})
		}
	}
	for z, x := range sums {
		if x.busy > 0 || x.flows > 0 {
			loads = append(loads, encoder.Load{
				Subject: z.subject, ActiveRequests: uint16(min(math.MaxUint16, x.busy*encoder.ActiveRequestsScale)), Flows: uint16(min(math.MaxUint16, x.flows)),
			})
		}
	}
	return append(loads, failures...)
}

// FailureChange reports that a target started or stopped failing much more often
// than others.
type FailureChange struct {
	Target cactuspin.TargetID
	// Failures is the decayed number of failed requests that all hosts have seen.
	Failures float64
	Failing  bool
}

// MergeLoads merges the loads and failures that other hosts report. It returns the
// targets that started or stopped counting as failing.
func (b *Balancer) MergeLoads(others encoder.Loads) (changed []FailureChange) {
	bySubject := make(map[encoder.Subject]encoder.Load, len(others))
	for _, l := range others {
		bySubject[l.Subject] = l
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for v := range b.active.services() {
		v.updateUtilization(bySubject)
		for _, t := range v.updateFailureLoads(bySubject) {
			changed = append(changed, FailureChange{Target: t.registered.ID, Failures: t.totalFailures, Failing: t.failing()})
		}
	}
	return changed
}

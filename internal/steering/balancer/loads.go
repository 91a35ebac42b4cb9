package balancer

import (
	"hash/fnv"
	"math"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// subjectOf names a service's targets in a zone, the same at every host.
func subjectOf(service cactuspin.ServiceName, zone cactuspin.ZoneID) encoder.Subject {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(zone))
	return encoder.Subject(h.Sum32())
}

// Loads returns what this host has in progress at each service's targets in a
// zone, and the targets that failed requests. It does not grow with the targets.
func (s *Balancer) Loads() (loads encoder.Loads) {
	var failures encoder.Loads
	s.mu.Lock()
	defer s.mu.Unlock()
	type sum struct {
		busy  float64
		flows int32
	}
	sums := map[*zone]*sum{}
	for _, t := range s.active.list() {
		if t.goneAt != 0 {
			continue
		}
		x := sums[t.zone]
		if x == nil {
			x = &sum{}
			sums[t.zone] = x
		}
		x.busy += t.meanBusy
		x.flows += max(0, t.flows.Load())
		if failed := uint8(min(math.MaxUint8, t.failed*encoder.FailedRequestsScale)); failed > 0 {
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

// FailureChange is a target that began or ceased to fail much more than others.
type FailureChange struct {
	Target cactuspin.TargetID
	// Failures is what all hosts have seen in the last seconds.
	Failures float64
	Failing  bool
}

// MergeLoads takes what other hosts have in progress and what failed. It returns
// the targets that began or ceased to count as failing.
func (s *Balancer) MergeLoads(others encoder.Loads) (changed []FailureChange) {
	bySubject := make(map[encoder.Subject]encoder.Load, len(others))
	for _, l := range others {
		bySubject[l.Subject] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.active.services() {
		v.measure(bySubject)
		for _, t := range v.compareFailures(bySubject) {
			changed = append(changed, FailureChange{Target: t.registered.ID, Failures: t.pooled, Failing: t.failing()})
		}
	}
	return changed
}

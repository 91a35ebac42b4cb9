package steerer

import (
	"math"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// Loads returns what this host has in progress at each target that has any.
func (s *Steerer) Loads() (loads encoder.Loads) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.active.list() {
		flows, busy := t.flows.Load(), t.meanBusy
		if t.goneAt == 0 && (flows > 0 || busy > 0 || t.failed > 0) {
			loads = append(loads, encoder.TargetLoad{
				Cookie: t.cookie, Flows: uint16(max(0, flows)), Busy: uint16(busy * encoder.BusyScale),
				Failed: uint8(min(math.MaxUint8, t.failed*encoder.FailedScale)),
			})
		}
	}
	return loads
}

// Failing is a target that began or ceased to fail much more than others.
type Failing struct {
	Target cactuspin.TargetID
	// Failures is what all hosts have seen in the last seconds.
	Failures float64
	Failing  bool
}

// ShareLoads takes what other hosts have in progress at the targets, and what
// failed there. It returns the targets that began or ceased to count as failing.
func (s *Steerer) ShareLoads(others encoder.Loads) (changed []Failing) {
	byCookie := make(map[cactuspin.Cookie]encoder.TargetLoad, len(others))
	for _, l := range others {
		byCookie[l.Cookie] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.active.services() {
		v.measure(byCookie)
		for _, t := range v.compareFailures(byCookie) {
			changed = append(changed, Failing{Target: t.registered.ID, Failures: t.pooled, Failing: t.failing()})
		}
	}
	return changed
}

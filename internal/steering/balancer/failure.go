package balancer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// A target can be alive and say that it is well, yet fail what it is asked. Its
// answers go to callers directly; a host sees them by what callers acknowledge.
// An error, or nothing, is short beside the answers that others give on the
// route. What all hosts see is added up, since each sees little of a target.

const (
	// shortAnswer is by how many powers of two an answer is shorter than the mean of
	// its route to count as a failure: a third of it. Answers vary by less, and
	// errors have hardly more than a header.
	shortAnswer = 1.7
	// minAnswers is how many answers of a route make a mean.
	minAnswers = 20
	// answerWeight is the share of the newest answer in that mean.
	answerWeight = 0.02
	// silentFor is how long a request without any acknowledged answer and without
	// repeats counts as unanswered; answers that take one packet are acknowledged
	// only with the next request.
	silentFor = time.Second
	// failureHalfLife is how long half of a target's failures count. A target that
	// goes on failing is tried again by all hosts after some of these times, so that
	// a short one costs requests; a long one leaves a recovered target idle.
	failureHalfLife = 8 * time.Second
	// commonFailures is how many times the failures of the middle target of a zone
	// another one must have, beside fewFailures: what fails everywhere, as in a
	// flood, is no fault of a target.
	commonFailures = 4.0
	fewFailures    = 1.5
	// failureLoad is the load that each further failure adds to a target, and
	// maxFailureLoad the most: it is used last, but used.
	failureLoad    = 0.5
	maxFailureLoad = 4.0
	// minCompared is how many targets a zone must have to be compared by itself;
	// fewer are compared with all of the service.
	minCompared = 3
	// failingAt is the load by failures from which a target counts as failing: flows
	// leave the zone rather than go there.
	failingAt = 1.0
)

// failureDecay is the share of a target's failures that a tick leaves.
var failureDecay = math.Exp2(-TickInterval.Seconds() / failureHalfLife.Seconds())

// answerSizes is what a route's answers usually take. It is safe for concurrent
// use.
type answerSizes struct {
	mu    sync.Mutex
	count int
	// mean is that of the powers of two.
	mean float64
}

// short takes the bytes of an answer and tells whether they are too few for one.
func (a *answerSizes) short(bytes uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := math.Log2(float64(max(1, bytes)))
	short := a.count >= minAnswers && size < a.mean-shortAnswer
	a.count++
	a.mean += (size - a.mean) * max(answerWeight, 1/float64(a.count))
	return short
}

// conclude takes the end of the answer to the last request, which the caller
// has acknowledged up to a sequence number.
func (f *flow) conclude(acknowledged uint32) {
	if !f.pending {
		return
	}
	f.pending = false
	bytes := acknowledged - f.base
	if bytes == 0 && !f.reached() {
		return
	}
	if f.route.answers.short(bytes) {
		f.target.failures.Add(1)
	}
}

// reached tells whether the last request seems to have reached its target: it
// was not repeated, or nothing else speaks against the target's life.
func (f *flow) reached() bool { return f.repeats == 0 || f.target.health.settled() }

// fallSilent takes time passing on a flow. It counts a request that reached its
// target and was not answered.
func (f *flow) fallSilent(now cactuspin.Time) {
	if f.pending && f.reached() && f.acknowledged == f.base && now.Sub(f.dataAt) > silentFor {
		f.pending = false
		f.target.failures.Add(1)
	}
}

// settle moves a target's failures on by a tick.
func (t *target) settle() {
	t.failed = t.failed*failureDecay + float64(t.failures.Swap(0))
}

// compareFailures sets the load that failures add to the targets of the service,
// others being what other hosts have seen. It returns the targets that began or
// ceased to count as failing.
func (v *service) compareFailures(others map[encoder.Subject]encoder.Load) (changed []*target) {
	var all []float64
	for _, z := range v.zones {
		for _, t := range z.targets {
			t.pooled = t.failed + float64(others[encoder.Subject(t.cookie)].FailedRequests)/encoder.FailedRequestsScale
			all = append(all, t.pooled)
		}
	}
	service := middle(all)
	first := 0
	for _, z := range v.zones {
		usual := service
		if own := all[first : first+len(z.targets)]; len(own) >= minCompared {
			usual = middle(own)
		}
		first += len(z.targets)
		for _, t := range z.targets {
			was := t.failing()
			t.failureLoad = min(maxFailureLoad, failureLoad*max(0, t.pooled-commonFailures*usual-fewFailures))
			if t.failing() != was {
				changed = append(changed, t)
			}
		}
	}
	return changed
}

// middle returns the median of some values, the lower one of two.
func middle(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

func (t *target) failing() bool { return t.failureLoad >= failingAt }

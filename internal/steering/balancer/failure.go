package balancer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// A target can be alive and report that it is healthy, yet fail its requests. Its
// answers go directly to the callers; a host infers their size from the callers'
// acknowledgements. An error or an empty answer is short compared with other
// answers on the route. The failures that all hosts see are added up, since each
// sees only a small part of a target's requests.

const (
	// shortAnswerLog2 is how much shorter than the mean of its route, in powers of
	// two, an answer must be to count as a failure: less than a third. Successful
	// answers vary by less, and errors are hardly longer than a header.
	shortAnswerLog2 = 1.7
	// minAnswers is the number of answers from which the mean of a route is used.
	minAnswers = 20
	// answerWeight is the weight of the newest answer in that mean.
	answerWeight = 0.02
	// unansweredAfter is how long after a request without acknowledged answer and
	// without retransmission the request counts as unanswered. Answers of one
	// packet are acknowledged only with the next request.
	unansweredAfter = time.Second
	// failureHalfLife is the half-life of a target's failures. All hosts try a
	// failing target again after a few half-lives, so a short one costs requests,
	// while a long one leaves a recovered target idle.
	failureHalfLife = 8 * time.Second
	// failureRatio and failureAllowance limit the failures that add no load to a
	// target: failureRatio times the median of its zone plus failureAllowance.
	// Failures that all targets have, as in a request flood, are not the fault of
	// one of them.
	failureRatio     = 4.0
	failureAllowance = 1.5
	// failureLoad is the load that each further failure adds to a target,
	// maxFailureLoad its limit: a failing target is used last, but still used.
	failureLoad    = 0.5
	maxFailureLoad = 4.0
	// minCompared is the number of targets from which a zone is compared by itself;
	// targets of smaller zones are compared with the whole service.
	minCompared = 3
	// failingThreshold is the failure load from which a target counts as failing:
	// new flows go to another zone instead.
	failingThreshold = 1.0
)

// failureDecay is the share of a target's failures that remains after a tick.
var failureDecay = math.Exp2(-TickInterval.Seconds() / failureHalfLife.Seconds())

// answerSizes holds statistics of the sizes of a route's answers. It is safe for
// concurrent use.
type answerSizes struct {
	mu    sync.Mutex
	count int
	// mean is the running mean of the binary logarithms of the sizes.
	mean float64
}

// record records the size of an answer and reports whether it is so short that the
// request probably failed.
func (a *answerSizes) record(bytes uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := math.Log2(float64(max(1, bytes)))
	short := a.short(size)
	a.count++
	a.mean += (size - a.mean) * max(answerWeight, 1/float64(a.count))
	return short
}

// isShort reports whether an answer of a size is so short that the request probably
// failed.
func (a *answerSizes) isShort(bytes uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.short(math.Log2(float64(max(1, bytes))))
}

func (a *answerSizes) short(size float64) bool {
	return a.count >= minAnswers && size < a.mean-shortAnswerLog2
}

// recordAnswer records the end of the answer to the last request, which the caller
// has acknowledged up to the given sequence number.
func (f *flow) recordAnswer(now cactuspin.Time, acknowledged uint32) {
	if !f.answerPending {
		return
	}
	f.answerPending = false
	bytes := acknowledged - f.answerStart
	if bytes == 0 && !f.reachedTarget() {
		return
	}
	short := f.route.answers.record(bytes)
	if short {
		f.target.newFailures.Add(1)
	}
	if f.firstPartAfter == 0 {
		return
	}
	if short {
		// A target that refuses requests because it is full does so at once; this must
		// not make it look fast.
		f.target.slowness.record(now, maxSlowness)
		return
	}
	f.recordSlowness(now, f.firstPartAfter)
}

// reachedTarget reports whether the last request seems to have reached its target:
// it was not retransmitted, or the target is healthy otherwise.
func (f *flow) reachedTarget() bool { return f.retransmissions == 0 || f.target.health.isHealthy() }

// expireAnswer counts a request that reached its target, but was not answered in
// time, as failed.
func (f *flow) expireAnswer(now cactuspin.Time) {
	if f.answerPending && f.reachedTarget() && f.acknowledged == f.answerStart && now.Sub(f.lastDataAt) > unansweredAfter {
		f.answerPending = false
		f.target.newFailures.Add(1)
	}
}

// decayFailures decays a target's failures by one tick and adds the new ones.
func (t *target) decayFailures() {
	t.failures = t.failures*failureDecay + float64(t.newFailures.Swap(0))
}

// updateFailureLoads computes the failure loads of the service's targets, with the
// failures that other hosts report. It returns the targets that started or stopped
// counting as failing.
func (v *service) updateFailureLoads(others map[encoder.Subject]encoder.Load) (changed []*target) {
	var all []float64
	for _, z := range v.zones {
		for _, t := range z.targets {
			t.totalFailures = t.failures + float64(others[encoder.Subject(t.cookie)].FailedRequests)/encoder.FailedRequestsScale
			all = append(all, t.totalFailures)
		}
	}
	serviceMedian := lowerMedian(all)
	first := 0
	for _, z := range v.zones {
		median := serviceMedian
		if own := all[first : first+len(z.targets)]; len(own) >= minCompared {
			median = lowerMedian(own)
		}
		first += len(z.targets)
		for _, t := range z.targets {
			wasFailing := t.failing()
			t.failureLoad = min(maxFailureLoad, failureLoad*max(0, t.totalFailures-failureRatio*median-failureAllowance))
			if t.failing() != wasFailing {
				changed = append(changed, t)
			}
		}
	}
	return changed
}

// lowerMedian returns the median, or the lower one of the two middle values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

func (t *target) failing() bool { return t.failureLoad >= failingThreshold }

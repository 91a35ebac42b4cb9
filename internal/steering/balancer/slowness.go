package balancer

import (
	"math"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

// A host sees only its own part of the requests in progress at a target. How long the
// target takes to answer shows the whole: the requests of other hosts that wait there,
// and whether the target is slow. Response times are compared with the mean of their
// route, since routes differ in their work.

const (
	// slownessWeight is the weight of the newest response time in a target's slowness.
	slownessWeight = 0.1
	// slownessHalfLife is the half-life of the difference between a target's slowness
	// and 1. A target that gets no requests is tried again after a few of them.
	slownessHalfLife = 4 * time.Second
	// minSlowness and maxSlowness limit the slowness, so that one response time does
	// not outweigh all counts.
	minSlowness, maxSlowness = 0.7, 6.0
	// negligibleExcess is the difference to 1 below which a target is as fast as others.
	negligibleExcess = 0.05
	// minResponses is the number of responses from which the mean of a route is used.
	minResponses = 20
	// responseTimeWeight is the weight of the newest response time in that mean.
	responseTimeWeight = 0.02
)

// responseTimes holds the mean response time of a route. It is safe for concurrent
// use.
type responseTimes struct {
	mu    sync.Mutex
	count int
	mean  time.Duration
}

// record records a response time. It returns its ratio to the mean, or 0 if there are
// too few responses.
func (r *responseTimes) record(d time.Duration) (ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count >= minResponses && r.mean > 0 {
		ratio = float64(d) / float64(r.mean)
	}
	r.count++
	r.mean += time.Duration(float64(d-r.mean) * max(responseTimeWeight, 1/float64(r.count)))
	return ratio
}

// decayingExcess is the running mean of a ratio, as the difference to 1, to which it
// returns with a half-life.
type decayingExcess struct {
	// value is the difference at the time updated.
	value   float64
	updated cactuspin.Time
}

func (x *decayingExcess) at(now cactuspin.Time, halfLife time.Duration) float64 {
	if x.value == 0 {
		return 0
	}
	return x.value * math.Exp2(-now.Sub(x.updated).Seconds()/halfLife.Seconds())
}

func (x *decayingExcess) record(now cactuspin.Time, halfLife time.Duration, ratio, weight float64) {
	excess := x.at(now, halfLife)
	x.value, x.updated = excess+(ratio-1-excess)*weight, now
}

// slowness is the running mean of a target's response times relative to the means of
// their routes. It is safe for concurrent use.
type slowness struct {
	mu     sync.Mutex
	excess decayingExcess
	speed  speed
}

// record records the ratio of a response time to the mean of its route.
func (s *slowness) record(now cactuspin.Time, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.record(now, ratio)
	s.excess.record(now, slownessHalfLife, max(minSlowness, min(maxSlowness, ratio)), slownessWeight)
}

// factor returns the factor by which requests take longer at the target than at
// others.
func (s *slowness) factor(now cactuspin.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if excess := s.excess.at(now, slownessHalfLife); math.Abs(excess) > negligibleExcess {
		return 1 + excess
	}
	return 1
}

func (s *slowness) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excess.value, s.speed = 0, speed{}
}

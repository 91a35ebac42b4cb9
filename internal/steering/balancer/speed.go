package balancer

import (
	"math"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// minSpeedWeight is the lowest weight of the newest response time in a speed.
	minSpeedWeight = 0.05
	// speedPrior is the number of response times that count for the initial speed.
	speedPrior = 4
	// speedHalfLife is the half-life of the difference between a speed and 1, so that a
	// target that was slow long ago is used again.
	speedHalfLife = time.Minute
	// minSpeed and maxSpeed limit the ratios that are recorded.
	minSpeed, maxSpeed = 0.2, 3.0
)

// speed is the mean ratio of a target's response times to those of its routes. It
// remembers for longer than slowness, so that lasting differences between targets show. It
// is safe for concurrent use.
type speed struct {
	mu      sync.Mutex
	excess  float64
	count   int
	updated cactuspin.Time
}

func (s *speed) record(now cactuspin.Time, ratio float64) {
	ratio = max(minSpeed, min(maxSpeed, ratio))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	excess := s.decayed(now)
	s.excess = excess + (ratio-1-excess)*max(minSpeedWeight, 1/float64(s.count+speedPrior))
	s.updated = now
}

// factor returns the factor by which requests take longer at the target than at others.
func (s *speed) factor(now cactuspin.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.decayed(now)
}

func (s *speed) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excess, s.count = 0, 0
}

func (s *speed) decayed(now cactuspin.Time) float64 {
	if s.excess == 0 {
		return 0
	}
	return s.excess * math.Exp2(-now.Sub(s.updated).Seconds()/speedHalfLife.Seconds())
}

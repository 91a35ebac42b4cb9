package balancer

import (
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
// remembers for longer than slowness, so that lasting differences between targets show.
// The lock of the slowness guards it.
type speed struct {
	excess decayingExcess
	count  int
}

func (s *speed) record(now cactuspin.Time, ratio float64) {
	s.count++
	s.excess.record(now, speedHalfLife, max(minSpeed, min(maxSpeed, ratio)), max(minSpeedWeight, 1/float64(s.count+speedPrior)))
}

// speedFactor returns the factor by which requests have lately taken longer at the target
// than at others, over a minute rather than seconds.
func (s *slowness) speedFactor(now cactuspin.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.speed.excess.at(now, speedHalfLife)
}

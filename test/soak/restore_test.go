package soak_test

import (
	"math/rand/v2"
	"time"
)

// injectRestores restores the store again and again during the first two thirds of a run.
// What was written in the one to three seconds after a backup is lost.
func (s *soak) injectRestores(random *rand.Rand, length time.Duration) {
	defer s.activeFaults.Done()
	for end := time.Now().Add(length * 2 / 3); time.Now().Before(end); {
		s.testbed.Store().BackUp()
		lost := time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
		time.Sleep(lost)
		for range 1 + random.IntN(2) {
			outage := time.Duration(random.Int64N(int64(800 * time.Millisecond)))
			s.t.Logf("store restored after %s, %s lost", outage, lost)
			s.testbed.SuspendTimeBounds(outage)
			s.testbed.RestoreStore(outage)
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		}
	}
}

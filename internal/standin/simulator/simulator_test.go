package simulator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/standin/simulator"
)

// seeds is how many runs each story gets.
const seeds = 3

// TestStories plays the stories of test/packets. TRACE=NAME prints one.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("../../../test/packets/*.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			text, err := os.ReadFile(f)
			g.Expect(err).NotTo(HaveOccurred())
			story, err := simulator.Parse(text)
			g.Expect(err).NotTo(HaveOccurred())
			for seed := range uint64(seeds) {
				s := simulator.New(story, seed)
				if os.Getenv("TRACE") == name {
					s.Trace = func(line string) { t.Log(line) }
				}
				r := s.Run()
				g.Expect(r.Violations).To(BeEmpty(), "seed %d", seed)
				g.Expect(r.Requests).To(BeNumerically(">", 100))
				g.Expect(float64(r.Served)/float64(r.Served+r.Failed)).To(BeNumerically(">=", story.MinServed), "seed %d", seed)
				if story.MaxStoreCallRate > 0 {
					length := story.WarmUp.Duration + story.Length.Duration
					g.Expect(float64(r.StoreCalls)/length.Seconds()).To(BeNumerically("<=", story.MaxStoreCallRate), "seed %d", seed)
				}
				if story.MaxRecoveryTime.Duration > 0 {
					g.Expect(r.RecoveryTime).To(BeNumerically("<=", story.MaxRecoveryTime.Duration), "seed %d", seed)
				}
				t.Logf("seed %d: back after %s", seed, r.RecoveryTime)
				t.Logf("seed %d: %d asked, %d served, %d failed, %d calls", seed, r.Requests, r.Served, r.Failed, r.StoreCalls)
			}
		})
	}
}

package simulator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/standin/simulator"
)

// seeds is the number of runs of each scenario.
const seeds = 3

// TestStories runs the scenarios in test/packets. TRACE=NAME logs the trace of one.
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
			scenario, err := simulator.Parse(text)
			g.Expect(err).NotTo(HaveOccurred())
			for seed := range uint64(seeds) {
				s := simulator.New(scenario, seed)
				if os.Getenv("TRACE") == name {
					s.Trace = func(line string) { t.Log(line) }
				}
				r := s.Run()
				g.Expect(r.Violations).To(BeEmpty(), "seed %d", seed)
				g.Expect(r.Requests).To(BeNumerically(">", 100))
				g.Expect(float64(r.Served)/float64(r.Served+r.Failed)).To(BeNumerically(">=", scenario.MinServed), "seed %d", seed)
				g.Expect(float64(r.InTime)/float64(r.Served+r.Failed)).To(BeNumerically(">=", scenario.MinInTime), "seed %d", seed)
				if scenario.MaxStoreCallRate > 0 {
					length := scenario.WarmUp.Duration + scenario.Length.Duration
					g.Expect(float64(r.StoreCalls)/length.Seconds()).To(BeNumerically("<=", scenario.MaxStoreCallRate), "seed %d", seed)
				}
				if scenario.MaxRecoveryTime.Duration > 0 {
					g.Expect(r.RecoveryTime).To(BeNumerically("<=", scenario.MaxRecoveryTime.Duration), "seed %d", seed)
				}
				t.Logf("seed %d: back after %s", seed, r.RecoveryTime)
				t.Logf("seed %d: %d asked, %d served, %d in time, %d failed, %d calls", seed, r.Requests, r.Served, r.InTime, r.Failed, r.StoreCalls)
			}
		})
	}
}

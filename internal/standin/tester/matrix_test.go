package tester_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/standin/tester"
)

// part makes the test run every part-th cell of the matrix.
const part = 12

func TestGuaranteesHoldInMatrixSample(t *testing.T) {
	g := NewWithT(t)
	m, err := tester.Load("../../../test/matrix.yaml", "../../../examples/lima-1.yaml", "../../../examples/lima-2.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	cells, err := m.Cells(part)
	g.Expect(err).NotTo(HaveOccurred())
	results, err := m.Run(context.Background(), cells)
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range results {
		if len(r.Violations) > 0 {
			t.Errorf("%s (seed %d): %v", r.Cell, r.Cell.Seed, r.Violations)
		}
	}
}

package tester_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
	"github.com/cactuspin/cactuspin/internal/standin/tester"
)

// TestScripts runs every script in test/scripts. If the environment variable TRACE
// holds the name of a script's file, the decisions of that script are printed.
func TestScripts(t *testing.T) {
	g := NewWithT(t)
	m, err := tester.Load("../../../test/matrix.yaml", "../../../examples/lima-1.yaml", "../../../examples/lima-2.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	files, err := filepath.Glob("../../../test/scripts/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s, err := tester.LoadScript(file)
			g.Expect(err).NotTo(HaveOccurred())
			violations, err := m.RunScript(s, traceFor(file))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(violations).To(BeEmpty(), s.Name)
		})
	}
}

func traceFor(file string) tester.Trace {
	if os.Getenv("TRACE") != filepath.Base(file) {
		return nil
	}
	return func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision) {
		fmt.Printf("%9.4f host %s %s: %s caller=%s token=%s target=%s host=%s\n",
			now.Sub(emulator.Start).Seconds(), h, d.Kind, d.Reason, d.Caller, d.Token, d.Target, d.Host)
	}
}

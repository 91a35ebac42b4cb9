package plotter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/diagnosis/plotter"
)

func TestReadSortsScoresByTime(t *testing.T) {
	g := NewWithT(t)
	runs, err := plotter.Read("testdata")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(runs).To(HaveLen(2), "an entry of a single day is not a score")
	g.Expect(runs[0].ID).To(Equal("a1"))
	g.Expect(runs[1].At).To(Equal(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)))
	g.Expect(runs[1].Commit).To(Equal("0123456"))
	g.Expect(runs[1].Days[0].WorstWindows).To(Equal(0.8))
	g.Expect(runs[1].Days[0].Prices).To(BeNumerically("~", 0.03, 1e-9))
	g.Expect(runs[1].Days[1].Broken).To(Equal(1))
}

func TestPageHasPlotsAndTables(t *testing.T) {
	g := NewWithT(t)
	runs, err := plotter.Read("testdata")
	g.Expect(err).NotTo(HaveOccurred())
	var page strings.Builder
	g.Expect(plotter.Write(&page, runs)).To(Succeed())
	g.Expect(page.String()).To(And(ContainSubstring("<h2>lima</h2>\n<svg"), ContainSubstring("<td>0.850</td>"),
		ContainSubstring("because &lt;b&gt;"), ContainSubstring("2026-12-04 11:00")))
}

func TestReadNamesTheInvalidFile(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(dir, "x.json"), []byte("nonsense"), 0o600)).To(Succeed())
	_, err := plotter.Read(dir)
	g.Expect(err).To(MatchError(ContainSubstring("x.json")))
}

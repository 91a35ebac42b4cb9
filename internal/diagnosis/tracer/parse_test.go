package tracer

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/reset.log")
	g.Expect(err).NotTo(HaveOccurred())
	var lines []Line
	for text := range strings.Lines(string(text)) {
		if l, ok := parse(strings.TrimSuffix(text, "\n")); ok {
			lines = append(lines, l)
		}
	}
	g.Expect(lines).To(HaveLen(7))
	sortByTime(lines)
	g.Expect(lines[6].Fields["error"]).To(Equal(`read store: \"x\" y`))
}

package tracer_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/diagnosis/tracer"
)

func TestTrace(t *testing.T) {
	g := NewWithT(t)
	f, err := os.Open("testdata/reset.log")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(f.Close()).To(Succeed()) }()
	lines, err := tracer.Read(f)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(7))
	g.Expect(lines[6].Fields["error"]).To(Equal(`read store: \"x\" y`))
	r, err := tracer.Trace(lines, "64588c8254e84c53")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Flow).To(HaveLen(4), "includes the placement, which has no request ID, and no other flow")
	g.Expect(r.StateChanges).To(HaveLen(1), "excludes changes a minute later")
	g.Expect(r.Conclusions).To(ContainElements(
		ContainSubstring("target_down (its target answered neither packets nor probes"),
		ContainSubstring("sent 2 packets again"),
		ContainSubstring("i-ae20d153b6 was found dead"),
	))
	_, err = tracer.Trace(lines, "unheard-of")
	g.Expect(err).To(MatchError(ContainSubstring("no line names this request")))
}

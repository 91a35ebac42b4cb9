package tracer_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/diagnosis/tracer"
)

const request = "64588c8254e84c53"

// inputs returns the text as the logs of several hosts, each with every n-th line.
func inputs(text []byte, n int) (all []tracer.Input) {
	parts := make([][]byte, n)
	for i, line := range bytes.SplitAfter(text, []byte("\n")) {
		parts[i%n] = append(parts[i%n], line...)
	}
	for _, part := range parts {
		all = append(all, func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(part)), nil })
	}
	return all
}

func TestTrace(t *testing.T) {
	text, err := os.ReadFile("testdata/reset.log")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, hosts := range []int{1, 2, 3} {
		g := NewWithT(t)
		r, err := tracer.Trace(tracer.Config{Request: request, Inputs: inputs(text, hosts)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Flow).To(HaveLen(4), "includes the placement, which has no request ID, and no other flow")
		for i := 1; i < len(r.Flow); i++ {
			g.Expect(r.Flow[i].Time).NotTo(BeTemporally("<", r.Flow[i-1].Time))
		}
		g.Expect(r.StateChanges).To(HaveLen(1), "excludes changes a minute later")
		g.Expect(r.Conclusions).To(ContainElements(
			ContainSubstring("target_down (its target answered neither packets nor probes"),
			ContainSubstring("sent 2 packets again"),
			ContainSubstring("i-ae20d153b6 was found dead"),
		))
		_, err = tracer.Trace(tracer.Config{Request: "unheard-of", Inputs: inputs(text, hosts)})
		g.Expect(err).To(MatchError(ContainSubstring("no line names this request")))
	}
}

func TestTraceIsLimitedToATimeRange(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/reset.log")
	g.Expect(err).NotTo(HaveOccurred())
	whole, err := tracer.Trace(tracer.Config{Request: request, Inputs: inputs(text, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	first := whole.Flow[0].Time
	_, err = tracer.Trace(tracer.Config{Request: request, From: first.Add(-time.Second), To: first.Add(time.Minute), Inputs: inputs(text, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []tracer.Config{{To: first.Add(-time.Second)}, {From: first.Add(time.Minute)}} {
		c.Request, c.Inputs = request, inputs(text, 1)
		_, err = tracer.Trace(c)
		g.Expect(err).To(MatchError(ContainSubstring("no line names this request")))
	}
}

// Logs of hundreds of megabytes must take little memory: only the lines of the
// request are kept.
func TestTraceKeepsOnlyWhatBelongsToTheRequest(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/reset.log")
	g.Expect(err).NotTo(HaveOccurred())
	other := strings.ReplaceAll(strings.ReplaceAll(string(text), request, "another"), "100.6", "100.9")
	long := func() (io.ReadCloser, error) {
		readers := []io.Reader{bytes.NewReader(text)}
		for range 2000 {
			readers = append(readers, strings.NewReader(other))
		}
		return io.NopCloser(io.MultiReader(readers...)), nil
	}
	r, err := tracer.Trace(tracer.Config{Request: request, Inputs: []tracer.Input{long}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Flow).To(HaveLen(4))
}

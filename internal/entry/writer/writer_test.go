package writer_test

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/entry/writer"
)

func TestWriteDropsLinesWhenTheQueueIsFull(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	w := writer.New(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3000 {
		n, err := w.Write(line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	g.Expect(w.Dropped()).To(Equal(uint64(3000 - 1024)))
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(strings.Count(out.String(), "x\n")).To(Equal(1024))
	g.Expect(out.String()).To(ContainSubstring("lines=1976"))
	_, err := w.Write([]byte("later\n"))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	w.Start(ctx)
	cancel()
	g.Expect(<-w.Done()).NotTo(HaveOccurred())
	g.Expect(out.String()).To(HaveSuffix("later\n"), "queued lines are written at the end")
}

// writes records the calls of Write.
type writes []string

func (w *writes) Write(b []byte) (int, error) {
	*w = append(*w, string(b))
	return len(b), nil
}

func TestLinesAreNotSplit(t *testing.T) {
	g := NewWithT(t)
	var out writes
	w := writer.New(&out)
	longLine := strings.Repeat("y", 9000) + "\n"
	text := strings.Repeat("a line of a log\n", 1000) + longLine + "the end\n"
	_, err := w.Write([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(strings.Join(out, "")).To(Equal(text))
	for _, b := range out {
		g.Expect(b).To(HaveSuffix("\n"))
		g.Expect(len(b) <= 4096 || b == longLine).To(BeTrue())
	}
	_, err = w.Write([]byte(strings.Repeat("z", 5000)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Flush()).To(Succeed(), "a line without a newline")
}

// Package writer writes log lines in the background, so that logging never waits
// for the output. Lines that do not fit into the queue are dropped and counted.
package writer

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueueLength limits the queue in bytes. It holds several seconds of lines at
	// the rate to which the reporter limits them.
	maxQueueLength = 1 << 20
	// flushInterval is the longest time that a line is queued. The lines of an
	// interval are written together.
	flushInterval = 100 * time.Millisecond
	// maxAtomicWrite is the number of bytes up to which a write to a pipe is not
	// interleaved with those of other processes (PIPE_BUF).
	maxAtomicWrite = 4096
)

// Writer queues lines. It is safe for concurrent use.
type Writer struct {
	out          io.Writer
	mu           sync.Mutex
	queue        []byte
	spare        []byte
	dropped      uint64
	droppedTotal uint64
	done         chan error
}

// New returns a Writer to out.
func New(out io.Writer) *Writer { return &Writer{out: out, done: make(chan error, 1)} }

// Write queues a line. If the queue is full, it drops and counts the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > maxQueueLength {
		w.dropped++
		w.droppedTotal++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Start writes lines until the context ends, which is reported on Done after the
// last line.
func (w *Writer) Start(ctx context.Context) { go func() { w.done <- w.run(ctx) }() }

// Done returns the channel that reports the end of writing.
func (w *Writer) Done() <-chan error { return w.done }

func (w *Writer) run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.Flush()
		case <-t.C:
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

// Flush writes the queued lines, and a line with the number of lines that were
// dropped since the previous call.
func (w *Writer) Flush() error {
	w.mu.Lock()
	batch, dropped := w.queue, w.dropped
	w.queue, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=WARN msg=\"log: lines dropped\" lines=%d\n", dropped)
	}
	err := w.write(batch)
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
	return err
}

// write writes whole lines, as many at a time as are written to a pipe atomically.
func (w *Writer) write(lines []byte) error {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxAtomicWrite {
			n = 1 + bytes.LastIndexByte(lines[:maxAtomicWrite], '\n')
		}
		if n == 0 {
			// The first line is longer than an atomic write.
			n = cmp.Or(1+bytes.IndexByte(lines, '\n'), len(lines))
		}
		if _, err := w.out.Write(lines[:n]); err != nil {
			return err
		}
		lines = lines[n:]
	}
	return nil
}

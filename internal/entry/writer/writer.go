// Package writer writes log lines in the background. Whoever logs never waits
// for the output: lines that find the queue full are dropped and counted.
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
	// maxQueued bounds the waiting lines in bytes: seconds of logs at the rate at
	// which the reporter bounds them.
	maxQueued = 1 << 20
	// flushInterval is how long a line may wait; lines of that time take one write.
	flushInterval = 100 * time.Millisecond
	// atomicWrite is how many bytes a pipe takes without those of another process
	// between them (PIPE_BUF).
	atomicWrite = 4096
)

// Writer queues lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	queue   []byte
	spare   []byte
	dropped uint64
	total   uint64
	done    chan error
}

// New returns a Writer to out.
func New(out io.Writer) *Writer { return &Writer{out: out, done: make(chan error, 1)} }

// Write queues a line, or drops and counts it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > maxQueued {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Start writes until the context ends, which is reported on Done after the last
// line.
func (w *Writer) Start(ctx context.Context) { go func() { w.done <- w.run(ctx) }() }

// Done reports the end.
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

// Flush writes what is queued, and how many lines were dropped since the last
// time.
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

// write writes lines, as many whole ones at a time as a pipe takes at once.
func (w *Writer) write(lines []byte) error {
	for len(lines) > 0 {
		n := len(lines)
		if n > atomicWrite {
			n = 1 + bytes.LastIndexByte(lines[:atomicWrite], '\n')
		}
		if n == 0 {
			// The first line is longer than that.
			n = cmp.Or(1+bytes.IndexByte(lines, '\n'), len(lines))
		}
		if _, err := w.out.Write(lines[:n]); err != nil {
			return err
		}
		lines = lines[n:]
	}
	return nil
}

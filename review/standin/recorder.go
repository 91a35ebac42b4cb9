package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the events of a case, with the seconds since its start.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	buffer  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: f, buffer: bufio.NewWriter(f)}, nil
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.buffer, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.buffer, format+"\n", values...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}

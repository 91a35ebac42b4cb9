package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
	// breaks lists the violations of the rule.
	breaks []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// violation records that the rule was broken.
func (r *recorder) violation(format string, values ...any) {
	r.add("RULE BROKEN: "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, fmt.Sprintf(format, values...))
}

// close writes the result and returns the exit code.
func (r *recorder) close() int {
	r.add("violations: %d", len(r.breaks))
	if len(r.breaks) > 0 {
		fmt.Printf("rule broken, %d times; the first: %s\n", len(r.breaks), r.breaks[0])
	} else {
		fmt.Println("rule held")
	}
	_ = r.out.Flush()
	_ = r.file.Close()
	if len(r.breaks) > 0 {
		return 1
	}
	return 0
}

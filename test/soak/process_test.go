package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a host's process and those that replace it.
type process struct {
	program, settings, log string
	mu                     sync.Mutex
	command                *exec.Cmd
	ended                  chan struct{}
	// meant says that the soak ends the process.
	meant, closed bool
	unmeant       []string
}

func newProcess(program, directory string, n int) *process {
	return &process{
		program: program, settings: filepath.Join(directory, fmt.Sprintf("host-%d.yaml", n)),
		log: filepath.Join(directory, fmt.Sprintf("host-%d.log", n)),
	}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.command != nil {
		return nil
	}
	f, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(p.program, "--settings", p.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.meant = c, ended, false
	go func() {
		err := c.Wait()
		_ = f.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.meant {
			p.unmeant = append(p.unmeant, fmt.Sprintf("%s: %v", p.settings, err))
		}
		p.command = nil
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that runs, if any.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.meant = true
	}
	_ = p.command.Process.Signal(s)
}

// replace ends the process by a signal and starts another after a pause.
func (p *process) replace(s syscall.Signal, pause time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.wait()
	time.Sleep(pause)
	_ = p.start()
}

func (p *process) wait() {
	p.mu.Lock()
	ended, runs := p.ended, p.command != nil
	p.mu.Unlock()
	if runs {
		<-ended
	}
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait()
}

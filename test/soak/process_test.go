package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a host's process and its replacements.
type process struct {
	program, settings, log string
	mu                     sync.Mutex
	command                *exec.Cmd
	exited                 chan struct{}
	// expectedExit reports that the test itself is ending the process; unexpectedExits
	// lists all other exits.
	expectedExit, closed bool
	unexpectedExits      []string
}

// buildHost builds the host program in a directory and returns its path.
func buildHost(t *testing.T, directory string) (program string) {
	t.Helper()
	program = filepath.Join(directory, "cactuspin-entry")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/cactuspin-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
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
	exited := make(chan struct{})
	p.command, p.exited, p.expectedExit = c, exited, false
	go func() {
		err := c.Wait()
		_ = f.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expectedExit {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s: %v", p.settings, err))
		}
		p.command = nil
		close(exited)
	}()
	return nil
}

// pid returns the ID of the running process, or 0.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expectedExit = true
	}
	_ = p.command.Process.Signal(s)
}

// replace ends the process with a signal and starts a new one after a pause.
func (p *process) replace(s syscall.Signal, pause time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.wait()
	time.Sleep(pause)
	_ = p.start()
}

func (p *process) wait() {
	p.mu.Lock()
	exited, running := p.exited, p.command != nil
	p.mu.Unlock()
	if running {
		<-exited
	}
}

// close ends the process permanently.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait()
}

package soak_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// TestASettingsSignalDuringTheStartIsHarmless sends SIGHUP while a host reads its
// settings for the first time. A host that had not yet installed its signal handler was
// terminated by the signal (soak seed 123).
func TestASettingsSignalDuringTheStartIsHarmless(t *testing.T) {
	directory := t.TempDir()
	program, settings := buildHost(t, directory), filepath.Join(directory, "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program, "--settings", settings)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening a FIFO for writing blocks until the host opens it for reading; the host
	// then waits for data.
	f, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString("zone: z\n"); err != nil && !errors.Is(err, syscall.EPIPE) {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	var exit *exec.ExitError
	if err := c.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Errorf("the host ended with %v, want exit code 2 for the settings", err)
	}
}

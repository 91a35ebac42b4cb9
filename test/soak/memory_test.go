package soak_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

const (
	longEntries   = 48
	maxValueBytes = 1 << 20
	// maxHostMemory is what a host may take for control, in kB.
	maxHostMemory = 64 << 10
	// configurationBound is the bound of the settings within which a configuration is in
	// force.
	configurationBound = 3 * time.Second
	hostAddress        = "127.99.0.1"
	hostSettings       = `ip: "127.99.0.1"
node_name: "h"
zone: "z"
listen: {datagram_addr: "127.99.0.1:8172", ready_addr: "127.99.0.1:8167", control: "127.99.0.1:8166"}
internal_ports: [7720, 7735]
bounds: {config_apply_ms: 3000, drain_ms: 3000, grace_s: 6, flow_max_s: 60}
platform: {address: "127.99.0.9:8169"}
`
)

func putConfiguration(s *metastore.Store, version int) {
	s.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"s"}]}`, version))
}

// peakMemory returns the largest resident memory of a process so far, in kB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestAHostReadsLongEntriesInLittleMemory runs the real program, once running and once
// starting while another writer has left 48 MiB of odd entries. Answers were read in whole
// before they were decoded, up to a length at which they failed.
func TestAHostReadsLongEntriesInLittleMemory(t *testing.T) {
	directory := t.TempDir()
	program := buildHost(t, directory)
	if err := os.WriteFile(filepath.Join(directory, "host-1.yaml"), []byte(hostSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(context.Background(), "tcp4", "127.99.0.9:8169")
	if err != nil {
		t.Fatal(err)
	}
	store := metastore.New()
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	putConfiguration(store, 1)
	p := newProcess(program, directory, 1)
	defer p.close()
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, 1, startTimeout)
	for i := range longEntries {
		store.Put(fmt.Sprintf("servers/odd-%02d", i), []byte(strings.Repeat("[", maxValueBytes)))
	}
	putConfiguration(store, 2)
	awaitVersion(t, 2, configurationBound)
	checkMemory(t, p, "running")
	p.signal(syscall.SIGKILL)
	p.wait()
	putConfiguration(store, 3)
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, 3, configurationBound)
	checkMemory(t, p, "starting")
}

func awaitVersion(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	admin := netip.MustParseAddrPort(hostAddress + ":8166")
	startedAt := time.Now()
	for hostStatus(context.Background(), admin).Version != version {
		if time.Since(startedAt) > limit {
			t.Fatalf("version %d is not in force after %s", version, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("version %d is in force after %s", version, time.Since(startedAt))
}

func checkMemory(t *testing.T, p *process, when string) {
	t.Helper()
	memory := peakMemory(t, p.pid())
	t.Logf("%s: at most %d kB", when, memory)
	if memory > maxHostMemory {
		t.Errorf("a host that is %s takes %d kB", when, memory)
	}
}

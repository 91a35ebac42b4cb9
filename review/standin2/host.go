package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// program is the program of the deploy file.
const program = "target/cactuspin-entry"

// restartDelay is the delay after which the platform starts a process that has ended.
const restartDelay = 300 * time.Millisecond

// host is an entry host: a process that the platform starts again whenever it ends.
type host struct {
	name, zone string
	address    netip.Addr
	settings   string
	rec        *recorder
	// misses is the number of failed readiness checks in a row. The routers guard it.
	misses int

	mu      sync.Mutex
	command *exec.Cmd
	// asked reports that the present end of the process is part of the case.
	asked, stopped bool
	// ownEnds counts the ends that nobody asked for.
	ownEnds int
	ended   chan struct{}
}

// start starts the process with the settings file in its environment.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program) //nolint:noctx // The process is ended by signals.
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSPIN_SETTINGS=" + h.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	h.command, h.asked, h.ended = c, false, make(chan struct{})
	h.rec.add("host %s started", h.name)
	go h.wait(c, log, h.ended)
	return nil
}

// wait starts the process again after it has ended.
func (h *host) wait(c *exec.Cmd, log *os.File, ended chan struct{}) {
	err := c.Wait()
	_ = log.Close()
	h.mu.Lock()
	if !h.stopped && !h.asked {
		h.ownEnds++
		h.rec.add("host %s ended by itself: %v: %s", h.name, err, h.lastPanic())
	} else {
		h.rec.add("host %s ended", h.name)
	}
	h.mu.Unlock()
	close(ended)
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.rec.add("host %s not started: %v", h.name, err)
	}
}

// lastPanic returns the first lines of the last panic in the log.
func (h *host) lastPanic() string {
	f, err := os.Open(h.settings + ".log")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	var lines []string
	s := bufio.NewScanner(f)
	for s.Scan() {
		if strings.HasPrefix(s.Text(), "panic:") {
			lines = nil
		}
		if strings.HasPrefix(s.Text(), "panic:") || (len(lines) > 0 && len(lines) < 6 && strings.Contains(s.Text(), "cactuspin")) {
			lines = append(lines, strings.TrimSpace(s.Text()))
		}
	}
	return strings.Join(lines, " | ")
}

// kill kills the process, which is started again.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rec.add("host %s is killed", h.name)
	h.asked = true
	_ = h.command.Process.Kill()
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	ended := h.ended
	if h.command != nil {
		_ = h.command.Process.Kill()
	}
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// writeSettings writes the settings file of the host.
func (h *host) writeSettings(folder string, number int, seeds []string, store netip.AddrPort) error {
	h.settings = filepath.Join(folder, fmt.Sprintf("host-%d.yaml", number))
	text := fmt.Sprintf(settingsFormat, h.name, h.address, h.zone, packetPort, readyPort, controlPort, strings.Join(seeds, ", "), store)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

const settingsFormat = `node_name: "%[1]s"
role: "entry"
machine_class: "front"
serves: ["front", "control"]
ip: "%[2]s"
zone: "%[3]s"
region: "one"
zones: {zone-1: "one", zone-2: "one", zone-3: "one"}
listen: {datagram_addr: "%[2]s:%[4]d", ready_addr: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internal_ports: [7720, 7735]
seeds: [%[7]s]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, addr_reuse_s: 2, stable_ms: 5000, ack_ms: 8000, catch_up_s: 6, drain_ms: 5000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 5000, rollback_slack_ms: 250, stretch_max_ms: 15000, warmup_overrun: 1.5, warmup_slack: 5, evacuation_ms: 5000, recovery_s: 15, flow_reorder_ms: 2000, flow_max_s: 60}
hash_scheme: "steady"
topology: "echo"
platform: {address: "%[8]s", topology: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

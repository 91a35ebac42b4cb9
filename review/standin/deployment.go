package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// Size of the deployment.
const (
	zoneCount        = 2
	hostsPerZone     = 2
	clientsPerZone   = 3
	idleTimeout      = 12 * time.Second
	flowMax          = 60 * time.Second
	startTimeout     = 20 * time.Second
	restartDelay     = 500 * time.Millisecond
	gracePeriod      = 6 * time.Second
	serviceClaims    = "claims-core"
	serviceNext      = "claims-next"
	serviceReceipts  = "receipts"
	metricsPort      = 9464
	internalPorts    = 16
	addressAttempts  = 50
	portsOfAHost     = 3
	storePort        = 8169
	entryHostsOctet  = 10
	endpointsOctet   = 100
	requestersOctet  = 200
	routesOctet      = 250
	firstPortOfRange = 21000
	portRange        = 8000
)

// entryHost is an entry host and its process.
type entryHost struct {
	name, zone, settings    string
	ip                      netip.Addr
	packets, ready, control netip.AddrPort
	// misses is the number of readiness checks missed in a row.
	misses int

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	wanted  bool
}

// deployment is a small deployment of entry hosts and stand-ins on loopback addresses.
type deployment struct {
	program    string
	rec        *recorder
	directory  string
	octet      byte
	packetPort uint16
	store      *metastore.Store
	server     *http.Server
	hosts      []*entryHost
	router     *router
	endpoints  []*endpoint
	clients    []*client
	kinds      []*requestKind
	ctx        context.Context
	cancel     context.CancelFunc
	// flowLifetime is the age at which requesters replace a long flow.
	flowLifetime time.Duration

	mu sync.Mutex
	// allowed holds the services that any configuration allows for a route.
	allowed map[netip.AddrPort][]string
	// openAt holds the endpoints of open flows, runs the runs by attempt.
	openAt map[flowID]*endpoint
	runs   map[string]int
	sent   []sentRequest
	served map[string]bool
	counts counts
}

// counts sums up what was seen.
type counts struct{ sent, served, lost, brokenFlows, brokenRequests, wrongService, doubled int }

// sentRequest is a request and the time at which it was sent.
type sentRequest struct {
	id string
	at time.Time
}

func newDeployment(program string, x *scenario, rec *recorder) (d *deployment, err error) {
	d = &deployment{
		flowLifetime: x.flowLifetime,
		program:      program, rec: rec, store: metastore.New(), allowed: map[netip.AddrPort][]string{},
		openAt: map[flowID]*endpoint{}, runs: map[string]int{}, served: map[string]bool{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if d.directory, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if !d.chooseAddresses() {
		return nil, errors.New("no free addresses")
	}
	d.kinds = []*requestKind{
		{name: "feed", route: netip.AddrPortFrom(d.address(routesOctet, 1), 8443), kind: "idempotent", users: 5, longFlows: true, size: 4000, budget: 1500 * time.Millisecond, pause: 600 * time.Millisecond},
		{name: "entry", route: netip.AddrPortFrom(d.address(routesOctet, 1), 9443), kind: "non_idempotent", users: 2, longFlows: true, size: 600, budget: 2 * time.Second, pause: 600 * time.Millisecond},
		{name: "order", route: netip.AddrPortFrom(d.address(routesOctet, 1), 8080), kind: "non_idempotent", users: 2, size: 600, budget: 2 * time.Second, pause: 300 * time.Millisecond},
		{name: "pack", route: netip.AddrPortFrom(d.address(routesOctet, 2), 8443), kind: "download", users: 1, size: 20000, budget: 3 * time.Second, pause: 400 * time.Millisecond},
	}
	return d, nil
}

// address returns a loopback address of the deployment.
func (d *deployment) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.octet, byte(third), byte(fourth)})
}

// chooseAddresses chooses a network and ports in which all addresses are free.
func (d *deployment) chooseAddresses() bool {
	for range addressAttempts {
		d.octet = byte(20 + rand.IntN(200))
		d.packetPort = uint16(firstPortOfRange + rand.IntN(portRange))
		d.hosts = nil
		for z := range zoneCount {
			for i := range hostsPerZone {
				ip := d.address(entryHostsOctet+z, i+1)
				d.hosts = append(d.hosts, &entryHost{
					name: fmt.Sprintf("front-%d-%d", z+1, i+1), zone: zoneName(z), ip: ip, packets: netip.AddrPortFrom(ip, d.packetPort),
					ready: netip.AddrPortFrom(ip, d.packetPort+1), control: netip.AddrPortFrom(ip, d.packetPort+2),
				})
			}
		}
		if d.addressesFree() {
			return true
		}
	}
	return false
}

func zoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z) }

func (d *deployment) addressesFree() bool {
	for _, h := range d.hosts {
		ports := []uint16{metricsPort}
		for i := range portsOfAHost + internalPorts {
			ports = append(ports, d.packetPort+uint16(i))
		}
		for _, port := range ports {
			if !free(netip.AddrPortFrom(h.ip, port)) {
				return false
			}
		}
	}
	return free(netip.AddrPortFrom(d.address(1, 1), storePort))
}

func free(a netip.AddrPort) bool {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = u.Close()
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp4", a.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// start starts store, endpoints, entry hosts, router and requesters, and waits until
// all hosts are ready.
func (d *deployment) start() error {
	var c net.ListenConfig
	l, err := c.Listen(d.ctx, "tcp4", netip.AddrPortFrom(d.address(1, 1), storePort).String())
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(l) }()
	d.configure(7, map[string]string{"feed": serviceClaims, "entry": serviceClaims, "order": serviceClaims, "pack": serviceReceipts})
	if err := d.startEndpoints(); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	d.router = newRouter(d.hosts, d.rec)
	go d.router.run(d.ctx)
	for began := time.Now(); !d.hostsReady(); time.Sleep(probeInterval / 5) {
		if time.Since(began) > startTimeout {
			return errors.New("the hosts are not ready")
		}
	}
	d.rec.add("all entry hosts are ready")
	return d.startRequesters()
}

func (d *deployment) hostsReady() bool {
	for _, h := range d.hosts {
		if !d.router.isReady(d.ctx, h) {
			return false
		}
	}
	return d.router.allReady()
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, services map[string]string) {
	var routes []map[string]any
	for i, k := range d.kinds {
		routes = append(routes, map[string]any{
			"name": "r-" + k.name, "host": k.route.Addr().String(), "prefix": fmt.Sprintf("/%d/", k.route.Port()), "kind": k.kind,
			"timeout_ms": k.budget.Milliseconds(), "target_latency_ms": 300, "priority": i, "service": services[k.name], "max_attempts": 2,
		})
		d.mu.Lock()
		d.allowed[k.route] = append(d.allowed[k.route], services[k.name])
		d.mu.Unlock()
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{
			{"name": serviceClaims, "health_path": "/health"}, {"name": serviceNext, "health_path": "/health"}, {"name": serviceReceipts, "health_path": "/health"},
		},
		"limits": map[string]any{"idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	if err == nil {
		d.store.Put("op/config", b)
		d.rec.add("operator: version %d acknowledged: %s", version, b)
	}
}

func (d *deployment) startEndpoints() error {
	for z := range zoneCount {
		for i, service := range []string{serviceClaims, serviceClaims, serviceClaims, serviceNext, serviceNext, serviceReceipts} {
			work := 55 * time.Millisecond
			if service == serviceReceipts {
				work = 5 * time.Millisecond
			}
			e, err := newEndpoint(d, 0x10000000+uint64(rand.Uint32()>>4), service, zoneName(z), d.address(endpointsOctet+z, i+1), work)
			if err != nil {
				return err
			}
			d.endpoints = append(d.endpoints, e)
			d.rec.add("endpoint %s: service %s, zone %s, address %s", e.id, e.service, e.zone, e.address)
			go e.run(d.ctx)
		}
	}
	return nil
}

func (d *deployment) startRequesters() error {
	for z := range zoneCount {
		for i := range clientsPerZone {
			c, err := newClient(d, zoneName(z), d.address(requestersOctet+z, i+1))
			if err != nil {
				return err
			}
			d.clients = append(d.clients, c)
			go c.run(d.ctx)
			for _, k := range d.kinds {
				for n := range k.users {
					u := &user{c: c, kind: k, name: fmt.Sprintf("%s-%d-%d-%d", k.name, z, i, n)}
					go u.run(d.ctx)
				}
			}
		}
	}
	return nil
}

func (d *deployment) writeSettings(h *entryHost) error {
	var zones, seeds []string
	for z := range zoneCount {
		zones = append(zones, fmt.Sprintf("  %s: \"region\"\n", zoneName(z)))
	}
	for _, x := range d.hosts[:min(3, len(d.hosts))] {
		seeds = append(seeds, fmt.Sprintf("  - \"%s\"\n", x.control))
	}
	text := fmt.Sprintf(settings, h.name, h.ip, h.zone, strings.Join(zones, ""), h.packets, h.ready, h.control,
		d.packetPort+portsOfAHost, d.packetPort+portsOfAHost+internalPorts-1, strings.Join(seeds, ""), netip.AddrPortFrom(d.address(1, 1), storePort))
	h.settings = filepath.Join(d.directory, h.name+".yaml")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

const settings = `node_name: "%s"
role: "entry"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: "%s"
zone: "%s"
region: "region"
zones:
%slisten:
  datagram_addr: "%s"
  ready_addr: "%s"
  control: "%s"
internal_ports:
  - %d
  - %d
seeds:
%sbootstrap: true
fault_counted: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "announce"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "flows", "platform"]
fault_tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, stable_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000, rollback_slack_ms: 250, stretch_max_ms: 12000, recovery_s: 12, flow_reorder_ms: 2000, flow_max_s: 60}
hash_scheme: "steady"
topology: "echo"
platform: {address: "%s", topology: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// startHost starts the process of a host and starts it again whenever it ends.
func (d *deployment) startHost(h *entryHost) error {
	if err := d.writeSettings(h); err != nil {
		return err
	}
	h.wanted = true
	return d.startProcess(h)
}

func (d *deployment) startProcess(h *entryHost) error {
	log, err := os.OpenFile(filepath.Join(d.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), d.program)
	cmd.Env = []string{"CACTUSPIN_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	h.mu.Lock()
	h.process, h.ended = cmd.Process, make(chan struct{})
	ended := h.ended
	h.mu.Unlock()
	d.rec.add("host %s: process started", h.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(ended)
		d.rec.add("host %s: process ended: %v", h.name, err)
		h.mu.Lock()
		wanted := h.wanted
		h.mu.Unlock()
		if !wanted || d.ctx.Err() != nil {
			return
		}
		time.Sleep(restartDelay)
		if d.ctx.Err() == nil {
			_ = d.startProcess(h)
		}
	}()
	return nil
}

func (h *entryHost) signal(s syscall.Signal) (ended chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Signal(s)
	return h.ended
}

// restart stops a host in a planned way, as the platform does, and waits until it is
// back in rotation.
func (d *deployment) restart(h *entryHost) {
	d.rec.add("platform: SIGTERM to %s", h.name)
	ended := h.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		d.rec.add("platform: SIGKILL to %s", h.name)
		h.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(restartDelay)
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(probeInterval / 5) {
		if d.router.isReady(d.ctx, h) {
			break
		}
	}
	time.Sleep(2 * probeInterval)
}

// killAll kills all entry hosts at once; they start again by themselves.
func (d *deployment) killAll() {
	for _, h := range d.hosts {
		d.rec.add("platform: SIGKILL to %s", h.name)
		h.signal(syscall.SIGKILL)
	}
}

// close ends all processes.
func (d *deployment) close() {
	d.cancel()
	for _, h := range d.hosts {
		h.mu.Lock()
		h.wanted = false
		process, ended := h.process, h.ended
		h.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Kill()
		<-ended
	}
	if d.server != nil {
		_ = d.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("logs of the hosts are in", d.directory)
	}
}

func (d *deployment) requestSent(id string, _ *requestKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.sent++
	d.sent = append(d.sent, sentRequest{id: id, at: time.Now()})
}

func (d *deployment) requestServed(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.served++
	d.served[id] = true
}

func (d *deployment) requestLost(id string, k *requestKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.lost++
	d.rec.add("request %s of kind %s was NOT SERVED", id, k.name)
}

func (d *deployment) answered(id, answer string, f flowID) {
	_, seal, _ := strings.Cut(answer, "X-Cactuspin-Response-Seal: ")
	seal, _, _ = strings.Cut(seal, "\r\n")
	d.rec.add("requester %s route %s: request %s answered, seal %s", f.requester, f.route, id, seal)
}

// flowOpened records the end of a handshake at an endpoint.
func (d *deployment) flowOpened(id flowID, e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openAt[id] = e
}

// requestRun records that an endpoint begins to work on a request, and checks that a
// configuration allows it.
func (d *deployment) requestRun(id string, f flowID, e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("endpoint %s (%s): runs request %s of %s for route %s", e.id, e.service, id, f.requester, f.route)
	if d.runs[id]++; d.runs[id] > 1 {
		d.counts.doubled++
		d.rec.add("request %s RAN TWICE", id)
	}
	if !slices.Contains(d.allowed[f.route], e.service) {
		d.counts.wrongService++
		d.rec.add("ROUTE BROKEN: request %s for route %s was run by service %s, configurations allow %v", id, f.route, e.service, d.allowed[f.route])
	}
}

// openFlowReset records a reset of the system's own on a flow that was open, and checks
// whether the rule excuses it. All endpoints live and are undisturbed all the time, and
// no configuration drops a route.
func (d *deployment) openFlowReset(f *requesterFlow, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.openAt[f.id]
	age, idle := time.Since(f.openedAt), time.Since(f.lastSent)
	if e == nil || age > flowMax || idle > idleTimeout {
		d.rec.add("requester %s route %s: reset by the system, excused (open at an endpoint: %t, age %s)", f.id.requester, f.id.route, e != nil, age)
		return
	}
	d.counts.brokenFlows++
	if request != "" {
		d.counts.brokenRequests++
	}
	d.rec.add("FLOW BROKEN: requester %s route %s: reset by the system, flow open for %s at living endpoint %s (%s), request in progress: %q",
		f.id.requester, f.id.route, age.Round(time.Millisecond), e.id, e.service, request)
}

// servedShare returns the share of the requests sent in an interval that were served.
func (d *deployment) servedShare(from, to time.Time) (share float64, sent int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	served := 0
	for _, s := range d.sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		sent++
		if d.served[s.id] {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}

func (d *deployment) count() counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *deployment) summary() string {
	c := d.count()
	return fmt.Sprintf("%d requests sent, %d served, %d not served; %d open flows at living endpoints reset by the system (%d of them with a request in progress); %d requests run by a wrong service; %d run twice",
		c.sent, c.served, c.lost, c.brokenFlows, c.brokenRequests, c.wrongService, c.doubled)
}

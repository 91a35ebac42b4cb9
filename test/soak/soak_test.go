// Package soak_test runs the real host program as separate processes against emulated
// services and injects faults from outside: signals, a proxy in front of the store, and
// faults of the store and of targets. Faults are drawn from a seed and may overlap.
package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/netemulator"
)

// Defaults for make test, which make soak overrides in the environment, and time
// limits.
const (
	defaultSeconds  = 8
	defaultHosts    = 2
	startTimeout    = 30 * time.Second
	recoveryTimeout = 30 * time.Second
	// maxNetworks is the number of soak runs that can share one machine.
	maxNetworks = 30
	storePort   = 8169
	// maxDrains is one drained target in each zone.
	maxDrains = 3
)

// soak is the state of one run.
type soak struct {
	t            *testing.T
	random       *rand.Rand
	testbed      *netemulator.Testbed
	proxy        *proxy
	processes    []*process
	drains       int
	activeFaults sync.WaitGroup
	// planned limits the faults to planned work and to entries of another writer, which
	// no open flow and no time bound may suffer from.
	planned bool
	// evacuations draws evacuations, apart from the other work, whose order a seed keeps.
	evacuations *rand.Rand
	// restores makes the store come back from backups, beside all other faults.
	restores bool
	// stopping is held while a host is stopped by plan, as one at a time is.
	stopping sync.Mutex
}

func intFromEnvironment(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func TestSoak(t *testing.T) { runSoak(t, &soak{}) }

// TestSoakOfPlannedWork restarts hosts by plan while routes move to another service and
// back and another writer leaves odd entries.
func TestSoakOfPlannedWork(t *testing.T) { runSoak(t, &soak{planned: true}) }

// TestSoakOfRestores restores the store from backups, once in a while twice in quick
// succession, while all other faults go on.
func TestSoakOfRestores(t *testing.T) { runSoak(t, &soak{restores: true}) }

func runSoak(t *testing.T, s *soak) {
	t.Helper()
	// Time bounds hold only on an otherwise idle machine, so they are checked only in
	// runs that set SOAK_SECONDS.
	checkTimeBounds := os.Getenv("SOAK_SECONDS") != ""
	seconds, seed, hosts := intFromEnvironment("SOAK_SECONDS", defaultSeconds), intFromEnvironment("SOAK_SEED", 1), intFromEnvironment("SOAK_HOSTS", defaultHosts)
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	program := buildHost(t, directory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.t, s.random = t, rand.New(rand.NewPCG(uint64(seed), 3))
	s.evacuations = rand.New(rand.NewPCG(uint64(seed), 4))
	s.setUp(ctx, program, directory, hosts, time.Duration(seconds)*time.Second)
	defer func() {
		for _, p := range s.processes {
			p.close()
		}
	}()
	if !s.testbed.WaitReady(ctx, startTimeout) {
		t.Fatalf("hosts are not ready; logs are in %s", directory)
	}
	if s.restores {
		s.activeFaults.Add(1)
		go s.injectRestores(rand.New(rand.NewPCG(uint64(seed), 5)), time.Duration(seconds)*time.Second)
	}
	go s.injectFaults(ctx, time.Duration(seconds)*time.Second)
	if s.planned {
		s.activeFaults.Go(func() { s.evacuateZones(time.Duration(seconds) * time.Second) })
	}
	defer s.testbed.CloseStore()
	r := s.testbed.RunTraffic(ctx)
	s.activeFaults.Wait()
	s.checkReport(ctx, &r, checkTimeBounds)
	if t.Failed() {
		t.Logf("seed %d: logs are in %s", seed, directory)
	} else if err := os.RemoveAll(directory); err != nil {
		t.Log(err)
	}
}

func (s *soak) setUp(ctx context.Context, program, directory string, hosts int, length time.Duration) {
	storeAddress := func(network, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(network), byte(n)}), storePort)
	}
	c := netemulator.Config{Zones: 3, HostsPerZone: hosts, TargetsPerZone: 4, CallersPerZone: 15, Directory: directory, Length: length}
	var err error
	for c.NetworkIndex = 1; s.proxy == nil; c.NetworkIndex++ {
		if c.NetworkIndex > maxNetworks {
			s.t.Fatalf("no free network: %v", err)
		}
		c.StoreAddress, c.AdvertisedStoreAddress = storeAddress(c.NetworkIndex, 8), storeAddress(c.NetworkIndex, 9)
		if c.AddressesFree() {
			s.proxy, err = newProxy(ctx, c.AdvertisedStoreAddress, c.StoreAddress)
		}
	}
	c.NetworkIndex--
	if s.testbed, err = netemulator.New(c); err != nil {
		s.t.Fatal(err)
	}
	if s.restores {
		s.testbed.Store().SetEra(1)
	}
	for n := range 3 * hosts {
		p := newProcess(program, directory, n+1)
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			s.t.Fatal(err)
		}
	}
}

// injectFaults injects about two faults per second during the first three quarters of
// the run, so that the hosts can recover in the last quarter.
func (s *soak) injectFaults(ctx context.Context, length time.Duration) {
	for end := time.Now().Add(length * 3 / 4); time.Now().Before(end); {
		if s.planned {
			s.injectPlannedWork()
		} else {
			s.injectFault(ctx)
		}
		time.Sleep(100*time.Millisecond + time.Duration(s.random.Int64N(int64(700*time.Millisecond))))
	}
}

func (s *soak) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// injectPlannedWork does one random piece of planned work, or lets another writer leave
// an entry. No time bound is suspended.
func (s *soak) injectPlannedWork() {
	p := s.processes[s.random.IntN(len(s.processes))]
	d := s.randomDuration(30*time.Millisecond, 300*time.Millisecond)
	switch s.random.IntN(8) {
	case 0, 1:
		if s.stopping.TryLock() {
			s.t.Log("stop by plan")
			s.activeFaults.Go(func() {
				defer s.stopping.Unlock()
				p.replace(syscall.SIGTERM, d)
			})
		}
	case 2:
		p.signal(syscall.SIGHUP)
	case 3:
		s.testbed.UpdateConfiguration()
	case 4:
		s.t.Log("feeds move")
		s.testbed.MoveFeeds()
	case 5:
		s.drain()
	default:
		s.putForeignEntry()
	}
}

// evacuateZones evacuates one zone after another during the first three quarters of the
// run, each for longer than hosts may take to apply that, but for the last one.
func (s *soak) evacuateZones(length time.Duration) {
	end := time.Now().Add(length * 3 / 4)
	wait := func(minimum, maximum time.Duration) {
		d := minimum + time.Duration(s.evacuations.Int64N(int64(maximum-minimum)))
		time.Sleep(min(d, time.Until(end)))
	}
	for {
		wait(100*time.Millisecond, 2*time.Second)
		if !time.Now().Before(end) {
			return
		}
		zone := s.evacuations.IntN(s.testbed.ZoneCount())
		s.t.Logf("zone %d is evacuated", zone+1)
		s.testbed.Evacuate(zone)
		wait(6*time.Second, 9*time.Second)
		s.testbed.Return(zone)
	}
}

func (s *soak) putForeignEntry() {
	kind, target := s.random.IntN(netemulator.ForeignEntryKinds), s.random.IntN(s.testbed.TargetCount())
	s.t.Logf("another writer's entry of kind %d for target %d", kind, target)
	s.testbed.PutForeignEntry(kind, target)
}

// drain drains the first target of each zone in turn; the others remain.
func (s *soak) drain() {
	if s.drains < maxDrains {
		s.testbed.Drain(s.drains * 5 % s.testbed.TargetCount())
		s.drains++
	}
}

// injectFault injects one random fault.
func (s *soak) injectFault(ctx context.Context) {
	p := s.processes[s.random.IntN(len(s.processes))]
	d := s.randomDuration(300*time.Millisecond, 3*time.Second)
	inject := func(name string, duration time.Duration, run func()) {
		s.t.Logf("%s for %s", name, duration)
		s.testbed.SuspendTimeBounds(duration)
		s.activeFaults.Go(run)
	}
	switch s.random.IntN(15) {
	case 0:
		inject("kill", d, func() { p.replace(syscall.SIGKILL, d) })
	case 1:
		inject("stop by plan", 6*time.Second, func() { p.replace(syscall.SIGTERM, d/10) })
	case 2, 3:
		inject("pause", d, func() {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		})
	case 4:
		p.signal(syscall.SIGHUP)
	case 5:
		s.testbed.SuspendTimeBounds(d)
		s.proxy.disrupt(func(p *proxy) { p.delay = 150 * time.Millisecond }, d)
	case 6:
		s.testbed.SuspendTimeBounds(d)
		s.proxy.disrupt(func(p *proxy) { p.dropAll = true }, d)
	case 7:
		s.testbed.SuspendTimeBounds(d)
		s.proxy.disrupt(func(p *proxy) { p.dropResponses = true }, d)
	case 8:
		s.proxy.reset()
	case 9:
		inject("store fails", d, func() {
			s.testbed.Store().SetFailing(true)
			time.Sleep(d)
			s.testbed.Store().SetFailing(false)
		})
	case 10:
		s.testbed.Store().CompactHistory()
		s.testbed.UpdateConfiguration()
	case 11:
		s.drain()
	case 12:
		s.testbed.MoveFeeds()
	case 13:
		s.putForeignEntry()
	case 14:
		s.testbed.Crash(ctx, 1+s.random.IntN(3)+5*s.random.IntN(3), 2*d)
	}
}

// checkReport checks the report, the recovery and the logs of the hosts, and prints the
// number of checks that passed and failed.
func (s *soak) checkReport(ctx context.Context, r *netemulator.Report, checkTimeBounds bool) {
	passed, failed := 0, 0
	check := func(name string, ok bool, format string, arguments ...any) {
		if ok {
			passed++
			return
		}
		failed++
		s.t.Errorf(name+": "+format, arguments...)
	}
	check("wrong service", r.WrongService == 0, "%d requests", r.WrongService)
	check("doubled", r.DoubledRuns == 0, "%d orders ran more than once", r.DoubledRuns)
	check("served", r.Served > 0, "%d of %d", r.Served, r.Asked)
	if checkTimeBounds {
		check("broken flows", r.BrokenFlows == 0, "%d flows at living targets were reset by hosts", r.BrokenFlows)
		check("late flows", r.LateFlows == 0, "%d flows opened at targets that had drained", r.LateFlows)
		check("evacuated", r.EvacuatedFlows == 0, "%d flows opened in evacuated zones", r.EvacuatedFlows)
		check("most served", 2*r.Served > r.Asked, "%d of %d", r.Served, r.Asked)
	}
	check("recovered", s.waitForRecovery(ctx), "not all hosts have version %d of era %d and all zones", s.testbed.ConfigurationVersion(), s.testbed.Store().Era())
	for _, p := range s.processes {
		p.mu.Lock()
		check("ended by itself", len(p.unexpectedExits) == 0, "%v", p.unexpectedExits)
		p.mu.Unlock()
		b, err := os.ReadFile(p.log)
		check("errors", err == nil && !strings.Contains(string(b), "level=ERROR") && !strings.Contains(string(b), "panic"), "in %s", p.log)
	}
	s.t.Logf("%+v", *r)
	fmt.Printf("soak: %d passed, %d failed\n", passed, failed)
}

// waitForRecovery reports whether all hosts know the era of the store and apply the newest
// configuration, and the return of all zones, within recoveryTimeout.
func (s *soak) waitForRecovery(ctx context.Context) bool {
	for startedAt := time.Now(); time.Since(startedAt) < recoveryTimeout; time.Sleep(100 * time.Millisecond) {
		allCurrent := true
		for _, a := range s.testbed.AdminAddresses() {
			status := hostStatus(ctx, a)
			allCurrent = allCurrent && status.Version == s.testbed.ConfigurationVersion() && len(status.EvacuatedZones) == 0 && status.StoreEra == s.testbed.Store().Era()
		}
		if allCurrent {
			return true
		}
	}
	return false
}

func hostStatus(ctx context.Context, a netip.AddrPort) (status cactuspin.EntryStatus) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+cactuspin.EntryStatusPath, nil)
	if err != nil {
		return status
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return cactuspin.EntryStatus{}
	}
	return status
}

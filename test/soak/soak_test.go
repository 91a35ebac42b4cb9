// Package soak_test runs the real host program as separate processes before
// stand-ins and harms it from outside: signals, a proxy before the store, faults of
// the store and of targets, in series and overlapping, drawn from a seed.
package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/netemulator"
)

// The short run of make test, and what make soak sets in the environment.
const (
	shortSeconds = 8
	defaultHosts = 2
	startLimit   = 30 * time.Second
	recoverLimit = 30 * time.Second
	// maxNetworks is how many soaks can run at once on one machine.
	maxNetworks   = 30
	storePort     = 8169
	leastDraining = 4
)

// soak is one run.
type soak struct {
	t         *testing.T
	random    *rand.Rand
	site      *netemulator.Testbed
	proxy     *proxy
	processes []*process
	drained   int
	running   sync.WaitGroup
}

func number(name string, missing int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return missing
}

func TestSoak(t *testing.T) {
	// Bounds in time hold on a machine that is not busy otherwise: they are judged
	// in runs by hand.
	byHand := os.Getenv("SOAK_SECONDS") != ""
	seconds, seed, hosts := number("SOAK_SECONDS", shortSeconds), number("SOAK_SEED", 1), number("SOAK_HOSTS", defaultHosts)
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(directory, "cactuspin-entry")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/cactuspin-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &soak{t: t, random: rand.New(rand.NewPCG(uint64(seed), 3))}
	s.open(ctx, program, directory, hosts, time.Duration(seconds)*time.Second)
	defer func() {
		for _, p := range s.processes {
			p.close()
		}
	}()
	if !s.site.WaitReady(ctx, startLimit) {
		t.Fatalf("hosts are not ready; logs are in %s", directory)
	}
	go s.harm(ctx, time.Duration(seconds)*time.Second)
	r := s.site.RunTraffic(ctx)
	s.running.Wait()
	s.judge(ctx, &r, byHand)
	if t.Failed() {
		t.Logf("seed %d: logs are in %s", seed, directory)
	} else if err := os.RemoveAll(directory); err != nil {
		t.Log(err)
	}
}

func (s *soak) open(ctx context.Context, program, directory string, hosts int, length time.Duration) {
	at := func(network, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(network), byte(n)}), storePort)
	}
	c := netemulator.Config{Zones: 3, HostsPerZone: hosts, TargetsPerZone: 4, CallersPerZone: 15, Directory: directory, Length: length}
	var err error
	for c.NetworkIndex = 1; s.proxy == nil; c.NetworkIndex++ {
		if c.NetworkIndex > maxNetworks {
			s.t.Fatalf("no free network: %v", err)
		}
		c.StoreAddress, c.AdvertisedStoreAddress = at(c.NetworkIndex, 8), at(c.NetworkIndex, 9)
		if c.AddressesFree() {
			s.proxy, err = newProxy(ctx, c.AdvertisedStoreAddress, c.StoreAddress)
		}
	}
	c.NetworkIndex--
	if s.site, err = netemulator.New(c); err != nil {
		s.t.Fatal(err)
	}
	for n := range 3 * hosts {
		p := newProcess(program, directory, n+1)
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			s.t.Fatal(err)
		}
	}
}

// harm does something harmful twice a second, and nothing in the last
// quarter.
func (s *soak) harm(ctx context.Context, length time.Duration) {
	for end := time.Now().Add(length * 3 / 4); time.Now().Before(end); {
		s.strike(ctx)
		time.Sleep(100*time.Millisecond + time.Duration(s.random.Int64N(int64(700*time.Millisecond))))
	}
}

func (s *soak) span(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// strike draws one fault.
func (s *soak) strike(ctx context.Context) {
	p := s.processes[s.random.IntN(len(s.processes))]
	d := s.span(300*time.Millisecond, 3*time.Second)
	background := func(name string, lasts time.Duration, do func()) {
		s.t.Logf("%s for %s", name, lasts)
		s.site.SuspendTimeBounds(lasts)
		s.running.Go(do)
	}
	switch s.random.IntN(13) {
	case 0:
		background("kill", d, func() { p.replace(syscall.SIGKILL, d) })
	case 1:
		background("stop by plan", 6*time.Second, func() { p.replace(syscall.SIGTERM, d/10) })
	case 2, 3:
		background("pause", d, func() {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		})
	case 4:
		p.signal(syscall.SIGHUP)
	case 5:
		s.site.SuspendTimeBounds(d)
		s.proxy.harm(func(p *proxy) { p.delay = 150 * time.Millisecond }, d)
	case 6:
		s.site.SuspendTimeBounds(d)
		s.proxy.harm(func(p *proxy) { p.silent = true }, d)
	case 7:
		s.site.SuspendTimeBounds(d)
		s.proxy.harm(func(p *proxy) { p.oneWay = true }, d)
	case 8:
		s.proxy.reset()
	case 9:
		background("store fails", d, func() {
			s.site.Store().SetFailing(true)
			time.Sleep(d)
			s.site.Store().SetFailing(false)
		})
	case 10:
		s.site.Store().CompactHistory()
		s.site.UpdateConfiguration()
	case 11:
		if s.drained < leastDraining {
			// One target of each zone and a half is left alone.
			s.site.Drain(s.drained * 5 % s.site.TargetCount())
			s.drained++
		}
	case 12:
		s.site.Crash(ctx, 1+s.random.IntN(3)+5*s.random.IntN(3), 2*d)
	}
}

// judge checks the promises and prints how many held.
func (s *soak) judge(ctx context.Context, r *netemulator.Report, byHand bool) {
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
	if byHand {
		check("broken flows", r.BrokenFlows == 0, "%d flows at living targets were reset by hosts", r.BrokenFlows)
		check("late flows", r.LateFlows == 0, "%d flows opened at targets that had drained", r.LateFlows)
		check("most served", 2*r.Served > r.Asked, "%d of %d", r.Served, r.Asked)
	}
	check("recovered", s.recovered(ctx), "not all hosts have version %d", s.site.ConfigurationVersion())
	for _, p := range s.processes {
		p.mu.Lock()
		check("ended by itself", len(p.unmeant) == 0, "%v", p.unmeant)
		p.mu.Unlock()
		b, err := os.ReadFile(p.log)
		check("errors", err == nil && !strings.Contains(string(b), "level=ERROR") && !strings.Contains(string(b), "panic"), "in %s", p.log)
	}
	s.t.Logf("%+v", *r)
	fmt.Printf("soak: %d passed, %d failed\n", passed, failed)
}

// recovered tells whether all hosts come to the newest configuration.
func (s *soak) recovered(ctx context.Context) bool {
	for began := time.Now(); time.Since(began) < recoverLimit; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, a := range s.site.AdminAddresses() {
			all = all && version(ctx, a) == s.site.ConfigurationVersion()
		}
		if all {
			return true
		}
	}
	return false
}

func version(ctx context.Context, a netip.AddrPort) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+cactuspin.EntryStatusPath, nil)
	if err != nil {
		return 0
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	var status struct {
		Version uint64 `json:"routing_version"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&status); err != nil {
		return 0
	}
	return status.Version
}

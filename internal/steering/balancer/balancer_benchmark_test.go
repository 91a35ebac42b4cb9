package balancer_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// newBalancerOfSize returns a balancer with the given numbers of targets and
// service addresses.
func newBalancerOfSize(targets, addresses int) *balancer.Balancer {
	lb := balancer.New(balancer.Config{Zone: "a", Seed: 1, StaleAfter: time.Second, MaxFlows: 1 << 20})
	r := &cactuspin.Routing{Version: 1, IdleTimeout: time.Minute}
	for i := range addresses {
		r.Routes = append(r.Routes, cactuspin.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443), Timeout: time.Second,
			Services: []cactuspin.WeightedService{{Service: cactuspin.ServiceName(fmt.Sprintf("s%d", i%max(1, targets/9))), Weight: 1}},
		})
	}
	c := tracker.Change{Routing: r}
	for i := range targets {
		t := registered(i+1, fmt.Sprintf("s%d", i%max(1, targets/9)), "a")
		c.Targets = append(c.Targets, t)
	}
	lb.Apply(now, &c)
	lb.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	return lb
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, lb *balancer.Balancer)) {
	for _, n := range []struct{ targets, addresses int }{{18, 10}, {150, 243}, {140_000, 22_000}} {
		b.Run(fmt.Sprintf("targets=%d", n.targets), func(b *testing.B) {
			lb := newBalancerOfSize(n.targets, n.addresses)
			b.ReportAllocs()
			run(b, lb)
		})
	}
}

func BenchmarkEstablished(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, lb *balancer.Balancer) {
		service := netip.MustParseAddrPort("198.18.0.1:443")
		v := lb.Steer(now, syn(1, service, 0))
		p := data(1, service, v.Cookie, 0)
		p.Length = 0
		for b.Loop() {
			lb.Steer(now, p)
		}
	})
}

func BenchmarkSYN(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, lb *balancer.Balancer) {
		p := syn(1, netip.MustParseAddrPort("198.18.0.1:443"), 0)
		i := 0
		for b.Loop() {
			i++
			p.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 12), byte(i >> 4)}), uint16(i))
			lb.Steer(now, p)
		}
	})
}

func BenchmarkFlowMemory(b *testing.B) {
	const flows = 200_000
	for b.Loop() {
		lb := newBalancerOfSize(150, 243)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := syn(1, netip.MustParseAddrPort("198.18.0.1:443"), 0)
		for i := range flows {
			p.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40000)
			lb.Steer(now, p)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(lb)
	}
}

// BenchmarkKnowledgeMemory measures the memory per target for all targets and
// routes.
func BenchmarkKnowledgeMemory(b *testing.B) {
	for _, n := range []struct{ targets, addresses int }{{150, 243}, {14_000, 2_200}, {140_000, 22_000}} {
		b.Run(fmt.Sprintf("targets=%d", n.targets), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				lb := newBalancerOfSize(n.targets, n.addresses)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n.targets), "B/target")
				runtime.KeepAlive(lb)
			}
		})
	}
}

// BenchmarkApply measures a change of one target.
func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, lb *balancer.Balancer) {
		t := registered(1, "s0", "a")
		for b.Loop() {
			t.Revision++
			lb.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{t}})
		}
	})
}

// BenchmarkTick measures a tick without flows at several numbers of targets.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, lb *balancer.Balancer) {
		for b.Loop() {
			lb.Tick(now)
			lb.DueProbes(now)
		}
	})
}

// BenchmarkDisplacedSYN measures the placement of a flow whose zone is evacuated, and of one
// if all zones are.
func BenchmarkDisplacedSYN(b *testing.B) {
	for _, n := range []int{20, 2_000, 20_000} {
		for name, zones := range map[string][]cactuspin.ZoneID{"own": {"a"}, "all": {"a", "b", "c"}} {
			b.Run(fmt.Sprintf("evacuated=%s/targets=%d", name, n), func(b *testing.B) {
				lb := newBalancer(1, "a", "b", "c")
				c := tracker.Change{}
				for i := range n {
					c.Targets = append(c.Targets, registered(100+i, "desk", []string{"a", "b", "c"}[i%3]))
				}
				lb.Apply(now, &c)
				lb.Apply(now, evacuate(true, zones...))
				p := syn(1, feeds, 0)
				for b.Loop() {
					lb.Steer(now, p)
				}
			})
		}
	}
}

// BenchmarkExplain measures an explanation, for which changes of the knowledge wait.
func BenchmarkExplain(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, lb *balancer.Balancer) {
		service := netip.MustParseAddrPort("198.18.0.1:443")
		for b.Loop() {
			lb.Explain(now, netip.AddrPort{}, service)
		}
	})
}

// BenchmarkPlacement measures the first packets of flows at 40 targets, with and without
// a place of the host in its zone.
func BenchmarkPlacement(b *testing.B) {
	for _, hosts := range []int{0, 28} {
		for _, address := range []netip.AddrPort{feeds, orders} {
			b.Run(fmt.Sprintf("hosts=%d/port=%d", hosts, address.Port()), func(b *testing.B) {
				lb := balancer.New(balancer.Config{Zone: "a", Seed: 1, StaleAfter: time.Second, MaxFlows: 1 << 12})
				c := tracker.Change{Routing: routing()}
				for i := range 40 {
					c.Targets = append(c.Targets, registered(i+1, "desk", "a"))
				}
				lb.Apply(now, &c)
				lb.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
				lb.Steer(now, syn(1, address, 0))
				i := 0
				for b.Loop() {
					i++
					p := syn(i, address, 0)
					p.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 12), byte(i >> 4)}), uint16(i))
					lb.Steer(now, p)
					if i%1000 == 0 {
						lb.SetShare(now, encoder.HostRank{Rank: min(hosts, 5), Hosts: hosts}, nil)
					}
				}
			})
		}
	}
}

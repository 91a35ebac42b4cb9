package engine_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// sizes are the numbers of services or hosts for which the costs are compared.
var sizes = []int{10, 100, 1000}

// bundleText returns a bundle with the given number of services, each with six targets
// in one zone.
func bundleText(services int) []byte {
	var b strings.Builder
	b.WriteString("format: 1\nversion: 1\norganisation: test\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: service-%d\n    address: 10.1.%d.%d:5683\n    kinds:\n", i, i/250, i%250)
		b.WriteString("      - {name: all, path: /, importance: 1, share: 1, deadline: 5s, queue: 10}\n    targets:\n")
		for j := range 6 {
			fmt.Fprintf(&b, "      - {address: \"10.%d.%d.%d:5683\", zone: a, slots: 3, connections: 2000}\n", 2+j, i/250, i%250)
		}
	}
	return []byte(b.String())
}

func members(n int) (ms []placer.Member) {
	for i := range n {
		ms = append(ms, placer.Member{Host: cactuspin.HostID(i + 1), Zone: "a", Incarnation: cactuspin.Incarnation(i + 1)})
	}
	return ms
}

// BenchmarkViewByServices builds a view of ten hosts, which happens on each change of the
// members or the bundle.
func BenchmarkViewByServices(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, err := bundleparser.Parse(bundleText(n))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				placer.NewView(placer.ViewConfig{Self: 1, Zone: "a", Members: members(10), Bundle: x})
			}
		})
	}
}

// BenchmarkViewByHosts builds a view of ten services.
func BenchmarkViewByHosts(b *testing.B) {
	x, err := bundleparser.Parse(bundleText(10))
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				placer.NewView(placer.ViewConfig{Self: 1, Zone: "a", Members: members(n), Bundle: x})
			}
		})
	}
}

// BenchmarkFlowOwnerByHosts picks the owner of a flow among the given number of hosts.
func BenchmarkFlowOwnerByHosts(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var cs []placer.Candidate
			for _, m := range members(n) {
				cs = append(cs, placer.Candidate{Host: m.Host, Zone: m.Zone, Weight: 3})
			}
			s := &placer.ServiceView{Candidates: cs}
			flow := uint64(0)
			for b.Loop() {
				flow++
				s.Owner(flow, nil)
			}
		})
	}
}

// BenchmarkMessageIDByHosts picks a message ID that is routed back to this host.
func BenchmarkMessageIDByHosts(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hs []cactuspin.HostID
			for _, m := range members(n) {
				hs = append(hs, m.Host)
			}
			flow := uint64(0)
			for b.Loop() {
				flow++
				placer.MessageIDFor(flow, uint16(flow), 1, hs)
			}
		})
	}
}

// BenchmarkBundleByServices parses and validates a bundle and reports its size.
func BenchmarkBundleByServices(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := bundleText(n)
			for b.Loop() {
				if _, err := bundleparser.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/float64(n), "B/service")
		})
	}
}

// BenchmarkHeartbeatByServices encodes a heartbeat and reports its size.
func BenchmarkHeartbeatByServices(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := cactuspin.Heartbeat{Incarnation: 1 << 60, Zone: "lima-a", Version: 1000, Revision: 1000}
			for i := range n {
				h.Loads = append(h.Loads, cactuspin.Load{Service: cactuspin.ServiceID(1<<31 + i), Free: 9, Targets: 3})
			}
			size := 0
			for b.Loop() {
				x, err := cbor.Marshal([]cactuspin.PeerMessage{{Heartbeat: &h}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(x)
			}
			b.ReportMetric(float64(size), "B/heartbeat")
		})
	}
}

// BenchmarkFeedMemory reports the memory per observation.
func BenchmarkFeedMemory(b *testing.B) {
	for _, n := range []int{3_000, 30_000, 300_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				e := newHost(b)
				out := &cactuspin.Actions{}
				before := allocatedHeap()
				for i := range n {
					openFeed(e, i, out)
				}
				b.ReportMetric(float64(allocatedHeap()-before)/float64(n), "B/feed")
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkRecordMemory reports the memory per request record.
func BenchmarkRecordMemory(b *testing.B) {
	for _, n := range []int{3_000, 30_000, 300_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := allocatedHeap()
				r := recorder.New(recorder.Config{Lifetime: time.Minute, Capacity: n})
				for i := range n {
					r.Claim(start, uint64(i), start.Seconds())
				}
				b.ReportMetric(float64(allocatedHeap()-before)/float64(n), "B/record")
				runtime.KeepAlive(r)
			}
		})
	}
}

// BenchmarkTickByServices runs ticks on a host with the given number of idle services.
func BenchmarkTickByServices(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newHostWith(b, string(bundleText(n)))
			out := &cactuspin.Actions{}
			now := start + cactuspin.Time(10*time.Second)
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				out.Reset()
				e.Tick(now, out)
			}
		})
	}
}

func allocatedHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

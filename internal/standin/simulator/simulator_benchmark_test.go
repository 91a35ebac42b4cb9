package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/simulator"
)

// BenchmarkControl measures the control traffic of hosts in a run without faults: store
// calls for the start of all hosts and per second afterwards, and bytes sent to peers
// per host and second.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{2, 10, 33, 100} {
		b.Run(fmt.Sprintf("hosts=%d", 3*n), func(b *testing.B) {
			for b.Loop() {
				short, long := withoutFaults(b, n, 10*time.Second), withoutFaults(b, n, 20*time.Second)
				calls, bytes := float64(long.StoreCalls-short.StoreCalls)/10, float64(long.PeerBytes-short.PeerBytes)/10
				b.ReportMetric(calls, "calls/s")
				b.ReportMetric(float64(short.StoreCalls)-10*calls, "calls/start")
				b.ReportMetric(bytes/float64(3*n), "B/s/host")
			}
		})
	}
}

func withoutFaults(b *testing.B, hosts int, length time.Duration) simulator.Result {
	b.Helper()
	s, err := simulator.Parse([]byte("callers_per_zone: 24"))
	if err != nil {
		b.Fatal(err)
	}
	s.HostsPerZone, s.Length = hosts, simulator.Duration{Duration: length}
	return simulator.New(s, 1).Run()
}

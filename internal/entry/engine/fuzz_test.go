package engine_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// FuzzDatagrams gives an engine what another process may send to the port between
// hosts, and then packets of callers. Nothing of it may end the process.
func FuzzDatagrams(f *testing.F) {
	service := netip.MustParseAddrPort("198.18.0.1:443")
	update := cactuspin.Update{Full: true, Revision: 20, Routing: &cactuspin.Routing{Version: 4, Revision: 20, Routes: []cactuspin.Route{
		{Name: "r", Address: service, Kind: cactuspin.WorkIdempotent, Services: []cactuspin.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 1 << 31}, {Service: "u", Weight: 1 << 31}}},
	}}, Targets: []cactuspin.RegisteredTarget{
		{ID: "a", Number: 1, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: -1, Warmup: -time.Hour, Revision: 9},
		{ID: "b", Number: 2, Service: "t", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: -5, Revision: 10},
	}}
	beacon := encoder.Beacon{
		Host: other, Incarnation: 1, Complete: true, Revision: 1 << 63, LastChange: 1 << 62,
		Loads: encoder.Loads{{Subject: 1, ActiveRequests: 65535}}, Down: encoder.DownTargets{{Cookie: 1}},
	}
	for _, d := range []encoder.Datagram{{Update: &update}, {Beacon: &beacon}} {
		b, err := encoder.Encode(&d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		d, err := encoder.Decode(b)
		if err != nil {
			return
		}
		e := newEngine()
		var out engine.Actions
		at := now
		for range 2 {
			e.Datagram(at, other.Address, &d, &out)
			for _, flags := range []cactuspin.PacketFlags{cactuspin.FlagSYN, cactuspin.FlagACK, cactuspin.FlagRST} {
				e.Steer(at, &cactuspin.Packet{Caller: netip.MustParseAddrPort("100.64.0.1:1000"), Service: service, Flags: flags, Length: 10})
			}
			e.Tick(at, &out)
			at = at.Add(300 * time.Millisecond)
		}
		for _, p := range out.Probes {
			e.Probed(at, now, p, 2, &out)
		}
	})
}

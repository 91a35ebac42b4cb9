package engine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

const start = cactuspin.Time(1_800_000_000) * cactuspin.Time(time.Second)

const testBundle = `
format: 1
version: 1
organisation: test
services:
  - name: shop
    address: 10.9.0.1:5683
    kinds:
      - {name: all, path: /, importance: 1, share: 1, deadline: 5s, queue: 10}
    targets:
      - {address: "10.9.1.1:5683", zone: a, slots: 3, connections: 400000}
`

var (
	shop       = netip.MustParseAddrPort("10.9.0.1:5683")
	shopTarget = netip.MustParseAddrPort("10.9.1.1:5683")
)

// newHost returns a host with a bundle and a connected target.
func newHost(b *testing.B) *engine.Engine {
	b.Helper()
	return newHostWith(b, testBundle)
}

func newHostWith(b *testing.B, text string) *engine.Engine {
	b.Helper()
	public, private, err := signer.Generate()
	if err != nil {
		b.Fatal(err)
	}
	signers, err := signer.ParseSigners("ana " + public)
	if err != nil {
		b.Fatal(err)
	}
	e, err := engine.New(engine.Config{
		Self: 1, Zone: "a", Incarnation: 5, Start: start - cactuspin.Time(time.Hour),
		Keys: []sealer.Key{{Number: 1}}, Signers: signers,
	})
	if err != nil {
		b.Fatal(err)
	}
	s, err := signer.Sign([]byte(text), 1, "ana", private)
	if err != nil {
		b.Fatal(err)
	}
	out := &cactuspin.Actions{}
	e.Platform(start, cactuspin.PlatformEvent{Bundle: s}, out)
	for i := range 400 {
		e.Tick(start+cactuspin.Time(i)*cactuspin.Time(10*time.Millisecond), out)
	}
	e.Target(start, cactuspin.TargetSignal{
		Target: shopTarget, Kind: cactuspin.SignalConnected,
	}, out)
	return e
}

func caller(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
}

// BenchmarkEstablishedDatagram routes a request whose cookie names another host: one
// relay.
func BenchmarkEstablishedDatagram(b *testing.B) {
	e := newHost(b)
	out := &cactuspin.Actions{}
	e.Peer(start, 2, cactuspin.PeerMessage{Heartbeat: &cactuspin.Heartbeat{Incarnation: 6, Zone: "a", Version: 1}}, out)
	s, err := sealer.New(sealer.Config{Keys: []sealer.Key{{Number: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	r := cactuspin.Request{
		Caller: caller(1), Service: shop, Method: cactuspin.MethodPost, Path: "/orders",
		Cookie: s.Append(nil, sealer.Cookie{Host: 2, Incarnation: 6, Issued: start.Seconds()}),
	}
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		e.Request(start, r, out)
	}
}

// BenchmarkNewFlow answers the first request of a flow with a cookie.
func BenchmarkNewFlow(b *testing.B) {
	e := newHost(b)
	out := &cactuspin.Actions{}
	r := cactuspin.Request{Service: shop, Method: cactuspin.MethodPost, Path: "/orders"}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		r.Caller = caller(i)
		out.Reset()
		e.Request(start, r, out)
	}
}

func openFeed(e *engine.Engine, i int, out *cactuspin.Actions) {
	out.Reset()
	e.Request(start, cactuspin.Request{
		Caller: caller(i), Service: shop, Method: cactuspin.MethodGet, Path: "/stock",
		Token: cactuspin.NewToken([]byte(fmt.Sprint(i))), Observe: cactuspin.ObserveRegister, Confirmable: true,
	}, out)
	if len(out.Sends) == 0 {
		return
	}
	x := out.Sends[0].Exchange
	out.Reset()
	e.Target(start, cactuspin.TargetSignal{
		Target: shopTarget, Kind: cactuspin.SignalAnswer, Exchange: x,
		Code: cactuspin.CodeContent, Notification: true, Payload: []byte("springs 7"),
	}, out)
}

package connector

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
)

func TestPassIsForOneHostAndOneTime(t *testing.T) {
	g := NewWithT(t)
	secret, now := []byte("0123456789abcdef"), time.Unix(1_800_000_000, 0)
	p := pass(secret, 3, 7, now)
	g.Expect(check(secret, 7, p, now)).To(BeEquivalentTo(3))
	for name, err := range map[string]error{
		"another host":   second(check(secret, 8, p, now)),
		"another secret": second(check([]byte("another secret!!"), 7, p, now)),
		"a minute later": second(check(secret, 7, p, now.Add(time.Minute))),
		"another sender": second(check(secret, 7, "4"+p[1:], now)),
		"nothing":        second(check(secret, 7, "", now)),
	} {
		g.Expect(err).To(MatchError(ErrInvalidToken), name)
	}
}

func second(_ cactuspin.HostID, err error) error { return err }

func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal([]cactuspin.PeerMessage{
		{Heartbeat: &cactuspin.Heartbeat{Incarnation: 1, Zone: "a"}},
		{Relay: &cactuspin.Request{Method: cactuspin.MethodPost, Path: "/orders", Payload: []byte("x")}},
		{Handover: &cactuspin.Handover{Parts: 1, Records: []cactuspin.Record{{Key: 1}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for n := 0; n < len(b); n += 7 {
		f.Add(b[:n])
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}

package connector

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
)

func TestAuthTokenIsForOneHostAndOneTime(t *testing.T) {
	g := NewWithT(t)
	secret, now := []byte("0123456789abcdef"), time.Unix(1_800_000_000, 0)
	token := newAuthToken(secret, 3, 7, now)
	g.Expect(verifyAuthToken(secret, 7, token, now)).To(BeEquivalentTo(3))
	for name, err := range map[string]error{
		"another host":   errorOf(verifyAuthToken(secret, 8, token, now)),
		"another secret": errorOf(verifyAuthToken([]byte("another secret!!"), 7, token, now)),
		"a minute later": errorOf(verifyAuthToken(secret, 7, token, now.Add(time.Minute))),
		"another sender": errorOf(verifyAuthToken(secret, 7, "4"+token[1:], now)),
		"nothing":        errorOf(verifyAuthToken(secret, 7, "", now)),
	} {
		g.Expect(err).To(MatchError(ErrInvalidToken), name)
	}
}

func errorOf(_ cactuspin.HostID, err error) error { return err }

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

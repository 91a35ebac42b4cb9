package sealer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

func newSealer(t testing.TB, keys ...sealer.Key) *sealer.Sealer {
	t.Helper()
	s, err := sealer.New(sealer.Config{Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var cookie = sealer.Cookie{Host: 3, Incarnation: 4, Flow: 5, Service: 6, Issued: 7}

func TestAnyChangedByteInvalidatesTheCookie(t *testing.T) {
	g := NewWithT(t)
	s := newSealer(t, sealer.Key{Number: 1, Secret: [sealer.KeyLength]byte{9}})
	b := s.Append(nil, cookie)
	g.Expect(s.Open(b)).To(Equal(cookie))
	g.Expect(len(b)).To(BeNumerically("<=", 40), "the Echo option holds 40 bytes")
	for i := range b {
		b[i] ^= 1
		_, err := s.Open(b)
		g.Expect(err).To(MatchError(sealer.ErrInvalidCookie), "byte %d", i)
		b[i] ^= 1
	}
}

func TestCookiesStayValidAfterAKeyRotation(t *testing.T) {
	g := NewWithT(t)
	older := sealer.Key{Number: 1, Secret: [sealer.KeyLength]byte{1}}
	newer := sealer.Key{Number: 2, Secret: [sealer.KeyLength]byte{2}}
	b := newSealer(t, older).Append(nil, cookie)
	g.Expect(newSealer(t, newer, older).Open(b)).To(Equal(cookie))
	_, err := newSealer(t, newer).Open(b)
	g.Expect(err).To(MatchError(sealer.ErrInvalidCookie))
}

func FuzzOpen(f *testing.F) {
	s := newSealer(f, sealer.Key{Number: 1, Secret: [sealer.KeyLength]byte{9}})
	f.Add(s.Append(nil, cookie))
	f.Add([]byte{})
	f.Add(make([]byte, sealer.Length))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := s.Open(b); err == nil && string(s.Append(nil, c)) != string(b) {
			t.Fatalf("%x opens as %+v, which is sealed differently", b, c)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	s := newSealer(b, sealer.Key{Number: 1})
	buf := make([]byte, 0, sealer.Length)
	b.ReportAllocs()
	for b.Loop() {
		buf = s.Append(buf[:0], cookie)
		if _, err := s.Open(buf); err != nil {
			b.Fatal(err)
		}
	}
}

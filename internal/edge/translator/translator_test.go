package translator_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/translator"
)

var (
	caller  = netip.MustParseAddrPort("10.0.0.1:4000")
	service = netip.MustParseAddrPort("10.0.0.2:5683")
)

// order is a POST to /orders with token 1234, message ID 7 and an Echo option.
var order = []byte{
	0x44, 0x02, 0x00, 0x07, 1, 2, 3, 4,
	0xb6, 'o', 'r', 'd', 'e', 'r', 's',
	0xd2, 0xe4, 0xaa, 0xbb,
	0xff, 'x',
}

func TestDecodeRequest(t *testing.T) {
	g := NewWithT(t)
	r, err := translator.Decode(caller, service, order)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Request).NotTo(BeNil())
	g.Expect(r.Request.Method).To(Equal(cactuspin.MethodPost))
	g.Expect(r.Request.Path).To(Equal("/orders"))
	g.Expect(r.Request.Cookie).To(Equal([]byte{0xaa, 0xbb}))
	g.Expect(r.Request.Token).To(Equal(cactuspin.NewToken([]byte{1, 2, 3, 4})))
	g.Expect(r.Request.MessageID).To(BeEquivalentTo(7))
	g.Expect(r.Request.Payload).To(Equal([]byte("x")))
}

func TestEncodeAnswerAddsProxyHeader(t *testing.T) {
	g := NewWithT(t)
	b, err := translator.EncodeAnswer(&cactuspin.Answer{
		Caller: caller, Service: service, Token: cactuspin.NewToken([]byte{9}), MessageID: 3,
		Code: cactuspin.CodeServiceUnavailable, MaxAge: 2e9, Cookie: []byte("cookie"), Payload: []byte("not run"),
	})
	g.Expect(err).NotTo(HaveOccurred())
	from, to, body, err := translator.Unwrap(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(from).To(Equal(service))
	g.Expect(to).To(Equal(caller))
	g.Expect(body).To(ContainSubstring("cookie"))
}

func FuzzUnwrapAndDecode(f *testing.F) {
	datagram, err := translator.Wrap(caller, service, order)
	if err != nil {
		f.Fatal(err)
	}
	for n := range datagram {
		f.Add(datagram[:n])
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, b []byte) {
		from, to, body, err := translator.Unwrap(b)
		if err != nil {
			return
		}
		r, err := translator.Decode(from, to, body)
		if err == nil && r.Request != nil && r.Request.Service != to {
			t.Fatalf("datagram for %s became a request for %s", to, r.Request.Service)
		}
	})
}

func FuzzDecodeFrame(f *testing.F) {
	target := netip.MustParseAddrPort("10.0.0.3:5683")
	frame, err := translator.EncodeRequest(&cactuspin.TargetSend{Exchange: 5, Method: cactuspin.MethodPost, Path: "/orders"}, 1)
	if err != nil {
		f.Fatal(err)
	}
	for n := range frame {
		f.Add(frame[:n])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, n, err := translator.DecodeFrame(target, b)
		if err == nil && n > len(b) {
			t.Fatalf("used %d of %d bytes", n, len(b))
		}
	})
}

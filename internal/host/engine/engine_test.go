package engine_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// testHost is a host whose time and events are controlled by a test.
type testHost struct {
	*testing.T
	engine  *engine.Engine
	private string
	out     *cactuspin.Actions
	now     cactuspin.Time
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	g := NewWithT(t)
	public, private, err := signer.Generate()
	g.Expect(err).NotTo(HaveOccurred())
	signers, err := signer.ParseSigners("ana " + public)
	g.Expect(err).NotTo(HaveOccurred())
	h := &testHost{T: t, private: private, out: &cactuspin.Actions{}, now: start}
	h.engine, err = engine.New(engine.Config{
		Self: 1, Zone: "a", Incarnation: 5, Start: start, Keys: []sealer.Key{{Number: 1}}, Signers: signers,
	})
	g.Expect(err).NotTo(HaveOccurred())
	h.advance(2 * time.Second)
	h.apply(testBundle, 1)
	return h
}

// advance advances the time in the steps of the daemon.
func (h *testHost) advance(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(10 * time.Millisecond)
		h.out.Reset()
		h.engine.Tick(h.now, h.out)
	}
}

func (h *testHost) apply(text string, v cactuspin.BundleVersion) {
	h.Helper()
	b, err := signer.Sign([]byte(text), v, "ana", h.private)
	NewWithT(h.T).Expect(err).NotTo(HaveOccurred())
	h.out.Reset()
	h.engine.Platform(h.now, cactuspin.PlatformEvent{Bundle: b}, h.out)
}

// request sends a request and returns the answer if there is exactly one.
func (h *testHost) request(r cactuspin.Request) (a cactuspin.Answer) {
	h.out.Reset()
	h.engine.Request(h.now, r, h.out)
	if len(h.out.Answers) == 1 {
		return h.out.Answers[0]
	}
	return a
}

func postOrder(cookie []byte) cactuspin.Request {
	return cactuspin.Request{
		Caller: caller(1), Service: shop, Method: cactuspin.MethodPost, Path: "/orders",
		Token: cactuspin.NewToken([]byte("a")), MessageID: 1, Cookie: cookie, Confirmable: true,
	}
}

func seal(t *testing.T, c sealer.Cookie) []byte {
	t.Helper()
	s, err := sealer.New(sealer.Config{Keys: []sealer.Key{{Number: 1}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s.Append(nil, c)
}

func TestPostWithoutCookieGetsOneAndIsNotExecuted(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	a := h.request(postOrder(nil))
	g.Expect(a.Code).To(Equal(cactuspin.CodeUnauthorized))
	g.Expect(a.Cookie).To(HaveLen(sealer.Length))
	g.Expect(h.out.Sends).To(BeEmpty())
}

func TestOnlyTheAuthorityRefusesAPost(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	// No target is connected, so the authority refuses.
	own := seal(t, sealer.Cookie{Host: 1, Incarnation: 5, Service: cactuspin.NewServiceID("shop"), Issued: h.now.Seconds()})
	g.Expect(h.request(postOrder(own)).Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(h.request(postOrder(own)).Code).To(Equal(cactuspin.CodeServiceUnavailable), "a retransmission gets the same answer")

	earlier := seal(t, sealer.Cookie{Host: 1, Incarnation: 4, Service: cactuspin.NewServiceID("shop"), Issued: h.now.Seconds()})
	g.Expect(h.request(postOrder(earlier)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "an earlier incarnation of this host")

	unknown := seal(t, sealer.Cookie{Host: 2, Incarnation: 9, Service: cactuspin.NewServiceID("shop"), Issued: h.now.Seconds()})
	h.request(postOrder(unknown))
	g.Expect(h.out.Answers).To(BeEmpty(), "a host that may have just joined")
	h.advance(10 * time.Second)
	g.Expect(h.request(postOrder(unknown)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "a host that stays unknown")

	altered := append([]byte(nil), own...)
	altered[3] ^= 1
	g.Expect(h.request(postOrder(altered)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "a cookie that no key opens")
}

func TestCookieOfThePreviousServiceAtAnAddressIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	cookie := seal(t, sealer.Cookie{Host: 1, Incarnation: 5, Service: cactuspin.NewServiceID("shop"), Issued: h.now.Seconds()})
	h.apply(strings.NewReplacer("version: 1", "version: 2", "name: shop", "name: mill").Replace(testBundle), 2)
	a := h.request(postOrder(cookie))
	g.Expect(a.Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(string(a.Payload)).To(ContainSubstring("another service"))
	g.Expect(h.out.Sends).To(BeEmpty())
}

func TestOlderAndForgedBundlesAreRejected(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	second := strings.Replace(testBundle, "version: 1", "version: 2", 1)
	h.apply(second, 2)
	h.apply(testBundle, 1)
	g.Expect(h.engine.View().Version).To(BeEquivalentTo(2))
	forged := *h.engine.SignedBundle()
	forged.Version = 3
	forged.Text = []byte(strings.Replace(testBundle, "version: 1", "version: 3", 1))
	h.engine.Platform(h.now, cactuspin.PlatformEvent{Bundle: &forged}, h.out)
	g.Expect(h.engine.View().Version).To(BeEquivalentTo(2))
}

func TestUnknownAddressIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	r := postOrder(nil)
	r.Service = caller(9)
	g.Expect(h.request(r).Code).To(Equal(cactuspin.CodeServiceUnavailable))
	r.Method = cactuspin.MethodGet
	g.Expect(h.request(r).Code).To(Equal(cactuspin.CodeTooManyRequests), "the answer makes no statement about other copies")
}

func TestObservationsEndAtTheDrainLimit(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t)
	target := cactuspin.TargetSignal{Target: shopTarget, Kind: cactuspin.SignalConnected}
	h.engine.Target(h.now, target, h.out)
	r := postOrder(nil)
	r.Method, r.Path, r.Observe = cactuspin.MethodGet, "/stock", cactuspin.ObserveRegister
	h.request(r)
	g.Expect(h.out.Sends).To(HaveLen(1))
	state := cactuspin.TargetSignal{
		Target: shopTarget, Kind: cactuspin.SignalAnswer, Exchange: h.out.Sends[0].Exchange,
		Code: cactuspin.CodeContent, Notification: true, Payload: []byte("springs 7"),
	}
	h.out.Reset()
	h.engine.Target(h.now, state, h.out)
	g.Expect(h.out.Answers).To(HaveLen(1))

	drained := strings.NewReplacer("version: 1", "version: 2", "connections: 400000}", "connections: 400000, state: leaving}",
		"    kinds:", "    drain: {limit: 2s}\n    kinds:").Replace(testBundle)
	h.apply(drained, 2)
	var answers []cactuspin.Answer
	for range 250 {
		h.engine.Target(h.now, cactuspin.TargetSignal{Target: shopTarget, Kind: cactuspin.SignalPong}, h.out)
		h.advance(10 * time.Millisecond)
		answers = append(answers, h.out.Answers...)
		if h.now.Sub(start) < 4*time.Second {
			g.Expect(answers).To(BeEmpty(), "before the limit")
		}
	}
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(h.engine.Stats().Feeds).To(BeZero())
}

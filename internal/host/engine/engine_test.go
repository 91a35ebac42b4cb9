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

// site is one host that a test drives by hand.
type site struct {
	*testing.T
	engine  *engine.Engine
	private string
	out     *cactuspin.Actions
	now     cactuspin.Time
}

func newSite(t *testing.T) *site {
	t.Helper()
	g := NewWithT(t)
	public, private, err := signer.Generate()
	g.Expect(err).NotTo(HaveOccurred())
	signers, err := signer.ParseSigners("ana " + public)
	g.Expect(err).NotTo(HaveOccurred())
	s := &site{T: t, private: private, out: &cactuspin.Actions{}, now: start}
	s.engine, err = engine.New(engine.Config{
		Self: 1, Zone: "a", Incarnation: 5, Start: start, Keys: []sealer.Key{{Number: 1}}, Signers: signers,
	})
	g.Expect(err).NotTo(HaveOccurred())
	s.pass(2 * time.Second)
	s.apply(text, 1)
	return s
}

// pass lets time pass in the steps of the daemon.
func (s *site) pass(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(10 * time.Millisecond)
		s.out.Reset()
		s.engine.Tick(s.now, s.out)
	}
}

func (s *site) apply(text string, v cactuspin.BundleVersion) {
	s.Helper()
	b, err := signer.Sign([]byte(text), v, "ana", s.private)
	NewWithT(s.T).Expect(err).NotTo(HaveOccurred())
	s.out.Reset()
	s.engine.Platform(s.now, cactuspin.PlatformEvent{Bundle: b}, s.out)
}

// ask sends a request and returns the only answer to it, if there is one.
func (s *site) ask(r cactuspin.Request) (a cactuspin.Answer) {
	s.out.Reset()
	s.engine.Request(s.now, r, s.out)
	if len(s.out.Answers) == 1 {
		return s.out.Answers[0]
	}
	return a
}

func order(cookie []byte) cactuspin.Request {
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

func TestAnOrderWithoutACookieGetsOneAndRunsNowhere(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	a := s.ask(order(nil))
	g.Expect(a.Code).To(Equal(cactuspin.CodeUnauthorized))
	g.Expect(a.Cookie).To(HaveLen(sealer.Length))
	g.Expect(s.out.Sends).To(BeEmpty())
}

func TestOnlyItsAuthorityRefusesAnOrder(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	// No target is connected, so the authority refuses.
	mine := seal(t, sealer.Cookie{Host: 1, Incarnation: 5, Service: cactuspin.NewServiceID("shop"), Issued: s.now.Seconds()})
	g.Expect(s.ask(order(mine)).Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(s.ask(order(mine)).Code).To(Equal(cactuspin.CodeServiceUnavailable), "a copy hears the same")

	before := seal(t, sealer.Cookie{Host: 1, Incarnation: 4, Service: cactuspin.NewServiceID("shop"), Issued: s.now.Seconds()})
	g.Expect(s.ask(order(before)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "of an earlier life of this host")

	unheard := seal(t, sealer.Cookie{Host: 2, Incarnation: 9, Service: cactuspin.NewServiceID("shop"), Issued: s.now.Seconds()})
	s.ask(order(unheard))
	g.Expect(s.out.Answers).To(BeEmpty(), "a host that may have joined a moment ago")
	s.pass(10 * time.Second)
	g.Expect(s.ask(order(unheard)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "a host that stays unheard")

	unread := append([]byte(nil), mine...)
	unread[3] ^= 1
	g.Expect(s.ask(order(unread)).Code).To(Equal(cactuspin.CodeGatewayTimeout), "a cookie of a key that is gone")
}

func TestAnOrderUnderAnAddressThatMoved(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	cookie := seal(t, sealer.Cookie{Host: 1, Incarnation: 5, Service: cactuspin.NewServiceID("shop"), Issued: s.now.Seconds()})
	s.apply(strings.NewReplacer("version: 1", "version: 2", "name: shop", "name: mill").Replace(text), 2)
	a := s.ask(order(cookie))
	g.Expect(a.Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(string(a.Payload)).To(ContainSubstring("another service"))
	g.Expect(s.out.Sends).To(BeEmpty())
}

func TestBundlesNeverGoBackAndNeedASignature(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	second := strings.Replace(text, "version: 1", "version: 2", 1)
	s.apply(second, 2)
	s.apply(text, 1)
	g.Expect(s.engine.View().Version).To(BeEquivalentTo(2))
	forged := *s.engine.SignedBundle()
	forged.Version = 3
	forged.Text = []byte(strings.Replace(text, "version: 1", "version: 3", 1))
	s.engine.Platform(s.now, cactuspin.PlatformEvent{Bundle: &forged}, s.out)
	g.Expect(s.engine.View().Version).To(BeEquivalentTo(2))
}

func TestUnknownAddressIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	r := order(nil)
	r.Service = caller(9)
	g.Expect(s.ask(r).Code).To(Equal(cactuspin.CodeServiceUnavailable))
	r.Method = cactuspin.MethodGet
	g.Expect(s.ask(r).Code).To(Equal(cactuspin.CodeTooManyRequests), "nothing is said of other copies")
}

func TestADrainedTargetIsLeftAtItsLimit(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	target := cactuspin.TargetSignal{Target: shopTarget, Kind: cactuspin.SignalConnected}
	s.engine.Target(s.now, target, s.out)
	r := order(nil)
	r.Method, r.Path, r.Observe = cactuspin.MethodGet, "/stock", cactuspin.ObserveRegister
	s.ask(r)
	g.Expect(s.out.Sends).To(HaveLen(1))
	state := cactuspin.TargetSignal{
		Target: shopTarget, Kind: cactuspin.SignalAnswer, Exchange: s.out.Sends[0].Exchange,
		Code: cactuspin.CodeContent, Notification: true, Payload: []byte("springs 7"),
	}
	s.out.Reset()
	s.engine.Target(s.now, state, s.out)
	g.Expect(s.out.Answers).To(HaveLen(1))

	drained := strings.NewReplacer("version: 1", "version: 2", "connections: 400000}", "connections: 400000, state: leaving}",
		"    kinds:", "    drain: {limit: 2s}\n    kinds:").Replace(text)
	s.apply(drained, 2)
	var told []cactuspin.Answer
	for range 250 {
		s.engine.Target(s.now, cactuspin.TargetSignal{Target: shopTarget, Kind: cactuspin.SignalPong}, s.out)
		s.pass(10 * time.Millisecond)
		told = append(told, s.out.Answers...)
		if s.now.Sub(start) < 4*time.Second {
			g.Expect(told).To(BeEmpty(), "before the limit")
		}
	}
	g.Expect(told).To(HaveLen(1))
	g.Expect(told[0].Code).To(Equal(cactuspin.CodeServiceUnavailable))
	g.Expect(s.engine.Stats().Feeds).To(BeZero())
}

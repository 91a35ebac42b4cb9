package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const wholeAnswer = 4000

// world plays callers that make one request a flow, each answered as answer says.
type world struct {
	steerer *balancer.Balancer
	at      cactuspin.Time
	port    int
	// answer returns the bytes of a target's answer; below 0, the flow just ends.
	answer func(id cactuspin.TargetID) int
	taken  map[cactuspin.TargetID]int
}

func newWorld(answer func(id cactuspin.TargetID) int) *world {
	w := &world{steerer: newSteerer(1, "a"), at: now, answer: answer}
	w.steerer.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(3, "desk", "a"), registered(4, "desk", "a")}})
	return w
}

// run makes n requests, 5 ms apart, and returns how many each target got.
func (w *world) run(n int) map[cactuspin.TargetID]int {
	w.taken = map[cactuspin.TargetID]int{}
	for range n {
		w.request()
		w.pass(5 * time.Millisecond)
	}
	return w.taken
}

func (w *world) request() {
	w.port++
	placed := w.steerer.Steer(w.at, syn(w.port, feeds, 0))
	w.taken[placed.Target]++
	first := data(w.port, feeds, placed.Cookie, 0)
	w.steerer.Steer(w.at, first)
	bytes := w.answer(placed.Target)
	if bytes < 0 {
		return
	}
	end := *first
	end.Flags, end.Length = cactuspin.FlagACK|cactuspin.FlagFIN, 0
	end.Sequence, end.Acknowledgement = first.Sequence+50, first.Acknowledgement+uint32(bytes)
	w.steerer.Steer(w.at, &end)
}

// pass lets time pass with the ticks and the exchange with others that are due.
func (w *world) pass(d time.Duration) {
	const tick = 50 * time.Millisecond
	before := w.at
	w.at = w.at.Add(d)
	if before.Sub(now)/tick != w.at.Sub(now)/tick {
		w.steerer.Tick(w.at)
		w.steerer.SetFreshness(w.at, tracker.Position{HealthyFor: time.Minute})
		w.steerer.MergeLoads(nil)
	}
}

func TestTargetsThatFailMuchMoreThanOthersAreAvoided(t *testing.T) {
	for name, failure := range map[string]int{"errors": 180, "resets and silence": -1, "empty answers": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bad := cactuspin.TargetID("")
			w := newWorld(func(id cactuspin.TargetID) int {
				if id == bad {
					return failure
				}
				return wholeAnswer
			})
			w.run(400)
			bad = "desk-1"
			w.run(400)
			g.Expect(w.run(400)["desk-1"]).To(BeNumerically("<", 20), "a quarter would be 100")
			bad = ""
			for range 600 {
				w.pass(50 * time.Millisecond)
			}
			g.Expect(w.run(400)["desk-1"]).To(BeNumerically(">", 50), "it has recovered")
		})
	}
}

func TestWhatFailsEverywhereIsNoFaultOfATarget(t *testing.T) {
	g := NewWithT(t)
	bytes := wholeAnswer
	w := newWorld(func(cactuspin.TargetID) int { return bytes })
	w.run(400)
	bytes = 180
	w.run(400)
	for id, n := range w.run(400) {
		g.Expect(n).To(BeNumerically(">", 50), string(id))
	}
}

func TestFailuresThatOthersSeeCount(t *testing.T) {
	g := NewWithT(t)
	s := newSteerer(1, "a")
	v := s.Steer(now, syn(1, feeds, 0))
	changed := s.MergeLoads(encoder.Loads{{Subject: encoder.Subject(v.Cookie), FailedRequests: 10 * encoder.FailedRequestsScale}})
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Target).To(Equal(v.Target))
	g.Expect(changed[0].Failing).To(BeTrue())
	for port := range 3 {
		g.Expect(s.Steer(now, syn(10+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
	g.Expect(s.MergeLoads(nil)).To(ConsistOf(balancer.FailureChange{Target: v.Target}))
}

func TestAFailingTargetWithoutOthersInItsZoneIsLeftForAnotherZone(t *testing.T) {
	g := NewWithT(t)
	s := balancer.New(balancer.Config{Zone: "a", Seed: 1, StaleAfter: time.Second, MaxFlows: 100})
	s.Apply(now, &tracker.Change{Routing: routing(), Targets: []cactuspin.RegisteredTarget{
		registered(1, "desk", "a"), registered(2, "desk", "b"), registered(3, "desk", "c"),
	}})
	s.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	v := s.Steer(now, syn(1, feeds, 0))
	g.Expect(v.Target).To(Equal(cactuspin.TargetID("desk-1")))
	s.MergeLoads(encoder.Loads{{Subject: encoder.Subject(v.Cookie), FailedRequests: 10 * encoder.FailedRequestsScale}})
	g.Expect(s.Steer(now, syn(2, feeds, 0)).Target).NotTo(Equal(v.Target))
}

func TestAZoneInWhichEverythingFailsKeepsItsFlows(t *testing.T) {
	g := NewWithT(t)
	s := newSteerer(1, "a", "b")
	s.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(5, "desk", "a"), registered(6, "desk", "b")}})
	cookies := map[cactuspin.Cookie]bool{}
	for port := range 60 {
		cookies[s.Steer(now, syn(port, feeds, 0)).Cookie] = true
	}
	g.Expect(cookies).To(HaveLen(3))
	var flood encoder.Loads
	for c := range cookies {
		flood = append(flood, encoder.Load{Subject: encoder.Subject(c), FailedRequests: 10 * encoder.FailedRequestsScale})
	}
	g.Expect(s.MergeLoads(flood)).To(BeEmpty())
	for port := range 60 {
		g.Expect(cookies).To(HaveKey(s.Steer(now, syn(100+port, feeds, 0)).Cookie))
	}
}

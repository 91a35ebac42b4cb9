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

const fullAnswer = 4000

// simulation sends one request per flow; answer determines the size of each
// answer.
type simulation struct {
	balancer *balancer.Balancer
	at       cactuspin.Time
	port     int
	// answer returns the size of a target's answer in bytes. If it is negative, the
	// flow ends without FIN.
	answer   func(id cactuspin.TargetID) int
	requests map[cactuspin.TargetID]int
}

func newSimulation(answer func(id cactuspin.TargetID) int) *simulation {
	sim := &simulation{balancer: newBalancer(1, "a"), at: now, answer: answer}
	sim.balancer.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(3, "desk", "a"), registered(4, "desk", "a")}})
	return sim
}

// run sends n requests at intervals of 5 ms and returns the number of requests by
// target.
func (sim *simulation) run(n int) map[cactuspin.TargetID]int {
	sim.requests = map[cactuspin.TargetID]int{}
	for range n {
		sim.request()
		sim.advance(5 * time.Millisecond)
	}
	return sim.requests
}

func (sim *simulation) request() {
	sim.port++
	placed := sim.balancer.Steer(sim.at, syn(sim.port, feeds, 0))
	sim.requests[placed.Target]++
	first := data(sim.port, feeds, placed.Cookie, 0)
	sim.balancer.Steer(sim.at, first)
	bytes := sim.answer(placed.Target)
	if bytes < 0 {
		return
	}
	end := *first
	end.Flags, end.Length = cactuspin.FlagACK|cactuspin.FlagFIN, 0
	end.Sequence, end.Acknowledgement = first.Sequence+50, first.Acknowledgement+uint32(bytes)
	sim.balancer.Steer(sim.at, &end)
}

// advance advances the time and makes the calls that are due at ticks.
func (sim *simulation) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	before := sim.at
	sim.at = sim.at.Add(d)
	if before.Sub(now)/tick != sim.at.Sub(now)/tick {
		sim.balancer.Tick(sim.at)
		sim.balancer.SetFreshness(sim.at, tracker.Position{HealthyFor: time.Minute})
		sim.balancer.MergeLoads(nil)
	}
}

func TestTargetsThatFailMuchMoreOftenThanOthersAreAvoided(t *testing.T) {
	for name, failure := range map[string]int{"errors": 180, "resets and silence": -1, "empty answers": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			failing := cactuspin.TargetID("")
			sim := newSimulation(func(id cactuspin.TargetID) int {
				if id == failing {
					return failure
				}
				return fullAnswer
			})
			sim.run(400)
			failing = "desk-1"
			sim.run(400)
			g.Expect(sim.run(400)["desk-1"]).To(BeNumerically("<", 20), "an equal share is 100")
			failing = ""
			for range 600 {
				sim.advance(50 * time.Millisecond)
			}
			g.Expect(sim.run(400)["desk-1"]).To(BeNumerically(">", 50), "it has recovered")
		})
	}
}

func TestFailuresOfAllTargetsCountAgainstNone(t *testing.T) {
	g := NewWithT(t)
	bytes := fullAnswer
	sim := newSimulation(func(cactuspin.TargetID) int { return bytes })
	sim.run(400)
	bytes = 180
	sim.run(400)
	for id, n := range sim.run(400) {
		g.Expect(n).To(BeNumerically(">", 50), string(id))
	}
}

func TestFailuresReportedByOtherHostsCount(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a")
	v := b.Steer(now, syn(1, feeds, 0))
	changed := b.MergeLoads(encoder.Loads{{Subject: encoder.Subject(v.Cookie), FailedRequests: 10 * encoder.FailedRequestsScale}})
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Target).To(Equal(v.Target))
	g.Expect(changed[0].Failing).To(BeTrue())
	for port := range 3 {
		g.Expect(b.Steer(now, syn(10+port, feeds, 0)).Target).NotTo(Equal(v.Target))
	}
	g.Expect(b.MergeLoads(nil)).To(ConsistOf(balancer.FailureChange{Target: v.Target}))
}

func TestTheOnlyTargetOfAZoneIsAvoidedWhileItFails(t *testing.T) {
	g := NewWithT(t)
	b := balancer.New(balancer.Config{Zone: "a", Seed: 1, StaleAfter: time.Second, MaxFlows: 100})
	b.Apply(now, &tracker.Change{Routing: routing(), Targets: []cactuspin.RegisteredTarget{
		registered(1, "desk", "a"), registered(2, "desk", "b"), registered(3, "desk", "c"),
	}})
	b.SetFreshness(now, tracker.Position{HealthyFor: time.Minute})
	v := b.Steer(now, syn(1, feeds, 0))
	g.Expect(v.Target).To(Equal(cactuspin.TargetID("desk-1")))
	b.MergeLoads(encoder.Loads{{Subject: encoder.Subject(v.Cookie), FailedRequests: 10 * encoder.FailedRequestsScale}})
	g.Expect(b.Steer(now, syn(2, feeds, 0)).Target).NotTo(Equal(v.Target))
}

func TestAZoneWhoseTargetsAllFailKeepsItsFlows(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(1, "a", "b")
	b.Apply(now, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(5, "desk", "a"), registered(6, "desk", "b")}})
	cookies := map[cactuspin.Cookie]bool{}
	for port := range 60 {
		cookies[b.Steer(now, syn(port, feeds, 0)).Cookie] = true
	}
	g.Expect(cookies).To(HaveLen(3))
	var loads encoder.Loads
	for c := range cookies {
		loads = append(loads, encoder.Load{Subject: encoder.Subject(c), FailedRequests: 10 * encoder.FailedRequestsScale})
	}
	g.Expect(b.MergeLoads(loads)).To(BeEmpty())
	for port := range 60 {
		g.Expect(cookies).To(HaveKey(b.Steer(now, syn(100+port, feeds, 0)).Cookie))
	}
}

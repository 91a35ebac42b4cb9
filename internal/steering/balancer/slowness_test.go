package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// serve sends a request on a new flow and acknowledges the answer of its target, which
// has some bytes and takes some time. It returns the verdict on the first packet.
func serve(b *balancer.Balancer, at cactuspin.Time, port int, answer func(id cactuspin.TargetID) (took time.Duration, bytes uint32)) cactuspin.Verdict {
	v := b.Steer(at, syn(port, feeds, 0))
	took, bytes := answer(v.Target)
	b.Steer(at, data(port, feeds, v.Cookie, 0))
	end := data(port, feeds, v.Cookie, 1)
	end.Length, end.Flags, end.Acknowledgement = 0, cactuspin.FlagACK|cactuspin.FlagFIN, 1+bytes
	b.Steer(at.Add(took), end)
	return v
}

// answerAsUsual is the answer of a target that is neither slow nor full.
func answerAsUsual(cactuspin.TargetID) (took time.Duration, bytes uint32) {
	return 30 * time.Millisecond, 2000
}

// serveDifferently serves requests, some milliseconds apart, with one target that answers
// differently from the others. It returns the number of the last hundred requests
// that went to it.
func serveDifferently(b *balancer.Balancer, different cactuspin.TargetID, took time.Duration, bytes uint32) (n int) {
	at := now
	for port := 1000; port < 1500; port++ {
		at = at.Add(3 * time.Millisecond)
		v := serve(b, at, port, func(id cactuspin.TargetID) (time.Duration, uint32) {
			if id == different {
				return took, bytes
			}
			return answerAsUsual(id)
		})
		if v.Target == different && port >= 1400 {
			n++
		}
	}
	return n
}

func TestASlowTargetGetsFewerFlows(t *testing.T) {
	g := NewWithT(t)
	different := cactuspin.TargetID("desk-1")
	alike := serveDifferently(newLargeBalancer(), different, 30*time.Millisecond, 2000)
	g.Expect(alike).To(BeNumerically(">", 5))
	slow := serveDifferently(newLargeBalancer(), different, 200*time.Millisecond, 2000)
	g.Expect(slow).To(BeNumerically("<", alike/2))
}

// A full target refuses requests faster than others answer them. If that made it look
// fast, it would get all of them.
func TestATargetThatRefusesAtOnceDoesNotLookFast(t *testing.T) {
	g := NewWithT(t)
	n := serveDifferently(newLargeBalancer(), "desk-1", time.Millisecond, 100)
	g.Expect(n).To(BeNumerically("<", 100/8))
}

func TestASlowTargetIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	serveDifferently(b, "desk-1", 200*time.Millisecond, 2000)
	later := now.Add(30 * time.Second)
	seen := map[cactuspin.TargetID]int{}
	for port := 2000; port < 2200; port++ {
		seen[serve(b, later, port, answerAsUsual).Target]++
	}
	g.Expect(seen["desk-1"]).To(BeNumerically(">", 10))
}

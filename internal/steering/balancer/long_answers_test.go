package balancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// The first acknowledgement covers a small part of a long answer. It must not count as
// a refusal: all targets that serve would look slow, and a new one would get all flows.
func TestLongAnswersDoNotMakeTargetsLookSlow(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	at, port := now, 1000
	download := func() cactuspin.TargetID {
		at, port = at.Add(3*time.Millisecond), port+1
		v := b.Steer(at, syn(port, feeds, 0))
		b.Steer(at, data(port, feeds, v.Cookie, 0))
		part := data(port, feeds, v.Cookie, 1)
		part.Length, part.Acknowledgement = 0, 2401
		b.Steer(at.Add(20*time.Millisecond), part)
		end := *part
		end.Flags, end.Acknowledgement = cactuspin.FlagACK|cactuspin.FlagFIN, 80_001
		b.Steer(at.Add(60*time.Millisecond), &end)
		return v.Target
	}
	for range 400 {
		download()
	}
	b.Apply(at, &tracker.Change{Targets: []cactuspin.RegisteredTarget{registered(50, "desk", "a")}})
	fresh := 0
	for range 18 {
		if download() == "desk-50" {
			fresh++
		}
	}
	g.Expect(fresh).To(BeNumerically("<=", 6), "its share of 18 flows among nine targets is two")
}

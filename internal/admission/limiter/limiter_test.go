package limiter_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
)

const now = cactuspin.Time(1_000_000_000_000)

var (
	one   = netip.MustParseAddrPort("10.0.0.1:80")
	other = netip.MustParseAddrPort("10.0.0.2:80")
)

func kinds(names ...string) (k []limiter.Kind) {
	for i, n := range names {
		k = append(k, limiter.Kind{Name: n, Importance: i + 1, Share: 1 / float64(len(names)), Queue: 10})
	}
	return k
}

// newLimiter returns a limiter with two targets of one slot each.
func newLimiter(names ...string) *limiter.Limiter {
	l := limiter.New(limiter.Config{Kinds: kinds(names...)})
	for _, a := range []cactuspin.Target{one, other} {
		l.SetTarget(limiter.Rule{Address: a, Slots: 1, Connections: 10})
		l.TargetConnected(now, a)
	}
	return l
}

func job(id int, kind string) limiter.Job {
	return limiter.Job{ID: limiter.JobID(id), Kind: kind, Deadline: now.Add(time.Minute)}
}

func TestARetryThatAvoidsTheFreeTargetBlocksNoOther(t *testing.T) {
	g := NewWithT(t)
	l := newLimiter("order", "diagram")
	for id := range 2 {
		_, v, _ := l.Admit(now, job(id, "order"))
		g.Expect(v).To(Equal(limiter.VerdictDispatch))
	}
	retry := job(2, "order")
	retry.Avoid, retry.ForceQueue = one, true
	for _, j := range []limiter.Job{retry, job(3, "order"), job(4, "order")} {
		_, v, _ := l.Admit(now, j)
		g.Expect(v).To(Equal(limiter.VerdictQueued))
	}
	l.Done(now, one, "order", limiter.OutcomeAnswered, time.Millisecond)
	j, at, ok := l.Next(now)
	g.Expect(ok).To(BeTrue(), "target one has a free slot")
	g.Expect(at).To(Equal(one))
	g.Expect(j.ID).To(Equal(limiter.JobID(3)))
	l.Done(now, other, "order", limiter.OutcomeAnswered, time.Millisecond)
	j, at, ok = l.Next(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(other))
	g.Expect(j.ID).To(Equal(limiter.JobID(2)), "the retry is the first that can use the other target")
}

// A kind that is removed and added again while an exchange of it is in progress must
// not count below zero: it would take more than its share for ever.
func TestAKindThatReturnsKeepsItsExchangesInProgress(t *testing.T) {
	g := NewWithT(t)
	l := newLimiter("diagram", "order")
	l.Admit(now, job(1, "diagram"))
	l.Configure(limiter.Config{Kinds: kinds("order")})
	l.Configure(limiter.Config{Kinds: kinds("diagram", "order")})
	l.Done(now, one, "diagram", limiter.OutcomeAnswered, time.Millisecond)
	for id := range 2 {
		_, v, _ := l.Admit(now, job(10+id, "order"))
		g.Expect(v).To(Equal(limiter.VerdictDispatch))
	}
	for id := range 2 {
		l.Admit(now, job(20+id, "order"))
		l.Admit(now, job(30+id, "diagram"))
	}
	served := map[string]int{}
	for _, a := range []cactuspin.Target{one, other} {
		l.Done(now, a, "order", limiter.OutcomeAnswered, time.Millisecond)
		j, _, ok := l.Next(now)
		g.Expect(ok).To(BeTrue())
		served[j.Kind]++
	}
	g.Expect(served).To(Equal(map[string]int{"order": 1, "diagram": 1}), "each kind has half of the slots")
}

func TestExchangesOfARemovedKindEnd(t *testing.T) {
	g := NewWithT(t)
	l := newLimiter("order", "diagram")
	l.Admit(now, job(1, "diagram"))
	l.Configure(limiter.Config{Kinds: kinds("order")})
	l.Done(now, one, "diagram", limiter.OutcomeAnswered, time.Millisecond)
	l.Done(now, one, "never heard of", limiter.OutcomeAborted, 0)
	g.Expect(l.MeanDuration("diagram")).To(BeZero())
}

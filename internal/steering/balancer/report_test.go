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

// newLargeBalancer returns a balancer with eight targets in zone a and a flow, so
// that the service is in use.
func newLargeBalancer() *balancer.Balancer {
	b := newBalancer(1, "a")
	var c tracker.Change
	for i := range 6 {
		c.Targets = append(c.Targets, registered(3+i, "desk", "a"))
	}
	b.Apply(now, &c)
	b.Steer(now, syn(1, feeds, 0))
	return b
}

// placed returns how many of 200 new flows go to each target. Their ports are not
// used again, since a second SYN from a port would be a retransmission.
func placed(b *balancer.Balancer, at cactuspin.Time) map[cactuspin.TargetID]int {
	n := map[cactuspin.TargetID]int{}
	first := 10_000 + b.Flows()
	for port := range 200 {
		n[b.Steer(at, syn(first+port, feeds, 0)).Target]++
	}
	return n
}

// report returns a report of another host about the target of a verdict.
func report(age time.Duration, verdicts ...cactuspin.Verdict) (reports encoder.DownTargets) {
	for _, v := range verdicts {
		reports = append(reports, encoder.DownTarget{Cookie: v.Cookie, Age: age})
	}
	return reports
}

// flowsTo opens flows until each of n targets has one, and returns these.
func flowsTo(b *balancer.Balancer, n int) (verdicts []cactuspin.Verdict) {
	seen := map[cactuspin.TargetID]bool{}
	for port := 5000; len(seen) < n; port++ {
		if v := b.Steer(now, syn(port, feeds, 0)); !seen[v.Target] {
			seen[v.Target] = true
			verdicts = append(verdicts, v)
		}
	}
	return verdicts
}

func TestNewFlowsAvoidATargetThatAnotherHostFoundDown(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	v := flowsTo(b, 1)[0]
	b.MergeDownReports(now, report(100*time.Millisecond, v))
	g.Expect(placed(b, now)).NotTo(HaveKey(v.Target))
	g.Expect(b.Steer(now, data(5000, feeds, v.Cookie, 0)).Kind).To(Equal(cactuspin.VerdictForward), "an open flow needs own evidence")
	g.Expect(b.DownReports(now)).To(BeEmpty(), "a report is not evidence of this host")
	g.Expect(placed(b, now.Add(2*time.Second))).To(HaveKey(v.Target), "the report has expired")
}

func TestAnAnswerAfterTheEvidenceOutweighsAReport(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	v := flowsTo(b, 1)[0]
	answeredAt := now.Add(100 * time.Millisecond)
	b.Steer(answeredAt, data(5000, feeds, v.Cookie, 0))
	at := answeredAt.Add(50 * time.Millisecond)
	b.MergeDownReports(at, report(60*time.Millisecond, v))
	g.Expect(placed(b, at)).To(HaveKey(v.Target))
	b.MergeDownReports(at, report(10*time.Millisecond, v))
	g.Expect(placed(b, at)).NotTo(HaveKey(v.Target), "the evidence is newer than the answer")
	b.RecordProbe(at, at, v.Target, balancer.FindingAlive)
	g.Expect(placed(b, at)).To(HaveKey(v.Target))
}

// A host that loses its packets must not make all others leave a zone.
func TestReportsAboutMostOfAZoneAreNotHeeded(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	verdicts := flowsTo(b, 8)
	b.MergeDownReports(now, report(0, verdicts[:5]...))
	g.Expect(placed(b, now)).To(HaveLen(8))
	b.MergeDownReports(now, report(0, verdicts[:4]...))
	g.Expect(placed(b, now)).To(HaveLen(4))
}

func TestOwnFindingsAreReportedWhileTheyAreNew(t *testing.T) {
	g := NewWithT(t)
	b := newLargeBalancer()
	v, _ := suspectTarget(b, 2)
	b.RecordProbe(now, now, v.Target, balancer.FindingRefused)
	g.Expect(b.DownReports(now.Add(300 * time.Millisecond))).To(Equal(report(300*time.Millisecond, v)))
	g.Expect(b.DownReports(now.Add(2 * time.Second))).To(BeEmpty())
}

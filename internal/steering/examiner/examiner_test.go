package examiner_test

import (
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
	"github.com/cactuspin/cactuspin/internal/steering/examiner"
)

const now = cactuspin.Time(1_000_000_000_000)

func probe(i int) balancer.Probe {
	return balancer.Probe{
		Target:  cactuspin.TargetID(fmt.Sprintf("t-%d", i)),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

// story is an examination as its host lives through it.
type story struct {
	Name string `yaml:"name"`
	// Steps are the times between the steps of the driver; the last one repeats.
	Steps []string `yaml:"steps"`
	// Answers lists when the answer to each attempt reaches the kernel, counted from
	// the start of the examination. An empty text means never.
	Answers []string `yaml:"answers"`
	Refused bool     `yaml:"refused"`
	Failed  bool     `yaml:"failed"`
	Finding string   `yaml:"finding"`
	// Latest is the latest time at which the examination may end.
	Latest string `yaml:"latest"`
}

func duration(g *WithT, s string) time.Duration {
	d, err := time.ParseDuration(s)
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// answered reports whether an attempt has been answered after some time.
func (s *story) answered(g *WithT, attempt int, passed time.Duration) bool {
	return attempt < len(s.Answers) && s.Answers[attempt] != "" && passed >= duration(g, s.Answers[attempt])
}

// play runs the examination and returns its result and how long it took.
func (s *story) play(g *WithT) (r examiner.Result, took time.Duration) {
	x := examiner.New()
	x.Add(probe(1))
	at := now
	var open []examiner.AttemptID
	for i := range 1000 {
		var looks []examiner.Look
		for attempt, id := range open {
			l := examiner.Look{ID: id}
			if s.answered(g, attempt, at.Sub(now)) {
				l.State = examiner.AttemptConnected
				if s.Refused {
					l.State = examiner.AttemptRefused
				}
			}
			if s.Failed {
				l.State = examiner.AttemptFailed
			}
			looks = append(looks, l)
		}
		out := x.Step(at, looks)
		for _, c := range out.Connects {
			open = append(open, c.ID)
		}
		if len(out.Results) > 0 {
			g.Expect(out.Closes).To(Equal(open))
			g.Expect(x.Busy()).To(BeFalse())
			return out.Results[0], at.Sub(now)
		}
		at = at.Add(duration(g, s.Steps[min(i, len(s.Steps)-1)]))
	}
	g.Expect("the examination").To(Equal("ended"))
	return r, 0
}

func TestExaminations(t *testing.T) {
	text, err := os.ReadFile("testdata/examinations.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var stories []story
	NewWithT(t).Expect(yaml.Unmarshal(text, &stories)).To(Succeed())
	NewWithT(t).Expect(stories).NotTo(BeEmpty())
	for _, s := range stories {
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			r, took := s.play(g)
			g.Expect(r.Finding.String()).To(Equal(s.Finding))
			g.Expect(r.Began).To(Equal(now))
			g.Expect(took).To(BeNumerically("<=", duration(g, s.Latest)))
		})
	}
}

func TestFewExaminationsRunAtATime(t *testing.T) {
	g := NewWithT(t)
	x := examiner.New()
	for i := range 40 {
		x.Add(probe(i))
		x.Add(probe(i))
	}
	at, most, ended := now, 0, map[cactuspin.TargetID]int{}
	open := map[examiner.AttemptID]bool{}
	for step := 0; x.Busy() && step < 1000; step++ {
		var looks []examiner.Look
		for id := range open {
			looks = append(looks, examiner.Look{ID: id})
		}
		out := x.Step(at, looks)
		for _, id := range out.Closes {
			delete(open, id)
		}
		for _, c := range out.Connects {
			open[c.ID] = true
		}
		for _, r := range out.Results {
			ended[r.Probe.Target]++
		}
		most = max(most, len(open))
		at = at.Add(examiner.LookInterval)
	}
	g.Expect(most).To(Equal(16), "two attempts for each of eight examinations")
	g.Expect(ended).To(HaveLen(40))
	for id, n := range ended {
		g.Expect(n).To(Equal(1), string(id))
	}
}

func TestAnAttemptWithoutALookIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	x := examiner.New()
	x.Add(probe(1))
	at := now
	var results []examiner.Result
	for len(results) == 0 {
		results = x.Step(at, nil).Results
		at = at.Add(examiner.LookInterval)
	}
	g.Expect(results[0].Finding).To(Equal(balancer.FindingNone))
}

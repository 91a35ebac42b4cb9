package reporter_test

import (
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/reporter"
)

const now = cactuspin.Time(1_000_000_000_000)

// format returns a request ID for every packet with data.
type format struct{ cactuspin.PacketFormat }

func (format) RequestID(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return []byte("id-7")
}

func packet(port int) *cactuspin.Packet {
	return &cactuspin.Packet{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(port)),
		Service: netip.MustParseAddrPort("198.18.0.1:443"), Length: 9,
	}
}

func TestDecisionsAreLogged(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	var responseTimes []time.Duration
	r := reporter.New(reporter.Config{
		Logger: slog.New(slog.NewTextHandler(&out, nil)), Format: format{},
		RecordResponseTime: func(d time.Duration) { responseTimes = append(responseTimes, d) },
	})
	established := cactuspin.Verdict{Kind: cactuspin.VerdictForward, ResponseTime: 40 * time.Millisecond}
	r.Report(now, packet(1), &established, nil)
	g.Expect(out.String()).To(BeEmpty(), "a packet of an established flow without a request ID is not logged")
	g.Expect(responseTimes).To(Equal([]time.Duration{40 * time.Millisecond}))
	r.Report(now, packet(1), &cactuspin.Verdict{Kind: cactuspin.VerdictForward, Request: true, Target: "i-1", Version: 7, KnowledgeAge: time.Second}, []byte("x"))
	g.Expect(out.String()).To(And(ContainSubstring("flow: forwarded"), ContainSubstring("request=id-7"), ContainSubstring("caller=100.64.0.1:1"),
		ContainSubstring("target=i-1"), ContainSubstring("version=7"), ContainSubstring("age=1s")))
	out.Reset()
	r.Report(now, packet(1), &established, []byte("x"))
	g.Expect(out.String()).To(ContainSubstring("request=id-7"), "the request ID may follow in a later packet of the request")
	r.Report(now, packet(1), &cactuspin.Verdict{Kind: cactuspin.VerdictReset, Reason: cactuspin.ReasonTargetGone}, nil)
	g.Expect(out.String()).To(ContainSubstring("reason=target_gone"))
	r.Report(now, packet(1), &cactuspin.Verdict{Reason: cactuspin.ReasonUnknownCookie}, nil)
	g.Expect(out.String()).To(ContainSubstring("flow: dropped"))
}

func TestSamplingLogsWholeFlows(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	r := reporter.New(reporter.Config{Logger: slog.New(slog.NewTextHandler(&out, nil)), Format: format{}, RecordResponseTime: func(time.Duration) {}})
	v := cactuspin.Verdict{Kind: cactuspin.VerdictForward, Request: true}
	for range 5 {
		for port := range 2000 {
			r.Report(now, packet(port), &v, nil)
		}
	}
	lines := strings.Count(out.String(), "\n")
	g.Expect(lines).To(BeNumerically("<", 500+10000/8))
	g.Expect(r.Suppressed()).To(Equal(uint64(10000 - lines)))
	for port := 500; port < 2000; port++ {
		n := strings.Count(out.String(), packet(port).Caller.String()+" ")
		g.Expect(n).To(Or(Equal(0), Equal(5)), "either all lines of a flow are logged or none")
	}
	r.Report(now.Add(time.Second), packet(1), &v, nil)
	g.Expect(out.String()).To(ContainSubstring("lines left out"))
}

package emulator_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

func newLima(t *testing.T, seed uint64) *emulator.Emulator {
	t.Helper()
	g := NewWithT(t)
	text, err := os.ReadFile("../../../examples/lima-1.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	c := emulator.Config{
		Seed: seed, Hosts: 6, Zones: []cactuspin.ZoneID{"lima-a", "lima-b", "lima-c"}, Bundle: text,
		ZoneDelay: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond, Jitter: 2 * time.Millisecond,
		Loss: 0.01, Duplication: 0.01, ServiceTime: 10 * time.Millisecond,
	}
	if testing.Verbose() {
		c.Trace = func(h cactuspin.HostID, now cactuspin.Time, d cactuspin.Decision) {
			t.Logf("%8.3f host %s %s: %s %s %s", now.Sub(emulator.Start).Seconds(), h, d.Kind, d.Reason, d.Target, d.Host)
		}
	}
	e, err := emulator.New(c)
	g.Expect(err).NotTo(HaveOccurred())
	e.Run(3 * time.Second)
	return e
}

func TestAllRequestsAreAnsweredWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	e := newLima(t, 1)
	var all []*emulator.Exchange
	for i := range 200 {
		e.After(time.Duration(i)*20*time.Millisecond, func() {
			c := e.NewCaller("order-desk")
			all = append(all, c.Order(0, nil))
			d := e.NewCaller("diagram-shelf")
			all = append(all, d.Diagram(0, nil))
		})
	}
	for range 50 {
		e.NewFeed("order-desk")
	}
	e.Run(20 * time.Second)
	e.Oracle.CheckOutcomes()
	e.Oracle.CheckFeedsLive(5 * time.Second)
	e.Oracle.CheckNoFeedRestarts()
	e.Oracle.CheckInForce(e.Hosts()...)
	g.Expect(e.Oracle.Violations).To(BeEmpty())
	for _, x := range all {
		g.Expect(x.Outcome).To(Equal(emulator.OutcomeWhole), x.ID)
	}
}

package tester

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
	"github.com/cactuspin/cactuspin/internal/standin/emulator"
)

// FlowImbalance distributes n flows of the order desk to the hosts by hash and returns
// the largest number of flows at a target divided by the mean. It assumes that each
// host spreads its flows evenly over its targets.
func (m *Matrix) FlowImbalance(n int) (worst float64, err error) {
	b, err := bundleparser.Parse(m.Bundles[0])
	if err != nil {
		return 0, err
	}
	var ms []placer.Member
	for i := range hosts {
		ms = append(ms, placer.Member{
			Host: cactuspin.HostID(i + 1), Zone: zones[i%len(zones)], Incarnation: cactuspin.Incarnation(i + 1),
		})
	}
	v := placer.NewView(placer.ViewConfig{Self: 1, Zone: zones[0], Members: ms, Bundle: b})
	s := v.Service(cactuspin.NewServiceID(orderService))
	r := rand.New(rand.NewPCG(m.Seed, 4))
	flowsPerHost := make(map[cactuspin.HostID]int)
	for range n {
		ip := netip.AddrFrom4([4]byte{10, byte(r.UintN(256)), byte(r.UintN(256)), byte(r.UintN(256))})
		caller := netip.AddrPortFrom(ip, uint16(r.UintN(1<<16)))
		if h, ok := s.Owner(placer.FlowHash(caller, s.Service.Address), nil); ok {
			flowsPerHost[h]++
		}
	}
	mean := float64(n) / float64(len(s.Service.Targets))
	for _, c := range s.Candidates {
		targets := int(c.Weight) / s.Service.Targets[0].Slots
		most := (flowsPerHost[c.Host] + targets - 1) / targets
		worst = max(worst, float64(most)/mean)
	}
	return worst, nil
}

// Cost is the overhead of the control traffic: the highest rate of bytes that one host
// sends to others in messages without requests, and the rate of calls of all hosts to
// the platform. Both are per second.
type Cost struct {
	Bytes float64
	Calls float64
}

// costTime is the duration of the measurement.
const costTime = 20 * time.Second

// ControlCost measures the overhead of the control traffic while the steps are run.
func (m *Matrix) ControlCost(steps []Step) (cost Cost, err error) {
	c, err := m.newCell(m.Seed, nil)
	if err != nil {
		return cost, err
	}
	for _, x := range steps {
		c.e.After(x.At, func() { c.runStep(x) })
	}
	before := make(map[*emulator.Host]uint64)
	for _, h := range c.e.Hosts() {
		before[h] = h.ControlBytes
	}
	calls := c.e.Platform.Calls
	c.e.Run(costTime)
	for _, h := range c.e.Hosts() {
		cost.Bytes = max(cost.Bytes, float64(h.ControlBytes-before[h])/costTime.Seconds())
	}
	cost.Calls = float64(c.e.Platform.Calls-calls) / costTime.Seconds()
	return cost, nil
}

// TargetFault is the fault of one target during a measurement of load imbalance.
type TargetFault string

// The faults of a target.
const (
	TargetFaultNone    TargetFault = "none"
	TargetFaultCold    TargetFault = "one target cold"
	TargetFaultSheds   TargetFault = "one target sheds all"
	TargetFaultLeaving TargetFault = "one target leaving"
)

// balanceFlows is the number of flows that send orders.
const balanceFlows = 2000

// balanceTime is the duration of the measurement.
const balanceTime = 5 * time.Second

// BusyImbalance sends orders at half of the capacity. It returns the busy time of the
// busiest target divided by the mean, without the faulty target, and the share of
// the orders that got a complete answer.
func (m *Matrix) BusyImbalance(fault TargetFault) (worst, completed float64, err error) {
	c, err := m.newCell(m.Seed, nil)
	if err != nil {
		return 0, 0, err
	}
	ts := c.e.Targets(orderService)
	switch fault {
	case TargetFaultCold:
		ts[0].Restart(balanceTime)
	case TargetFaultSheds:
		ts[0].Shed = true
	case TargetFaultLeaving:
		c.e.Platform.MarkTargetLeaving(ts[0].Address)
	case TargetFaultNone:
	}
	before := make([]time.Duration, len(ts))
	for i, t := range ts {
		before[i] = t.BusyTime
	}
	const half = 0.5
	c.orderFlows = balanceFlows
	rate := half * capacity(c.e)
	n := int(rate * balanceTime.Seconds())
	for i := range n {
		c.e.After(time.Duration(float64(i)/rate*float64(time.Second)), c.nextOrder)
	}
	c.e.Run(balanceTime + time.Second)
	worst = busiest(ts, before, fault)
	answered := 0
	for _, x := range c.e.Oracle.Exchanges() {
		if x.Outcome == emulator.OutcomeWhole {
			answered++
		}
	}
	return worst, float64(answered) / float64(len(c.e.Oracle.Exchanges())), nil
}

// busiest returns the busy time of the busiest target divided by the mean. The first
// target is left out if it is the faulty one.
func busiest(ts []*emulator.Target, before []time.Duration, fault TargetFault) float64 {
	sum, most, counted := time.Duration(0), time.Duration(0), 0
	for i, t := range ts {
		if i == 0 && fault != TargetFaultNone {
			continue
		}
		busy := t.BusyTime - before[i]
		sum += busy
		most = max(most, busy)
		counted++
	}
	return float64(most) * float64(counted) / float64(sum)
}

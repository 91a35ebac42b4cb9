package balancer

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

// In a large zone, a host sees a small part of the requests at a target if all hosts use
// all targets. Therefore each host prefers a part of the zone's targets of its own: it
// then sees most requests at them, as they come. What hosts tell each other are their open
// flows at each target, which change slowly, so that each target gets its share of them
// although callers choose their hosts unevenly. docs/design/even-load.md has the alternatives.

const (
	// maxTargetsPerHost is the number of targets per host up to which they are
	// partitioned, so that each is among the candidates of two hosts at least.
	maxTargetsPerHost = maxCandidates / 2
	// requestsPerStep is how many more requests in progress a target must have than one
	// that is one target further away from the host's part, to be the worse choice for a
	// flow of one request.
	requestsPerStep = 0.25
	// flowsPerStep is the same for the flows beyond its share that a target has and long
	// flows. It is a share of the mean number of flows of a target, and at least
	// minFlowsPerStep.
	flowsPerStep    = 0.02
	minFlowsPerStep = 1.0
	// flowAllowance is how many flows more than its share a target may have before long
	// flows go to targets further away.
	flowAllowance = 1.0
	// newRequestLoad is the load of the new request itself, by which fast targets are
	// preferred.
	newRequestLoad = 0.1
	// ownIdleLoad is the load of an open flow of this host without a request in progress,
	// as a share of that of a flow of another host, which may have one.
	ownIdleLoad = 0.25
	// referenceSlots is the number of slots for which these constants hold.
	referenceSlots = 2
	// failureFactor makes failing targets of the part worse than any other target.
	failureFactor = 100
)

// partition is the part of a zone's targets that this host prefers. The targets, sorted
// by cookie, form a ring, and each host has a place on it.
type partition struct {
	// center is the middle of the part, in targets from the first one, halfWidth half the
	// number of targets in it. It is 0 if the targets are not partitioned.
	center, halfWidth float64
	// check identifies the set of targets.
	check uint16
	// level is the number of flows of a target of the usual speed if all have their share,
	// flowLoad the mean number of requests in progress for each flow.
	level, flowLoad float64
}

// newPartition returns the part of the host with a rank, or none if the zone is small.
func newPartition(r encoder.HostRank, targets int) partition {
	if r.Hosts < encoder.MinRankedHosts || targets == 0 || targets > maxTargetsPerHost*r.Hosts {
		return partition{}
	}
	width := float64(targets) / float64(r.Hosts)
	return partition{center: (float64(r.Rank) + 0.5) * width, halfWidth: width / 2}
}

// active reports whether the targets are partitioned.
func (p *partition) active() bool { return p.halfWidth > 0 }

// position returns the place in the ring of the target that is the i-th nearest to the
// center, not yet reduced to the number of targets.
func (p *partition) position(i int) int {
	below := int(p.center)
	step := (i + 1) / 2
	if (i%2 == 1) == (p.center-float64(below) < 0.5) {
		step = -step
	}
	return below + step
}

// distance returns the distance in targets from the part to the i-th nearest target. It
// grows with i.
func (p *partition) distance(i int) float64 {
	return max(0, math.Abs(float64(p.position(i))+0.5-p.center)-p.halfWidth)
}

// SetShare sets the place of this host among those of its zone, and the flows of the
// other hosts. Without a place, the host places flows by its own counts.
func (b *Balancer) SetShare(now cactuspin.Time, r encoder.HostRank, others encoder.FlowCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := r != b.rank
	b.rank = r
	for v := range b.active.services() {
		for _, z := range v.zones {
			if changed || !z.partition.active() {
				z.repartition(r)
			}
			if z.partition.active() {
				z.setOtherFlows(others)
				z.updateLevel(now)
			}
		}
	}
}

// repartition sorts the targets, whose order must be the same at all hosts, and
// determines the part of this host.
func (z *zone) repartition(r encoder.HostRank) {
	z.partition = newPartition(r, len(z.targets))
	if !z.partition.active() {
		return
	}
	slices.SortFunc(z.targets, func(a, b *target) int { return cmp.Compare(a.cookie, b.cookie) })
	h := fnv.New32a()
	for _, t := range z.targets {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(t.cookie)))
	}
	z.partition.check = uint16(h.Sum32())
}

// setOtherFlows sets the flows of other hosts. While these report another set of targets,
// the counts of before are used. If they report none, they have no flows.
func (z *zone) setOtherFlows(others encoder.FlowCounts) {
	flows := others.Find(z.subject, z.partition.check)
	if len(flows) != len(z.targets) {
		if others.Lists(z.subject) {
			return
		}
		flows = make([]uint16, len(z.targets))
	}
	for i, t := range z.targets {
		t.otherFlows = int(flows[i])
	}
}

// updateLevel determines the flows of a target if all have their share.
func (z *zone) updateLevel(now cactuspin.Time) {
	var flows, capacity, slots float64
	for _, t := range z.targets {
		flows += t.allFlows()
		if t.usable(now) {
			capacity += float64(t.registered.Slots) / flowWeight(t.slowness.speedFactor(now))
			slots += float64(t.registered.Slots)
		}
	}
	z.partition.level = referenceSlots * flows / max(1, capacity)
	z.partition.flowLoad = min(idleFlowLoad, z.utilization*slots/max(1, flows))
}

// allFlows estimates the number of flows of all hosts at the target.
func (t *target) allFlows() float64 { return float64(t.otherFlows) + float64(t.flows.Load()) }

// FlowCounts returns the flows of this host at each target of the zones that are
// partitioned, those with the most flows first.
func (b *Balancer) FlowCounts() (c encoder.FlowCounts) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	sums := map[encoder.Subject]int{}
	for v := range b.active.services() {
		for _, z := range v.zones {
			if !z.partition.active() {
				continue
			}
			x := encoder.TargetFlows{Subject: z.subject, Check: z.partition.check, Flows: make([]uint16, len(z.targets))}
			for i, t := range z.targets {
				x.Flows[i] = uint16(max(0, min(math.MaxUint16, t.flows.Load())))
				sums[z.subject] += int(x.Flows[i])
			}
			if sums[z.subject] > 0 {
				c = append(c, x)
			}
		}
	}
	slices.SortFunc(c, func(x, y encoder.TargetFlows) int {
		return cmp.Or(cmp.Compare(sums[y.Subject], sums[x.Subject]), cmp.Compare(x.Subject, y.Subject))
	})
	return c
}

// Balance is how evenly the flows are spread over the targets, as this host knows it.
type Balance struct {
	// HostRank is the place of the host in its zone, or 0 if it uses its own counts alone.
	encoder.HostRank
	// Imbalance is the highest load of a target by the flows of all hosts of the zone, as a
	// multiple of the mean, in the service of the host's zone with the most flows. It is 0
	// if there is no place.
	Imbalance float64
}

// Balance returns how evenly the flows are spread.
func (b *Balancer) Balance(now cactuspin.Time) (x Balance) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	x.HostRank = b.rank
	most := 0.0
	for v := range b.active.services() {
		for _, z := range v.zones {
			if z.name != b.config.Zone || !z.partition.active() {
				continue
			}
			if flows, imbalance := z.imbalance(now); flows > most {
				most, x.Imbalance = flows, imbalance
			}
		}
	}
	return x
}

// imbalance returns the flows of the zone's targets and the highest load over the mean.
func (z *zone) imbalance(now cactuspin.Time) (flows, imbalance float64) {
	highest := 0.0
	for _, t := range z.targets {
		flows += t.allFlows()
		if t.usable(now) {
			highest = max(highest, t.allFlows()*flowWeight(t.slowness.speedFactor(now))*referenceSlots/float64(max(1, t.registered.Slots)))
		}
	}
	if z.partition.level > 0 {
		imbalance = highest / z.partition.level
	}
	return flows, imbalance
}

// placement determines the order of the targets of a zone for a new flow and their loads.
type placement struct {
	*partition
	targets int
	// first is the first target if the targets are not partitioned.
	first int
	// long reports that the flow will probably have many requests.
	long bool
	// step is the load that one target of distance is worth.
	step float64
}

func (z *zone) placement(long bool, random *rand.Rand) placement {
	p := placement{partition: &z.partition, targets: len(z.targets), long: long, step: requestsPerStep}
	if !p.active() {
		p.first = random.IntN(p.targets)
	}
	if long {
		p.step = max(minFlowsPerStep, flowsPerStep*p.level)
	}
	return p
}

// index returns the index of the i-th target that is compared.
func (p *placement) index(i int) int {
	if !p.active() {
		return (p.first + i) % p.targets
	}
	return (p.position(i)%p.targets + p.targets) % p.targets
}

// minLoad returns the lowest possible load of the i-th target. It grows with i.
func (p *placement) minLoad(i int) float64 {
	if !p.active() {
		return math.Inf(-1)
	}
	return p.step * p.distance(i)
}

// load estimates the load of the i-th target.
func (p *placement) load(now cactuspin.Time, t *target, i int) float64 {
	if !p.active() {
		return t.load(now)
	}
	factor := t.slowness.speedFactor(now)
	if t.cold(now) {
		factor = max(factor, warmupPenalty)
	}
	return p.step*p.distance(i) + p.loadOf(t, factor) + failureFactor*t.failureLoad
}

// flowWeight returns the weight of a flow at a target whose requests take longer by a
// factor. It grows faster than the factor, since a wait at a slow target takes longer, too.
func flowWeight(factor float64) float64 { return factor * math.Sqrt(factor) }

// loadOf returns the flows of a target beyond its share for a long flow, and otherwise the
// requests that are probably in progress there.
func (p *placement) loadOf(t *target, factor float64) float64 {
	slots := referenceSlots / float64(max(1, t.registered.Slots))
	if p.long {
		return max(0, (t.allFlows()+1)*flowWeight(factor)*slots-p.level-flowAllowance)
	}
	factor *= slots
	busy := float64(t.busy.Load())
	idle := max(0, float64(t.flows.Load())-busy)
	return (newRequestLoad + busy + p.flowLoad*(ownIdleLoad*idle+float64(t.otherFlows)*factor)) * factor
}

// loads returns the loads by which the targets are compared for a new flow.
func (z *zone) loads(now cactuspin.Time, long bool) map[*target]float64 {
	loads := make(map[*target]float64, len(z.targets))
	if !z.partition.active() {
		for _, t := range z.targets {
			loads[t] = t.load(now)
		}
		return loads
	}
	p := z.placement(long, nil)
	for i := range z.targets {
		t := z.targets[p.index(i)]
		loads[t] = p.load(now, t, i)
	}
	return loads
}

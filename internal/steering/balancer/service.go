package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	// idleFlowLoad is the load of an open flow without a request in progress: the
	// share of its time that a flow of repeated requests keeps a slot busy.
	idleFlowLoad = 0.06
	// maxCandidates bounds the targets that are compared for one flow, so that
	// placement costs the same at any number of targets.
	maxCandidates = 24
	// spillAt is the share of a zone's slots in use from which new flows may go to
	// other zones. Below it, flows stay in their zone and so outlive the others.
	spillAt = 0.8
	// spillMargin is by how much less another zone must be in use.
	spillMargin = 0.15
)

// service is the targets of one service.
type service struct {
	name     cactuspin.ServiceName
	byCookie map[cactuspin.Cookie]*target
	// zones are sorted by name.
	zones []*zone
}

// zone is the targets of a service in one zone.
type zone struct {
	name    cactuspin.ZoneID
	subject encoder.Subject
	targets []*target
	// use is the share of the slots in use, as all hosts see it.
	use float64
}

func (v *service) zone(name cactuspin.ZoneID) *zone {
	i := sort.Search(len(v.zones), func(i int) bool { return v.zones[i].name >= name })
	if i < len(v.zones) && v.zones[i].name == name {
		return v.zones[i]
	}
	z := &zone{name: name, subject: subjectOf(v.name, name)}
	v.zones = append(v.zones, nil)
	copy(v.zones[i+1:], v.zones[i:])
	v.zones[i] = z
	return z
}

// choose returns the target of a new flow of callers in the zone home. Targets
// that fail much more than others are used only if there is no other, those that
// seem dead last.
func (v *service) choose(now cactuspin.Time, home cactuspin.ZoneID, not *target, random *rand.Rand) *target {
	var failing, suspect *target
	if z := v.startZone(home, random); z != nil {
		t, s := z.choose(now, not, random)
		if t != nil && !t.failing() {
			return t
		}
		failing, suspect = t, s
	}
	var best *target
	lowest := math.Inf(1)
	for _, z := range v.zones {
		t, s := z.choose(now, not, random)
		if t != nil && !t.failing() && z.use < lowest {
			best, lowest = t, z.use
		}
		if failing == nil {
			failing = t
		}
		if suspect == nil {
			suspect = s
		}
	}
	return cmp.Or(best, failing, suspect)
}

// startZone returns home, or now and then the least used zone if home is
// crowded: the more often, the larger the difference.
func (v *service) startZone(home cactuspin.ZoneID, random *rand.Rand) *zone {
	var own, least *zone
	for _, z := range v.zones {
		if z.name == home {
			own = z
		}
		if len(z.targets) > 0 && (least == nil || z.use < least.use) {
			least = z
		}
	}
	if own == nil || own.use < spillAt || own.use-least.use < spillMargin {
		return own
	}
	if random.Float64()*own.use < (own.use-least.use)/2 {
		return least
	}
	return own
}

// room tells whether a zone has free slots at a target that answers.
func (v *service) room(now cactuspin.Time) bool {
	for _, z := range v.zones {
		if z.use >= 1 {
			continue
		}
		for _, t := range z.targets[:min(len(z.targets), maxCandidates)] {
			if t.usable(now) && !t.suspect(now) {
				return true
			}
		}
	}
	return false
}

// choose returns the least loaded target, and one that seems dead.
func (z *zone) choose(now cactuspin.Time, not *target, random *rand.Rand) (best, suspect *target) {
	n := len(z.targets)
	if n == 0 {
		return nil, nil
	}
	first, compared := random.IntN(n), 0
	lowest := math.Inf(1)
	for i := 0; i < n && compared < maxCandidates; i++ {
		t := z.targets[(first+i)%n]
		if !t.usable(now) || t == not {
			continue
		}
		compared++
		if t.suspect(now) {
			suspect = t
			continue
		}
		if l := t.load(now); l < lowest {
			best, lowest = t, l
		}
	}
	return best, suspect
}

// load estimates how long a new request would wait at the target, from what
// this host sees: counts of other hosts are too old for it, and make all hosts
// choose the same target.
func (t *target) load(now cactuspin.Time) float64 {
	busy := float64(t.busy.Load())
	idle := float64(t.flows.Load()) - busy
	slots := float64(t.registered.Slots)
	l := (busy + idleFlowLoad*max(0, idle)) / slots
	if now < t.warmUntil {
		l = (l + 1/slots) * coldPenalty
	}
	return l + t.failureLoad
}

// measure takes the loads of other hosts into the use of the zones.
func (v *service) measure(others map[encoder.Subject]encoder.Load) {
	for _, z := range v.zones {
		busy, slots := float64(others[z.subject].ActiveRequests)/encoder.ActiveRequestsScale, 0
		for _, t := range z.targets {
			if t.registered.State != cactuspin.TargetReady {
				continue
			}
			busy += t.meanBusy
			slots += t.registered.Slots
		}
		z.use = busy / max(1, float64(slots))
	}
}

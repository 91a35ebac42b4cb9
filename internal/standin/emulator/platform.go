package emulator

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
)

// Delays of the platform.
const (
	platformDelay = 2 * time.Millisecond
	// platformRetry is the interval at which a host polls the platform.
	platformRetry = 250 * time.Millisecond
	// listLag is how long the fabric takes to learn of a change of the list.
	listLag = 500 * time.Millisecond
)

// ApplyResult is the outcome of an Apply call as the operator sees it.
type ApplyResult uint8

// The results of Apply.
const (
	ResultAccepted ApplyResult = iota
	ResultSuperseded
	ResultUnknown
)

// Platform is a model of the key-value service and of the list of hosts.
type Platform struct {
	// Down makes all calls fail, Slow delays them, Stale makes reads return the value
	// before the last one.
	Down  bool
	Slow  time.Duration
	Stale bool
	// LoseAnswers is the number of writes that take effect but whose answer is lost.
	LoseAnswers int
	// Calls counts the reads of hosts.
	Calls int

	// upAt is when the last outage ended.
	upAt        cactuspin.Time
	e           *Emulator
	bundles     []*cactuspin.SignedBundle
	list        cactuspin.HostList
	fabricHosts map[cactuspin.HostID]bool
}

func newPlatform(e *Emulator) *Platform {
	return &Platform{e: e, fabricHosts: make(map[cactuspin.HostID]bool)}
}

// Outage makes the platform unavailable for d.
func (p *Platform) Outage(d time.Duration) {
	p.Down = true
	p.e.After(d, func() {
		p.Down = false
		p.upAt = p.e.now
	})
}

// Accepted returns the last accepted bundle, or nil.
func (p *Platform) Accepted() *cactuspin.SignedBundle {
	if len(p.bundles) == 0 {
		return nil
	}
	return p.bundles[len(p.bundles)-1]
}

// Sign signs a bundle as the operator does.
func (p *Platform) Sign(text []byte) (*cactuspin.SignedBundle, error) {
	b, err := bundleparser.Parse(text)
	if err != nil {
		return nil, err
	}
	return signer.Sign(text, b.Version, "ana", p.e.privateKey)
}

// Apply writes a bundle with one compare-and-swap.
func (p *Platform) Apply(text []byte) (ApplyResult, error) {
	s, err := p.Sign(text)
	if err != nil {
		return ResultUnknown, err
	}
	if p.Down {
		return ResultUnknown, nil
	}
	if cactuspin.BundleVersion(len(p.bundles))+1 != s.Version {
		if len(p.bundles) >= int(s.Version) && string(p.bundles[s.Version-1].Text) == string(text) {
			return ResultAccepted, nil
		}
		return ResultSuperseded, nil
	}
	p.bundles = append(p.bundles, s)
	p.e.Oracle.recordAccepted(s.Version)
	if p.LoseAnswers > 0 {
		p.LoseAnswers--
		return ResultUnknown, nil
	}
	return ResultAccepted, nil
}

// Push sends the accepted bundle to all hosts, as the operators' client does.
func (p *Platform) Push() {
	s := *p.Accepted()
	for _, h := range p.e.hosts {
		p.e.After(platformDelay+p.e.jitter(), func() {
			h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) {
				h.Engine.Platform(now, cactuspin.PlatformEvent{Bundle: &s}, out)
			})
		})
	}
}

// Publish writes all running hosts to the list. The fabric uses the new list after
// listLag.
func (p *Platform) Publish() {
	l := cactuspin.HostList{Revision: p.list.Revision + 1, Targets: p.list.Targets}
	fabricHosts := make(map[cactuspin.HostID]bool)
	for _, h := range p.e.hosts {
		if !h.Alive {
			continue
		}
		state := cactuspin.StateLive
		if h.leaving {
			state = cactuspin.StateLeaving
		}
		l.Hosts = append(l.Hosts, cactuspin.ListedHost{ID: h.ID, Zone: h.Zone, State: state})
		fabricHosts[h.ID] = !h.leaving
	}
	p.list = l
	if len(p.fabricHosts) == 0 {
		p.fabricHosts = fabricHosts
		return
	}
	p.e.After(listLag, func() { p.fabricHosts = fabricHosts })
}

// MarkTargetLeaving marks a target as leaving on the list.
func (p *Platform) MarkTargetLeaving(t cactuspin.Target) {
	p.list.Targets = append(p.list.Targets, cactuspin.ListedTarget{Address: t, State: cactuspin.StateLeaving})
	p.list.Revision++
	if _, ok := p.e.Oracle.leavingSince[t]; !ok {
		p.e.Oracle.leavingSince[t] = p.e.now
		p.e.Oracle.leavingByList[t] = true
	}
}

// anyHost returns a random host of the list that the fabric uses, or nil.
func (p *Platform) anyHost() *Host {
	var hs []*Host
	for _, h := range p.e.hosts {
		if p.fabricHosts[h.ID] {
			hs = append(hs, h)
		}
	}
	if len(hs) == 0 {
		return nil
	}
	return hs[p.e.random.IntN(len(hs))]
}

// watch polls the platform for a host while the host can reach it, and delivers
// changes of the bundle and of the list.
func (p *Platform) watch(h *Host, generation int) {
	var revision uint64
	var version int
	var poll func()
	poll = func() {
		if h.generation != generation {
			return
		}
		p.e.After(platformRetry, poll)
		if p.Down || h.frozen || p.e.cuts[zonePair{h.Zone, platformZone}] {
			return
		}
		n := len(p.bundles)
		if p.Stale && n > 1 {
			n--
		}
		if n != version && n > 0 {
			version = n
			s := *p.bundles[n-1]
			s.Confirmed = true
			p.deliver(h, generation, cactuspin.PlatformEvent{Bundle: &s})
		}
		if p.list.Revision > revision {
			revision = p.list.Revision
			l := p.list
			p.deliver(h, generation, cactuspin.PlatformEvent{List: &l})
		}
	}
	p.e.After(platformDelay, poll)
}

func (p *Platform) deliver(h *Host, generation int, ev cactuspin.PlatformEvent) {
	p.Calls++
	p.e.After(platformDelay+p.Slow, func() {
		if h.generation != generation {
			return
		}
		h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { h.Engine.Platform(now, ev, out) })
	})
}

package emulator

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
)

// Times of the platform.
const (
	platformDelay = 2 * time.Millisecond
	// platformRetry is how often a host asks again while the platform is away.
	platformRetry = 250 * time.Millisecond
	// listLag is how long the list lags behind.
	listLag = 500 * time.Millisecond
)

// Result is what an operator is told of a bundle.
type Result uint8

// The results of Apply.
const (
	ResultAccepted Result = iota
	ResultSuperseded
	ResultUnknown
)

// Platform is a fake of the key-value service and the list.
type Platform struct {
	// Down refuses all calls, Slow delays them, Stale answers with the value
	// before the last.
	Down  bool
	Slow  time.Duration
	Stale bool
	// LoseAnswers is the number of writes whose answer is lost.
	LoseAnswers int
	// Calls counts the calls of hosts.
	Calls int

	// upAt is when the platform last came back.
	upAt   cactuspin.Time
	e      *Emulator
	values []*cactuspin.SignedBundle
	list   cactuspin.HostList
	listed map[cactuspin.HostID]bool
}

func newPlatform(e *Emulator) *Platform {
	return &Platform{e: e, listed: make(map[cactuspin.HostID]bool)}
}

// Outage takes the platform down for a time.
func (p *Platform) Outage(d time.Duration) {
	p.Down = true
	p.e.After(d, func() {
		p.Down = false
		p.upAt = p.e.now
	})
}

// Accepted returns the last bundle that was accepted, or nil.
func (p *Platform) Accepted() *cactuspin.SignedBundle {
	if len(p.values) == 0 {
		return nil
	}
	return p.values[len(p.values)-1]
}

// Sign signs a bundle as the operator does.
func (p *Platform) Sign(text []byte) (*cactuspin.SignedBundle, error) {
	b, err := bundleparser.Parse(text)
	if err != nil {
		return nil, err
	}
	return signer.Sign(text, b.Version, "ana", p.e.private)
}

// Apply has a bundle accepted by one compare-and-swap.
func (p *Platform) Apply(text []byte) (Result, error) {
	s, err := p.Sign(text)
	if err != nil {
		return ResultUnknown, err
	}
	if p.Down {
		return ResultUnknown, nil
	}
	if cactuspin.BundleVersion(len(p.values))+1 != s.Version {
		if len(p.values) >= int(s.Version) && string(p.values[s.Version-1].Text) == string(text) {
			return ResultAccepted, nil
		}
		return ResultSuperseded, nil
	}
	p.values = append(p.values, s)
	p.e.Oracle.accepted(s.Version)
	if p.LoseAnswers > 0 {
		p.LoseAnswers--
		return ResultUnknown, nil
	}
	return ResultAccepted, nil
}

// Push gives the accepted bundle to all hosts, as the operators' client does.
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

// Publish puts all running hosts on the list. The fabric learns of it later.
func (p *Platform) Publish() {
	l := cactuspin.HostList{Revision: p.list.Revision + 1, Targets: p.list.Targets}
	listed := make(map[cactuspin.HostID]bool)
	for _, h := range p.e.hosts {
		if !h.Alive {
			continue
		}
		state := cactuspin.StateLive
		if h.leaving {
			state = cactuspin.StateLeaving
		}
		l.Hosts = append(l.Hosts, cactuspin.ListedHost{ID: h.ID, Zone: h.Zone, State: state})
		listed[h.ID] = !h.leaving
	}
	p.list = l
	if len(p.listed) == 0 {
		p.listed = listed
		return
	}
	p.e.After(listLag, func() { p.listed = listed })
}

// MarkTargetLeaving puts a target on the list as leaving.
func (p *Platform) MarkTargetLeaving(t cactuspin.Target) {
	p.list.Targets = append(p.list.Targets, cactuspin.ListedTarget{Address: t, State: cactuspin.StateLeaving})
	p.list.Revision++
	if _, ok := p.e.Oracle.left[t]; !ok {
		p.e.Oracle.left[t] = p.e.now
		p.e.Oracle.listed[t] = true
	}
}

// anyHost is where the fabric hands a datagram.
func (p *Platform) anyHost() *Host {
	var hs []*Host
	for _, h := range p.e.hosts {
		if p.listed[h.ID] {
			hs = append(hs, h)
		}
	}
	if len(hs) == 0 {
		return nil
	}
	return hs[p.e.random.IntN(len(hs))]
}

// watch lets a host see changes of bundle and list while it can reach the
// platform.
func (p *Platform) watch(h *Host, life int) {
	var revision uint64
	var version int
	var next func()
	next = func() {
		if h.life != life {
			return
		}
		p.e.After(platformRetry, next)
		if p.Down || h.frozen || p.e.cuts[zonePair{h.Zone, platformZone}] {
			return
		}
		n := len(p.values)
		if p.Stale && n > 1 {
			n--
		}
		if n != version && n > 0 {
			version = n
			s := *p.values[n-1]
			s.Confirmed = true
			p.bring(h, life, cactuspin.PlatformEvent{Bundle: &s})
		}
		if p.list.Revision > revision {
			revision = p.list.Revision
			l := p.list
			p.bring(h, life, cactuspin.PlatformEvent{List: &l})
		}
	}
	p.e.After(platformDelay, next)
}

func (p *Platform) bring(h *Host, life int, ev cactuspin.PlatformEvent) {
	p.Calls++
	p.e.After(platformDelay+p.Slow, func() {
		if h.life != life {
			return
		}
		h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { h.Engine.Platform(now, ev, out) })
	})
}

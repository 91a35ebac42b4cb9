package emulator

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// localDelay is the time between two hosts of a zone, or a host and a target.
const localDelay = 200 * time.Microsecond

// maxHeldMessages is how many messages a link keeps while it is cut.
const maxHeldMessages = 256

type linkKey struct{ from, to cactuspin.HostID }

type zonePair struct{ a, b cactuspin.ZoneID }

// platformZone stands for the platform in a cut.
const platformZone cactuspin.ZoneID = "platform"

// link carries messages from one host to another, in order.
type link struct {
	e        *Emulator
	from, to *Host
	last     cactuspin.Time
	held     []func()
}

func (e *Emulator) link(from, to *Host) *link {
	k := linkKey{from.ID, to.ID}
	l := e.links[k]
	if l == nil {
		l = &link{e: e, from: from, to: to}
		e.links[k] = l
	}
	return l
}

// Cut separates two zones, or heals them. A zone can be cut from the platform
// with CutPlatform.
func (e *Emulator) Cut(a, b cactuspin.ZoneID, cut bool) {
	e.cuts[zonePair{a, b}] = cut
	e.cuts[zonePair{b, a}] = cut
	e.release()
}

// CutPlatform separates a zone from the platform, or heals it.
func (e *Emulator) CutPlatform(z cactuspin.ZoneID, cut bool) { e.Cut(z, platformZone, cut) }

// CutHosts keeps two hosts from hearing each other, or heals them.
func (e *Emulator) CutHosts(a, b cactuspin.HostID, cut bool) {
	e.noPeers[linkKey{a, b}] = cut
	e.noPeers[linkKey{b, a}] = cut
	e.release()
}

// release sends what links held back and can now carry.
func (e *Emulator) release() {
	for _, a := range e.hosts {
		for _, b := range e.hosts {
			l := e.links[linkKey{a.ID, b.ID}]
			if l == nil || l.cut() {
				continue
			}
			held := l.held
			l.held = nil
			for _, f := range held {
				l.carry(f)
			}
		}
	}
}

func (l *link) cut() bool {
	return l.e.cuts[zonePair{l.from.Zone, l.to.Zone}] || l.e.noPeers[linkKey{l.from.ID, l.to.ID}]
}

// carry delivers after the link's delay, or keeps the message while cut.
func (l *link) carry(deliver func()) {
	if l.cut() {
		if len(l.held) < maxHeldMessages {
			l.held = append(l.held, deliver)
		}
		return
	}
	d := localDelay
	if l.from.Zone != l.to.Zone {
		d = l.e.cfg.ZoneDelay + l.e.jitter()
	}
	at := max(l.e.now.Add(d), l.last)
	l.last = at
	l.e.After(at.Sub(l.e.now), func() {
		if l.cut() {
			l.held = append(l.held, deliver)
			return
		}
		deliver()
	})
}

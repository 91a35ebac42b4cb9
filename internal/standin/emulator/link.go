package emulator

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// localDelay is the one-way delay between two hosts of a zone, or between a host and
// a target.
const localDelay = 200 * time.Microsecond

// maxHeldMessages limits the messages that a link buffers while it is cut.
const maxHeldMessages = 256

type linkKey struct{ from, to cactuspin.HostID }

type zonePair struct{ a, b cactuspin.ZoneID }

// platformZone is the pseudo zone of the platform in the table of cuts.
const platformZone cactuspin.ZoneID = "platform"

// link delivers messages from one host to another, in order.
type link struct {
	e            *Emulator
	from, to     *Host
	lastDelivery cactuspin.Time
	held         []func()
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

// Cut partitions two zones from each other, or ends the partition. CutPlatform
// partitions a zone from the platform.
func (e *Emulator) Cut(a, b cactuspin.ZoneID, cut bool) {
	e.cuts[zonePair{a, b}] = cut
	e.cuts[zonePair{b, a}] = cut
	e.release()
}

// CutPlatform partitions a zone from the platform, or ends the partition.
func (e *Emulator) CutPlatform(z cactuspin.ZoneID, cut bool) { e.Cut(z, platformZone, cut) }

// CutHosts blocks the messages between two hosts, or unblocks them.
func (e *Emulator) CutHosts(a, b cactuspin.HostID, cut bool) {
	e.blockedPeers[linkKey{a, b}] = cut
	e.blockedPeers[linkKey{b, a}] = cut
	e.release()
}

// release sends the buffered messages of all links that are no longer cut.
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
	return l.e.cuts[zonePair{l.from.Zone, l.to.Zone}] || l.e.blockedPeers[linkKey{l.from.ID, l.to.ID}]
}

// carry delivers a message after the link's delay, or buffers it while the link is
// cut.
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
	at := max(l.e.now.Add(d), l.lastDelivery)
	l.lastDelivery = at
	l.e.After(at.Sub(l.e.now), func() {
		if l.cut() {
			l.held = append(l.held, deliver)
			return
		}
		deliver()
	})
}

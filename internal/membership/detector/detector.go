// Package detector decides from heartbeats which hosts answer. Nothing that must
// be safe rests on it: a wrong view costs a hop or a delay.
package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Times of the heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 300 * time.Millisecond
	// SuspectAfter is the silence after which a host gets no new flows.
	SuspectAfter = 1000 * time.Millisecond
	// DeadAfter is the silence after which a host's authority counts as lost, when
	// others of its zone are heard.
	DeadAfter = 3 * time.Second
	// ZoneDeadAfter is the same when its whole zone is silent: it may be cut off
	// and alive, and the caller's next copy may reach it.
	ZoneDeadAfter = 10 * time.Second
)

// Status is what is known of an incarnation of a host.
type Status uint8

// The statuses of an incarnation.
const (
	// StatusUnknown means that it cannot be told whether the incarnation lives.
	StatusUnknown Status = iota
	StatusLive
	// StatusDead means that it has been silent for long or was replaced.
	StatusDead
)

// Config configures a Prober.
type Config struct {
	Self        cactuspin.HostID
	Zone        cactuspin.ZoneID
	Incarnation cactuspin.Incarnation
	Start       cactuspin.Time
}

// Detector holds what a host knows of the others. It is not safe for concurrent
// use.
type Detector struct {
	cfg      Config
	peers    map[cactuspin.HostID]*peer
	sent     cactuspin.Time
	leaving  bool
	ticked   cactuspin.Time
	resumed  cactuspin.Time
	inherits []cactuspin.Takeover
}

type peer struct {
	id        cactuspin.HostID
	heartbeat cactuspin.Heartbeat
	heard     cactuspin.Time
	live      bool
	reported  bool
}

// New returns a Prober that knows no other host.
func New(c Config) *Detector {
	return &Detector{cfg: c, peers: make(map[cactuspin.HostID]*peer), ticked: c.Start, resumed: c.Start}
}

// AddPeers adds hosts that may exist.
func (p *Detector) AddPeers(ids ...cactuspin.HostID) {
	for _, id := range ids {
		if id == p.cfg.Self || p.peers[id] != nil {
			continue
		}
		p.peers[id] = &peer{id: id}
	}
}

// Leave makes this host report that it is about to stop.
func (p *Detector) Leave() { p.leaving = true }

// Leaving tells whether this host is about to stop.
func (p *Detector) Leaving() bool { return p.leaving }

// AddTakeover makes this host report an authority that it holds for another.
func (p *Detector) AddTakeover(i cactuspin.Takeover) { p.inherits = append(p.inherits, i) }

// Takeovers returns the authorities that this host reports.
func (p *Detector) Takeovers() []cactuspin.Takeover { return p.inherits }

// HandleHeartbeat takes a heartbeat. changed tells whether the members changed.
func (p *Detector) HandleHeartbeat(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Heartbeat) (changed bool) {
	p.AddPeers(from)
	x, ok := p.peers[from]
	if !ok {
		return false
	}
	changed = !x.live ||
		x.heartbeat.Incarnation != h.Incarnation ||
		x.heartbeat.Leaving != h.Leaving ||
		(x.heartbeat.Version == 0) != (h.Version == 0) ||
		len(x.heartbeat.Takeovers) != len(h.Takeovers)
	x.heartbeat = h
	x.heard = now
	x.live = true
	x.reported = false
	return changed
}

// Tick finds the peers that fell silent. gone are those whose authority counts
// as lost from now on; each is reported once.
func (p *Detector) Tick(now cactuspin.Time) (changed bool, gone []cactuspin.HostID) {
	p.noticePause(now)
	for _, id := range p.ids() {
		x := p.peers[id]
		silence := now.Sub(x.heard)
		if x.live && silence >= SuspectAfter && now.Sub(p.resumed) >= SuspectAfter {
			x.live = false
			changed = true
		}
		if x.heard > 0 && !x.live && !x.reported && p.silent(now, x) {
			x.reported = true
			gone = append(gone, id)
		}
	}
	return changed, gone
}

// noticePause gives the others time to be heard after this host was paused.
func (p *Detector) noticePause(now cactuspin.Time) {
	if now.Sub(p.ticked) >= SuspectAfter/2 {
		p.resumed = now
	}
	p.ticked = now
}

// HeartbeatsDue returns the peers that a heartbeat is to be sent to now.
func (p *Detector) HeartbeatsDue(now cactuspin.Time) []cactuspin.HostID {
	if now.Sub(p.sent) < HeartbeatInterval {
		return nil
	}
	p.sent = now
	return p.ids()
}

// Heartbeat returns this host's own heartbeat without its loads.
func (p *Detector) Heartbeat() cactuspin.Heartbeat {
	return cactuspin.Heartbeat{
		Incarnation:  p.cfg.Incarnation,
		Zone:         p.cfg.Zone,
		Leaving:      p.leaving,
		Takeovers:    p.inherits,
		ReceivedFrom: p.hears(),
	}
}

// maxHears is the number of other hosts up to which a heartbeat lists them: its
// size would grow with their number.
const maxHears = 32

// hears returns the hosts that answer, or none when they are many.
func (p *Detector) hears() (hs []cactuspin.HostID) {
	if len(p.peers) > maxHears {
		return nil
	}
	for _, id := range p.ids() {
		if p.peers[id].live {
			hs = append(hs, id)
		}
	}
	return hs
}

// RelayFor returns a host that answers and hears one that this host does not.
func (p *Detector) RelayFor(h cactuspin.HostID) (via cactuspin.HostID, ok bool) {
	for _, id := range p.ids() {
		if x := p.peers[id]; id != h && x.live && slices.Contains(x.heartbeat.ReceivedFrom, h) {
			return id, true
		}
	}
	return 0, false
}

// Status tells what is known of an incarnation of a host that is named by a
// cookie issued at issued seconds. A host that was never heard may have joined
// just before the cookie was issued, and reach others first.
func (p *Detector) Status(now cactuspin.Time, h cactuspin.HostID, i cactuspin.Incarnation, issued uint32) Status {
	x, ok := p.peers[h]
	if !ok || x.heard == 0 {
		age := time.Duration(int64(now.Seconds())-int64(issued)) * time.Second
		if age > 2*DeadAfter && now.Sub(p.cfg.Start) >= DeadAfter && now.Sub(p.resumed) >= DeadAfter {
			return StatusDead
		}
		return StatusUnknown
	}
	if x.heartbeat.Incarnation != i {
		return p.replaced(now, x, issued)
	}
	if x.live {
		return StatusLive
	}
	if p.gone(now, x) {
		return StatusDead
	}
	return StatusUnknown
}

// gone tells whether a silent host counts as lost: no other host hears it, and it
// is silent for long or its zone is not cut off.
func (p *Detector) gone(now cactuspin.Time, x *peer) bool {
	if _, ok := p.RelayFor(x.id); ok || !p.silent(now, x) {
		return false
	}
	return p.hearsZone(x) || now.Sub(x.heard) >= ZoneDeadAfter
}

// hearsZone tells whether another host of a host's zone answers.
func (p *Detector) hearsZone(x *peer) bool {
	if x.heartbeat.Zone == p.cfg.Zone {
		return true
	}
	for _, o := range p.peers {
		if o != x && o.live && o.heartbeat.Zone == x.heartbeat.Zone {
			return true
		}
	}
	return false
}

// replaced judges an incarnation that is not the one last heard at its host. A
// cookie issued a moment ago may name one that is about to be heard.
func (p *Detector) replaced(now cactuspin.Time, x *peer, issued uint32) Status {
	const spread = 2
	if issued+spread >= x.heard.Seconds() && !p.silent(now, x) {
		return StatusUnknown
	}
	return StatusDead
}

func (p *Detector) silent(now cactuspin.Time, x *peer) bool {
	return now.Sub(x.heard) >= DeadAfter && now.Sub(p.resumed) >= DeadAfter
}

// HighestVersion returns the highest bundle version that another host has reported, and
// whether all known hosts were heard.
func (p *Detector) HighestVersion() (v cactuspin.BundleVersion, all bool) {
	all = len(p.peers) > 0
	for _, x := range p.peers {
		all = all && x.heard > 0
		v = max(v, x.heartbeat.Version)
	}
	return v, all
}

// PeerCount returns the number of other hosts that may exist.
func (p *Detector) PeerCount() int { return len(p.peers) }

// Members returns this host and all that answer.
func (p *Detector) Members() (ms []placer.Member) {
	ms = append(ms, placer.Member{
		Host:        p.cfg.Self,
		Zone:        p.cfg.Zone,
		Incarnation: p.cfg.Incarnation,
		Leaving:     p.leaving,
	})
	for _, id := range p.ids() {
		x := p.peers[id]
		if !x.live {
			continue
		}
		ms = append(ms, placer.Member{
			Host:        id,
			Zone:        x.heartbeat.Zone,
			Incarnation: x.heartbeat.Incarnation,
			Leaving:     x.heartbeat.Leaving || x.heartbeat.Version == 0,
		})
	}
	return ms
}

// Successors returns which host holds the authority of which ended incarnation.
func (p *Detector) Successors() map[cactuspin.Incarnation]cactuspin.HostID {
	heirs := make(map[cactuspin.Incarnation]cactuspin.HostID)
	for _, i := range p.inherits {
		heirs[i.Incarnation] = p.cfg.Self
	}
	for _, id := range p.ids() {
		if x := p.peers[id]; x.live {
			for _, i := range x.heartbeat.Takeovers {
				heirs[i.Incarnation] = id
			}
		}
	}
	return heirs
}

// ExpireTakeovers ends the authorities whose cookies are all too old by now.
func (p *Detector) ExpireTakeovers(now cactuspin.Time) (ended []cactuspin.Incarnation) {
	p.inherits = slices.DeleteFunc(p.inherits, func(i cactuspin.Takeover) bool {
		old := now.Seconds() > i.Until
		if old {
			ended = append(ended, i.Incarnation)
		}
		return old
	})
	return ended
}

func (p *Detector) ids() []cactuspin.HostID { return slices.Sorted(maps.Keys(p.peers)) }

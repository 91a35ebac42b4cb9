// Package detector implements a failure detector, which decides from heartbeats
// which hosts are live. Safety does not depend on it: a wrong decision costs an
// extra hop or a delay.
package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// Intervals and timeouts of the heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 300 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a host is assigned
	// no new flows.
	SuspectAfter = 1000 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which a host's authority
	// counts as lost, if other hosts of its zone are live.
	DeadAfter = 3 * time.Second
	// ZoneDeadAfter is the same time if no other host of its zone is live: the zone
	// may be partitioned and still running, and the caller's next retransmission
	// may reach it.
	ZoneDeadAfter = 10 * time.Second
)

// Status is the status of an incarnation of a host, as far as it is known here.
type Status uint8

// The statuses of an incarnation.
const (
	// StatusUnknown means that it is not known whether the incarnation is running.
	StatusUnknown Status = iota
	StatusLive
	// StatusDead means that the incarnation has been unresponsive for long or was
	// replaced.
	StatusDead
)

// Config configures a Detector.
type Config struct {
	Self        cactuspin.HostID
	Zone        cactuspin.ZoneID
	Incarnation cactuspin.Incarnation
	Start       cactuspin.Time
}

// Detector tracks the heartbeats and the liveness of the other hosts. It is not
// safe for concurrent use.
type Detector struct {
	cfg       Config
	peers     map[cactuspin.HostID]*peer
	lastSent  cactuspin.Time
	leaving   bool
	lastTick  cactuspin.Time
	resumed   cactuspin.Time
	takeovers []cactuspin.Takeover
}

type peer struct {
	id           cactuspin.HostID
	heartbeat    cactuspin.Heartbeat
	lastReceived cactuspin.Time
	live         bool
	reportedDead bool
}

// New returns a Detector without peers.
func New(c Config) *Detector {
	return &Detector{cfg: c, peers: make(map[cactuspin.HostID]*peer), lastTick: c.Start, resumed: c.Start}
}

// AddPeers adds hosts that may exist. Heartbeats are sent to them from now on.
func (d *Detector) AddPeers(ids ...cactuspin.HostID) {
	for _, id := range ids {
		if id == d.cfg.Self || d.peers[id] != nil {
			continue
		}
		d.peers[id] = &peer{id: id}
	}
}

// Leave makes the heartbeats report that this host is about to stop.
func (d *Detector) Leave() { d.leaving = true }

// Leaving reports whether this host is about to stop.
func (d *Detector) Leaving() bool { return d.leaving }

// AddTakeover adds an authority that this host has taken over to its heartbeats.
func (d *Detector) AddTakeover(i cactuspin.Takeover) { d.takeovers = append(d.takeovers, i) }

// Takeovers returns the authorities that this host has taken over.
func (d *Detector) Takeovers() []cactuspin.Takeover { return d.takeovers }

// HandleHeartbeat records a heartbeat of a peer and reports whether the members
// changed.
func (d *Detector) HandleHeartbeat(now cactuspin.Time, from cactuspin.HostID, h cactuspin.Heartbeat) (changed bool) {
	d.AddPeers(from)
	x, ok := d.peers[from]
	if !ok {
		return false
	}
	changed = !x.live ||
		x.heartbeat.Incarnation != h.Incarnation ||
		x.heartbeat.Leaving != h.Leaving ||
		(x.heartbeat.Version == 0) != (h.Version == 0) ||
		len(x.heartbeat.Takeovers) != len(h.Takeovers)
	x.heartbeat = h
	x.lastReceived = now
	x.live = true
	x.reportedDead = false
	return changed
}

// Tick detects unresponsive peers. changed reports whether the members changed.
// dead lists the peers whose authority counts as lost from now on; each is listed
// once.
func (d *Detector) Tick(now cactuspin.Time) (changed bool, dead []cactuspin.HostID) {
	d.detectPause(now)
	for _, id := range d.peerIDs() {
		x := d.peers[id]
		elapsed := now.Sub(x.lastReceived)
		if x.live && elapsed >= SuspectAfter && now.Sub(d.resumed) >= SuspectAfter {
			x.live = false
			changed = true
		}
		if x.lastReceived > 0 && !x.live && !x.reportedDead && d.unresponsive(now, x) {
			x.reportedDead = true
			dead = append(dead, id)
		}
	}
	return changed, dead
}

// detectPause records the end of a pause of this host. The peers then have time
// to send heartbeats again before they count as unresponsive.
func (d *Detector) detectPause(now cactuspin.Time) {
	if now.Sub(d.lastTick) >= SuspectAfter/2 {
		d.resumed = now
	}
	d.lastTick = now
}

// HeartbeatsDue returns the peers that are to be sent a heartbeat now.
func (d *Detector) HeartbeatsDue(now cactuspin.Time) []cactuspin.HostID {
	if now.Sub(d.lastSent) < HeartbeatInterval {
		return nil
	}
	d.lastSent = now
	return d.peerIDs()
}

// Heartbeat returns this host's heartbeat without the versions and loads, which
// the caller adds.
func (d *Detector) Heartbeat() cactuspin.Heartbeat {
	return cactuspin.Heartbeat{
		Incarnation:  d.cfg.Incarnation,
		Zone:         d.cfg.Zone,
		Leaving:      d.leaving,
		Takeovers:    d.takeovers,
		ReceivedFrom: d.receivedFrom(),
	}
}

// maxReceivedFrom is the number of peers up to which a heartbeat lists the live peers.
// A host with more peers lists none, because the size of a heartbeat would otherwise
// grow with the number of hosts.
const maxReceivedFrom = 32

// receivedFrom returns the live peers, or none if there are more than
// maxReceivedFrom peers.
func (d *Detector) receivedFrom() (hs []cactuspin.HostID) {
	if len(d.peers) > maxReceivedFrom {
		return nil
	}
	for _, id := range d.peerIDs() {
		if d.peers[id].live {
			hs = append(hs, id)
		}
	}
	return hs
}

// RelayFor returns a live peer that receives the heartbeats of a host from which
// this host receives none.
func (d *Detector) RelayFor(h cactuspin.HostID) (relay cactuspin.HostID, ok bool) {
	for _, id := range d.peerIDs() {
		if x := d.peers[id]; id != h && x.live && slices.Contains(x.heartbeat.ReceivedFrom, h) {
			return id, true
		}
	}
	return 0, false
}

// Status returns the status of an incarnation of a host that is named by a
// cookie. issued is the time of the cookie in seconds since the Unix epoch. A
// host without a heartbeat so far may have joined just before the cookie was
// issued and have reached other hosts first.
func (d *Detector) Status(now cactuspin.Time, h cactuspin.HostID, i cactuspin.Incarnation, issued uint32) Status {
	x, ok := d.peers[h]
	if !ok || x.lastReceived == 0 {
		cookieAge := time.Duration(int64(now.Seconds())-int64(issued)) * time.Second
		if cookieAge > 2*DeadAfter && now.Sub(d.cfg.Start) >= DeadAfter && now.Sub(d.resumed) >= DeadAfter {
			return StatusDead
		}
		return StatusUnknown
	}
	if x.heartbeat.Incarnation != i {
		return d.replacedStatus(now, x, issued)
	}
	if x.live {
		return StatusLive
	}
	if d.isDead(now, x) {
		return StatusDead
	}
	return StatusUnknown
}

// isDead reports whether an unresponsive host counts as lost: no live peer
// receives its heartbeats, and either its zone is reachable or ZoneDeadAfter has
// passed.
func (d *Detector) isDead(now cactuspin.Time, x *peer) bool {
	if _, ok := d.RelayFor(x.id); ok || !d.unresponsive(now, x) {
		return false
	}
	return d.zoneReachable(x) || now.Sub(x.lastReceived) >= ZoneDeadAfter
}

// zoneReachable reports whether another host of a host's zone is live. It is true
// for the zone of this host.
func (d *Detector) zoneReachable(x *peer) bool {
	if x.heartbeat.Zone == d.cfg.Zone {
		return true
	}
	for _, o := range d.peers {
		if o != x && o.live && o.heartbeat.Zone == x.heartbeat.Zone {
			return true
		}
	}
	return false
}

// replacedStatus returns the status of an incarnation that differs from the one
// in its host's last heartbeat. A cookie that was just issued may name an
// incarnation whose first heartbeat has not arrived yet.
func (d *Detector) replacedStatus(now cactuspin.Time, x *peer, issued uint32) Status {
	const propagationSeconds = 2
	if issued+propagationSeconds >= x.lastReceived.Seconds() && !d.unresponsive(now, x) {
		return StatusUnknown
	}
	return StatusDead
}

func (d *Detector) unresponsive(now cactuspin.Time, x *peer) bool {
	return now.Sub(x.lastReceived) >= DeadAfter && now.Sub(d.resumed) >= DeadAfter
}

// HighestVersion returns the highest bundle version that a peer has reported, and
// whether all peers have sent a heartbeat.
func (d *Detector) HighestVersion() (v cactuspin.BundleVersion, all bool) {
	all = len(d.peers) > 0
	for _, x := range d.peers {
		all = all && x.lastReceived > 0
		v = max(v, x.heartbeat.Version)
	}
	return v, all
}

// PeerCount returns the number of other hosts that may exist.
func (d *Detector) PeerCount() int { return len(d.peers) }

// Members returns this host and all live peers.
func (d *Detector) Members() (ms []placer.Member) {
	ms = append(ms, placer.Member{
		Host:        d.cfg.Self,
		Zone:        d.cfg.Zone,
		Incarnation: d.cfg.Incarnation,
		Leaving:     d.leaving,
	})
	for _, id := range d.peerIDs() {
		x := d.peers[id]
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

// Successors returns, for each ended incarnation, the host that has taken over
// its authority.
func (d *Detector) Successors() map[cactuspin.Incarnation]cactuspin.HostID {
	successors := make(map[cactuspin.Incarnation]cactuspin.HostID)
	for _, i := range d.takeovers {
		successors[i.Incarnation] = d.cfg.Self
	}
	for _, id := range d.peerIDs() {
		if x := d.peers[id]; x.live {
			for _, i := range x.heartbeat.Takeovers {
				successors[i.Incarnation] = id
			}
		}
	}
	return successors
}

// ExpireTakeovers removes the takeovers whose cookies have all expired and
// returns their incarnations.
func (d *Detector) ExpireTakeovers(now cactuspin.Time) (ended []cactuspin.Incarnation) {
	d.takeovers = slices.DeleteFunc(d.takeovers, func(i cactuspin.Takeover) bool {
		expired := now.Seconds() > i.Until
		if expired {
			ended = append(ended, i.Incarnation)
		}
		return expired
	})
	return ended
}

func (d *Detector) peerIDs() []cactuspin.HostID { return slices.Sorted(maps.Keys(d.peers)) }

package planner

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// ShouldRead reports whether this host has to read the store now.
func (p *Planner) ShouldRead(now cactuspin.Time, known tracker.Position, firstPageRead bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shouldRead(now, known, p.rank(p.zoneAlive(now)), firstPageRead)
}

// shouldRead reports whether this host has to read the store. A leader reads if
// no leader of another zone takes precedence. Any other host reads if its
// knowledge is too old; if it is incomplete, continuesFullRead decides.
func (p *Planner) shouldRead(now cactuspin.Time, known tracker.Position, rank int, firstPageRead bool) bool {
	if rank == 0 && !p.hasPrecedingLeader(now, known) {
		return true
	}
	if !known.Complete {
		return p.continuesFullRead(now, rank, firstPageRead)
	}
	if known.Age > p.c.MaxAge+time.Duration(rank)*rankDelay {
		p.readUntil = now.Add(minReadTime)
		return true
	}
	if p.hasReaderInstead(now, known.Era) {
		p.readUntil = 0
	}
	return now < p.readUntil
}

// hasReaderInstead reports whether a host of this zone that takes precedence over
// this one has fresh knowledge which another host read. Without this, all hosts
// would go on reading after an outage of the store, when there is the most to read.
func (p *Planner) hasReaderInstead(now cactuspin.Time, era cactuspin.Era) bool {
	for a, x := range p.peers {
		preceding := x.Zone == p.c.Self.Zone && !x.leaving && a.Less(p.c.Self.Address)
		if preceding && now.Sub(x.lastBeacon) <= livenessTimeout && x.fresh(now, era, p.c.MaxAge) && x.reader.IsValid() && x.reader != p.c.Self.Address {
			return true
		}
	}
	return false
}

// hasPrecedingLeader reports whether a leader of another zone has fresh knowledge
// and takes precedence over this host, because its address is lower or this
// host's knowledge is too old.
func (p *Planner) hasPrecedingLeader(now cactuspin.Time, known tracker.Position) bool {
	for a, x := range p.peers {
		if x.Zone == p.c.Self.Zone || x.leaving || now.Sub(x.lastBeacon) > livenessTimeout {
			continue
		}
		if x.fresh(now, known.Era, p.c.MaxAge) && (a.Less(p.c.Self.Address) || known.Age > p.c.MaxAge) {
			return true
		}
	}
	return false
}

// fresh reports whether the host's knowledge is not too old. Knowledge of an era before
// era, that of this host, is no longer current, however recent it is.
func (x *peer) fresh(now cactuspin.Time, era cactuspin.Era, maxAge time.Duration) bool {
	return x.era >= era && x.age+now.Sub(x.lastBeacon) <= maxAge
}

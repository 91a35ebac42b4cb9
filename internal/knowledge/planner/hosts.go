package planner

import (
	"math"
	"net/netip"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

const (
	// zoneShareInterval is the interval at which hosts exchange what the even
	// distribution of flows needs. Flows live much longer.
	zoneShareInterval = 2 * time.Second
	// zoneShareLifetime is how long it is used: two messages may be lost.
	zoneShareLifetime = 3 * zoneShareInterval
	// changedShare is the change of the number of flows, as a share of them, from which
	// they are sent with the next beacon: many callers have come at once.
	changedShare = 0.2
)

// ZoneShare is what a host knows about its place in the zone, and what its next beacon
// has to carry about that.
type ZoneShare struct {
	// Rank is the place of this host, or 0 if unknown.
	Rank encoder.HostRank
	// Others are the flows of the zone's other hosts.
	Others encoder.FlowCounts
	// SentHosts, SentFlows and SentTotal are for the next beacon: the hosts of the zone,
	// the flows of this host and those of all hosts.
	SentHosts            *encoder.HostSet
	SentFlows, SentTotal encoder.FlowCounts
}

// peerShare is what another host of the zone has told about its flows and the zone.
type peerShare struct {
	flows   encoder.FlowCounts
	flowsAt cactuspin.Time
	// hosts are the live hosts of the zone, others the flows of all hosts but this one.
	hosts   *encoder.HostSet
	others  encoder.FlowCounts
	hostsAt cactuspin.Time
}

// record records the content of a beacon. sent are the flows of this host that are
// probably part of the total.
func (x *peerShare) record(now cactuspin.Time, b *encoder.Beacon, sent encoder.FlowCounts) {
	if b.Flows != nil {
		x.flows, x.flowsAt = b.Flows, now
	}
	if b.ZoneHosts != nil {
		x.hosts, x.others, x.hostsAt = b.ZoneHosts, b.TotalFlows.Minus(sent), now
	}
}

// Share returns the place of this host among the live hosts of its zone and the flows of
// the others, given its own flows. The first hosts of the zone add up the flows of all
// and tell the others, which use what the first of them has told lately. mayTell reports
// that the next beacon has room for that.
func (p *Planner) Share(now cactuspin.Time, own encoder.FlowCounts, mayTell bool) (s ZoneShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.zoneAlive(now)
	if p.rank(alive) < hubCount {
		s = p.sumShare(now, alive, own)
	} else {
		s = p.heardShare(now, alive[:hubCount])
	}
	flows := own.Sum() + s.SentTotal.Sum()
	changed := math.Abs(float64(flows-p.sentSum)) > changedShare*float64(flows)
	due := changed || p.lastShare == 0 || now >= p.lastShare.Add(zoneShareInterval)
	if s.Rank.Hosts == 0 || !mayTell || !due {
		s.SentHosts, s.SentTotal = nil, nil
		return s
	}
	p.lastShare, p.sentSum, p.sentFlows = now, flows, own.Fitting()
	s.SentFlows = p.sentFlows
	return s
}

// sumShare adds up what the hosts of the zone have told.
func (p *Planner) sumShare(now cactuspin.Time, alive []netip.Addr, own encoder.FlowCounts) (s ZoneShare) {
	if len(alive)+1 < encoder.MinRankedHosts {
		return s
	}
	s.SentHosts = &encoder.HostSet{}
	s.SentHosts.Add(p.c.Self.Address)
	for _, a := range alive {
		s.SentHosts.Add(a)
		if x := p.peers[a]; now.Sub(x.share.flowsAt) <= zoneShareLifetime {
			s.Others = s.Others.Plus(x.share.flows)
		}
	}
	s.Rank = s.SentHosts.RankOf(p.c.Self.Address)
	s.SentTotal = s.Others.Plus(own).Fitting()
	return s
}

// heardShare returns what the first of the given hosts has told that did so lately.
func (p *Planner) heardShare(now cactuspin.Time, from []netip.Addr) (s ZoneShare) {
	for _, a := range from {
		if x := p.peers[a].share; x.hosts != nil && now.Sub(x.hostsAt) <= zoneShareLifetime {
			return ZoneShare{Rank: x.hosts.RankOf(p.c.Self.Address), Others: x.others}
		}
	}
	return s
}

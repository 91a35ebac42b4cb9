package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/adopter"
)

// Platform handles a bundle or a list from the platform's watches or from a peer.
func (e *Engine) Platform(now cactuspin.Time, p cactuspin.PlatformEvent, out *cactuspin.Actions) {
	e.detectPause(now, out)
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Bundle != nil && !e.deferBundle(now, p.Bundle) {
		e.adopt(now, p.Bundle, out)
	}
	if p.List != nil && p.List.Revision > e.list.Revision {
		e.applyList(now, p.List, out)
	}
}

// startupTimeout is how long a host that has just started waits for the versions
// of the other hosts before it adopts a bundle from the platform, which may
// return an older bundle than theirs.
const startupTimeout = 1500 * time.Millisecond

// deferBundle stores a bundle from the platform as the candidate if the versions
// of the other hosts are not known yet, and reports whether it did. The caller
// holds mu.
func (e *Engine) deferBundle(now cactuspin.Time, s *cactuspin.SignedBundle) bool {
	if e.adopter.Version() > 0 || e.startupDone(now) {
		return false
	}
	if e.candidate == nil || s.Version > e.candidate.Version {
		e.candidate = s
	}
	return true
}

// startupDone reports whether all known hosts have sent a heartbeat and none has
// a newer bundle than the candidate, or startupTimeout has passed.
func (e *Engine) startupDone(now cactuspin.Time) bool {
	if now.Sub(e.cfg.Start) >= startupTimeout {
		return true
	}
	highest, all := e.detector.HighestVersion()
	return all && e.candidate != nil && e.candidate.Version >= highest
}

// tickBundle adopts the candidate once the startup is done. The caller holds mu.
func (e *Engine) tickBundle(now cactuspin.Time, out *cactuspin.Actions) {
	if e.candidate == nil || !e.startupDone(now) {
		return
	}
	s := e.candidate
	e.candidate = nil
	e.adopt(now, s, out)
}

func (e *Engine) adopt(now cactuspin.Time, s *cactuspin.SignedBundle, out *cactuspin.Actions) {
	err := e.adopter.Offer(s)
	if errors.Is(err, adopter.ErrNotNewer) {
		return
	}
	d := cactuspin.Decision{Kind: cactuspin.DecisionBundle, Reason: "bundle in force", Version: s.Version}
	if err != nil {
		d.Reason = "bundle refused: " + err.Error()
		out.LogDecision(d)
		return
	}
	out.LogDecision(d)
	out.Adopted = s
	e.rebuildView(now, out)
	e.resumeIfCurrent(now, out)
}

func (e *Engine) applyList(now cactuspin.Time, l *cactuspin.HostList, out *cactuspin.Actions) {
	e.list = *l
	for _, h := range l.Hosts {
		e.detector.AddPeers(h.ID)
	}
	e.rebuildView(now, out)
	e.resumeIfCurrent(now, out)
}

// SignedBundle returns the bundle in force with its signature, or nil.
func (e *Engine) SignedBundle() *cactuspin.SignedBundle {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adopter.Signed()
}

// HostList returns the latest list from the platform that this host has received.
func (e *Engine) HostList() cactuspin.HostList {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// AddPeers adds the peers that are named in the host's settings.
func (e *Engine) AddPeers(ids ...cactuspin.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.AddPeers(ids...)
}

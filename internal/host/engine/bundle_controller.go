package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/adopter"
)

// Platform takes what the platform's watches or a peer brought.
func (e *Engine) Platform(now cactuspin.Time, p cactuspin.PlatformEvent, out *cactuspin.Actions) {
	e.noticePause(now, out)
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Bundle != nil && !e.keepCandidate(now, p.Bundle) {
		e.adopt(now, p.Bundle, out)
	}
	if p.List != nil && p.List.Revision > e.list.Revision {
		e.takeList(now, p.List, out)
	}
}

// bootLimit is how long a host that just started waits for the others before it
// believes the platform, which may answer with an older bundle than they have.
const bootLimit = 1500 * time.Millisecond

// keepCandidate keeps a bundle of the platform until the other hosts were heard.
// The caller holds mu.
func (e *Engine) keepCandidate(now cactuspin.Time, s *cactuspin.SignedBundle) bool {
	if e.adopter.Version() > 0 || e.booted(now) {
		return false
	}
	if e.candidate == nil || s.Version > e.candidate.Version {
		e.candidate = s
	}
	return true
}

// booted tells whether all known hosts were heard and none has a newer bundle
// than the candidate, or the time for that is over.
func (e *Engine) booted(now cactuspin.Time) bool {
	if now.Sub(e.cfg.Start) >= bootLimit {
		return true
	}
	highest, all := e.prober.Highest()
	return all && e.candidate != nil && e.candidate.Version >= highest
}

// tickBundle brings the candidate into force when it may be believed. The caller
// holds mu.
func (e *Engine) tickBundle(now cactuspin.Time, out *cactuspin.Actions) {
	if e.candidate == nil || !e.booted(now) {
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
	e.renew(now, out)
	e.checkFresh(now, out)
}

func (e *Engine) takeList(now cactuspin.Time, l *cactuspin.HostList, out *cactuspin.Actions) {
	e.list = *l
	for _, h := range l.Hosts {
		e.prober.Learn(h.ID)
	}
	e.renew(now, out)
	e.checkFresh(now, out)
}

// Signed returns the bundle in force as it travels, or nil.
func (e *Engine) Signed() *cactuspin.SignedBundle {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adopter.Signed()
}

// List returns the platform's list as this host knows it.
func (e *Engine) List() cactuspin.HostList {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// Learn tells the host of peers from its settings.
func (e *Engine) Learn(ids ...cactuspin.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prober.Learn(ids...)
}

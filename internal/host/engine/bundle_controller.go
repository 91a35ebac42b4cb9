package engine

import (
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/adopter"
)

// Platform takes what the platform's watches or a peer brought.
func (e *Engine) Platform(now cactuspin.Time, p cactuspin.PlatformEvent, out *cactuspin.Actions) {
	e.noticePause(now, out)
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Bundle != nil {
		e.adopt(now, p.Bundle, out)
	}
	if p.List != nil && p.List.Revision > e.list.Revision {
		e.takeList(now, p.List, out)
	}
}

func (e *Engine) adopt(now cactuspin.Time, s *cactuspin.SignedBundle, out *cactuspin.Actions) {
	err := e.adopter.Offer(s)
	if errors.Is(err, adopter.ErrOld) {
		return
	}
	d := cactuspin.Decision{Kind: cactuspin.DecisionBundle, Reason: "bundle in force", Version: s.Version}
	if err != nil {
		d.Reason = "bundle refused: " + err.Error()
		out.Decide(d)
		return
	}
	out.Decide(d)
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

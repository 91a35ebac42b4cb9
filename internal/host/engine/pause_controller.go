package engine

import (
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Times of a pause.
const (
	// pauseLimit is the time without any event after which this host counts as
	// having been paused: it is ticked far more often.
	pauseLimit = 1 * time.Second
	// freshLimit is how long a host that nobody answers waits before it goes on
	// with what it knows.
	freshLimit = 1 * time.Second
)

// pauseController keeps a host that was paused from placing work by an old
// bundle. What waits in its sockets may be as old as the pause, so it asks its
// peers what they have now.
type pauseController struct {
	suspended atomic.Bool
	// last is the time of the last event, in nanoseconds.
	last  atomic.Int64
	since cactuspin.Time
	nonce uint64
	// version and revision are what a peer has, once one has answered.
	answered bool
	version  cactuspin.BundleVersion
	revision uint64
}

// noticePause suspends new work when no event came for long.
func (e *Engine) noticePause(now cactuspin.Time, out *cactuspin.Actions) {
	last := cactuspin.Time(e.pause.last.Swap(int64(now)))
	if now.Sub(last) < pauseLimit {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.pause
	p.suspended.Store(true)
	p.since = now
	p.answered = false
	p.nonce = e.nextFlow()
	for _, m := range e.View().Members {
		if m.Host != e.cfg.Self {
			out.Peer(m.Host, cactuspin.PeerMessage{Probe: &cactuspin.Probe{Nonce: p.nonce}})
		}
	}
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "this host was paused", Host: e.cfg.Self})
}

func (e *Engine) answerProbe(from cactuspin.HostID, p cactuspin.Probe, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out.Peer(from, cactuspin.PeerMessage{ProbeAnswer: &cactuspin.ProbeAnswer{
		Nonce:    p.Nonce,
		Version:  e.adopter.Version(),
		Revision: e.list.Revision,
	}})
}

func (e *Engine) probeAnswered(now cactuspin.Time, from cactuspin.HostID, a cactuspin.ProbeAnswer, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.pause
	if !p.suspended.Load() || a.Nonce != p.nonce || p.answered {
		return
	}
	p.answered = true
	p.version = a.Version
	p.revision = a.Revision
	want := cactuspin.SyncRequest{Bundle: a.Version > e.adopter.Version(), List: a.Revision > e.list.Revision}
	if want.Bundle || want.List {
		out.Peer(from, cactuspin.PeerMessage{SyncRequest: &want})
	}
	e.checkFresh(now, out)
}

// checkFresh lets work go on when this host has what a peer has. The caller
// holds mu.
func (e *Engine) checkFresh(now cactuspin.Time, out *cactuspin.Actions) {
	p := &e.pause
	if !p.suspended.Load() {
		return
	}
	fresh := p.answered && e.adopter.Version() >= p.version && e.list.Revision >= p.revision
	if !fresh && now.Sub(p.since) < freshLimit {
		return
	}
	p.suspended.Store(false)
	out.LogDecision(cactuspin.Decision{Kind: cactuspin.DecisionHost, Reason: "this host goes on", Host: e.cfg.Self})
}

func (e *Engine) tickPause(now cactuspin.Time, out *cactuspin.Actions) {
	if !e.pause.suspended.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkFresh(now, out)
}

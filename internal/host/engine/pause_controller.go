package engine

import (
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Time limits for the detection and the end of a pause.
const (
	// pauseLimit is the time without any event after which this host counts as
	// having been paused. Normally, ticks come far more often.
	pauseLimit = 1 * time.Second
	// resumeTimeout is how long new work stays suspended if the current state of a
	// peer is not received. The host then resumes with the state that it has.
	resumeTimeout = 1 * time.Second
)

// pauseController prevents a host that was paused from placing work by an
// outdated bundle. Messages in its socket buffers may be as old as the pause, so
// the host asks its peers for their current versions.
type pauseController struct {
	suspended atomic.Bool
	// last is the time of the last event as a cactuspin.Time.
	last        atomic.Int64
	suspendedAt cactuspin.Time
	nonce       uint64
	// version and revision are those of the first peer that answered the probe.
	answered bool
	version  cactuspin.BundleVersion
	revision uint64
}

// detectPause suspends new work and probes the peers if there was no event for
// pauseLimit.
func (e *Engine) detectPause(now cactuspin.Time, out *cactuspin.Actions) {
	last := cactuspin.Time(e.pause.last.Swap(int64(now)))
	if now.Sub(last) < pauseLimit {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.pause
	p.suspended.Store(true)
	p.suspendedAt = now
	p.answered = false
	p.nonce = e.nextRandom()
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

func (e *Engine) handleProbeAnswer(now cactuspin.Time, from cactuspin.HostID, a cactuspin.ProbeAnswer, out *cactuspin.Actions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.pause
	if !p.suspended.Load() || a.Nonce != p.nonce || p.answered {
		return
	}
	p.answered = true
	p.version = a.Version
	p.revision = a.Revision
	request := cactuspin.SyncRequest{Bundle: a.Version > e.adopter.Version(), List: a.Revision > e.list.Revision}
	if request.Bundle || request.List {
		out.Peer(from, cactuspin.PeerMessage{SyncRequest: &request})
	}
	e.resumeIfCurrent(now, out)
}

// resumeIfCurrent resumes new work once this host has the versions that a peer
// reported, or resumeTimeout has passed. The caller holds mu.
func (e *Engine) resumeIfCurrent(now cactuspin.Time, out *cactuspin.Actions) {
	p := &e.pause
	if !p.suspended.Load() {
		return
	}
	current := p.answered && e.adopter.Version() >= p.version && e.list.Revision >= p.revision
	if !current && now.Sub(p.suspendedAt) < resumeTimeout {
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
	e.resumeIfCurrent(now, out)
}

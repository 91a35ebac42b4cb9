package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
)

// Times that decide whether the connection to a target still works.
const (
	pingAfter   = 1 * time.Second
	silentAfter = 2500 * time.Millisecond
	redialAfter = 500 * time.Millisecond
)

// link is the connection to a target.
type link struct {
	connected bool
	heard     cactuspin.Time
	pinged    cactuspin.Time
	dialed    cactuspin.Time
	owned     bool
}

// own takes the targets that this host owns by the current view.
func (d *Dispatcher) own(now cactuspin.Time, rules []cactuspin.TargetRule, out *cactuspin.Actions) {
	current := make(map[cactuspin.Target]bool, len(rules))
	for _, r := range rules {
		current[r.Address] = true
		d.limiter.SetTarget(limiter.Rule{
			Address:     r.Address,
			Slots:       r.Slots,
			Connections: r.Connections,
			Leaving:     r.State == cactuspin.StateLeaving,
		})
		d.noteLeaving(now, r)
		d.connect(now, r.Address, out)
	}
	for _, t := range d.targets() {
		if !current[t] && d.links[t].owned {
			d.links[t].owned = false
			d.limiter.RemoveTarget(t)
			d.decideOwner(t, "owned by another host now", out)
		}
	}
}

// noteLeaving remembers since when a target leaves; its drain limit counts from
// then.
func (d *Dispatcher) noteLeaving(now cactuspin.Time, r cactuspin.TargetRule) {
	if r.State != cactuspin.StateLeaving {
		delete(d.leaving, r.Address)
		return
	}
	if _, ok := d.leaving[r.Address]; !ok {
		d.leaving[r.Address] = now
	}
}

func (d *Dispatcher) connect(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	l, ok := d.links[t]
	if !ok {
		l = &link{}
		d.links[t] = l
		d.dial(now, t, out)
	}
	if !l.owned {
		l.owned = true
		d.decideOwner(t, "owned by this host", out)
	}
	if l.connected {
		d.limiter.TargetConnected(now, t)
	}
}

func (d *Dispatcher) dial(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	d.links[t].dialed = now
	out.Control(t, cactuspin.TargetDial)
}

// Target takes an event from the connection to a target.
func (d *Dispatcher) Target(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	l, ok := d.links[s.Target]
	if !ok {
		return
	}
	switch s.Kind {
	case cactuspin.SignalConnected:
		l.connected = true
		l.heard = now
		l.pinged = now
		d.limiter.TargetConnected(now, s.Target)
	case cactuspin.SignalDisconnected:
		d.lose(now, s.Target, out)
	case cactuspin.SignalPong:
		l.heard = now
	case cactuspin.SignalNotSent:
		d.notSent(now, s, out)
	case cactuspin.SignalAnswer:
		l.heard = now
		d.answered(now, s, out)
	}
	d.pump(now, out)
}

// HasTarget tells whether this dispatcher has a connection to a target or wants one.
func (d *Dispatcher) HasTarget(t cactuspin.Target) bool { return d.links[t] != nil }

func (d *Dispatcher) answered(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	d.endGhost(s.Exchange)
	j, ok := d.exchanges[s.Exchange]
	if !ok {
		d.notified(now, s, out)
		return
	}
	if j.target != s.Target || j.state != jobRunning {
		return
	}
	if s.Code == cactuspin.CodeServiceUnavailable {
		d.release(now, j, limiter.OutcomeShed)
		d.retry(now, j, "target shed the request", out)
		return
	}
	d.release(now, j, limiter.OutcomeAnswered)
	d.remember(now, j, s.Options)
	d.finish(now, j, s.Code, s.Options, s.Payload, out)
}

// notSent takes back a request that did not leave this host.
func (d *Dispatcher) notSent(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	j, ok := d.exchanges[s.Exchange]
	if !ok {
		d.feedNotSent(now, s.Exchange)
		return
	}
	d.release(now, j, limiter.OutcomeAborted)
	d.retry(now, j, "request was not sent", out)
}

// retry places a job that certainly did not run at its last target.
func (d *Dispatcher) retry(now cactuspin.Time, j *job, why string, out *cactuspin.Actions) {
	if now >= j.deadline || j.attempts >= maxAttempts {
		d.refuse(now, j, limiter.Reason(why), out)
		return
	}
	j.avoid = j.target
	d.decide(cactuspin.DecisionRetry, j, why, out)
	d.place(now, j, out)
}

// lose ends the exchanges of a connection. What was sent may have run; only
// idempotent requests are tried again.
func (d *Dispatcher) lose(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	l := d.links[t]
	l.connected = false
	d.limiter.TargetDisconnected(t)
	for x, g := range d.ghosts {
		if g.target == t {
			d.endGhost(x)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.exchanges)) {
		j, ok := d.exchanges[id]
		if !ok || j.state != jobRunning || j.target != t {
			continue
		}
		d.release(now, j, limiter.OutcomeAborted)
		j.mayHaveRun = true
		if j.request.Method.Idempotent() {
			d.retry(now, j, "connection lost", out)
			continue
		}
		d.unknown(now, j, "connection to the target lost", out)
	}
	d.loseFeeds(now, t, out)
}

// tickLinks finds connections that went silent: a new one may well work.
func (d *Dispatcher) tickLinks(now cactuspin.Time, out *cactuspin.Actions) {
	for _, t := range d.targets() {
		l := d.links[t]
		switch {
		case !l.owned && d.limiter.Busy(t) == 0 && d.limiter.Feeds(t) == 0:
			out.Control(t, cactuspin.TargetClose)
			delete(d.links, t)
			delete(d.leaving, t)
		case !l.connected && now.Sub(l.dialed) >= redialAfter:
			d.dial(now, t, out)
		case l.connected && now.Sub(l.heard) >= silentAfter && l.pinged > l.heard:
			out.Control(t, cactuspin.TargetClose)
			d.decideOwner(t, "connection went silent", out)
			d.lose(now, t, out)
			d.dial(now, t, out)
		case l.connected && now.Sub(l.heard) >= pingAfter && now.Sub(l.pinged) >= pingAfter:
			l.pinged = now
			out.Control(t, cactuspin.TargetPing)
		}
	}
}

// fresh tells whether the target was heard from a moment ago.
func (d *Dispatcher) fresh(now cactuspin.Time, t cactuspin.Target) bool {
	l, ok := d.links[t]
	return ok && l.connected && now.Sub(l.heard) < silentAfter
}

func (d *Dispatcher) targets() []cactuspin.Target {
	return slices.SortedFunc(maps.Keys(d.links), cactuspin.Target.Compare)
}

func (d *Dispatcher) decideOwner(t cactuspin.Target, why string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    cactuspin.DecisionOwner,
		Reason:  why,
		Service: d.cfg.Service,
		Target:  t,
		Host:    d.cfg.Self,
	})
}

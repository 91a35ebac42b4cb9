package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
)

// Intervals for pinging a target, for considering its connection unresponsive and
// for reconnecting.
const (
	pingInterval      = 1 * time.Second
	unresponsiveAfter = 2500 * time.Millisecond
	redialInterval    = 500 * time.Millisecond
)

// connection is the connection to a target.
type connection struct {
	connected    bool
	lastReceived cactuspin.Time
	lastPing     cactuspin.Time
	lastDial     cactuspin.Time
	owned        bool
}

// updateOwnedTargets applies the rules of the targets that this host owns in the
// current view.
func (d *Dispatcher) updateOwnedTargets(now cactuspin.Time, rules []cactuspin.TargetRule, out *cactuspin.Actions) {
	current := make(map[cactuspin.Target]bool, len(rules))
	for _, r := range rules {
		current[r.Address] = true
		d.limiter.SetTarget(limiter.Rule{
			Address:     r.Address,
			Slots:       r.Slots,
			Connections: r.Connections,
			Leaving:     r.State == cactuspin.StateLeaving,
		})
		d.trackLeaving(now, r)
		d.connect(now, r.Address, out)
	}
	for _, t := range d.sortedTargets() {
		if !current[t] && d.connections[t].owned {
			d.connections[t].owned = false
			d.limiter.RemoveTarget(t)
			d.logOwnerDecision(t, "owned by another host now", out)
		}
	}
}

// trackLeaving stores when a target began to leave; its drain limit counts from then.
func (d *Dispatcher) trackLeaving(now cactuspin.Time, r cactuspin.TargetRule) {
	if r.State != cactuspin.StateLeaving {
		delete(d.leavingSince, r.Address)
		return
	}
	if _, ok := d.leavingSince[r.Address]; !ok {
		d.leavingSince[r.Address] = now
	}
}

func (d *Dispatcher) connect(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	c, ok := d.connections[t]
	if !ok {
		c = &connection{}
		d.connections[t] = c
		d.dial(now, t, out)
	}
	if !c.owned {
		c.owned = true
		d.logOwnerDecision(t, "owned by this host", out)
	}
	if c.connected {
		d.limiter.TargetConnected(now, t)
	}
}

func (d *Dispatcher) dial(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	d.connections[t].lastDial = now
	out.Control(t, cactuspin.TargetDial)
}

// Target handles an event from the connection to a target.
func (d *Dispatcher) Target(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	c, ok := d.connections[s.Target]
	if !ok {
		return
	}
	switch s.Kind {
	case cactuspin.SignalConnected:
		c.connected = true
		c.lastReceived = now
		c.lastPing = now
		d.limiter.TargetConnected(now, s.Target)
	case cactuspin.SignalDisconnected:
		d.handleDisconnect(now, s.Target, out)
	case cactuspin.SignalPong:
		c.lastReceived = now
	case cactuspin.SignalNotSent:
		d.handleNotSent(now, s, out)
	case cactuspin.SignalAnswer:
		c.lastReceived = now
		d.handleAnswer(now, s, out)
	}
	d.dispatchQueued(now, out)
}

// HasTarget reports whether this dispatcher has a connection to a target or is
// opening one.
func (d *Dispatcher) HasTarget(t cactuspin.Target) bool { return d.connections[t] != nil }

func (d *Dispatcher) handleAnswer(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	d.releaseAbandoned(s.Exchange)
	j, ok := d.exchanges[s.Exchange]
	if !ok {
		d.handleNotification(now, s, out)
		return
	}
	if j.target != s.Target || j.state != jobRunning {
		return
	}
	if s.Code == cactuspin.CodeServiceUnavailable {
		d.endAttempt(now, j, limiter.OutcomeShed)
		d.retry(now, j, "target shed the request", out)
		return
	}
	d.endAttempt(now, j, limiter.OutcomeAnswered)
	d.setAffinity(now, j, s.Options)
	d.finish(now, j, s.Code, s.Options, s.Payload, out)
}

// handleNotSent handles a message to a target that was certainly not sent.
func (d *Dispatcher) handleNotSent(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	j, ok := d.exchanges[s.Exchange]
	if !ok {
		d.handleRegistrationNotSent(now, s.Exchange)
		return
	}
	d.endAttempt(now, j, limiter.OutcomeAborted)
	d.retry(now, j, "request was not sent", out)
}

// retry places a job again that did not run at its last target or is idempotent.
func (d *Dispatcher) retry(now cactuspin.Time, j *job, reason string, out *cactuspin.Actions) {
	if now >= j.deadline || j.attempts >= maxAttempts {
		d.refuse(now, j, limiter.Reason(reason), out)
		return
	}
	j.avoid = j.target
	d.logDecision(cactuspin.DecisionRetry, j, reason, out)
	d.place(now, j, out)
}

// handleDisconnect ends the exchanges of a connection. Requests that were sent may
// have run, so only idempotent ones are retried.
func (d *Dispatcher) handleDisconnect(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	c := d.connections[t]
	c.connected = false
	d.limiter.TargetDisconnected(t)
	for x, a := range d.abandoned {
		if a.target == t {
			d.releaseAbandoned(x)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.exchanges)) {
		j, ok := d.exchanges[id]
		if !ok || j.state != jobRunning || j.target != t {
			continue
		}
		d.endAttempt(now, j, limiter.OutcomeAborted)
		j.mayHaveRun = true
		if j.request.Method.Idempotent() {
			d.retry(now, j, "connection lost", out)
			continue
		}
		d.endUnknown(now, j, "connection to the target lost", out)
	}
	d.reregisterFeeds(now, t, out)
}

// tickConnections closes connections that are no longer needed, reconnects, pings
// idle targets and replaces unresponsive connections, because a new one may work.
func (d *Dispatcher) tickConnections(now cactuspin.Time, out *cactuspin.Actions) {
	for _, t := range d.sortedTargets() {
		c := d.connections[t]
		switch {
		case !c.owned && d.limiter.Busy(t) == 0 && d.limiter.Feeds(t) == 0:
			out.Control(t, cactuspin.TargetClose)
			delete(d.connections, t)
			delete(d.leavingSince, t)
		case !c.connected && now.Sub(c.lastDial) >= redialInterval:
			d.dial(now, t, out)
		case c.connected && now.Sub(c.lastReceived) >= unresponsiveAfter && c.lastPing > c.lastReceived:
			out.Control(t, cactuspin.TargetClose)
			d.logOwnerDecision(t, "connection went silent", out)
			d.handleDisconnect(now, t, out)
			d.dial(now, t, out)
		case c.connected && now.Sub(c.lastReceived) >= pingInterval && now.Sub(c.lastPing) >= pingInterval:
			c.lastPing = now
			out.Control(t, cactuspin.TargetPing)
		}
	}
}

// responsive reports whether the target sent something recently.
func (d *Dispatcher) responsive(now cactuspin.Time, t cactuspin.Target) bool {
	c, ok := d.connections[t]
	return ok && c.connected && now.Sub(c.lastReceived) < unresponsiveAfter
}

func (d *Dispatcher) sortedTargets() []cactuspin.Target {
	return slices.SortedFunc(maps.Keys(d.connections), cactuspin.Target.Compare)
}

func (d *Dispatcher) logOwnerDecision(t cactuspin.Target, reason string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    cactuspin.DecisionOwner,
		Reason:  reason,
		Service: d.cfg.Service,
		Target:  t,
		Host:    d.cfg.Self,
	})
}

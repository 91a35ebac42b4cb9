// Package examiner decides from connection attempts whether a target is alive. The
// driver opens the connections and looks at their state at regular intervals; the
// examiner says which to open and to close, and what they show.
//
// A host with little processor time sends, receives and looks late. Therefore the
// silence of a target is not measured by the clock, but by the looks that found a
// connection unanswered: time in which the host did not look counts for little.
package examiner

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

const (
	// LookInterval is the interval at which Step has to be called while Busy.
	LookInterval = 25 * time.Millisecond
	// maxCredit is how much of the time between two looks counts as silence. The
	// rest is time in which this host did not run.
	maxCredit = 2 * LookInterval
	// firstSilence and secondSilence are how long the two attempts of an examination
	// must stay unanswered. They are many times the round-trip time between zones,
	// which is about 10 ms.
	firstSilence, secondSilence = 250 * time.Millisecond, 150 * time.Millisecond
	// secondAttemptAfter is the silence after which the second attempt is made. It is
	// needed because one lost packet delays the first attempt for a second.
	secondAttemptAfter = 60 * time.Millisecond
	// maxExaminations limits the examinations in progress. With more, a host with 6 %
	// of a core would be late because of them.
	maxExaminations = 8
	// maxDuration limits an examination. One that takes longer shows that this host
	// hardly runs.
	maxDuration = 2 * time.Second
)

// AttemptID identifies a connection attempt.
type AttemptID uint64

// AttemptState is what a look at a connection attempt shows.
type AttemptState uint8

// The states of an attempt.
const (
	// AttemptPending has had no answer.
	AttemptPending AttemptState = iota
	// AttemptConnected was accepted.
	AttemptConnected
	// AttemptRefused was answered with a reset.
	AttemptRefused
	// AttemptFailed failed for another reason, which shows nothing about the target.
	AttemptFailed
)

// Look is the state of an attempt at the time of a step.
type Look struct {
	ID    AttemptID
	State AttemptState
}

// Connect asks the driver to open a connection.
type Connect struct {
	ID      AttemptID
	Address netip.AddrPort
}

// Result is the end of an examination.
type Result struct {
	Probe   balancer.Probe
	Began   cactuspin.Time
	Finding balancer.Finding
}

// Actions collects what a step decided. Closed attempts are not looked at again.
type Actions struct {
	Connects []Connect
	Closes   []AttemptID
	Results  []Result
}

// attempt is a connection attempt of an examination.
type attempt struct {
	id AttemptID
	// looked reports that there was a look at the attempt, silence is the time for
	// which looks found it pending.
	looked  bool
	silence time.Duration
}

// examination is a sequence of connection attempts to one target.
type examination struct {
	probe    balancer.Probe
	began    cactuspin.Time
	attempts []attempt
}

// Examiner runs examinations. It is used by one goroutine.
type Examiner struct {
	waiting []balancer.Probe
	running []*examination
	lastID  AttemptID
	// lastStep is the time of the last step.
	lastStep cactuspin.Time
}

// New returns an Examiner without examinations.
func New() *Examiner { return &Examiner{} }

// Add requests the examination of a target, unless one is waiting or in progress.
func (x *Examiner) Add(p balancer.Probe) {
	known := slices.ContainsFunc(x.waiting, func(w balancer.Probe) bool { return w.Target == p.Target }) ||
		slices.ContainsFunc(x.running, func(e *examination) bool { return e.probe.Target == p.Target })
	if !known {
		x.waiting = append(x.waiting, p)
	}
}

// Busy reports whether Step has to be called.
func (x *Examiner) Busy() bool { return len(x.waiting)+len(x.running) > 0 }

// Step takes the looks at all open attempts and decides what to do next.
func (x *Examiner) Step(now cactuspin.Time, looks []Look) (out Actions) {
	credit := min(maxCredit, now.Sub(x.lastStep))
	x.lastStep = now
	states := make(map[AttemptID]AttemptState, len(looks))
	for _, l := range looks {
		states[l.ID] = l.State
	}
	x.running = slices.DeleteFunc(x.running, func(e *examination) bool { return x.advance(now, e, states, credit, &out) })
	n := min(len(x.waiting), maxExaminations-len(x.running))
	for _, p := range x.waiting[:n] {
		e := &examination{probe: p, began: now}
		x.attempt(e, &out)
		x.running = append(x.running, e)
	}
	x.waiting = slices.Delete(x.waiting, 0, n)
	return out
}

// advance evaluates the looks at an examination's attempts and reports whether the
// examination has ended.
func (x *Examiner) advance(now cactuspin.Time, e *examination, states map[AttemptID]AttemptState, credit time.Duration, out *Actions) bool {
	finding, ended := e.evaluate(states, credit)
	if !ended && now.Sub(e.began) > maxDuration {
		finding, ended = balancer.FindingNone, true
	}
	if !ended {
		if len(e.attempts) == 1 && e.attempts[0].silence >= secondAttemptAfter {
			x.attempt(e, out)
		}
		return false
	}
	for _, a := range e.attempts {
		out.Closes = append(out.Closes, a.id)
	}
	out.Results = append(out.Results, Result{Probe: e.probe, Began: e.began, Finding: finding})
	return true
}

// attempt makes a further attempt of an examination.
func (x *Examiner) attempt(e *examination, out *Actions) {
	x.lastID++
	e.attempts = append(e.attempts, attempt{id: x.lastID})
	out.Connects = append(out.Connects, Connect{ID: x.lastID, Address: e.probe.Address})
}

// evaluate returns what the looks show, and whether that ends the examination.
func (e *examination) evaluate(states map[AttemptID]AttemptState, credit time.Duration) (f balancer.Finding, ended bool) {
	for i := range e.attempts {
		a := &e.attempts[i]
		state, looked := states[a.id]
		if !looked {
			continue
		}
		switch state {
		case AttemptConnected:
			return balancer.FindingAlive, true
		case AttemptRefused:
			return balancer.FindingRefused, true
		case AttemptFailed:
			return balancer.FindingNone, true
		case AttemptPending:
			// The time before the first look is left out, since the connection may
			// have been opened at any time in it.
			if a.looked {
				a.silence += credit
			}
			a.looked = true
		}
	}
	silent := len(e.attempts) == 2 && e.attempts[0].silence >= firstSilence && e.attempts[1].silence >= secondSilence
	return balancer.FindingSilent, silent
}

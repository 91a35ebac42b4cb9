package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Time limits that the system guarantees to its users.
const (
	// InForceWithin is the longest time until an accepted bundle is in force on every
	// reachable host.
	InForceWithin = 5 * time.Second
	// NoWorkAfter is the longest time until a leaving target gets no new work.
	NoWorkAfter = 3 * time.Second
)

// Oracle records what the targets actually ran and checks the guarantees against it.
type Oracle struct {
	// Violations lists the guarantees that were violated.
	Violations []string

	e            *Emulator
	targets      []*Target
	exchanges    map[string]*Exchange
	allExchanges []*Exchange
	runs         map[string]int
	feeds        []*Feed
	addresses    map[string]netip.AddrPort
	leavingSince map[cactuspin.Target]cactuspin.Time
	// leavingByList holds targets that are marked as leaving only on the platform's list.
	leavingByList  map[cactuspin.Target]bool
	acceptedAt     map[cactuspin.BundleVersion]cactuspin.Time
	highestVersion map[cactuspin.HostID]cactuspin.BundleVersion
	// degradedUntil is when the last period of degraded network ends.
	degradedUntil cactuspin.Time
}

func newOracle(e *Emulator) *Oracle {
	return &Oracle{
		e:              e,
		exchanges:      make(map[string]*Exchange),
		runs:           make(map[string]int),
		addresses:      make(map[string]netip.AddrPort),
		leavingSince:   make(map[cactuspin.Target]cactuspin.Time),
		leavingByList:  make(map[cactuspin.Target]bool),
		acceptedAt:     make(map[cactuspin.BundleVersion]cactuspin.Time),
		highestVersion: make(map[cactuspin.HostID]cactuspin.BundleVersion),
	}
}

// Fail records a violated guarantee.
func (o *Oracle) Fail(format string, args ...any) {
	at := o.e.now.Sub(Start)
	o.Violations = append(o.Violations, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, args...))
}

func (o *Oracle) newExchange(c *Caller, kind string, done func(*Exchange)) *Exchange {
	x := &Exchange{
		ID: fmt.Sprintf("%s-%d", c.name, len(o.allExchanges)), e: o.e, kind: kind, done: done,
		service: c.service, caller: c.address, FirstSent: o.e.now,
	}
	o.exchanges[x.ID] = x
	o.allExchanges = append(o.allExchanges, x)
	return x
}

// recordRun records that a target runs a request.
func (o *Oracle) recordRun(t *Target, s cactuspin.TargetSend) {
	id := string(s.Payload)
	if s.Method != cactuspin.MethodPost {
		id = s.Path[strings.LastIndex(s.Path, "/")+1:]
	}
	o.runs[id]++
	x := o.exchanges[id]
	if x == nil {
		o.Fail("target %s ran unknown request %q", t.Address, id)
		return
	}
	if !strings.HasPrefix(id, t.Service+"-") {
		o.Fail("target %s of %s ran %s", t.Address, t.Service, id)
	}
	if s.Method == cactuspin.MethodPost && o.runs[id] > 1 {
		o.Fail("%s ran %d times", id, o.runs[id])
	}
	if x.Outcome == OutcomeNotRun {
		o.Fail("%s ran after its caller was told that it did not", id)
	}
	o.checkLeaving(t, "request "+id)
}

// recordRegistration records a new observation at a target.
func (o *Oracle) recordRegistration(t *Target, _ cactuspin.TargetSend) {
	o.checkLeaving(t, "an observation")
}

// checkLeaving checks that a leaving target gets no work after NoWorkAfter. The time
// counts from when the hosts could learn that the target leaves: while the platform
// is down, they can't learn what only the platform's list says.
func (o *Oracle) checkLeaving(t *Target, work string) {
	at, ok := o.leavingSince[t.Address]
	if o.leavingByList[t.Address] {
		if o.e.Platform.Down {
			return
		}
		at = max(at, o.e.Platform.upAt)
	}
	if ok && o.e.now.Sub(at) > NoWorkAfter {
		o.Fail("leaving target %s got %s after %s", t.Address, work, o.e.now.Sub(at))
	}
}

func (o *Oracle) recordAccepted(v cactuspin.BundleVersion) { o.acceptedAt[v] = o.e.now }

// MarkLeaving records that a bundle marks a target as leaving.
func (o *Oracle) MarkLeaving(t cactuspin.Target) {
	o.leavingSince[t] = o.e.now
	delete(o.leavingByList, t)
}

// checkVersion checks that a host never returns to an older bundle. A restarted host
// starts without a bundle, which does not count as an older one.
func (o *Oracle) checkVersion(h *Host) {
	v := h.Engine.View().Version
	if v == h.version {
		return
	}
	if v < h.version || (v > 0 && v < o.highestVersion[h.ID]) {
		o.Fail("host %s went from bundle %d to %d", h.ID, max(h.version, o.highestVersion[h.ID]), v)
	}
	h.version = v
	o.highestVersion[h.ID] = max(o.highestVersion[h.ID], v)
	h.InForceSince[v] = o.e.now
}

// CheckInForce checks that the last accepted bundle is in force on the given hosts.
func (o *Oracle) CheckInForce(hs ...*Host) {
	want := o.e.Platform.Accepted()
	for _, h := range hs {
		if !h.Alive || h.frozen {
			continue
		}
		if v := h.Engine.View().Version; v != want.Version {
			o.Fail("host %s has bundle %d in force, %d was accepted", h.ID, v, want.Version)
		}
	}
}

// CheckOutcomes checks the outcomes of all requests against the runs at the targets.
// It is called at the end of a run.
func (o *Oracle) CheckOutcomes() {
	for _, x := range o.allExchanges {
		n := o.runs[x.ID]
		switch {
		case x.Outcome == OutcomeCorrupt:
			o.Fail("%s got an answer that is not its own", x.ID)
		case x.Outcome == OutcomeNotRun && n > 0:
			o.Fail("%s was told not run and ran", x.ID)
		case x.Outcome == OutcomeWhole && n == 0:
			o.Fail("%s got an answer and ran nowhere", x.ID)
		}
	}
}

// CheckFeedsLive checks that every feed is live and that no gap between its
// notifications was longer than longest.
func (o *Oracle) CheckFeedsLive(longest time.Duration) {
	for _, f := range o.feeds {
		if f.closed {
			continue
		}
		if gap := max(f.Gap(), f.LongestGap); !f.Live || gap > longest {
			o.Fail("feed %s from %s was silent for %s", f.path, f.address, gap)
		}
	}
}

// CheckNoFeedRestarts checks that no caller had to register its feed again.
func (o *Oracle) CheckNoFeedRestarts() {
	for _, f := range o.feeds {
		if f.Restarts > 0 {
			o.Fail("feed %s was set up again %d times", f.path, f.Restarts)
		}
	}
}

// CheckFeedStates checks that the last state that every open feed has received is
// the given one.
func (o *Oracle) CheckFeedStates(state int) {
	for _, f := range o.feeds {
		if want := fmt.Sprintf("%s state %d", f.name, state); !f.closed && f.State != want {
			o.Fail("feed %s has %q, the last state is %q", f.path, f.State, want)
		}
	}
}

// CheckAllWhole checks that every request of a kind got its complete answer.
func (o *Oracle) CheckAllWhole(kind string) {
	for _, x := range o.allExchanges {
		if x.kind == kind && x.Outcome != OutcomeWhole {
			o.Fail("%s was told %d", x.ID, x.Outcome)
		}
	}
}

// AcceptedAt returns when the platform accepted a bundle.
func (o *Oracle) AcceptedAt(v cactuspin.BundleVersion) cactuspin.Time { return o.acceptedAt[v] }

// CheckOneAccepted checks that the platform accepted at most one bundle of a version.
func (o *Oracle) CheckOneAccepted(v cactuspin.BundleVersion) {
	n := 0
	for _, b := range o.e.Platform.bundles {
		if b.Version == v {
			n++
		}
	}
	if n > 1 {
		o.Fail("%d bundles of version %d were accepted", n, v)
	}
}

// CountOutcomes returns the number of requests of a kind by outcome.
func (o *Oracle) CountOutcomes(kind string) map[Outcome]int {
	n := make(map[Outcome]int)
	for _, x := range o.allExchanges {
		if x.kind == kind {
			n[x.Outcome]++
		}
	}
	return n
}

// Exchanges returns all requests so far, in the order in which they were sent.
func (o *Oracle) Exchanges() []*Exchange { return o.allExchanges }

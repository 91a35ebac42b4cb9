package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Bounds from the users' promises.
const (
	// InForceWithin is how soon an accepted bundle is in force on every host that
	// can be reached.
	InForceWithin = 5 * time.Second
	// NoWorkAfter is how soon a leaving target gets no new work.
	NoWorkAfter = 3 * time.Second
)

// Oracle sees what targets really ran and judges every promise.
type Oracle struct {
	// Violations lists the broken promises.
	Violations []string

	e         *Emulator
	order     []*Target
	exchanges map[string]*Exchange
	list      []*Exchange
	runs      map[string]int
	feeds     []*Feed
	addresses map[string]netip.AddrPort
	left      map[cactuspin.Target]cactuspin.Time
	// listed are targets that leave by the platform's list alone.
	listed   map[cactuspin.Target]bool
	acceptAt map[cactuspin.BundleVersion]cactuspin.Time
	highest  map[cactuspin.HostID]cactuspin.BundleVersion
	// excusedUntil is the end of the bad weather.
	excusedUntil cactuspin.Time
}

func newOracle(e *Emulator) *Oracle {
	return &Oracle{
		e:         e,
		exchanges: make(map[string]*Exchange),
		runs:      make(map[string]int),
		addresses: make(map[string]netip.AddrPort),
		left:      make(map[cactuspin.Target]cactuspin.Time),
		listed:    make(map[cactuspin.Target]bool),
		acceptAt:  make(map[cactuspin.BundleVersion]cactuspin.Time),
		highest:   make(map[cactuspin.HostID]cactuspin.BundleVersion),
	}
}

// Fail notes a broken promise.
func (o *Oracle) Fail(format string, args ...any) {
	at := o.e.now.Sub(Start)
	o.Violations = append(o.Violations, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, args...))
}

func (o *Oracle) newExchange(c *Caller, kind string, done func(*Exchange)) *Exchange {
	x := &Exchange{
		ID: fmt.Sprintf("%s-%d", c.name, len(o.list)), e: o.e, kind: kind, done: done,
		service: c.service, caller: c.address, FirstSent: o.e.now,
	}
	o.exchanges[x.ID] = x
	o.list = append(o.list, x)
	return x
}

// ran notes that a target runs a request.
func (o *Oracle) ran(t *Target, s cactuspin.TargetSend) {
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
	o.checkLeft(t, "request "+id)
}

// registered notes a new observation at a target.
func (o *Oracle) registered(t *Target, _ cactuspin.TargetSend) { o.checkLeft(t, "an observation") }

// checkLeft counts from when the hosts could learn that the target leaves: what
// only the platform knows can't be learned while it is down.
func (o *Oracle) checkLeft(t *Target, what string) {
	at, ok := o.left[t.Address]
	if o.listed[t.Address] {
		if o.e.Platform.Down {
			return
		}
		at = max(at, o.e.Platform.upAt)
	}
	if ok && o.e.now.Sub(at) > NoWorkAfter {
		o.Fail("leaving target %s got %s after %s", t.Address, what, o.e.now.Sub(at))
	}
}

func (o *Oracle) accepted(v cactuspin.BundleVersion) { o.acceptAt[v] = o.e.now }

// MarkLeaving tells the oracle that a target leaves by a bundle.
func (o *Oracle) MarkLeaving(t cactuspin.Target) {
	o.left[t] = o.e.now
	delete(o.listed, t)
}

// checkVersion sees that a host never goes back to an older bundle. A restarted
// host has none at first, which is not an older one.
func (o *Oracle) checkVersion(h *Host) {
	v := h.Engine.View().Version
	if v == h.version {
		return
	}
	if v < h.version || (v > 0 && v < o.highest[h.ID]) {
		o.Fail("host %s went from bundle %d to %d", h.ID, max(h.version, o.highest[h.ID]), v)
	}
	h.version = v
	o.highest[h.ID] = max(o.highest[h.ID], v)
	h.InForceSince[v] = o.e.now
}

// CheckInForce checks that the last accepted bundle is in force on the hosts.
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

// CheckOutcomes judges all requests when a run has ended.
func (o *Oracle) CheckOutcomes() {
	for _, x := range o.list {
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

// CheckFeedsLive checks that every feed is live and was never silent for longer.
func (o *Oracle) CheckFeedsLive(longest time.Duration) {
	for _, f := range o.feeds {
		if f.closed {
			continue
		}
		if silent := max(f.Gap(), f.LongestGap); !f.Live || silent > longest {
			o.Fail("feed %s from %s was silent for %s", f.path, f.address, silent)
		}
	}
}

// CheckNoFeedRestarts checks that no caller had to set up its feed again.
func (o *Oracle) CheckNoFeedRestarts() {
	for _, f := range o.feeds {
		if f.Restarts > 0 {
			o.Fail("feed %s was set up again %d times", f.path, f.Restarts)
		}
	}
}

// CheckFeedStates checks that every feed has seen a state.
func (o *Oracle) CheckFeedStates(state int) {
	for _, f := range o.feeds {
		if want := fmt.Sprintf("%s state %d", f.name, state); !f.closed && f.State != want {
			o.Fail("feed %s has %q, the last state is %q", f.path, f.State, want)
		}
	}
}

// CheckAllWhole checks that every request of a kind got its whole answer.
func (o *Oracle) CheckAllWhole(kind string) {
	for _, x := range o.list {
		if x.kind == kind && x.Outcome != OutcomeWhole {
			o.Fail("%s was told %d", x.ID, x.Outcome)
		}
	}
}

// AcceptedAt returns when a bundle was accepted.
func (o *Oracle) AcceptedAt(v cactuspin.BundleVersion) cactuspin.Time { return o.acceptAt[v] }

// CheckOneAccepted checks that the platform holds exactly one bundle of a version.
func (o *Oracle) CheckOneAccepted(v cactuspin.BundleVersion) {
	n := 0
	for _, b := range o.e.Platform.values {
		if b.Version == v {
			n++
		}
	}
	if n > 1 {
		o.Fail("%d bundles of version %d were accepted", n, v)
	}
}

// CountOutcomes returns how many requests of a kind had each end.
func (o *Oracle) CountOutcomes(kind string) map[Outcome]int {
	n := make(map[Outcome]int)
	for _, x := range o.list {
		if x.kind == kind {
			n[x.Outcome]++
		}
	}
	return n
}

// Exchanges returns all requests so far.
func (o *Oracle) Exchanges() []*Exchange { return o.list }

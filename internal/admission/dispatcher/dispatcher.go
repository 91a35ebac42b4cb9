// Package dispatcher runs one service on one host. It judges requests under the
// host's authority, places them at the targets that the host owns, passes on
// what it cannot take, keeps observations and answers callers. It is pure: it
// takes events with the time and adds actions.
package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// MaxDeadline bounds the deadline that a caller can ask for.
const MaxDeadline = 60 * time.Second

// Config configures a Dispatcher.
type Config struct {
	Self        cactuspin.HostID
	Incarnation cactuspin.Incarnation
	Service     cactuspin.ServiceID
	// Mint seals a fresh cookie for a caller of the service.
	Mint func(now cactuspin.Time, caller cactuspin.Request, s cactuspin.ServiceID) []byte
	// Free returns how many requests another host could take, by its last heartbeat.
	Free func(h cactuspin.HostID, s cactuspin.ServiceID) int
	// Home returns the host that a flow belongs to.
	Home func(s *placer.ServiceView, flow uint64) (h cactuspin.HostID, ok bool)
	// Suspended tells that the host was paused and may not know the newest bundle:
	// it begins nothing at its targets.
	Suspended func() bool
	// NextExchange draws a number that this incarnation has not used.
	NextExchange func() cactuspin.ExchangeID
	// Records configures the records of each authority.
	Records recorder.Config
	// RetryAfter is told to a caller that was refused while no bundle is in force.
	RetryAfter time.Duration
}

// Dispatcher holds the state of one service on one host. It is not safe for
// concurrent use.
type Dispatcher struct {
	cfg     Config
	view    *placer.View
	service cactuspin.Service
	limiter *limiter.Limiter

	// authorities holds the records by incarnation: this host's own and those
	// that it has taken over.
	authorities map[cactuspin.Incarnation]*recorder.Recorder
	// handedOver holds the records of authorities that another host has now.
	handedOver map[*recorder.Recorder]cactuspin.Incarnation
	heir       cactuspin.HostID
	// executions holds the requests that other hosts passed on to this one.
	executions *recorder.Recorder

	nextJob limiter.JobID
	jobs    map[limiter.JobID]*job
	// exchanges leads from an exchange to its job.
	exchanges map[cactuspin.ExchangeID]*job
	// running holds the requests without a cookie that are under way.
	running map[uint64]*job
	budget  retryBudget
	ghosts  map[cactuspin.ExchangeID]ghost

	feeds feedTable
	links map[cactuspin.Target]*link
	// leaving holds since when targets leave.
	leaving map[cactuspin.Target]cactuspin.Time
	// prefer remembers where the first block of an answer came from.
	prefer map[uint64]preference

	retryAfter time.Duration
}

// New returns a Dispatcher that refuses all work until Configure.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		cfg:         c,
		limiter:     limiter.New(limiter.Config{}),
		authorities: make(map[cactuspin.Incarnation]*recorder.Recorder),
		handedOver:  make(map[*recorder.Recorder]cactuspin.Incarnation),
		executions:  recorder.New(c.Records),
		jobs:        make(map[limiter.JobID]*job),
		exchanges:   make(map[cactuspin.ExchangeID]*job),
		ghosts:      make(map[cactuspin.ExchangeID]ghost),
		running:     make(map[uint64]*job),
		feeds:       newFeedTable(),
		links:       make(map[cactuspin.Target]*link),
		leaving:     make(map[cactuspin.Target]cactuspin.Time),
		prefer:      make(map[uint64]preference),
		retryAfter:  c.RetryAfter,
	}
	d.authorities[c.Incarnation] = recorder.New(c.Records)
	return d
}

// Configure takes a new view of hosts and bundle.
func (d *Dispatcher) Configure(now cactuspin.Time, v *placer.View, retryAfter time.Duration, out *cactuspin.Actions) {
	d.view = v
	if retryAfter > 0 {
		d.retryAfter = retryAfter
	}
	sv := v.Service(d.cfg.Service)
	if sv == nil {
		sv = &placer.ServiceView{}
	}
	d.service = sv.Service
	for _, j := range d.limiter.Configure(limiterConfig(&d.service)) {
		d.refuse(now, d.jobs[j.ID], limiter.ReasonNoTarget, out)
	}
	d.own(now, sv.OwnedTargets, out)
	d.pump(now, out)
}

// Tick lets time pass.
func (d *Dispatcher) Tick(now cactuspin.Time, out *cactuspin.Actions) {
	d.tickLinks(now, out)
	d.tickJobs(now, out)
	d.tickFeeds(now, out)
	for _, r := range d.authorities {
		r.Expire(now)
	}
	d.executions.Expire(now)
	d.pump(now, out)
}

// Free returns how many more requests this host could dispatch now.
func (d *Dispatcher) Free(now cactuspin.Time) int { return d.limiter.Free(now) }

// UsableTargets returns the number of this host's targets that take new work.
func (d *Dispatcher) UsableTargets() int { return d.limiter.UsableTargets() }

// Idle tells whether no request is under way.
func (d *Dispatcher) Idle() bool { return len(d.jobs) == 0 }

// Feeds returns the number of observations that this host holds.
func (d *Dispatcher) Feeds() int { return len(d.feeds.byKey) }

// Records returns the number of requests that this host remembers.
func (d *Dispatcher) Records() (n int) {
	for _, r := range d.authorities {
		n += r.Len()
	}
	return n
}

func limiterConfig(s *cactuspin.Service) (c limiter.Config) {
	c.Ramp = s.Ramp
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, limiter.Kind{Name: k.Name, Importance: k.Importance, Share: k.Share, Queue: k.Queue})
	}
	return c
}

// decide adds a log line about a job.
func (d *Dispatcher) decide(k cactuspin.DecisionKind, j *job, why string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    k,
		Reason:  why,
		Service: d.cfg.Service,
		Caller:  j.request.Caller,
		Token:   j.request.Token,
		Target:  j.target,
		Host:    j.passedTo,
	})
}

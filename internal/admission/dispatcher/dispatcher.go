// Package dispatcher processes the requests of one service on one host. It records
// requests under the host's authority, dispatches them to the targets that the host
// owns, delegates requests without a free slot to other hosts, maintains observations
// and answers callers. It performs no I/O: it processes events with the current time
// and adds the resulting actions.
package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// MaxDeadline is the longest deadline that a caller can request.
const MaxDeadline = 60 * time.Second

// Config configures a Dispatcher.
type Config struct {
	Self        cactuspin.HostID
	Incarnation cactuspin.Incarnation
	Service     cactuspin.ServiceID
	// NewCookie returns a new sealed cookie for a caller of the service.
	NewCookie func(now cactuspin.Time, caller cactuspin.Request, s cactuspin.ServiceID) []byte
	// Free returns the number of free slots of another host for a service, as
	// reported in its latest heartbeat.
	Free func(h cactuspin.HostID, s cactuspin.ServiceID) int
	// HostForFlow returns the host that a flow is assigned to.
	HostForFlow func(s *placer.ServiceView, flow uint64) (h cactuspin.HostID, ok bool)
	// Suspended reports whether this host was paused and may not have the newest
	// bundle. While it does, no new exchange with a target is started.
	Suspended func() bool
	// NextExchange returns an exchange ID that this incarnation has not used before.
	NextExchange func() cactuspin.ExchangeID
	// Records configures the recorder of each authority.
	Records recorder.Config
	// RetryAfter is the retry delay that refusals state while no bundle is
	// in force.
	RetryAfter time.Duration
}

// Dispatcher holds the state of one service on one host. It is not safe for
// concurrent use.
type Dispatcher struct {
	cfg     Config
	view    *placer.View
	service cactuspin.Service
	limiter *limiter.Limiter

	// authorities holds the recorders by incarnation: this host's own and those of
	// the authorities that it has taken over.
	authorities map[cactuspin.Incarnation]*recorder.Recorder
	// handedOver holds the recorders of authorities that were handed over to the
	// successor.
	handedOver map[*recorder.Recorder]cactuspin.Incarnation
	successor  cactuspin.HostID
	// executions records the requests that other hosts delegated to this one.
	executions *recorder.Recorder

	nextJob limiter.JobID
	jobs    map[limiter.JobID]*job
	// exchanges maps an exchange to its job.
	exchanges map[cactuspin.ExchangeID]*job
	// unrecorded holds the running requests without a record by their key.
	unrecorded map[uint64]*job
	budget     retryBudget
	abandoned  map[cactuspin.ExchangeID]abandonedExchange

	feeds       feedTable
	connections map[cactuspin.Target]*connection
	// leavingSince holds when each leaving target began to leave.
	leavingSince map[cactuspin.Target]cactuspin.Time
	// affinities maps a block-wise answer to the target that sent its earlier blocks.
	affinities map[uint64]affinity

	retryAfter time.Duration
}

// New returns a Dispatcher that refuses all requests until Configure is called.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		cfg:          c,
		limiter:      limiter.New(limiter.Config{}),
		authorities:  make(map[cactuspin.Incarnation]*recorder.Recorder),
		handedOver:   make(map[*recorder.Recorder]cactuspin.Incarnation),
		executions:   recorder.New(c.Records),
		jobs:         make(map[limiter.JobID]*job),
		exchanges:    make(map[cactuspin.ExchangeID]*job),
		abandoned:    make(map[cactuspin.ExchangeID]abandonedExchange),
		unrecorded:   make(map[uint64]*job),
		feeds:        newFeedTable(),
		connections:  make(map[cactuspin.Target]*connection),
		leavingSince: make(map[cactuspin.Target]cactuspin.Time),
		affinities:   make(map[uint64]affinity),
		retryAfter:   c.RetryAfter,
	}
	d.authorities[c.Incarnation] = recorder.New(c.Records)
	return d
}

// Configure applies a new view of the hosts and the bundle. A retryAfter of 0 keeps
// the current delay.
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
	d.updateOwnedTargets(now, sv.OwnedTargets, out)
	d.dispatchQueued(now, out)
}

// Tick performs the work that is due.
func (d *Dispatcher) Tick(now cactuspin.Time, out *cactuspin.Actions) {
	d.tickConnections(now, out)
	d.tickJobs(now, out)
	d.tickFeeds(now, out)
	for _, r := range d.authorities {
		r.Expire(now)
	}
	d.executions.Expire(now)
	d.dispatchQueued(now, out)
}

// Free returns how many more requests this host could dispatch now.
func (d *Dispatcher) Free(now cactuspin.Time) int { return d.limiter.Free(now) }

// UsableTargets returns the number of this host's targets that accept new requests.
func (d *Dispatcher) UsableTargets() int { return d.limiter.UsableTargets() }

// Idle reports whether no request is in progress.
func (d *Dispatcher) Idle() bool { return len(d.jobs) == 0 }

// Feeds returns the number of observations that this host holds.
func (d *Dispatcher) Feeds() int { return len(d.feeds.byKey) }

// Records returns the number of requests that this host has records of.
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

// logDecision adds a decision about a job to the log.
func (d *Dispatcher) logDecision(k cactuspin.DecisionKind, j *job, reason string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    k,
		Reason:  reason,
		Service: d.cfg.Service,
		Caller:  j.request.Caller,
		Token:   j.request.Token,
		Target:  j.target,
		Host:    j.delegatedTo,
	})
}

package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
)

// jobState says where a job is.
type jobState uint8

const (
	jobWaiting jobState = iota
	jobRunning
	jobPassed
)

// Bounds on how often one request is tried.
const (
	maxAttempts = 3
	maxPasses   = 2
)

// preferenceLifetime is how long the blocks of one answer go to one target.
const preferenceLifetime = 30 * time.Second

// job is a request that was accepted and has no outcome yet.
type job struct {
	id       limiter.JobID
	request  cactuspin.Request
	kind     string
	deadline cactuspin.Time
	state    jobState
	// records judges the request; it is nil for one without a cookie.
	records *recorder.Recorder
	key     uint64
	// origin passed the job on to this host; 0 when the caller is answered here.
	origin         cactuspin.HostID
	originExchange cactuspin.ExchangeID

	target   cactuspin.Target
	avoid    cactuspin.Target
	exchange cactuspin.ExchangeID
	started  cactuspin.Time
	passedTo cactuspin.HostID
	attempts int
	passes   int
	// mayHaveRun is set when an attempt was given up after it was sent.
	mayHaveRun bool
}

type preference struct {
	target cactuspin.Target
	until  cactuspin.Time
}

// begin registers a job and looks for a slot.
func (d *Dispatcher) begin(now cactuspin.Time, j *job, left time.Duration, out *cactuspin.Actions) {
	d.nextJob++
	j.id = d.nextJob
	d.jobs[j.id] = j
	k := d.service.KindFor(j.request.Method, j.request.Path)
	if k < 0 {
		d.refuse(now, j, "no such kind of work", out)
		return
	}
	j.kind = d.service.Kinds[k].Name
	if left <= 0 {
		left = d.service.Kinds[k].Deadline
	}
	j.deadline = now.Add(min(left, MaxDeadline))
	d.budget.earn()
	d.place(now, j, out)
}

// place offers the job to this host's targets, then to other hosts.
func (d *Dispatcher) place(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	t, v, why := d.limiter.Admit(now, limiter.Job{
		ID:         j.id,
		Kind:       j.kind,
		Deadline:   j.deadline,
		Prefer:     d.preferred(now, j),
		Avoid:      j.avoid,
		ForceQueue: d.cfg.Suspended(),
	})
	switch v {
	case limiter.VerdictDispatch:
		d.dispatch(now, j, t, out)
	case limiter.VerdictQueued:
		j.state = jobWaiting
		if d.passQueued(now, j, out) {
			return
		}
		d.decide(cactuspin.DecisionQueue, j, "no free slot", out)
	case limiter.VerdictRefused:
		if !d.pass(now, j, out) {
			d.refuse(now, j, why, out)
		}
	}
}

// dispatch sends the job to a target whose slot it holds.
func (d *Dispatcher) dispatch(now cactuspin.Time, j *job, t cactuspin.Target, out *cactuspin.Actions) {
	j.state = jobRunning
	j.target = t
	j.attempts++
	j.started = now
	j.exchange = d.cfg.NextExchange()
	d.exchanges[j.exchange] = j
	out.Send(cactuspin.TargetSend{
		Target:   t,
		Exchange: j.exchange,
		Method:   j.request.Method,
		Path:     j.request.Path,
		Options:  blockwise(&j.request),
		Payload:  j.request.Payload,
		NotAfter: j.deadline,
	})
	d.decide(cactuspin.DecisionPlace, j, "slot free", out)
}

// release takes the job off its target.
func (d *Dispatcher) release(now cactuspin.Time, j *job, o limiter.Outcome) {
	delete(d.exchanges, j.exchange)
	if o == limiter.OutcomeTimeout {
		d.ghosts[j.exchange] = ghost{target: j.target, until: now.Add(ghostTime)}
	}
	d.limiter.Done(now, j.target, j.kind, o, now.Sub(j.started))
	j.state = jobWaiting
}

// pump dispatches waiting jobs while slots are free.
func (d *Dispatcher) pump(now cactuspin.Time, out *cactuspin.Actions) {
	for !d.cfg.Suspended() {
		next, t, ok := d.limiter.Next(now)
		if !ok {
			return
		}
		d.dispatch(now, d.jobs[next.ID], t, out)
	}
}

// tickJobs ends what is past its deadline.
func (d *Dispatcher) tickJobs(now cactuspin.Time, out *cactuspin.Actions) {
	for _, l := range d.limiter.Expire(now) {
		d.refuse(now, d.jobs[l.ID], limiter.ReasonLate, out)
	}
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		j, ok := d.jobs[id]
		if !ok {
			continue
		}
		if now < j.deadline {
			d.hedge(now, j, out)
			d.passStranded(now, j, out)
			continue
		}
		switch j.state {
		case jobWaiting:
			d.limiter.Withdraw(j.id)
			d.refuse(now, j, limiter.ReasonLate, out)
		case jobRunning:
			d.release(now, j, limiter.OutcomeTimeout)
			d.unknown(now, j, "deadline passed", out)
		case jobPassed:
			d.unknown(now, j, "deadline passed", out)
		}
	}
	d.tickGhosts(now)
	for k, p := range d.prefer {
		if now > p.until {
			delete(d.prefer, k)
		}
	}
}

// hedge tries an idempotent request elsewhere when its target is slow, inside
// the retry budget.
func (d *Dispatcher) hedge(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	if j.state != jobRunning || !j.request.Method.Idempotent() || j.attempts >= maxAttempts {
		return
	}
	patience := max(j.deadline.Sub(j.started)/hedgeShare, hedgeMeans*d.limiter.MeanDuration(j.kind))
	if now.Sub(j.started) < patience || !d.budget.spend() {
		return
	}
	d.release(now, j, limiter.OutcomeTimeout)
	j.mayHaveRun = true
	j.avoid = j.target
	d.decide(cactuspin.DecisionRetry, j, "target is slow", out)
	d.place(now, j, out)
}

// hedgeShare is the part of the time to the deadline that one attempt gets.
const hedgeShare = 3

// hedgeMeans is how many times the usual time an attempt gets at least.
const hedgeMeans = 4

// ghostTime is how long a slot counts as taken after its exchange was given up
// without an answer.
const ghostTime = 1 * time.Second

// ghost is an exchange that was given up while the target may still be at work.
type ghost struct {
	target cactuspin.Target
	until  cactuspin.Time
}

// endGhost frees the slot of a given-up exchange.
func (d *Dispatcher) endGhost(x cactuspin.ExchangeID) {
	g, ok := d.ghosts[x]
	if !ok {
		return
	}
	delete(d.ghosts, x)
	d.limiter.ReleaseSlot(g.target)
}

// tickGhosts ends the given-up exchanges that no answer will come for.
func (d *Dispatcher) tickGhosts(now cactuspin.Time) {
	for x, g := range d.ghosts {
		if now >= g.until {
			d.endGhost(x)
		}
	}
}

// preferred returns where an earlier block of the same answer came from.
func (d *Dispatcher) preferred(now cactuspin.Time, j *job) cactuspin.Target {
	if j.request.BlockNumber == 0 {
		return cactuspin.Target{}
	}
	if p, ok := d.prefer[blockKey(&j.request)]; ok && now <= p.until {
		return p.target
	}
	return cactuspin.Target{}
}

func (d *Dispatcher) remember(now cactuspin.Time, j *job, options []cactuspin.Option) {
	if !moreBlocks(options) || len(d.prefer) >= maxPreferences {
		return
	}
	d.prefer[blockKey(&j.request)] = preference{target: j.target, until: now.Add(preferenceLifetime)}
}

// maxPreferences bounds the memory for block-wise answers.
const maxPreferences = 1 << 16

// retryBudget lets retries be a fixed part of the requests.
type retryBudget struct{ tenths int }

const (
	retryCost      = 10
	maxRetryTenths = 1000
)

func (b *retryBudget) earn() { b.tenths = min(b.tenths+1, maxRetryTenths) }

func (b *retryBudget) spend() bool {
	if b.tenths < retryCost {
		return false
	}
	b.tenths -= retryCost
	return true
}

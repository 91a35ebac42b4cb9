package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
)

// jobState is the processing state of a job.
type jobState uint8

const (
	jobWaiting jobState = iota
	jobRunning
	jobDelegated
)

// Limits on how often one request is dispatched and delegated.
const (
	maxAttempts    = 3
	maxDelegations = 2
)

// affinityLifetime is how long the blocks of one answer are requested from the same
// target.
const affinityLifetime = 30 * time.Second

// job is an accepted request that has no outcome yet.
type job struct {
	id       limiter.JobID
	request  cactuspin.Request
	kind     string
	deadline cactuspin.Time
	state    jobState
	// records holds the record of the request; it is nil if there is none.
	records *recorder.Recorder
	key     uint64
	// origin is the host that delegated the job to this one; it is 0 if this host
	// answers the caller.
	origin         cactuspin.HostID
	originExchange cactuspin.ExchangeID

	target         cactuspin.Target
	avoid          cactuspin.Target
	exchange       cactuspin.ExchangeID
	attemptStarted cactuspin.Time
	delegatedTo    cactuspin.HostID
	attempts       int
	delegations    int
	// mayHaveRun is set if an attempt was abandoned after the request was sent.
	mayHaveRun bool
}

// affinity is the target from which the later blocks of an answer are requested.
type affinity struct {
	target  cactuspin.Target
	expires cactuspin.Time
}

// startJob registers a job and requests a slot for it. Without a timeLeft, the
// deadline of the job's kind applies.
func (d *Dispatcher) startJob(now cactuspin.Time, j *job, timeLeft time.Duration, out *cactuspin.Actions) {
	d.nextJob++
	j.id = d.nextJob
	d.jobs[j.id] = j
	k := d.service.KindFor(j.request.Method, j.request.Path)
	if k < 0 {
		d.refuse(now, j, "no such kind of work", out)
		return
	}
	j.kind = d.service.Kinds[k].Name
	if timeLeft <= 0 {
		timeLeft = d.service.Kinds[k].Deadline
	}
	j.deadline = now.Add(min(timeLeft, MaxDeadline))
	d.budget.deposit()
	d.place(now, j, out)
}

// place requests a slot at this host's targets for the job or delegates it to another
// host.
func (d *Dispatcher) place(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	t, v, reason := d.limiter.Admit(now, limiter.Job{
		ID:         j.id,
		Kind:       j.kind,
		Deadline:   j.deadline,
		Prefer:     d.affinityTarget(now, j),
		Avoid:      j.avoid,
		ForceQueue: d.cfg.Suspended(),
	})
	switch v {
	case limiter.VerdictDispatch:
		d.dispatch(now, j, t, out)
	case limiter.VerdictQueued:
		j.state = jobWaiting
		if d.delegateQueued(now, j, out) {
			return
		}
		d.logDecision(cactuspin.DecisionQueue, j, "no free slot", out)
	case limiter.VerdictRefused:
		if !d.delegate(now, j, out) {
			d.refuse(now, j, reason, out)
		}
	}
}

// dispatch sends the job to a target whose slot was acquired for it.
func (d *Dispatcher) dispatch(now cactuspin.Time, j *job, t cactuspin.Target, out *cactuspin.Actions) {
	j.state = jobRunning
	j.target = t
	j.attempts++
	j.attemptStarted = now
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
	d.logDecision(cactuspin.DecisionPlace, j, "slot free", out)
}

// endAttempt ends the exchange of the job with its target.
func (d *Dispatcher) endAttempt(now cactuspin.Time, j *job, o limiter.Outcome) {
	delete(d.exchanges, j.exchange)
	if o == limiter.OutcomeTimeout {
		d.abandoned[j.exchange] = abandonedExchange{target: j.target, expires: now.Add(abandonedTimeout)}
	}
	d.limiter.Done(now, j.target, j.kind, o, now.Sub(j.attemptStarted))
	j.state = jobWaiting
}

// dispatchQueued dispatches queued jobs while slots are free.
func (d *Dispatcher) dispatchQueued(now cactuspin.Time, out *cactuspin.Actions) {
	for !d.cfg.Suspended() {
		next, t, ok := d.limiter.Next(now)
		if !ok {
			return
		}
		d.dispatch(now, d.jobs[next.ID], t, out)
	}
}

// tickJobs ends the jobs whose deadline has passed and retries or delegates others.
func (d *Dispatcher) tickJobs(now cactuspin.Time, out *cactuspin.Actions) {
	for _, late := range d.limiter.Expire(now) {
		d.refuse(now, d.jobs[late.ID], limiter.ReasonLate, out)
	}
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		j, ok := d.jobs[id]
		if !ok {
			continue
		}
		if now < j.deadline {
			d.retrySlow(now, j, out)
			d.delegateWithoutTargets(now, j, out)
			continue
		}
		switch j.state {
		case jobWaiting:
			d.limiter.Withdraw(j.id)
			d.refuse(now, j, limiter.ReasonLate, out)
		case jobRunning:
			d.endAttempt(now, j, limiter.OutcomeTimeout)
			d.endUnknown(now, j, "deadline passed", out)
		case jobDelegated:
			d.endUnknown(now, j, "deadline passed", out)
		}
	}
	d.expireAbandoned(now)
	for k, p := range d.affinities {
		if now > p.expires {
			delete(d.affinities, k)
		}
	}
}

// retrySlow retries an idempotent request elsewhere when its target is slow, within
// the retry budget.
func (d *Dispatcher) retrySlow(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	if j.state != jobRunning || !j.request.Method.Idempotent() || j.attempts >= maxAttempts {
		return
	}
	timeout := max(j.deadline.Sub(j.attemptStarted)/attemptsPerDeadline, minAttemptMeans*d.limiter.MeanDuration(j.kind))
	if now.Sub(j.attemptStarted) < timeout || !d.budget.withdraw() {
		return
	}
	d.endAttempt(now, j, limiter.OutcomeTimeout)
	j.mayHaveRun = true
	j.avoid = j.target
	d.logDecision(cactuspin.DecisionRetry, j, "target is slow", out)
	d.place(now, j, out)
}

// attemptsPerDeadline is the number of attempts among which the time to the deadline
// is divided.
const attemptsPerDeadline = 3

// minAttemptMeans is the minimum time for an attempt as a multiple of the mean
// duration of an exchange.
const minAttemptMeans = 4

// abandonedTimeout is how long the slot of an abandoned exchange stays busy without
// an answer.
const abandonedTimeout = 1 * time.Second

// abandonedExchange is an exchange that was given up while the target may still be
// processing it.
type abandonedExchange struct {
	target  cactuspin.Target
	expires cactuspin.Time
}

// releaseAbandoned releases the slot of an abandoned exchange.
func (d *Dispatcher) releaseAbandoned(x cactuspin.ExchangeID) {
	a, ok := d.abandoned[x]
	if !ok {
		return
	}
	delete(d.abandoned, x)
	d.limiter.ReleaseSlot(a.target)
}

// expireAbandoned releases the slots of the abandoned exchanges whose timeout has
// passed.
func (d *Dispatcher) expireAbandoned(now cactuspin.Time) {
	for x, a := range d.abandoned {
		if now >= a.expires {
			d.releaseAbandoned(x)
		}
	}
}

// affinityTarget returns the target that sent an earlier block of the same answer, or
// the zero value.
func (d *Dispatcher) affinityTarget(now cactuspin.Time, j *job) cactuspin.Target {
	if j.request.BlockNumber == 0 {
		return cactuspin.Target{}
	}
	if p, ok := d.affinities[blockKey(&j.request)]; ok && now <= p.expires {
		return p.target
	}
	return cactuspin.Target{}
}

// setAffinity stores the target of an answer that has more blocks.
func (d *Dispatcher) setAffinity(now cactuspin.Time, j *job, options []cactuspin.Option) {
	if !moreBlocks(options) || len(d.affinities) >= maxAffinities {
		return
	}
	d.affinities[blockKey(&j.request)] = affinity{target: j.target, expires: now.Add(affinityLifetime)}
}

// maxAffinities bounds the memory for block-wise answers.
const maxAffinities = 1 << 16

// retryBudget limits retries to a tenth of the requests: each request deposits a
// tenth of a retry.
type retryBudget struct{ tenths int }

const (
	retryCost      = 10
	maxRetryTenths = 1000
)

func (b *retryBudget) deposit() { b.tenths = min(b.tenths+1, maxRetryTenths) }

func (b *retryBudget) withdraw() bool {
	if b.tenths < retryCost {
		return false
	}
	b.tenths -= retryCost
	return true
}

package dispatcher

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// minDelegationTime is the minimum time to the deadline for delegating a job to
// another host.
const minDelegationTime = 50 * time.Millisecond

// delegate sends a job without a slot to another host that has free slots and reports
// whether it found one.
func (d *Dispatcher) delegate(now cactuspin.Time, j *job, out *cactuspin.Actions) bool {
	if j.origin != 0 || j.delegations >= maxDelegations || j.deadline.Sub(now) < minDelegationTime {
		return false
	}
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return false
	}
	h, ok := placer.Pick(uint64(j.id)^addressKey(j.request.Caller), sv.Candidates, func(h cactuspin.HostID) bool {
		return h == d.cfg.Self || h == j.delegatedTo || d.cfg.Free(h, d.cfg.Service) <= 0
	})
	if !ok {
		return false
	}
	j.delegations++
	j.delegatedTo = h
	j.state = jobDelegated
	j.exchange = d.cfg.NextExchange()
	d.exchanges[j.exchange] = j
	out.Peer(h, cactuspin.PeerMessage{Execute: &cactuspin.Execute{
		Exchange:    j.exchange,
		Incarnation: d.cfg.Incarnation,
		Issued:      now.Seconds(),
		Request:     j.request,
		TimeLeft:    j.deadline.Sub(now),
	}})
	d.logDecision(cactuspin.DecisionPass, j, "no free slot here", out)
	return true
}

// delegateQueued delegates a queued job and removes it from the queue when another
// host has free slots.
func (d *Dispatcher) delegateQueued(now cactuspin.Time, j *job, out *cactuspin.Actions) bool {
	if !d.delegate(now, j, out) {
		return false
	}
	d.limiter.Withdraw(j.id)
	return true
}

// delegateWithoutTargets delegates a queued job when this host has no usable target.
func (d *Dispatcher) delegateWithoutTargets(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	if j.state == jobWaiting && !d.limiter.AnyUsable() {
		d.delegateQueued(now, j, out)
	}
}

// Execute executes a request under the authority of the host that sent it. A
// duplicate of the message is ignored.
func (d *Dispatcher) Execute(now cactuspin.Time, from cactuspin.HostID, e cactuspin.Execute, out *cactuspin.Actions) {
	if _, v := d.executions.Claim(now, executionKey(&e), e.Issued); v != recorder.VerdictNew {
		return
	}
	d.startJob(now, &job{request: e.Request, origin: from, originExchange: e.Exchange}, e.TimeLeft, out)
}

// ExecuteResult handles the outcome of a delegated job.
func (d *Dispatcher) ExecuteResult(now cactuspin.Time, e cactuspin.ExecuteResult, out *cactuspin.Actions) {
	j, ok := d.exchanges[e.Exchange]
	if !ok || j.state != jobDelegated {
		return
	}
	delete(d.exchanges, e.Exchange)
	switch {
	case e.NotRun:
		d.place(now, j, out)
	case e.Code == 0:
		d.endUnknown(now, j, "outcome lost", out)
	default:
		d.finish(now, j, e.Code, e.Options, e.Payload, out)
	}
}

func executionKey(e *cactuspin.Execute) uint64 {
	h := fnv.New64a()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], uint64(e.Incarnation))
	binary.BigEndian.PutUint64(b[8:], uint64(e.Exchange))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

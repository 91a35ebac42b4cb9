package dispatcher

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// minPassTime is the time to the deadline that a trip to another host needs.
const minPassTime = 50 * time.Millisecond

// pass gives a job that was not dispatched to another host that has free slots.
func (d *Dispatcher) pass(now cactuspin.Time, j *job, out *cactuspin.Actions) bool {
	if j.origin != 0 || j.passes >= maxPasses || j.deadline.Sub(now) < minPassTime {
		return false
	}
	sv := d.view.Service(d.cfg.Service)
	if sv == nil {
		return false
	}
	h, ok := placer.Pick(uint64(j.id)^addressKey(j.request.Caller), sv.Candidates, func(h cactuspin.HostID) bool {
		return h == d.cfg.Self || h == j.passedTo || d.cfg.Free(h, d.cfg.Service) <= 0
	})
	if !ok {
		return false
	}
	j.passes++
	j.passedTo = h
	j.state = jobPassed
	j.exchange = d.cfg.NextExchange()
	d.exchanges[j.exchange] = j
	out.Peer(h, cactuspin.PeerMessage{Execute: &cactuspin.Execute{
		Exchange:    j.exchange,
		Incarnation: d.cfg.Incarnation,
		Issued:      now.Seconds(),
		Request:     j.request,
		TimeLeft:    j.deadline.Sub(now),
	}})
	d.decide(cactuspin.DecisionPass, j, "no free slot here", out)
	return true
}

// passQueued takes a job out of the queue when another host has free slots.
func (d *Dispatcher) passQueued(now cactuspin.Time, j *job, out *cactuspin.Actions) bool {
	if !d.pass(now, j, out) {
		return false
	}
	d.limiter.Withdraw(j.id)
	return true
}

// passStranded passes on a queued job when this host has lost all its targets.
func (d *Dispatcher) passStranded(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	if j.state == jobWaiting && !d.limiter.AnyUsable() {
		d.passQueued(now, j, out)
	}
}

// Execute runs a request under the authority of the host that sent it. A copy
// of the message runs nothing.
func (d *Dispatcher) Execute(now cactuspin.Time, from cactuspin.HostID, e cactuspin.Execute, out *cactuspin.Actions) {
	if _, v := d.executions.Claim(now, executionKey(&e), e.Issued); v != recorder.VerdictNew {
		return
	}
	d.begin(now, &job{request: e.Request, origin: from, originExchange: e.Exchange}, e.TimeLeft, out)
}

// ExecuteResult takes the outcome of a request that was passed on.
func (d *Dispatcher) ExecuteResult(now cactuspin.Time, e cactuspin.ExecuteResult, out *cactuspin.Actions) {
	j, ok := d.exchanges[e.Exchange]
	if !ok || j.state != jobPassed {
		return
	}
	delete(d.exchanges, e.Exchange)
	switch {
	case e.NotRun:
		d.place(now, j, out)
	case e.Code == 0:
		d.unknown(now, j, "outcome lost", out)
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

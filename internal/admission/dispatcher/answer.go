package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
)

// finish ends a job with the answer of a target.
func (d *Dispatcher) finish(now cactuspin.Time, j *job, code cactuspin.Code, options []cactuspin.Option, payload []byte, out *cactuspin.Actions) {
	d.forget(j)
	code, options, payload = fit(&j.request, code, options, payload)
	if j.origin != 0 {
		d.report(j, cactuspin.ExecuteResult{Code: code, Options: options, Payload: payload}, out)
		return
	}
	d.settle(j, doneRecord(&j.request, code, options, payload), out)
	d.answer(now, j, code, options, payload, out)
}

// maxPayload is the largest answer that fits into a datagram, in bytes.
const maxPayload = 1152

// fit replaces an answer that cannot be passed on whole or could be mixed with
// another: one too large for a datagram, or a block without an entity tag.
func fit(r *cactuspin.Request, code cactuspin.Code, options []cactuspin.Option, payload []byte) (cactuspin.Code, []cactuspin.Option, []byte) {
	why := ""
	switch {
	case len(payload) > maxPayload:
		why = "answer of the target is too large"
	case (moreBlocks(options) || laterBlock(options)) && !hasETag(options):
		why = "block-wise answer without an entity tag"
	default:
		return code, options, payload
	}
	if r.Method.Idempotent() {
		return cactuspin.CodeBadGateway, nil, []byte(why)
	}
	return cactuspin.CodeGatewayTimeout, nil, []byte("may have run: " + why)
}

// doneRecord keeps a small answer for repeated copies; a large one is dropped
// and a copy is told that the request may have run.
func doneRecord(r *cactuspin.Request, code cactuspin.Code, options []cactuspin.Option, payload []byte) cactuspin.Record {
	if r.Method.Idempotent() {
		return cactuspin.Record{State: cactuspin.RecordDone}
	}
	if len(payload) > maxKeptPayload {
		return cactuspin.Record{State: cactuspin.RecordUnknown}
	}
	return cactuspin.Record{State: cactuspin.RecordDone, Code: code, Options: options, Payload: payload}
}

// maxKeptPayload is the largest answer that is kept for repeated copies, in bytes.
const maxKeptPayload = 1024

// refuse ends a job that gets no slot. It is told that it did not run unless an
// earlier attempt was sent.
func (d *Dispatcher) refuse(now cactuspin.Time, j *job, why limiter.Reason, out *cactuspin.Actions) {
	if j.mayHaveRun {
		d.unknown(now, j, string(why), out)
		return
	}
	d.forget(j)
	d.decide(cactuspin.DecisionRefuse, j, string(why), out)
	if j.origin != 0 {
		d.report(j, cactuspin.ExecuteResult{NotRun: true}, out)
		return
	}
	d.settle(j, cactuspin.Record{State: cactuspin.RecordNotRun}, out)
	d.answerNotRun(now, j, "not run: "+string(why), out)
}

// unknown ends a job whose outcome cannot be known.
func (d *Dispatcher) unknown(now cactuspin.Time, j *job, why string, out *cactuspin.Actions) {
	d.forget(j)
	d.decide(cactuspin.DecisionRefuse, j, why, out)
	if j.origin != 0 {
		d.report(j, cactuspin.ExecuteResult{}, out)
		return
	}
	d.settle(j, cactuspin.Record{State: cactuspin.RecordUnknown}, out)
	d.answerUnknown(now, j, "may have run: "+why, out)
}

func (d *Dispatcher) forget(j *job) {
	delete(d.jobs, j.id)
	delete(d.exchanges, j.exchange)
	if d.running[j.key] == j {
		delete(d.running, j.key)
	}
}

func (d *Dispatcher) report(j *job, e cactuspin.ExecuteResult, out *cactuspin.Actions) {
	e.Exchange = j.originExchange
	out.Peer(j.origin, cactuspin.PeerMessage{ExecuteResult: &e})
}

// answer sends an outcome to the caller, with a fresh cookie.
func (d *Dispatcher) answer(now cactuspin.Time, j *job, code cactuspin.Code, options []cactuspin.Option, payload []byte, out *cactuspin.Actions) {
	a := j.request.Reply(code)
	a.Options = options
	a.Payload = payload
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

// answerNotRun tells that the request did not run. Without a record of the
// request this host cannot speak for copies that reached others, so it gives a
// code that promises nothing.
func (d *Dispatcher) answerNotRun(now cactuspin.Time, j *job, why string, out *cactuspin.Actions) {
	code := cactuspin.CodeServiceUnavailable
	if j.records == nil && j.request.Method.Idempotent() {
		code = cactuspin.CodeTooManyRequests
		why = "refused; ask again"
	}
	a := j.request.Reply(code)
	a.MaxAge = d.retryAfter
	a.Payload = []byte(why)
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

func (d *Dispatcher) answerUnknown(now cactuspin.Time, j *job, why string, out *cactuspin.Actions) {
	a := j.request.Reply(cactuspin.CodeGatewayTimeout)
	a.Payload = []byte(why)
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

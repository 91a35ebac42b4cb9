package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/limiter"
)

// finish ends a job with the answer of a target.
func (d *Dispatcher) finish(now cactuspin.Time, j *job, code cactuspin.Code, options []cactuspin.Option, payload []byte, out *cactuspin.Actions) {
	d.removeJob(j)
	code, options, payload = validateAnswer(&j.request, code, options, payload)
	if j.origin != 0 {
		d.sendResult(j, cactuspin.ExecuteResult{Code: code, Options: options, Payload: payload}, out)
		return
	}
	d.setOutcome(j, doneRecord(&j.request, code, options, payload), out)
	d.answer(now, j, code, options, payload, out)
}

// maxPayload is the largest payload of an answer that fits into a datagram, in bytes.
const maxPayload = 1152

// validateAnswer replaces an answer that cannot be forwarded correctly with an error:
// one too large for a datagram, or a block without an entity tag, which the caller
// could combine with blocks of another answer.
func validateAnswer(r *cactuspin.Request, code cactuspin.Code, options []cactuspin.Option, payload []byte) (cactuspin.Code, []cactuspin.Option, []byte) {
	reason := ""
	switch {
	case len(payload) > maxPayload:
		reason = "answer of the target is too large"
	case (moreBlocks(options) || laterBlock(options)) && !hasETag(options):
		reason = "block-wise answer without an entity tag"
	default:
		return code, options, payload
	}
	if r.Method.Idempotent() {
		return cactuspin.CodeBadGateway, nil, []byte(reason)
	}
	return cactuspin.CodeGatewayTimeout, nil, []byte("may have run: " + reason)
}

// doneRecord returns the record of an answered request. It keeps a small answer for
// duplicates; after a larger one a duplicate gets the answer that the request may have run.
// An idempotent request is executed again instead.
func doneRecord(r *cactuspin.Request, code cactuspin.Code, options []cactuspin.Option, payload []byte) cactuspin.Record {
	if r.Method.Idempotent() {
		return cactuspin.Record{State: cactuspin.RecordDone}
	}
	if len(payload) > maxRecordedPayload {
		return cactuspin.Record{State: cactuspin.RecordUnknown}
	}
	return cactuspin.Record{State: cactuspin.RecordDone, Code: code, Options: options, Payload: payload}
}

// maxRecordedPayload is the largest payload that is kept for duplicates, in bytes.
const maxRecordedPayload = 1024

// refuse ends a job that gets no slot. The caller is told that the request did not
// run, unless an earlier attempt was sent.
func (d *Dispatcher) refuse(now cactuspin.Time, j *job, reason limiter.Reason, out *cactuspin.Actions) {
	if j.mayHaveRun {
		d.endUnknown(now, j, string(reason), out)
		return
	}
	d.removeJob(j)
	d.logDecision(cactuspin.DecisionRefuse, j, string(reason), out)
	if j.origin != 0 {
		d.sendResult(j, cactuspin.ExecuteResult{NotRun: true}, out)
		return
	}
	d.setOutcome(j, cactuspin.Record{State: cactuspin.RecordNotRun}, out)
	d.answerNotRun(now, j, "not run: "+string(reason), out)
}

// endUnknown ends a job whose outcome cannot be known.
func (d *Dispatcher) endUnknown(now cactuspin.Time, j *job, reason string, out *cactuspin.Actions) {
	d.removeJob(j)
	d.logDecision(cactuspin.DecisionRefuse, j, reason, out)
	if j.origin != 0 {
		d.sendResult(j, cactuspin.ExecuteResult{}, out)
		return
	}
	d.setOutcome(j, cactuspin.Record{State: cactuspin.RecordUnknown}, out)
	d.answerUnknown(now, j, "may have run: "+reason, out)
}

func (d *Dispatcher) removeJob(j *job) {
	delete(d.jobs, j.id)
	delete(d.exchanges, j.exchange)
	if d.unrecorded[j.key] == j {
		delete(d.unrecorded, j.key)
	}
}

func (d *Dispatcher) sendResult(j *job, e cactuspin.ExecuteResult, out *cactuspin.Actions) {
	e.Exchange = j.originExchange
	out.Peer(j.origin, cactuspin.PeerMessage{ExecuteResult: &e})
}

// answer sends an outcome to the caller, with a new cookie.
func (d *Dispatcher) answer(now cactuspin.Time, j *job, code cactuspin.Code, options []cactuspin.Option, payload []byte, out *cactuspin.Actions) {
	a := j.request.Reply(code)
	a.Options = options
	a.Payload = payload
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

// answerNotRun tells the caller that the request did not run. Without a record this
// host does not know whether a duplicate ran on another host, so an idempotent
// request gets a code that makes no statement about its execution.
func (d *Dispatcher) answerNotRun(now cactuspin.Time, j *job, text string, out *cactuspin.Actions) {
	code := cactuspin.CodeServiceUnavailable
	if j.records == nil && j.request.Method.Idempotent() {
		code = cactuspin.CodeTooManyRequests
		text = "refused; ask again"
	}
	a := j.request.Reply(code)
	a.MaxAge = d.retryAfter
	a.Payload = []byte(text)
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

func (d *Dispatcher) answerUnknown(now cactuspin.Time, j *job, text string, out *cactuspin.Actions) {
	a := j.request.Reply(cactuspin.CodeGatewayTimeout)
	a.Payload = []byte(text)
	a.Cookie = d.cfg.NewCookie(now, j.request, d.cfg.Service)
	out.Answer(a)
}

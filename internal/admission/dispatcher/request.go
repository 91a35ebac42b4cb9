package dispatcher

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// The numbers of the CoAP options that a host inspects (RFC 7252, RFC 7959).
const (
	optionETag   = 4
	optionBlock2 = 23
)

// HandleRecorded processes a request whose cookie names an authority of this host.
func (d *Dispatcher) HandleRecorded(now cactuspin.Time, r cactuspin.Request, c sealer.Cookie, out *cactuspin.Actions) {
	records := d.authorities[c.Incarnation]
	if records == nil {
		return
	}
	key := requestKey(&r, uint64(c.Flow))
	rec, verdict := records.Claim(now, key, c.Issued)
	j := &job{request: r, records: records, key: key}
	switch verdict {
	case recorder.VerdictTooOld:
		d.handleTooOld(now, j, out)
	case recorder.VerdictKnown:
		d.answerDuplicate(now, j, rec, out)
	case recorder.VerdictNew:
		d.accept(now, j, c, out)
	}
}

// HandleUnrecorded processes an idempotent request that needs no record, such as one
// without a cookie.
func (d *Dispatcher) HandleUnrecorded(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	if r.Observe != cactuspin.ObserveNone {
		d.observe(now, r, out)
		return
	}
	key := requestKey(&r, addressKey(r.Caller))
	j := &job{request: r, key: key}
	if _, ok := d.unrecorded[key]; ok {
		d.logDecision(cactuspin.DecisionRepeat, j, "under way", out)
		return
	}
	d.unrecorded[key] = j
	d.startJob(now, j, r.Deadline, out)
}

func (d *Dispatcher) accept(now cactuspin.Time, j *job, c sealer.Cookie, out *cactuspin.Actions) {
	if j.request.Service != d.service.Address || c.Service != d.cfg.Service {
		d.setOutcome(j, cactuspin.Record{State: cactuspin.RecordNotRun}, out)
		d.logDecision(cactuspin.DecisionRefuse, j, "address belongs to another service", out)
		d.answerNotRun(now, j, "not run: the address belongs to another service now", out)
		return
	}
	d.startJob(now, j, j.request.Deadline, out)
}

// handleTooOld answers a request whose record may have been removed. An idempotent
// one is executed without a record.
func (d *Dispatcher) handleTooOld(now cactuspin.Time, j *job, out *cactuspin.Actions) {
	if j.request.Method.Idempotent() {
		d.HandleUnrecorded(now, j.request, out)
		return
	}
	d.logDecision(cactuspin.DecisionRefuse, j, "cookie too old", out)
	d.answerUnknown(now, j, "may have run: the cookie is too old to tell", out)
}

// answerDuplicate answers a duplicate of a request from the record. If the request is
// pending, its outcome is the answer.
func (d *Dispatcher) answerDuplicate(now cactuspin.Time, j *job, rec *cactuspin.Record, out *cactuspin.Actions) {
	d.logDecision(cactuspin.DecisionRepeat, j, "known request", out)
	switch rec.State {
	case cactuspin.RecordNotRun:
		d.answerNotRun(now, j, "not run", out)
	case cactuspin.RecordUnknown:
		d.answerUnknown(now, j, "may have run", out)
	case cactuspin.RecordDone:
		if j.request.Method.Idempotent() {
			d.HandleUnrecorded(now, j.request, out)
			return
		}
		d.answer(now, j, rec.Code, rec.Options, rec.Payload, out)
	case cactuspin.RecordPending, cactuspin.RecordNone:
	}
}

// requestKey identifies a request within a flow. A retransmission has the same bytes
// and thus the same key, whatever address it comes from.
func requestKey(r *cactuspin.Request, flow uint64) uint64 {
	h := fnv.New64a()
	var b [8 + 1 + 2 + cactuspin.MaxTokenLength]byte
	binary.BigEndian.PutUint64(b[:], flow)
	b[8] = byte(r.Method)
	binary.BigEndian.PutUint16(b[9:], r.MessageID)
	copy(b[11:], r.Token.Slice())
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(r.Path))
	_, _ = h.Write(r.Payload)
	return h.Sum64()
}

// blockKey identifies the answer that a block belongs to.
func blockKey(r *cactuspin.Request) uint64 {
	h := fnv.New64a()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], addressKey(r.Caller))
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(r.Path))
	return h.Sum64()
}

func addressKey(a netip.AddrPort) uint64 {
	h := fnv.New64a()
	b := a.Addr().As16()
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte{byte(a.Port() >> 8), byte(a.Port())})
	return h.Sum64()
}

// blockwise returns the options for the target. A GET without a Block2 option gets
// one for the first block, so that the answer fits into a datagram.
func blockwise(r *cactuspin.Request) []cactuspin.Option {
	const firstBlockOf1024 = 6
	if r.Method != cactuspin.MethodGet {
		return r.Options
	}
	for _, o := range r.Options {
		if o.Number == optionBlock2 {
			return r.Options
		}
	}
	first := cactuspin.Option{Number: optionBlock2, Value: []byte{firstBlockOf1024}}
	return append(append([]cactuspin.Option(nil), r.Options...), first)
}

// moreBlocks reports whether a Block2 option announces more blocks (RFC 7959, section
// 2.2).
func moreBlocks(options []cactuspin.Option) bool {
	const moreBit = 1 << 3
	for _, o := range options {
		if o.Number == optionBlock2 && len(o.Value) > 0 {
			return o.Value[len(o.Value)-1]&moreBit != 0
		}
	}
	return false
}

// laterBlock reports whether a Block2 option has a block number above 0.
func laterBlock(options []cactuspin.Option) bool {
	const numberShift = 4
	for _, o := range options {
		if o.Number != optionBlock2 {
			continue
		}
		var v uint32
		for _, x := range o.Value {
			v = v<<8 | uint32(x)
		}
		return v>>numberShift > 0
	}
	return false
}

func hasETag(options []cactuspin.Option) bool {
	for _, o := range options {
		if o.Number == optionETag && len(o.Value) > 0 {
			return true
		}
	}
	return false
}

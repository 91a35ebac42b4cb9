package balancer

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

// flowShards is the number of shards of the flow table, each with its own lock.
const flowShards = 16

// endpoint is an IPv4 address and a port in a form that is cheap to hash.
type endpoint uint64

func endpointOf(a netip.AddrPort) endpoint {
	b := a.Addr().As4()
	return endpoint(binary.BigEndian.Uint32(b[:]))<<16 | endpoint(a.Port())
}

func (e endpoint) addrPort() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(e>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(e))
}

// flowKey is the four-tuple of a flow.
type flowKey struct {
	caller, service endpoint
}

// flow is the state that a host keeps of a flow.
type flow struct {
	target   *target
	lastSeen cactuspin.Time
	// requestedAt is when the request in progress was sent, or 0.
	requestedAt cactuspin.Time
	// lastDataAt is when the caller last sent data, retransmissions how often it
	// has retransmitted the request in progress.
	lastDataAt      cactuspin.Time
	retransmissions uint8
	// requests counts the requests of the flow up to longFlowRequests.
	requests uint8
	// nextSequence is the sequence number after the last data, acknowledged the
	// highest acknowledgement number of the caller.
	nextSequence, acknowledged uint32
	established                bool
	// answerPending reports that the answer to the last request is not known to be
	// complete, answerStart is the acknowledgement number at the request.
	answerPending bool
	answerStart   uint32
	// firstPartAfter is the time from the request to a first part of the answer that
	// is short, or 0.
	firstPartAfter time.Duration
	route          *route
}

// flowTable holds the flows whose packets this host has seen, in shards.
type flowTable struct {
	shards [flowShards]flowShard
	// next is the index of the next shard to sweep.
	next int
}

// flowShard is a shard of the flow table; mu guards it and its flows.
type flowShard struct {
	mu     sync.Mutex
	flows  map[flowKey]*flow
	random *rand.Rand
	limit  int
}

func (x *flowTable) init(limit int, seed uint64) {
	for i := range x.shards {
		h := &x.shards[i]
		h.flows = map[flowKey]*flow{}
		h.random = rand.New(rand.NewPCG(seed, uint64(i)))
		h.limit = max(1, limit/flowShards)
	}
}

func (x *flowTable) shard(p *cactuspin.Packet) *flowShard {
	a := p.Caller.Addr().As4()
	return &x.shards[(uint(a[3])^uint(p.Caller.Port()))%flowShards]
}

func keyOf(p *cactuspin.Packet) flowKey { return flowKey{endpointOf(p.Caller), endpointOf(p.Service)} }

// open records that the first packet of a flow is forwarded to t.
func (h *flowShard) open(now cactuspin.Time, p *cactuspin.Packet, t *target, r *route) {
	f := h.flows[keyOf(p)]
	if f == nil {
		f = &flow{route: r}
		h.add(p, f)
	}
	f.assign(t)
	f.lastSeen, f.established, f.nextSequence = now, false, p.Sequence+1
}

// establishedTarget returns the target at which the flow of a packet was
// established, or nil if this host has not seen that. If two targets answer the
// SYN and its retransmission, the caller's packets carry the cookie of the last
// answer, while the flow is established at the target that answered first.
func (h *flowShard) establishedTarget(p *cactuspin.Packet) *target {
	if f := h.flows[keyOf(p)]; f != nil && f.established {
		return f.target
	}
	return nil
}

// recordPacket records a packet that is forwarded to t and returns its flow.
func (h *flowShard) recordPacket(now cactuspin.Time, p *cactuspin.Packet, t *target, r *route) *flow {
	f := h.flows[keyOf(p)]
	if f == nil {
		f = &flow{nextSequence: p.Sequence, acknowledged: p.Acknowledgement, established: true, route: r}
		h.add(p, f)
	}
	f.assign(t)
	f.lastSeen = now
	if p.Flags&(cactuspin.FlagRST|cactuspin.FlagFIN) != 0 {
		delete(h.flows, keyOf(p))
	}
	return f
}

// add adds a flow. If the shard is full, it evicts an arbitrary flow first, which
// affects only the counts of its target.
func (h *flowShard) add(p *cactuspin.Packet, f *flow) {
	if len(h.flows) >= h.limit {
		for k, old := range h.flows {
			old.unassign()
			delete(h.flows, k)
			break
		}
	}
	h.flows[keyOf(p)] = f
}

const (
	// firstRetransmission is when callers first retransmit unacknowledged data, as
	// defined by the platform. Each later interval is twice as long.
	firstRetransmission = 200 * time.Millisecond
	// minRetransmission is lower to allow for jitter on the links to callers.
	minRetransmission  = 150 * time.Millisecond
	maxRetransmissions = 8
	// shardsPerTick is the number of shards that a tick sweeps, so that all are
	// swept within firstRetransmission.
	shardsPerTick = 4
)

// maxUnanswered limits the number of requests that one sweep reports.
const maxUnanswered = 16

// UnansweredRequest is a request without an answer within the timeout of its
// route, judging by the packets that passed this host.
type UnansweredRequest struct {
	Caller, Service netip.AddrPort
	Target          cactuspin.TargetID
	// Waited is the time since the request was sent.
	Waited time.Duration
}

// sweep removes the idle flows of the next shard, and ends and returns requests
// that have timed out.
func (x *flowTable) sweep(now cactuspin.Time, idle time.Duration) (unanswered []UnansweredRequest) {
	h := &x.shards[x.next]
	x.next = (x.next + 1) % flowShards
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, f := range h.flows {
		f.expireAnswer(now)
		if f.requestedAt != 0 && f.assumedAnswered(now) {
			f.endRequest()
		}
		if f.requestedAt != 0 && now.Sub(f.requestedAt) > f.route.Timeout {
			if len(unanswered) < maxUnanswered {
				unanswered = append(unanswered, UnansweredRequest{Caller: k.caller.addrPort(), Service: k.service.addrPort(), Target: f.target.registered.ID, Waited: now.Sub(f.requestedAt)})
			}
			f.endRequest()
		}
		if now.Sub(f.lastSeen) > idle {
			f.unassign()
			delete(h.flows, k)
		}
	}
	return unanswered
}

// observe updates the flow from a packet of the caller and records in the verdict
// whether the packet begins a request, retransmits data or acknowledges an answer.
// It reports whether the packet shows that the target has answered.
func (f *flow) observe(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict) (answered bool) {
	if !f.established {
		f.established, f.acknowledged, answered = true, p.Acknowledgement, true
		f.target.health.recordAlive(now)
	}
	if int32(p.Acknowledgement-f.acknowledged) > 0 {
		f.acknowledged, answered = p.Acknowledgement, true
		f.target.health.recordAlive(now)
		if f.requestedAt != 0 {
			v.ResponseTime = now.Sub(f.requestedAt)
			f.recordResponseTime(now, v.ResponseTime, p.Acknowledgement)
		}
		f.endRequest()
	}
	f.observeData(now, p, v)
	if p.Flags&(cactuspin.FlagRST|cactuspin.FlagFIN) != 0 {
		f.recordAnswer(now, p.Acknowledgement)
		f.recordEnd()
		f.unassign()
	}
	return answered
}

// recordResponseTime records the time from a request to the first part of its answer.
// If the part is short, this is a refusal or the beginning of a long answer, which
// shows when the answer ends.
func (f *flow) recordResponseTime(now cactuspin.Time, d time.Duration, acknowledged uint32) {
	if f.answerPending && f.route.answers.isShort(acknowledged-f.answerStart) {
		f.firstPartAfter = d
		return
	}
	f.recordSlowness(now, d)
}

func (f *flow) recordSlowness(now cactuspin.Time, d time.Duration) {
	if ratio := f.route.responseTimes.record(d); ratio > 0 {
		f.target.slowness.record(now, ratio)
	}
}

func (f *flow) observeData(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict) {
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if int32(end-f.nextSequence) <= 0 {
		f.observeRetransmission(now, v)
		return
	}
	f.nextSequence, f.lastDataAt = end, now
	if f.requestedAt == 0 {
		v.Request = true
		f.countRequest()
		f.recordAnswer(now, p.Acknowledgement)
		f.answerPending, f.answerStart, f.firstPartAfter = true, p.Acknowledgement, 0
		f.requestedAt, f.retransmissions = now, 0
		f.target.busy.Add(1)
	}
}

// observeRetransmission handles data that was sent before. Reordered packets look
// the same, but arrive sooner than callers retransmit.
func (f *flow) observeRetransmission(now cactuspin.Time, v *cactuspin.Verdict) {
	if now.Sub(f.lastDataAt) < minRetransmission {
		return
	}
	v.Retransmitted = true
	f.lastDataAt = now
	f.retransmissions = min(f.retransmissions+1, maxRetransmissions)
	f.target.health.recordMiss(now, f.requestedAt)
}

// assumedAnswered reports whether the request in progress counts as answered
// although this host saw no acknowledgement: the caller would have retransmitted
// it otherwise.
func (f *flow) assumedAnswered(now cactuspin.Time) bool {
	return f.retransmissions == 0 && now.Sub(f.lastDataAt) > firstRetransmission+firstRetransmission/2
}

// endRequest ends the request in progress, if any.
func (f *flow) endRequest() {
	if f.requestedAt != 0 {
		f.requestedAt = 0
		f.target.busy.Add(-1)
	}
}

// assign assigns the flow to t and updates the flow counts.
func (f *flow) assign(t *target) {
	if f.target != t {
		f.unassign()
		f.target = t
		t.flows.Add(1)
	}
}

// unassign removes the flow from its target and from the target's counts.
func (f *flow) unassign() {
	if f.target == nil {
		return
	}
	f.endRequest()
	f.answerPending = false
	f.target.flows.Add(-1)
	f.target = nil
}

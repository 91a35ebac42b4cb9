package balancer

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
)

// flowShards is the number of parts of the flow table, each with its own lock.
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

// flow is what a host remembers of a flow.
type flow struct {
	target *target
	seen   cactuspin.Time
	// requested is when the request in progress was sent, or 0.
	requested cactuspin.Time
	// dataAt is when the caller last sent data, repeats how often it has repeated
	// the request in progress.
	dataAt  cactuspin.Time
	repeats uint8
	// sent is the sequence number after the last data, acknowledged what the
	// caller has received.
	sent, acknowledged uint32
	opened             bool
	// pending says that the answer to the last request is not complete as far as
	// is known, base what was acknowledged before it.
	pending bool
	base    uint32
	route   *route
}

// flowTable holds the remembered flows.
type flowTable struct {
	shards [flowShards]flowShard
	// next is the shard that is swept next.
	next int
}

// flowShard is a part of the flow table; mu guards it and its flows.
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

// open remembers that the first packet of a flow goes to t.
func (h *flowShard) open(now cactuspin.Time, p *cactuspin.Packet, t *target, r *route) {
	f := h.flows[keyOf(p)]
	if f == nil {
		f = &flow{route: r}
		h.add(p, f)
	}
	f.join(t)
	f.seen, f.opened, f.sent = now, false, p.Sequence+1
}

// opened returns the target at which the flow of a packet opened, or nil if this
// host has not seen that. If two targets answer the copies of a first packet, the
// caller's packets carry the cookie that came last, while the flow is open where
// the answer came first.
func (h *flowShard) opened(p *cactuspin.Packet) *target {
	if f := h.flows[keyOf(p)]; f != nil && f.opened {
		return f.target
	}
	return nil
}

// touch returns the flow of a packet that goes to t.
func (h *flowShard) touch(now cactuspin.Time, p *cactuspin.Packet, t *target, r *route) *flow {
	f := h.flows[keyOf(p)]
	if f == nil {
		f = &flow{sent: p.Sequence, acknowledged: p.Acknowledgement, opened: true, route: r}
		h.add(p, f)
	}
	f.join(t)
	f.seen = now
	if p.Flags&(cactuspin.FlagRST|cactuspin.FlagFIN) != 0 {
		delete(h.flows, keyOf(p))
	}
	return f
}

// add takes a flow in. A full shard first lets go of any other flow: it loses
// only its share in the counts.
func (h *flowShard) add(p *cactuspin.Packet, f *flow) {
	if len(h.flows) >= h.limit {
		for k, old := range h.flows {
			old.leave()
			delete(h.flows, k)
			break
		}
	}
	h.flows[keyOf(p)] = f
}

const (
	// firstRepeat is when callers repeat data that was not acknowledged; the
	// platform says so. Later repeats take twice as long each.
	firstRepeat = 200 * time.Millisecond
	// minRepeat is below that by the jitter of the links to callers.
	minRepeat  = 150 * time.Millisecond
	maxRepeats = 8
	// sweptShards is how many shards a tick sweeps, so that all are swept within
	// firstRepeat.
	sweptShards = 4
)

// maxUnanswered bounds the requests that one sweep reports.
const maxUnanswered = 16

// UnansweredRequest is a request that had no answer within its route's timeout, as far
// as its packets came through this host.
type UnansweredRequest struct {
	Caller, Service netip.AddrPort
	Target          cactuspin.TargetID
	// Waited is the time since the request.
	Waited time.Duration
}

// sweep forgets the idle flows of one shard, and requests that their callers
// have given up, which it returns.
func (x *flowTable) sweep(now cactuspin.Time, idle time.Duration) (lost []UnansweredRequest) {
	h := &x.shards[x.next]
	x.next = (x.next + 1) % flowShards
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, f := range h.flows {
		f.fallSilent(now)
		if f.requested != 0 && f.answered(now) {
			f.finish()
		}
		if f.requested != 0 && now.Sub(f.requested) > f.route.Timeout {
			if len(lost) < maxUnanswered {
				lost = append(lost, UnansweredRequest{Caller: k.caller.addrPort(), Service: k.service.addrPort(), Target: f.target.registered.ID, Waited: now.Sub(f.requested)})
			}
			f.finish()
		}
		if now.Sub(f.seen) > idle {
			f.leave()
			delete(h.flows, k)
		}
	}
	return lost
}

// observe learns from a packet that the caller sent on the flow, and tells the
// verdict what the packet does.
func (f *flow) observe(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict) {
	if !f.opened {
		f.opened, f.acknowledged = true, p.Acknowledgement
		f.target.health.live(now)
	}
	if int32(p.Acknowledgement-f.acknowledged) > 0 {
		f.acknowledged = p.Acknowledgement
		f.target.health.live(now)
		if f.requested != 0 {
			v.ResponseTime = now.Sub(f.requested)
		}
		f.finish()
	}
	f.observeData(now, p, v)
	if p.Flags&(cactuspin.FlagRST|cactuspin.FlagFIN) != 0 {
		f.conclude(p.Acknowledgement)
		f.leave()
	}
}

func (f *flow) observeData(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict) {
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if int32(end-f.sent) <= 0 {
		f.observeRepeat(now, v)
		return
	}
	f.sent, f.dataAt = end, now
	if f.requested == 0 {
		v.Request = true
		f.conclude(p.Acknowledgement)
		f.pending, f.base = true, p.Acknowledgement
		f.requested, f.repeats = now, 0
		f.target.busy.Add(1)
	}
}

// observeRepeat takes data that was sent before. Packets that overtook one
// another on the way look the same, but come sooner than callers repeat.
func (f *flow) observeRepeat(now cactuspin.Time, v *cactuspin.Verdict) {
	if now.Sub(f.dataAt) < minRepeat {
		return
	}
	v.Retransmitted = true
	f.dataAt = now
	f.repeats = min(f.repeats+1, maxRepeats)
	f.target.health.miss(now, f.requested)
}

// answered tells whether the request in progress was answered without any
// acknowledgement that this host saw: its caller would have repeated it.
func (f *flow) answered(now cactuspin.Time) bool {
	return f.repeats == 0 && now.Sub(f.dataAt) > firstRepeat+firstRepeat/2
}

// finish takes the end of the request in progress.
func (f *flow) finish() {
	if f.requested != 0 {
		f.requested = 0
		f.target.busy.Add(-1)
	}
}

// join counts the flow at t.
func (f *flow) join(t *target) {
	if f.target != t {
		f.leave()
		f.target = t
		t.flows.Add(1)
	}
}

// leave takes the flow out of its target's counts.
func (f *flow) leave() {
	if f.target == nil {
		return
	}
	f.finish()
	f.pending = false
	f.target.flows.Add(-1)
	f.target = nil
}

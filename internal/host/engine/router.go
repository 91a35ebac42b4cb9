package engine

import (
	"sync"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/membership/detector"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// maxHops is the maximum number of times that a request is relayed between hosts
// to find its authority.
const maxHops = 3

// maxOwnerHops is the maximum number of times that a request is relayed to find
// the owner of its flow. Hosts with different views could relay it to each other
// forever.
const maxOwnerHops = 2

// routedRequest is a request with the state that the filters share.
type routedRequest struct {
	now     cactuspin.Time
	request cactuspin.Request
	view    *placer.View
	service *placer.ServiceView
	// cookie is valid when hasCookie is set.
	cookie    sealer.Cookie
	hasCookie bool
}

// filter examines a request and reports whether it has handled it.
type filter func(e *Engine, r *routedRequest, out *cactuspin.Actions) (done bool)

// filters is the chain of filters that every request passes through, in order.
var filters = [...]filter{
	openCookie,
	routeToAuthority,
	relayWithoutBundle,
	refuseUnknownAddress,
	openFlow,
	routeToOwner,
}

// Request handles a caller's request that the fabric delivered to this host.
func (e *Engine) Request(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	e.detectPause(now, out)
	e.handleRequest(now, r, out)
}

// requestPool reuses routed requests, so that routing a request of an established
// flow allocates nothing.
var requestPool = sync.Pool{New: func() any { return new(routedRequest) }}

func (e *Engine) handleRequest(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	x, ok := requestPool.Get().(*routedRequest)
	if !ok {
		x = new(routedRequest)
	}
	*x = routedRequest{now: now, request: r, view: e.View()}
	e.route(x, out)
	*x = routedRequest{}
	requestPool.Put(x)
}

func (e *Engine) route(r *routedRequest, out *cactuspin.Actions) {
	r.service = r.view.ServiceAt(r.request.Service)
	for _, f := range filters {
		if f(e, r, out) {
			return
		}
	}
}

// openCookie decodes the cookie of a request. A request that is not idempotent
// and whose cookie cannot be opened may have run under a key that has been
// removed since.
func openCookie(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	if len(r.request.Cookie) == 0 || r.request.Observe != cactuspin.ObserveNone {
		return false
	}
	c, err := e.sealer.Open(r.request.Cookie)
	if err == nil {
		r.cookie = c
		r.hasCookie = true
		return false
	}
	if r.request.Method.Idempotent() {
		return false
	}
	e.answer(r, cactuspin.CodeGatewayTimeout, "may have run: the cookie cannot be read", out)
	r.logDecision(cactuspin.DecisionRefuse, "cookie cannot be read", 0, out)
	return true
}

// routeToAuthority handles a request with a cookie here or relays it to the only
// process that may accept it. No other process may answer that the request did
// not run.
func routeToAuthority(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	if !r.hasCookie {
		return false
	}
	if e.handleAsAuthority(r, out) {
		return true
	}
	if h, ok := r.view.Successors[r.cookie.Incarnation]; ok && h != e.cfg.Self {
		return e.relay(r, h, "authority was handed over", out)
	}
	switch e.status(r) {
	case detector.StatusLive:
		return e.relay(r, r.cookie.Host, "authority lives there", out)
	case detector.StatusUnknown:
		if r.request.Method.Idempotent() {
			return false
		}
		if h, ok := e.relayFor(r); ok {
			return e.relay(r, h, "authority is heard there", out)
		}
		r.logDecision(cactuspin.DecisionDrop, "authority is out of reach", r.cookie.Host, out)
		return true
	case detector.StatusDead:
	}
	if r.request.Method.Idempotent() {
		return false
	}
	e.answer(r, cactuspin.CodeGatewayTimeout, "may have run: its host is gone", out)
	r.logDecision(cactuspin.DecisionRefuse, "authority is gone", r.cookie.Host, out)
	return true
}

// handleAsAuthority handles the request if this host holds the authority that the
// cookie names, and reports whether it did.
func (e *Engine) handleAsAuthority(r *routedRequest, out *cactuspin.Actions) bool {
	mine := r.cookie.Incarnation == e.cfg.Incarnation
	if !mine && r.view.Successors[r.cookie.Incarnation] != e.cfg.Self {
		return false
	}
	s := e.shard(r.now, r.cookie.Service, out)
	s.Lock()
	handled := s.dispatcher.HoldsAuthority(r.cookie.Incarnation)
	if handled {
		s.dispatcher.HandleRecorded(r.now, r.request, r.cookie, out)
	}
	s.Unlock()
	return handled || e.holdOrRedirect(r, out)
}

func (e *Engine) status(r *routedRequest) detector.Status {
	if m, ok := r.view.Member(r.cookie.Host); ok && m.Incarnation == r.cookie.Incarnation && m.Host != e.cfg.Self {
		return detector.StatusLive
	}
	if r.cookie.Host == e.cfg.Self {
		return detector.StatusDead
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detector.Status(r.now, r.cookie.Host, r.cookie.Incarnation, r.cookie.Issued)
}

// relayWithoutBundle relays requests while this host has no bundle and others do.
// While it does not know whether they do, it drops the request and relies on the
// caller's retransmission.
func relayWithoutBundle(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	if r.view.Version > 0 {
		return false
	}
	if h, ok := e.pickReadyHost(r); ok {
		return e.relay(r, h, "no bundle here yet", out)
	}
	e.mu.Lock()
	_, all := e.detector.HighestVersion()
	wait := !all && e.detector.PeerCount() > 0 && r.now.Sub(e.cfg.Start) < startupTimeout
	e.mu.Unlock()
	if wait {
		r.logDecision(cactuspin.DecisionDrop, "this host has just started", 0, out)
	}
	return wait
}

// pickReadyHost picks another host that has a bundle and is not about to stop.
func (e *Engine) pickReadyHost(r *routedRequest) (h cactuspin.HostID, ok bool) {
	cs := make([]placer.Candidate, 0, len(r.view.Members))
	for _, m := range r.view.Members {
		if m.Host != e.cfg.Self && !m.Leaving {
			cs = append(cs, placer.Candidate{Host: m.Host, Zone: m.Zone, Weight: 1})
		}
	}
	return placer.Pick(placer.FlowHash(r.request.Caller, r.request.Service), cs, nil)
}

// relayFor returns a host that receives the authority's heartbeats while this one
// does not.
func (e *Engine) relayFor(r *routedRequest) (h cactuspin.HostID, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detector.RelayFor(r.cookie.Host)
}

// refuseUnknownAddress refuses a request to an address without a service in the
// bundle in force. A request that reaches this filter and is not idempotent has
// no cookie, so it has not run on any host.
func refuseUnknownAddress(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	if r.service != nil {
		return false
	}
	reason := "no service at this address"
	if r.view.Version == 0 {
		reason = "no bundle in force"
	}
	r.logDecision(cactuspin.DecisionRefuse, reason, 0, out)
	if r.request.Method.Idempotent() {
		e.answer(r, cactuspin.CodeTooManyRequests, "refused; "+reason, out)
		return true
	}
	e.answer(r, cactuspin.CodeServiceUnavailable, "not run: "+reason, out)
	return true
}

// openFlow answers a request that needs a cookie and has none with a new cookie.
// Such a request has certainly not run, because no host executes it without a
// cookie.
func openFlow(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	if r.request.Method.Idempotent() || r.hasCookie {
		return false
	}
	e.answer(r, cactuspin.CodeUnauthorized, "", out)
	r.logDecision(cactuspin.DecisionOpen, "flow opened", 0, out)
	return true
}

// routeToOwner dispatches a request here or relays it to the host that owns its
// flow.
func routeToOwner(e *Engine, r *routedRequest, out *cactuspin.Actions) bool {
	h := e.cfg.Self
	if r.request.Hops < maxOwnerHops {
		if x, ok := e.loads.flowOwner(r.service, placer.FlowHash(r.request.Caller, r.request.Service)); ok {
			h = x
		}
	}
	if h != e.cfg.Self {
		return e.relay(r, h, "flow belongs there", out)
	}
	e.withShard(r.now, r.service.Service.ID, out, func(d *dispatcher.Dispatcher) {
		d.HandleUnrecorded(r.now, r.request, out)
	})
	return true
}

// relay relays the request to another host, or drops it after maxHops hops. It
// always returns true, because the request is handled either way.
func (e *Engine) relay(r *routedRequest, h cactuspin.HostID, reason string, out *cactuspin.Actions) bool {
	if r.request.Hops >= maxHops {
		r.logDecision(cactuspin.DecisionDrop, "too many hops", h, out)
		return true
	}
	x := r.request
	x.Hops++
	out.Relay(h, x)
	r.logDecision(cactuspin.DecisionRelay, reason, h, out)
	return true
}

func (e *Engine) withShard(now cactuspin.Time, id cactuspin.ServiceID, out *cactuspin.Actions, f func(*dispatcher.Dispatcher)) {
	s := e.shard(now, id, out)
	s.Lock()
	defer s.Unlock()
	f(s.dispatcher)
}

// answer sends the host's own reply to a request, without involving the dispatcher of
// the service.
func (e *Engine) answer(r *routedRequest, code cactuspin.Code, text string, out *cactuspin.Actions) {
	a := r.request.Reply(code)
	a.Payload = []byte(text)
	if code == cactuspin.CodeServiceUnavailable || code == cactuspin.CodeTooManyRequests {
		a.MaxAge = defaultRetryAfter
	}
	if r.service != nil {
		a.Cookie = e.issueCookie(r.now, r.request, r.service.Service.ID)
	}
	out.Answer(a)
}

func (r *routedRequest) logDecision(k cactuspin.DecisionKind, reason string, h cactuspin.HostID, out *cactuspin.Actions) {
	d := cactuspin.Decision{Kind: k, Reason: reason, Caller: r.request.Caller, Token: r.request.Token, Host: h}
	if r.service != nil {
		d.Service = r.service.Service.ID
	}
	out.LogDecision(d)
}

// issueCookie seals a cookie that names the owner of the caller's flow.
func (e *Engine) issueCookie(now cactuspin.Time, r cactuspin.Request, id cactuspin.ServiceID) []byte {
	v := e.View()
	self, _ := v.Member(e.cfg.Self)
	owner := self
	if s := v.Service(id); s != nil {
		flow := placer.FlowHash(r.Caller, r.Service)
		if h, ok := e.loads.flowOwner(s, flow); ok {
			owner, _ = v.Member(h)
		}
	}
	return e.sealer.Append(make([]byte, 0, sealer.Length), sealer.Cookie{
		Host:        owner.Host,
		Incarnation: owner.Incarnation,
		Flow:        cactuspin.FlowID(e.nextRandom()),
		Service:     id,
		Issued:      now.Seconds(),
	})
}

// nextRandom returns the next number of a splitmix64 generator that is
// initialised with the seed.
func (e *Engine) nextRandom() uint64 {
	const step = 0x9e3779b97f4a7c15
	z := e.cfg.Seed + e.randoms.Add(1)*step
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Acknowledge handles a caller's empty message.
func (e *Engine) Acknowledge(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	e.detectPause(now, out)
	v := e.View()
	h := placer.HostForMessageID(placer.FlowHash(a.Caller, a.Service), a.MessageID, v.Hosts)
	if h != e.cfg.Self {
		out.Peer(h, cactuspin.PeerMessage{Acknowledgement: &a})
		return
	}
	e.handleAcknowledgement(now, a, out)
}

func (e *Engine) handleAcknowledgement(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	sv := e.View().ServiceAt(a.Service)
	if sv == nil {
		return
	}
	e.withShard(now, sv.Service.ID, out, func(d *dispatcher.Dispatcher) {
		d.Acknowledge(now, a, out)
	})
}

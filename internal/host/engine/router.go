package engine

import (
	"sync"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/membership/detector"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// maxHops is how often a request is passed from host to host to find its
// authority.
const maxHops = 3

// maxHomeHops is how often a request is passed on to find its home. Hosts with
// different views could go on for ever.
const maxHomeHops = 2

// routed is a request on its way through the filters.
type routed struct {
	now     cactuspin.Time
	request cactuspin.Request
	view    *placer.View
	service *placer.ServiceView
	// cookie is valid when hasCookie is set.
	cookie    sealer.Cookie
	hasCookie bool
}

// filter looks at a request and tells whether it has dealt with it.
type filter func(e *Engine, r *routed, out *cactuspin.Actions) (done bool)

// filters is the chain that every request goes through.
var filters = [...]filter{
	openCookie,
	toAuthority,
	withoutBundle,
	unknownAddress,
	openFlow,
	toHome,
}

// Request takes a caller's request that the fabric handed to this host.
func (e *Engine) Request(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	e.noticePause(now, out)
	e.begin(now, r, out)
}

// routes are reused: a decision about an established flow allocates nothing.
var routes = sync.Pool{New: func() any { return new(routed) }}

func (e *Engine) begin(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	x, ok := routes.Get().(*routed)
	if !ok {
		x = new(routed)
	}
	*x = routed{now: now, request: r, view: e.View()}
	e.route(x, out)
	*x = routed{}
	routes.Put(x)
}

func (e *Engine) route(r *routed, out *cactuspin.Actions) {
	r.service = r.view.At(r.request.Service)
	for _, f := range filters {
		if f(e, r, out) {
			return
		}
	}
}

// openCookie reads the cookie. A request that carries one that cannot be read
// may have been run under a key that is no longer known.
func openCookie(e *Engine, r *routed, out *cactuspin.Actions) bool {
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
	r.decide(cactuspin.DecisionRefuse, "cookie cannot be read", 0, out)
	return true
}

// toAuthority brings a request with a cookie to the one process that may accept
// it. No other says that the request did not run.
func toAuthority(e *Engine, r *routed, out *cactuspin.Actions) bool {
	if !r.hasCookie {
		return false
	}
	if e.judge(r, out) {
		return true
	}
	if h, ok := r.view.Heirs[r.cookie.Incarnation]; ok && h != e.cfg.Self {
		return e.relay(r, h, "authority was handed over", out)
	}
	switch e.status(r) {
	case detector.StatusLive:
		return e.relay(r, r.cookie.Host, "authority lives there", out)
	case detector.StatusUnknown:
		if r.request.Method.Idempotent() {
			return false
		}
		if h, ok := e.via(r); ok {
			return e.relay(r, h, "authority is heard there", out)
		}
		r.decide(cactuspin.DecisionDrop, "authority is out of reach", r.cookie.Host, out)
		return true
	case detector.StatusGone:
	}
	if r.request.Method.Idempotent() {
		return false
	}
	e.answer(r, cactuspin.CodeGatewayTimeout, "may have run: its host is gone", out)
	r.decide(cactuspin.DecisionRefuse, "authority is gone", r.cookie.Host, out)
	return true
}

// judge hands the request to this host's own authority, if it is that.
func (e *Engine) judge(r *routed, out *cactuspin.Actions) bool {
	mine := r.cookie.Incarnation == e.cfg.Incarnation
	if !mine && r.view.Heirs[r.cookie.Incarnation] != e.cfg.Self {
		return false
	}
	s := e.shard(r.now, r.cookie.Service, out)
	s.Lock()
	holds := s.dispatcher.HoldsAuthority(r.cookie.Incarnation)
	if holds {
		s.dispatcher.HandleRecorded(r.now, r.request, r.cookie, out)
	}
	s.Unlock()
	return holds || e.hold(r, out)
}

func (e *Engine) status(r *routed) detector.Status {
	if m, ok := r.view.Member(r.cookie.Host); ok && m.Incarnation == r.cookie.Incarnation && m.Host != e.cfg.Self {
		return detector.StatusLive
	}
	if r.cookie.Host == e.cfg.Self {
		return detector.StatusGone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prober.Status(r.now, r.cookie.Host, r.cookie.Incarnation, r.cookie.Issued)
}

// withoutBundle passes requests on while this host has no bundle and others do.
// While it does not yet know whether they do it leaves the request to a
// retransmission.
func withoutBundle(e *Engine, r *routed, out *cactuspin.Actions) bool {
	if r.view.Version > 0 {
		return false
	}
	if h, ok := e.anyReady(r); ok {
		return e.relay(r, h, "no bundle here yet", out)
	}
	e.mu.Lock()
	_, all := e.prober.Highest()
	wait := !all && e.prober.Known() > 0 && r.now.Sub(e.cfg.Start) < bootLimit
	e.mu.Unlock()
	if wait {
		r.decide(cactuspin.DecisionDrop, "this host has just started", 0, out)
	}
	return wait
}

// anyReady picks a host that has a bundle.
func (e *Engine) anyReady(r *routed) (h cactuspin.HostID, ok bool) {
	cs := make([]placer.Candidate, 0, len(r.view.Members))
	for _, m := range r.view.Members {
		if m.Host != e.cfg.Self && !m.Leaving {
			cs = append(cs, placer.Candidate{Host: m.Host, Zone: m.Zone, Weight: 1})
		}
	}
	return placer.Pick(placer.FlowHash(r.request.Caller, r.request.Service), cs, nil)
}

// via returns a host that hears the authority while this one does not.
func (e *Engine) via(r *routed) (h cactuspin.HostID, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prober.Via(r.cookie.Host)
}

// unknownAddress refuses what no bundle in force here has a service for. A
// request without a cookie that is not idempotent has run nowhere.
func unknownAddress(e *Engine, r *routed, out *cactuspin.Actions) bool {
	if r.service != nil {
		return false
	}
	why := "no service at this address"
	if r.view.Version == 0 {
		why = "no bundle in force"
	}
	r.decide(cactuspin.DecisionRefuse, why, 0, out)
	if r.request.Method.Idempotent() {
		e.answer(r, cactuspin.CodeTooManyRequests, "refused; "+why, out)
		return true
	}
	e.answer(r, cactuspin.CodeServiceUnavailable, "not run: "+why, out)
	return true
}

// openFlow answers a request that needs a cookie and has none. It truly was not
// run: no host runs such a request.
func openFlow(e *Engine, r *routed, out *cactuspin.Actions) bool {
	if r.request.Method.Idempotent() || r.hasCookie {
		return false
	}
	e.answer(r, cactuspin.CodeUnauthorized, "", out)
	r.decide(cactuspin.DecisionOpen, "flow opened", 0, out)
	return true
}

// toHome brings idempotent work to the host that its flow belongs to.
func toHome(e *Engine, r *routed, out *cactuspin.Actions) bool {
	h := e.cfg.Self
	if r.request.Hops < maxHomeHops {
		if x, ok := e.loads.home(r.service, placer.FlowHash(r.request.Caller, r.request.Service)); ok {
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

// relay passes the request to another host.
func (e *Engine) relay(r *routed, h cactuspin.HostID, why string, out *cactuspin.Actions) bool {
	if r.request.Hops >= maxHops {
		r.decide(cactuspin.DecisionDrop, "too many hops", h, out)
		return true
	}
	x := r.request
	x.Hops++
	out.Relay(h, x)
	r.decide(cactuspin.DecisionRelay, why, h, out)
	return true
}

func (e *Engine) withShard(now cactuspin.Time, id cactuspin.ServiceID, out *cactuspin.Actions, f func(*dispatcher.Dispatcher)) {
	s := e.shard(now, id, out)
	s.Lock()
	defer s.Unlock()
	f(s.dispatcher)
}

// answer gives a caller an answer that this host can give by itself.
func (e *Engine) answer(r *routed, code cactuspin.Code, text string, out *cactuspin.Actions) {
	a := r.request.Reply(code)
	a.Payload = []byte(text)
	if code == cactuspin.CodeServiceUnavailable || code == cactuspin.CodeTooManyRequests {
		a.MaxAge = defaultRetryAfter
	}
	if r.service != nil {
		a.Cookie = e.mint(r.now, r.request, r.service.Service.ID)
	}
	out.Answer(a)
}

func (r *routed) decide(k cactuspin.DecisionKind, why string, h cactuspin.HostID, out *cactuspin.Actions) {
	d := cactuspin.Decision{Kind: k, Reason: why, Caller: r.request.Caller, Token: r.request.Token, Host: h}
	if r.service != nil {
		d.Service = r.service.Service.ID
	}
	out.LogDecision(d)
}

// mint seals a cookie that names the home of the caller's flow.
func (e *Engine) mint(now cactuspin.Time, r cactuspin.Request, id cactuspin.ServiceID) []byte {
	v := e.View()
	self, _ := v.Member(e.cfg.Self)
	owner := self
	if s := v.Service(id); s != nil {
		flow := placer.FlowHash(r.Caller, r.Service)
		if h, ok := e.loads.home(s, flow); ok {
			owner, _ = v.Member(h)
		}
	}
	return e.sealer.Append(make([]byte, 0, sealer.Length), sealer.Cookie{
		Host:        owner.Host,
		Incarnation: owner.Incarnation,
		Flow:        cactuspin.FlowID(e.nextFlow()),
		Service:     id,
		Issued:      now.Seconds(),
	})
}

// nextFlow draws a flow number: splitmix64 over the seed.
func (e *Engine) nextFlow() uint64 {
	const step = 0x9e3779b97f4a7c15
	z := e.cfg.Seed + e.flows.Add(1)*step
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Acknowledge takes a caller's empty message.
func (e *Engine) Acknowledge(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	e.noticePause(now, out)
	v := e.View()
	h := placer.HostForMessageID(placer.FlowHash(a.Caller, a.Service), a.MessageID, v.Hosts)
	if h != e.cfg.Self {
		out.Peer(h, cactuspin.PeerMessage{Acknowledgement: &a})
		return
	}
	e.acknowledgeHere(now, a, out)
}

func (e *Engine) acknowledgeHere(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	sv := e.View().At(a.Service)
	if sv == nil {
		return
	}
	e.withShard(now, sv.Service.ID, out, func(d *dispatcher.Dispatcher) {
		d.Acknowledge(now, a, out)
	})
}

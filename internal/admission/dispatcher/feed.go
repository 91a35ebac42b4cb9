package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// Timeouts and ages of observations.
const (
	// feedIdleTimeout is how long an observation is kept without a message from its
	// caller.
	feedIdleTimeout = 60 * time.Second
	// feedProbeAfter is the time without a message from the caller after which a
	// confirmable notification asks for one.
	feedProbeAfter = 15 * time.Second
	// feedReplicationAge is the age from which an observation is worth a replica on
	// another host.
	feedReplicationAge = 3 * time.Second
	// registerTimeout is how long a target may take to answer a registration.
	registerTimeout = 2 * time.Second
)

// sequenceMask limits an Observe value to its 24 bits (RFC 7641, section 4.4).
const sequenceMask = 1<<24 - 1

// sequenceUnit is the interval at which the Observe value grows by one even without
// notifications, so that a host that takes over an observation starts above the
// values of the previous one.
const sequenceUnit = 16 * time.Millisecond

// registration is the registration of an observation at a target.
type registration struct {
	target      cactuspin.Target
	exchange    cactuspin.ExchangeID
	sent        cactuspin.Time
	established bool
}

// feed is an observation by a caller.
type feed struct {
	key         cactuspin.FeedKey
	path        string
	options     []cactuspin.Option
	current     registration
	replacement *registration
	// index is the position in the table's order.
	index       int
	sequence    uint32
	lastCode    cactuspin.Code
	lastOptions []cactuspin.Option
	lastPayload []byte
	lastSeen    cactuspin.Time
	lastProbe   cactuspin.Time
	openedAt    cactuspin.Time
	// pendingRequest is the request that the next answer acknowledges.
	pendingRequest *cactuspin.Request
	messageID      uint16
	// movingTo is the host that the observation is being moved to.
	movingTo    cactuspin.HostID
	moveSent    cactuspin.Time
	replicaHost cactuspin.HostID
	failures    int
	// movedFrom is the host that the observation is being taken over from.
	movedFrom cactuspin.HostID
}

// feedTable holds the observations of a service.
type feedTable struct {
	byKey      map[cactuspin.FeedKey]*feed
	byExchange map[cactuspin.ExchangeID]*feed
	// byMessage maps the last message ID sent to a caller to the caller's
	// observation.
	byMessage map[messageKey]*feed
	// order holds the observations in the order in which they were added; ended ones
	// leave a nil entry until the table is compacted.
	order []*feed
	// cursor is the index in order at which the next tick continues.
	cursor int
	// replicas holds observations of other hosts that this host would take over.
	replicas map[cactuspin.FeedKey]feedReplica
}

type feedReplica struct {
	owner cactuspin.HostID
	state cactuspin.FeedState
}

func newFeedTable() feedTable {
	return feedTable{
		byKey:      make(map[cactuspin.FeedKey]*feed),
		byExchange: make(map[cactuspin.ExchangeID]*feed),
		byMessage:  make(map[messageKey]*feed),
		replicas:   make(map[cactuspin.FeedKey]feedReplica),
	}
}

func (t *feedTable) add(f *feed) {
	t.byKey[f.key] = f
	f.index = len(t.order)
	t.order = append(t.order, f)
	delete(t.replicas, f.key)
}

// observe handles a registration, a refresh or a cancellation by a caller.
func (d *Dispatcher) observe(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	key := cactuspin.FeedKey{Caller: r.Caller, Service: r.Service, Token: r.Token}
	f, ok := d.feeds.byKey[key]
	if r.Observe == cactuspin.ObserveCancel {
		d.cancelObserve(now, f, r, out)
		return
	}
	if !ok {
		f = &feed{key: key, path: r.Path, options: r.Options, openedAt: now, lastProbe: now}
		d.feeds.add(f)
		d.logFeedDecision(f, "opened", out)
	}
	f.lastSeen = now
	if f.current.established && d.responsive(now, f.current.target) {
		d.answerRefresh(now, f, &r, out)
		return
	}
	f.pendingRequest = &r
	if f.current.exchange == 0 {
		d.register(now, f, out)
	}
}

func (d *Dispatcher) cancelObserve(now cactuspin.Time, f *feed, r cactuspin.Request, out *cactuspin.Actions) {
	a := r.Reply(cactuspin.CodeContent)
	if f != nil {
		a.Options = f.lastOptions
		a.Payload = f.lastPayload
		d.endFeed(now, f, "cancelled by the caller", out)
	}
	out.Answer(a)
}

// register registers the observation at the target with the fewest observations.
func (d *Dispatcher) register(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if d.cfg.Suspended() {
		return
	}
	t, ok := d.limiter.AcquireFeed(now)
	if !ok {
		d.handleNoFeedTarget(now, f, out)
		return
	}
	f.current = d.sendRegistration(now, f, t, out)
	d.logFeedDecision(f, "registering", out)
}

func (d *Dispatcher) sendRegistration(now cactuspin.Time, f *feed, t cactuspin.Target, out *cactuspin.Actions) registration {
	r := registration{target: t, exchange: d.cfg.NextExchange(), sent: now}
	d.feeds.byExchange[r.exchange] = f
	out.Send(cactuspin.TargetSend{
		Target:   t,
		Exchange: r.exchange,
		Method:   cactuspin.MethodGet,
		Path:     f.path,
		Options:  f.options,
		Observe:  cactuspin.ObserveRegister,
		NotAfter: now.Add(registerTimeout),
	})
	return r
}

// handleNoFeedTarget refuses a new observation; an existing one waits for a target.
func (d *Dispatcher) handleNoFeedTarget(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if f.pendingRequest == nil || f.lastCode != 0 {
		return
	}
	if h, ok := d.assignedHost(f); ok && h != d.cfg.Self {
		return
	}
	a := f.pendingRequest.Reply(cactuspin.CodeTooManyRequests)
	a.MaxAge = d.retryAfter
	a.Payload = []byte("refused; ask again")
	out.Answer(a)
	d.endFeed(now, f, "no target", out)
}

// unregister cancels a registration at its target.
func (d *Dispatcher) unregister(r *registration, f *feed, out *cactuspin.Actions) {
	if r.exchange == 0 {
		return
	}
	delete(d.feeds.byExchange, r.exchange)
	d.limiter.ReleaseFeed(r.target)
	if c, ok := d.connections[r.target]; ok && c.connected {
		out.Send(cactuspin.TargetSend{
			Target:   r.target,
			Exchange: r.exchange,
			Method:   cactuspin.MethodGet,
			Path:     f.path,
			Observe:  cactuspin.ObserveCancel,
		})
	}
	*r = registration{}
}

// handleNotification handles a target's answer to a registration or its notification.
func (d *Dispatcher) handleNotification(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	f, ok := d.feeds.byExchange[s.Exchange]
	if !ok {
		return
	}
	if !s.Code.Success() || !s.Notification {
		d.registrationFailed(now, f, s, out)
		return
	}
	if f.replacement != nil && f.replacement.exchange == s.Exchange {
		d.unregister(&f.current, f, out)
		f.current = *f.replacement
		f.replacement = nil
		d.logFeedDecision(f, "moved to another target", out)
	}
	f.current.established = true
	f.failures = 0
	f.lastCode = s.Code
	f.lastOptions = s.Options
	f.lastPayload = s.Payload
	if f.movedFrom != 0 {
		out.Peer(f.movedFrom, cactuspin.PeerMessage{FeedMoved: &cactuspin.FeedReference{Key: f.key}})
		f.movedFrom = 0
	}
	if f.pendingRequest != nil {
		d.answerRefresh(now, f, f.pendingRequest, out)
		return
	}
	f.advance(now)
	d.sendNotification(now, f, cactuspin.AnswerNonConfirmable, out)
}

// registrationFailed handles an error from a target. After 5.03 (Service Unavailable)
// the registration is retried: a few times for a new observation, without limit for
// one that has a state. Any other error is sent to the caller and ends the
// observation.
func (d *Dispatcher) registrationFailed(now cactuspin.Time, f *feed, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	if f.replacement != nil && f.replacement.exchange == s.Exchange {
		d.unregister(f.replacement, f, out)
		f.replacement = nil
		return
	}
	d.unregister(&f.current, f, out)
	f.failures++
	if s.Code == cactuspin.CodeServiceUnavailable && (f.failures < maxAttempts || f.lastCode != 0) {
		return
	}
	a := d.newNotification(now, f, cactuspin.AnswerConfirmable)
	if f.pendingRequest != nil {
		a = f.pendingRequest.Reply(s.Code)
	}
	a.Notification = false
	a.Code = s.Code
	a.Options = s.Options
	a.Payload = s.Payload
	out.Answer(a)
	d.endFeed(now, f, "ended by the target", out)
}

func (d *Dispatcher) handleRegistrationNotSent(now cactuspin.Time, x cactuspin.ExchangeID) {
	f, ok := d.feeds.byExchange[x]
	if !ok {
		return
	}
	if f.replacement != nil && f.replacement.exchange == x {
		delete(d.feeds.byExchange, x)
		d.limiter.ReleaseFeed(f.replacement.target)
		f.replacement = nil
		return
	}
	delete(d.feeds.byExchange, x)
	d.limiter.ReleaseFeed(f.current.target)
	f.current = registration{}
}

// reregisterFeeds moves the observations off a target whose connection ended. Those
// that find no target now are registered in one of the next ticks.
func (d *Dispatcher) reregisterFeeds(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	for _, f := range d.feeds.order {
		if f == nil {
			continue
		}
		if f.replacement != nil && f.replacement.target == t {
			d.unregister(f.replacement, f, out)
			f.replacement = nil
		}
		if f.current.exchange == 0 || f.current.target != t {
			continue
		}
		d.unregister(&f.current, f, out)
		if f.replacement != nil {
			f.current = *f.replacement
			f.replacement = nil
			continue
		}
		d.register(now, f, out)
	}
}

// endFeed ends an observation.
func (d *Dispatcher) endFeed(_ cactuspin.Time, f *feed, reason string, out *cactuspin.Actions) {
	d.unregister(&f.current, f, out)
	if f.replacement != nil {
		d.unregister(f.replacement, f, out)
	}
	delete(d.feeds.byKey, f.key)
	d.feeds.deleteMessageID(f)
	d.feeds.order[f.index] = nil
	if f.replicaHost != 0 {
		out.Peer(f.replicaHost, cactuspin.PeerMessage{FeedEnded: &cactuspin.FeedReference{Key: f.key}})
	}
	d.logFeedDecision(f, reason, out)
}

// answerRefresh answers a registration or refresh with the current state.
func (d *Dispatcher) answerRefresh(now cactuspin.Time, f *feed, r *cactuspin.Request, out *cactuspin.Actions) {
	f.advance(now)
	a := r.Reply(f.lastCode)
	a.Notification = true
	a.Sequence = f.sequence
	a.Options = f.lastOptions
	a.Payload = f.lastPayload
	if !r.Confirmable {
		a.MessageID = d.nextMessageID(f)
	}
	f.pendingRequest = nil
	out.Answer(a)
}

func (d *Dispatcher) sendNotification(now cactuspin.Time, f *feed, t cactuspin.AnswerType, out *cactuspin.Actions) {
	out.Answer(d.newNotification(now, f, t))
}

func (d *Dispatcher) newNotification(_ cactuspin.Time, f *feed, t cactuspin.AnswerType) cactuspin.Answer {
	return cactuspin.Answer{
		Caller:       f.key.Caller,
		Service:      f.key.Service,
		Token:        f.key.Token,
		MessageID:    d.nextMessageID(f),
		Type:         t,
		Code:         f.lastCode,
		Notification: true,
		Sequence:     f.sequence,
		Options:      f.lastOptions,
		Payload:      f.lastPayload,
	}
}

// advance increases the Observe value.
func (f *feed) advance(now cactuspin.Time) {
	clock := uint32(int64(now)/int64(sequenceUnit)) & sequenceMask
	next := (f.sequence + 1) & sequenceMask
	if f.sequence == 0 || (clock-next)&sequenceMask < (sequenceMask+1)/2 {
		next = clock
	}
	f.sequence = next
}

// catchUp raises the Observe value to one that the caller may have received from
// another host, so that the caller does not discard the next notification as
// outdated.
func (f *feed) catchUp(now cactuspin.Time, sequence uint32) {
	if (sequence-f.sequence)&sequenceMask < (sequenceMask+1)/2 {
		f.sequence = sequence
	}
	f.advance(now)
}

func (d *Dispatcher) logFeedDecision(f *feed, reason string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    cactuspin.DecisionFeed,
		Reason:  reason,
		Service: d.cfg.Service,
		Caller:  f.key.Caller,
		Token:   f.key.Token,
		Target:  f.current.target,
	})
}

package dispatcher

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// Times of an observation.
const (
	// feedIdle is how long a caller may give no sign before its observation ends.
	feedIdle = 60 * time.Second
	// feedProbe is how long a caller may give no sign before it is asked for one.
	feedProbe = 15 * time.Second
	// feedCopyAge is the age at which an observation is worth a copy elsewhere.
	feedCopyAge = 3 * time.Second
	// registerTimeout is how long a target may take to answer a registration.
	registerTimeout = 2 * time.Second
)

// sequenceMask keeps an Observe value in its 24 bits (RFC 7641, section 4.4).
const sequenceMask = 1<<24 - 1

// sequenceUnit is the time by which the Observe value grows by one when nothing
// else makes it grow, so that a host that takes over is ahead of the last one.
const sequenceUnit = 16 * time.Millisecond

// registration is an observation at a target.
type registration struct {
	target   cactuspin.Target
	exchange cactuspin.ExchangeID
	sent     cactuspin.Time
	live     bool
}

// feed is an observation of a caller.
type feed struct {
	key     cactuspin.FeedKey
	path    string
	options []cactuspin.Option
	at      registration
	next    *registration
	// slot is the place in the table's order.
	slot     int
	sequence uint32
	code     cactuspin.Code
	format   []cactuspin.Option
	payload  []byte
	heard    cactuspin.Time
	probed   cactuspin.Time
	since    cactuspin.Time
	// waiting is the request that the next answer acknowledges.
	waiting   *cactuspin.Request
	messageID uint16
	// home is the host that this observation is being moved to.
	home   cactuspin.HostID
	moved  cactuspin.Time
	copied cactuspin.HostID
	tries  int
	// from is the host that this observation came from.
	from cactuspin.HostID
}

// feedTable holds the observations of a service.
type feedTable struct {
	byKey      map[cactuspin.FeedKey]*feed
	byExchange map[cactuspin.ExchangeID]*feed
	// byMessage leads from the last message ID sent to a caller to its observation.
	byMessage map[messageKey]*feed
	// order holds the observations in the order of their arrival; ended ones
	// leave a nil until the table is compacted.
	order []*feed
	// cursor is where the next round of upkeep begins.
	cursor int
	// copies are observations of other hosts that this one would take over.
	copies map[cactuspin.FeedKey]feedCopy
}

type feedCopy struct {
	owner cactuspin.HostID
	move  cactuspin.FeedState
}

func newFeedTable() feedTable {
	return feedTable{
		byKey:      make(map[cactuspin.FeedKey]*feed),
		byExchange: make(map[cactuspin.ExchangeID]*feed),
		byMessage:  make(map[messageKey]*feed),
		copies:     make(map[cactuspin.FeedKey]feedCopy),
	}
}

func (t *feedTable) add(f *feed) {
	t.byKey[f.key] = f
	f.slot = len(t.order)
	t.order = append(t.order, f)
	delete(t.copies, f.key)
}

// observe takes a registration, a refresh or a cancellation of a caller.
func (d *Dispatcher) observe(now cactuspin.Time, r cactuspin.Request, out *cactuspin.Actions) {
	key := cactuspin.FeedKey{Caller: r.Caller, Service: r.Service, Token: r.Token}
	f, ok := d.feeds.byKey[key]
	if r.Observe == cactuspin.ObserveCancel {
		d.cancelObserve(now, f, r, out)
		return
	}
	if !ok {
		f = &feed{key: key, path: r.Path, options: r.Options, since: now, probed: now}
		d.feeds.add(f)
		d.decideFeed(f, "opened", out)
	}
	f.heard = now
	if f.at.live && d.fresh(now, f.at.target) {
		d.answerRefresh(now, f, &r, out)
		return
	}
	f.waiting = &r
	if f.at.exchange == 0 {
		d.register(now, f, out)
	}
}

func (d *Dispatcher) cancelObserve(now cactuspin.Time, f *feed, r cactuspin.Request, out *cactuspin.Actions) {
	a := r.Reply(cactuspin.CodeContent)
	if f != nil {
		a.Options = f.format
		a.Payload = f.payload
		d.endFeed(now, f, "cancelled by the caller", out)
	}
	out.Answer(a)
}

// register opens the observation at the target with the fewest of them.
func (d *Dispatcher) register(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if d.cfg.Suspended() {
		return
	}
	t, ok := d.limiter.AcquireFeed(now)
	if !ok {
		d.feedWithoutTarget(now, f, out)
		return
	}
	f.at = d.sendRegistration(now, f, t, out)
	d.decideFeed(f, "registering", out)
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

// feedWithoutTarget refuses a new observation; an old one waits for a target.
func (d *Dispatcher) feedWithoutTarget(now cactuspin.Time, f *feed, out *cactuspin.Actions) {
	if f.waiting == nil || f.code != 0 {
		return
	}
	if h, ok := d.feedHome(f); ok && h != d.cfg.Self {
		return
	}
	a := f.waiting.Reply(cactuspin.CodeTooManyRequests)
	a.MaxAge = d.retryAfter
	a.Payload = []byte("refused; ask again")
	out.Answer(a)
	d.endFeed(now, f, "no target", out)
}

// unregister ends a registration at its target.
func (d *Dispatcher) unregister(r *registration, f *feed, out *cactuspin.Actions) {
	if r.exchange == 0 {
		return
	}
	delete(d.feeds.byExchange, r.exchange)
	d.limiter.ReleaseFeed(r.target)
	if l, ok := d.links[r.target]; ok && l.connected {
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

// notified takes an answer to a registration or a notification.
func (d *Dispatcher) notified(now cactuspin.Time, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	f, ok := d.feeds.byExchange[s.Exchange]
	if !ok {
		return
	}
	if !s.Code.Success() || !s.Notification {
		d.registrationFailed(now, f, s, out)
		return
	}
	if f.next != nil && f.next.exchange == s.Exchange {
		d.unregister(&f.at, f, out)
		f.at = *f.next
		f.next = nil
		d.decideFeed(f, "moved to another target", out)
	}
	f.at.live = true
	f.tries = 0
	f.code = s.Code
	f.format = s.Options
	f.payload = s.Payload
	if f.from != 0 {
		out.Peer(f.from, cactuspin.PeerMessage{FeedMoved: &cactuspin.FeedReference{Key: f.key}})
		f.from = 0
	}
	if f.waiting != nil {
		d.answerRefresh(now, f, f.waiting, out)
		return
	}
	f.advance(now)
	d.notify(now, f, cactuspin.AnswerNonConfirmable, out)
}

// registrationFailed tries another target a few times, then tells the caller.
func (d *Dispatcher) registrationFailed(now cactuspin.Time, f *feed, s cactuspin.TargetSignal, out *cactuspin.Actions) {
	if f.next != nil && f.next.exchange == s.Exchange {
		d.unregister(f.next, f, out)
		f.next = nil
		return
	}
	d.unregister(&f.at, f, out)
	f.tries++
	if s.Code == cactuspin.CodeServiceUnavailable && (f.tries < maxAttempts || f.code != 0) {
		return
	}
	a := d.notification(now, f, cactuspin.AnswerConfirmable)
	if f.waiting != nil {
		a = f.waiting.Reply(s.Code)
	}
	a.Notification = false
	a.Code = s.Code
	a.Options = s.Options
	a.Payload = s.Payload
	out.Answer(a)
	d.endFeed(now, f, "ended by the target", out)
}

func (d *Dispatcher) feedNotSent(now cactuspin.Time, x cactuspin.ExchangeID) {
	f, ok := d.feeds.byExchange[x]
	if !ok {
		return
	}
	if f.next != nil && f.next.exchange == x {
		delete(d.feeds.byExchange, x)
		d.limiter.ReleaseFeed(f.next.target)
		f.next = nil
		return
	}
	delete(d.feeds.byExchange, x)
	d.limiter.ReleaseFeed(f.at.target)
	f.at = registration{}
}

// loseFeeds takes the observations off a target whose connection ended. They
// are registered again in the next ticks.
func (d *Dispatcher) loseFeeds(now cactuspin.Time, t cactuspin.Target, out *cactuspin.Actions) {
	for _, f := range d.feeds.order {
		if f == nil {
			continue
		}
		if f.next != nil && f.next.target == t {
			d.unregister(f.next, f, out)
			f.next = nil
		}
		if f.at.exchange == 0 || f.at.target != t {
			continue
		}
		d.unregister(&f.at, f, out)
		if f.next != nil {
			f.at = *f.next
			f.next = nil
			continue
		}
		d.register(now, f, out)
	}
}

// endFeed forgets an observation.
func (d *Dispatcher) endFeed(_ cactuspin.Time, f *feed, why string, out *cactuspin.Actions) {
	d.unregister(&f.at, f, out)
	if f.next != nil {
		d.unregister(f.next, f, out)
	}
	delete(d.feeds.byKey, f.key)
	d.feeds.forgetMessage(f)
	d.feeds.order[f.slot] = nil
	if f.copied != 0 {
		out.Peer(f.copied, cactuspin.PeerMessage{FeedEnded: &cactuspin.FeedReference{Key: f.key}})
	}
	d.decideFeed(f, why, out)
}

// answerRefresh answers a registration or refresh with the current state.
func (d *Dispatcher) answerRefresh(now cactuspin.Time, f *feed, r *cactuspin.Request, out *cactuspin.Actions) {
	f.advance(now)
	a := r.Reply(f.code)
	a.Notification = true
	a.Sequence = f.sequence
	a.Options = f.format
	a.Payload = f.payload
	if !r.Confirmable {
		a.MessageID = d.nextMessageID(f)
	}
	f.waiting = nil
	out.Answer(a)
}

func (d *Dispatcher) notify(now cactuspin.Time, f *feed, t cactuspin.AnswerType, out *cactuspin.Actions) {
	out.Answer(d.notification(now, f, t))
}

func (d *Dispatcher) notification(_ cactuspin.Time, f *feed, t cactuspin.AnswerType) cactuspin.Answer {
	return cactuspin.Answer{
		Caller:       f.key.Caller,
		Service:      f.key.Service,
		Token:        f.key.Token,
		MessageID:    d.nextMessageID(f),
		Type:         t,
		Code:         f.code,
		Notification: true,
		Sequence:     f.sequence,
		Options:      f.format,
		Payload:      f.payload,
	}
}

// advance moves the Observe value on.
func (f *feed) advance(now cactuspin.Time) {
	clock := uint32(int64(now)/int64(sequenceUnit)) & sequenceMask
	next := (f.sequence + 1) & sequenceMask
	if f.sequence == 0 || (clock-next)&sequenceMask < (sequenceMask+1)/2 {
		next = clock
	}
	f.sequence = next
}

// catchUp takes over an Observe value that the caller may have seen from another
// host, so that the caller does not take the next one for an old one.
func (f *feed) catchUp(now cactuspin.Time, sequence uint32) {
	if (sequence-f.sequence)&sequenceMask < (sequenceMask+1)/2 {
		f.sequence = sequence
	}
	f.advance(now)
}

func (d *Dispatcher) decideFeed(f *feed, why string, out *cactuspin.Actions) {
	out.LogDecision(cactuspin.Decision{
		Kind:    cactuspin.DecisionFeed,
		Reason:  why,
		Service: d.cfg.Service,
		Caller:  f.key.Caller,
		Token:   f.key.Token,
		Target:  f.at.target,
	})
}

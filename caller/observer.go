package caller

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// checksPerRefresh is how often an observation checks within a refresh interval
// whether a notification arrived. After maxMissedRefreshes intervals without one,
// the observation is set up again from a new socket.
const (
	checksPerRefresh   = 6
	maxMissedRefreshes = 2
)

// notificationQueueLength is how many notifications are queued for the reader.
const notificationQueueLength = 64

// Observe option (RFC 7641): the value that deregisters, half of the range of
// sequence numbers, and the time after which any sequence number counts as newer.
const (
	observeDeregister = 1
	halfSequenceSpace = 1 << 23
	sequenceLifetime  = 128 * time.Second
)

// Notification is a state of an observed resource.
type Notification struct {
	Payload    []byte
	ReceivedAt time.Time
	// Restarted is set on the first notification after the observation had to be
	// set up again.
	Restarted bool
}

// observation is the state of one call of Observe.
type observation struct {
	caller        *Caller
	request       Request
	token         []byte
	incoming      chan Answer
	notifications chan Notification
	lastSequence  uint32
	lastAccepted  time.Time
	// lastActivity is when the last notification arrived, or when the token was
	// created if none has arrived since.
	lastActivity time.Time
	restarted    bool
}

// Observe observes a resource until the context ends or the Caller is closed; then the
// channel is closed.
// States that are older than one already delivered are dropped.
func (k *Caller) Observe(ctx context.Context, r Request) (<-chan Notification, error) {
	if k.closed() {
		return nil, errors.Wrap(net.ErrClosed, "observe")
	}
	o := &observation{caller: k, request: r, notifications: make(chan Notification, notificationQueueLength)}
	if err := o.resetToken(); err != nil {
		return nil, errors.Wrap(err, "observe")
	}
	go o.run(ctx)
	return o.notifications, nil
}

// resetToken replaces the token, because the network path may have changed.
func (o *observation) resetToken() error {
	o.releaseToken()
	o.token = make([]byte, message.MaxTokenSize)
	if _, err := rand.Read(o.token); err != nil {
		return errors.WithStack(err)
	}
	o.incoming = make(chan Answer, notificationQueueLength)
	o.lastAccepted = time.Time{}
	o.lastActivity = time.Now()
	o.caller.mu.Lock()
	o.caller.pending[string(o.token)] = o.incoming
	o.caller.mu.Unlock()
	return nil
}

func (o *observation) releaseToken() {
	o.caller.mu.Lock()
	delete(o.caller.pending, string(o.token))
	o.caller.mu.Unlock()
}

func (o *observation) run(ctx context.Context) {
	defer close(o.notifications)
	defer o.releaseToken()
	t := time.NewTicker(o.caller.cfg.RefreshInterval / checksPerRefresh)
	defer t.Stop()
	o.refresh(nil)
	for {
		select {
		case <-ctx.Done():
			o.refresh([]byte{observeDeregister})
			return
		case <-o.caller.done:
			return
		case <-t.C:
			o.tick()
		case a := <-o.incoming:
			o.handleNotification(a)
		}
	}
}

// tick refreshes the observation when no notification has arrived within the
// refresh interval. After maxMissedRefreshes intervals the network path may have
// lost its state, so the observation is set up again with a new socket and token.
func (o *observation) tick() {
	idle := time.Since(o.lastActivity)
	if idle < o.caller.cfg.RefreshInterval {
		return
	}
	if idle >= maxMissedRefreshes*o.caller.cfg.RefreshInterval {
		o.restarted = true
		if err := errors.CombineErrors(o.caller.Reopen(), o.resetToken()); err != nil {
			return
		}
	}
	o.refresh(nil)
}

// refresh sends the request with the given value of the Observe option; an empty
// value registers or refreshes.
func (o *observation) refresh(value []byte) {
	opts := message.Options{{ID: message.Observe, Value: value}}
	if b, err := o.caller.encodeRequest(o.request, o.token, opts); err == nil {
		o.caller.send(b)
	}
}

// handleNotification delivers a state unless it is older than the last one
// (RFC 7641, section 3.4). It ignores error answers.
func (o *observation) handleNotification(a Answer) {
	if a.Code != codes.Content || !a.hasObserve {
		return
	}
	now := time.Now()
	o.lastActivity = now
	distance := (a.sequence - o.lastSequence) & (2*halfSequenceSpace - 1)
	fresh := o.lastAccepted.IsZero() || (distance > 0 && distance < halfSequenceSpace) || now.Sub(o.lastAccepted) > sequenceLifetime
	if !fresh {
		return
	}
	o.lastSequence = a.sequence
	o.lastAccepted = now
	n := Notification{Payload: a.Payload, ReceivedAt: now, Restarted: o.restarted}
	o.restarted = false
	select {
	case o.notifications <- n:
	default:
	}
}

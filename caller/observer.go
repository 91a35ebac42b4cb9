package caller

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// checksPerRefresh is how often an observation looks for signs of life in the
// time of a refresh. patience is how many of these times may pass without one
// before the observation is set up again from a new socket.
const (
	checksPerRefresh = 6
	patience         = 2
)

// notificationQueue is how many notifications wait for the reader.
const notificationQueue = 64

// Values and distances of the Observe option (RFC 7641).
const (
	observeCancel = 1
	halfSequence  = 1 << 23
	sequenceTime  = 128 * time.Second
)

// Notification is a state of an observed resource.
type Notification struct {
	Payload    []byte
	ReceivedAt time.Time
	// Restarted is set when the observation had to be set up again.
	Restarted bool
}

// observation is the state of one Observe.
type observation struct {
	caller  *Caller
	request Request
	token   []byte
	in      chan Answer
	out     chan Notification
	last    uint32
	lastAt  time.Time
	// heard is the last sign of life since the socket was opened.
	heard   time.Time
	restart bool
}

// Observe keeps an observation until the context ends; then the channel is
// closed. States that are older than one already seen are left out.
func (k *Caller) Observe(ctx context.Context, r Request) (<-chan Notification, error) {
	o := &observation{caller: k, request: r, out: make(chan Notification, notificationQueue)}
	if err := o.begin(); err != nil {
		return nil, errors.Wrap(err, "observe")
	}
	go o.run(ctx)
	return o.out, nil
}

// begin draws a new token; the path may have changed.
func (o *observation) begin() error {
	o.end()
	o.token = make([]byte, message.MaxTokenSize)
	if _, err := rand.Read(o.token); err != nil {
		return errors.WithStack(err)
	}
	o.in = make(chan Answer, notificationQueue)
	o.lastAt = time.Time{}
	o.heard = time.Now()
	o.caller.mu.Lock()
	o.caller.waiting[string(o.token)] = o.in
	o.caller.mu.Unlock()
	return nil
}

func (o *observation) end() {
	o.caller.mu.Lock()
	delete(o.caller.waiting, string(o.token))
	o.caller.mu.Unlock()
}

func (o *observation) run(ctx context.Context) {
	defer close(o.out)
	defer o.end()
	t := time.NewTicker(o.caller.cfg.RefreshInterval / checksPerRefresh)
	defer t.Stop()
	o.refresh(nil)
	for {
		select {
		case <-ctx.Done():
			o.refresh([]byte{observeCancel})
			return
		case <-t.C:
			o.tick()
		case a := <-o.in:
			o.take(a)
		}
	}
}

// tick refreshes the observation when nothing was heard for a moment. After a
// longer silence the path may have lost its state: a new socket and a new token
// set the observation up again.
func (o *observation) tick() {
	silent := time.Since(o.heard)
	if silent < o.caller.cfg.RefreshInterval {
		return
	}
	if silent >= patience*o.caller.cfg.RefreshInterval {
		o.restart = true
		if err := errors.CombineErrors(o.caller.Reopen(), o.begin()); err != nil {
			return
		}
	}
	o.refresh(nil)
}

// refresh sends the registration; the value is empty to register.
func (o *observation) refresh(value []byte) {
	os := message.Options{{ID: message.Observe, Value: value}}
	if b, err := o.caller.encode(o.request, o.token, os); err == nil {
		o.caller.send(b)
	}
}

// take passes a state on unless it is older than the last one (RFC 7641,
// section 3.4) or a refusal.
func (o *observation) take(a Answer) {
	if a.Code != codes.Content || !a.observe {
		return
	}
	now := time.Now()
	o.heard = now
	d := (a.sequence - o.last) & (2*halfSequence - 1)
	fresh := o.lastAt.IsZero() || (d > 0 && d < halfSequence) || now.Sub(o.lastAt) > sequenceTime
	if !fresh {
		return
	}
	o.last = a.sequence
	o.lastAt = now
	n := Notification{Payload: a.Payload, ReceivedAt: now, Restarted: o.restart}
	o.restart = false
	select {
	case o.out <- n:
	default:
	}
}

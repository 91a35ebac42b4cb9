package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Feed is an observation as its caller sees it.
type Feed struct {
	// LongestGap is the longest time between two notifications.
	LongestGap time.Duration
	// Restarts counts how often the caller registered the observation again from a
	// new address.
	Restarts int
	// State is the newest state received.
	State string
	// Live is set once the first state has arrived.
	Live bool
	// NoRefresh is set for a caller that, like an unmodified client, does not refresh its
	// registration.
	NoRefresh bool

	e                *Emulator
	name             string
	service          netip.AddrPort
	address          netip.AddrPort
	token            cactuspin.Token
	path             string
	lastNotification cactuspin.Time
	// lastReceived is when the last notification arrived or the current address was
	// assigned, whichever is later.
	lastReceived cactuspin.Time
	sequence     uint32
	messageID    uint16
	closed       bool
}

// NewFeed opens an observation of a service.
func (e *Emulator) NewFeed(service string) *Feed { return e.newFeed(service, false) }

// NewFeedWithoutRefresh opens an observation whose caller does not refresh the registration.
func (e *Emulator) NewFeedWithoutRefresh(service string) *Feed { return e.newFeed(service, true) }

func (e *Emulator) newFeed(service string, noRefresh bool) *Feed {
	f := &Feed{e: e, name: service, service: e.address(service), lastNotification: e.now, NoRefresh: noRefresh}
	f.path = fmt.Sprintf("/stock/%d", e.random.Uint32())
	e.Oracle.feeds = append(e.Oracle.feeds, f)
	f.open()
	f.refresh()
	return f
}

func (f *Feed) open() {
	delete(f.e.callers, f.address)
	f.address = f.e.newAddress()
	f.token = cactuspin.NewToken(fmt.Appendf(nil, "%08x", f.e.random.Uint32()))
	f.e.callers[f.address] = f
	f.lastReceived = f.e.now
	f.sequence = 0
}

// BlackholePath drops everything sent to the caller's current address; a new address
// works.
func (f *Feed) BlackholePath() { delete(f.e.callers, f.address) }

// Close ends the observation at the caller.
func (f *Feed) Close() {
	f.closed = true
	f.BlackholePath()
}

// refresh repeats the registration while no notification arrives for feedRefreshAfter.
// After feedTimeout without one the caller registers from a new address.
func (f *Feed) refresh() {
	if f.closed || (f.NoRefresh && f.Live) {
		return
	}
	f.e.After(feedCheckInterval, f.refresh)
	sinceReceived := f.e.now.Sub(f.lastReceived)
	if f.Live && sinceReceived < feedRefreshAfter {
		return
	}
	if sinceReceived >= feedTimeout {
		f.Restarts++
		f.open()
	}
	f.messageID++
	r := cactuspin.Request{
		Caller: f.address, Service: f.service, Token: f.token, MessageID: f.messageID, Confirmable: true,
		Method: cactuspin.MethodGet, Path: f.path, Observe: cactuspin.ObserveRegister,
	}
	if f.e.callers[f.address] != nil {
		f.e.step(nil, nil)
		f.e.sendToHosts(func(h *Host) { deliverRequest(h, r) })
	}
}

func (f *Feed) receive(a cactuspin.Answer) {
	if a.Token != f.token || f.closed {
		return
	}
	if a.Type == cactuspin.AnswerConfirmable {
		ack := cactuspin.Acknowledgement{Caller: f.address, Service: f.service, MessageID: a.MessageID}
		f.e.sendToHosts(func(h *Host) {
			h.deliver(func(now cactuspin.Time, out *cactuspin.Actions) { h.Engine.Acknowledge(now, ack, out) })
		})
	}
	if !a.Notification || !a.Code.Success() {
		return
	}
	f.e.step(nil, nil)
	if !strings.HasPrefix(string(a.Payload), f.name+" ") {
		f.e.Oracle.Fail("feed of %s got %q", f.name, a.Payload)
	}
	const half = 1 << 23
	if d := (a.Sequence - f.sequence) & (2*half - 1); f.sequence != 0 && d >= half {
		return
	}
	f.sequence = a.Sequence
	f.State = string(a.Payload)
	f.recordNotification()
}

// recordNotification records the arrival of a notification.
func (f *Feed) recordNotification() {
	if f.Live {
		f.LongestGap = max(f.LongestGap, f.Gap())
	}
	f.Live = true
	f.lastReceived = f.e.now
	f.lastNotification = f.e.now
}

// Gap returns the time since the last notification or, if that is later, since the
// end of a period of degraded network.
func (f *Feed) Gap() time.Duration {
	return f.e.now.Sub(max(f.lastNotification, min(f.e.Oracle.degradedUntil, f.e.now)))
}

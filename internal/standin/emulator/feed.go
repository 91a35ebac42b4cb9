package emulator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cactuspin/cactuspin"
)

// Feed is a caller's observation.
type Feed struct {
	// LongestGap is the longest time without a sign of life.
	LongestGap time.Duration
	// Restarts counts how often the caller set it up again.
	Restarts int
	// State is the newest state seen.
	State string
	// Live is set once the first state has arrived.
	Live bool
	// Plain callers do not refresh, as an unmodified client does not.
	Plain bool

	e       *Emulator
	name    string
	service netip.AddrPort
	address netip.AddrPort
	token   cactuspin.Token
	path    string
	last    cactuspin.Time
	// heard is the last sign of life since the address was taken.
	heard    cactuspin.Time
	sequence uint32
	number   uint16
	closed   bool
}

// NewFeed opens an observation of a service.
func (e *Emulator) NewFeed(service string) *Feed { return e.newFeed(service, false) }

// NewPlainFeed opens an observation that its caller does not refresh.
func (e *Emulator) NewPlainFeed(service string) *Feed { return e.newFeed(service, true) }

func (e *Emulator) newFeed(service string, plain bool) *Feed {
	f := &Feed{e: e, name: service, service: e.address(service), last: e.now, Plain: plain}
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
	f.heard = f.e.now
	f.sequence = 0
}

// BlackholePath makes the caller's path carry nothing more; a new one works.
func (f *Feed) BlackholePath() { delete(f.e.callers, f.address) }

// Close ends the observation at the caller.
func (f *Feed) Close() {
	f.closed = true
	f.BlackholePath()
}

// refresh sends the registration when there was no sign of life for a moment,
// again and again. After a longer silence the caller goes on from a new address.
func (f *Feed) refresh() {
	if f.closed || (f.Plain && f.Live) {
		return
	}
	f.e.After(feedCheck, f.refresh)
	silent := f.e.now.Sub(f.heard)
	if f.Live && silent < feedRefresh {
		return
	}
	if silent >= feedPatience {
		f.Restarts++
		f.open()
	}
	f.number++
	r := cactuspin.Request{
		Caller: f.address, Service: f.service, Token: f.token, MessageID: f.number, Confirmable: true,
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
	f.sign()
}

// sign notes a sign of life.
func (f *Feed) sign() {
	if f.Live {
		f.LongestGap = max(f.LongestGap, f.Gap())
	}
	f.Live = true
	f.heard = f.e.now
	f.last = f.e.now
}

// Gap returns the time since the last sign of life or the end of bad weather.
func (f *Feed) Gap() time.Duration {
	return f.e.now.Sub(max(f.last, min(f.e.Oracle.excusedUntil, f.e.now)))
}

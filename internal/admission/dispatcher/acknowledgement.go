package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// messageKey is what an empty message of a caller carries: where it comes from,
// hashed, and a message ID.
type messageKey struct {
	caller uint64
	id     uint16
}

// nextMessageID picks a message ID that leads the caller's acknowledgement back
// to this host.
func (d *Dispatcher) nextMessageID(f *feed) uint16 {
	d.feeds.forgetMessage(f)
	flow := placer.FlowHash(f.key.Caller, f.key.Service)
	f.messageID = placer.MessageIDFor(flow, f.messageID+1, d.cfg.Self, d.view.Hosts)
	d.feeds.byMessage[f.messageKey()] = f
	return f.messageID
}

// Acknowledge takes a caller's empty message about its observation's last
// notification.
func (d *Dispatcher) Acknowledge(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	f, ok := d.feeds.byMessage[messageKey{caller: addressKey(a.Caller), id: a.MessageID}]
	if !ok || f.key.Caller != a.Caller {
		return
	}
	f.heard = now
	if a.Reset {
		d.endFeed(now, f, "reset by the caller", out)
	}
}

func (f *feed) messageKey() messageKey {
	return messageKey{caller: addressKey(f.key.Caller), id: f.messageID}
}

// forgetMessage drops the last message ID of an observation.
func (t *feedTable) forgetMessage(f *feed) {
	if k := f.messageKey(); t.byMessage[k] == f {
		delete(t.byMessage, k)
	}
}

package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
)

// messageKey identifies an empty message of a caller by the hash of its source
// address and by its message ID.
type messageKey struct {
	caller uint64
	id     uint16
}

// nextMessageID selects a message ID by which the caller's acknowledgement is routed
// back to this host.
func (d *Dispatcher) nextMessageID(f *feed) uint16 {
	d.feeds.deleteMessageID(f)
	flow := placer.FlowHash(f.key.Caller, f.key.Service)
	f.messageID = placer.MessageIDFor(flow, f.messageID+1, d.cfg.Self, d.view.Hosts)
	d.feeds.byMessage[f.messageKey()] = f
	return f.messageID
}

// Acknowledge handles a caller's empty message that refers to the last notification
// of its observation.
func (d *Dispatcher) Acknowledge(now cactuspin.Time, a cactuspin.Acknowledgement, out *cactuspin.Actions) {
	f, ok := d.feeds.byMessage[messageKey{caller: addressKey(a.Caller), id: a.MessageID}]
	if !ok || f.key.Caller != a.Caller {
		return
	}
	f.lastSeen = now
	if a.Reset {
		d.endFeed(now, f, "reset by the caller", out)
	}
}

func (f *feed) messageKey() messageKey {
	return messageKey{caller: addressKey(f.key.Caller), id: f.messageID}
}

// deleteMessageID removes the last message ID of an observation from the index.
func (t *feedTable) deleteMessageID(f *feed) {
	if k := f.messageKey(); t.byMessage[k] == f {
		delete(t.byMessage, k)
	}
}

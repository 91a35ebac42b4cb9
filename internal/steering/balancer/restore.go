package balancer

import (
	"github.com/cactuspin/cactuspin"
)

// renumber takes over the revisions that registrations have in a new era of the store. An
// unchanged registration must not start the warm-up again.
func (b *Balancer) renumber(targets []cactuspin.RegisteredTarget) {
	for i := range targets {
		id := targets[i].ID
		if t := b.targets[id]; t != nil && t.registered.Service == targets[i].Service {
			t.registered.Revision = targets[i].Revision
		}
		if x, ok := b.unnamed[id]; ok {
			x.Revision = targets[i].Revision
			b.unnamed[id] = x
		}
	}
}

// verifyReappeared has targets probed that a backup brings back although their
// registrations had ended. Most of them are gone.
func (b *Balancer) verifyReappeared(now cactuspin.Time, ids []cactuspin.TargetID) {
	for _, id := range ids {
		if t := b.targets[id]; t != nil {
			t.health.requireProbe(now)
			b.active.add(t)
		}
	}
}

package balancer

import (
	"net/netip"

	"github.com/cactuspin/cactuspin"
)

// A caller whose request reached its target before that failed waits in silence: it sends
// nothing more, so that none of its packets could be answered with a reset. One whose
// flow is idle finds out only with its next request. Both are told as soon as the target
// is found dead.

// Reset is a flow that has to be reset at its caller.
type Reset struct {
	Caller, Service netip.AddrPort
	Target          cactuspin.TargetID
	// Acknowledgement is the highest acknowledgement number of the caller.
	Acknowledgement uint32
}

// FlowsToReset returns the flows at a target that has been found down, and forgets them.
// If the target is dead, these are all flows whose requests may run again; if it is only
// down, those that have repeated a request without an answer, too. Flows to whose routes
// no other target is open are left alone, as in steerEstablished.
func (b *Balancer) FlowsToReset(now cactuspin.Time, id cactuspin.TargetID) (resets []Reset) {
	b.mu.RLock()
	t := b.targets[id]
	b.mu.RUnlock()
	if t == nil || t.flows.Load() == 0 || !t.health.isDown() {
		return nil
	}
	dead := t.health.isDead()
	for i := range b.flows.shards {
		resets = append(resets, b.resetFlows(now, &b.flows.shards[i], t, dead)...)
	}
	b.counters[cactuspin.ReasonTargetDown].Add(uint64(len(resets)))
	return resets
}

func (b *Balancer) resetFlows(now cactuspin.Time, h *flowShard, t *target, dead bool) (resets []Reset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, f := range h.flows {
		if f.target != t || !f.resettable(dead) || !b.routeHasCapacity(now, f.route) {
			continue
		}
		resets = append(resets, Reset{Caller: k.caller.addrPort(), Service: k.service.addrPort(), Target: t.registered.ID, Acknowledgement: f.acknowledged})
		f.unassign()
		delete(h.flows, k)
	}
	return resets
}

// resettable reports whether the flow may be reset without a packet, because its target is
// dead, or only down and the caller has repeated the request in progress.
func (f *flow) resettable(dead bool) bool {
	waits := f.requestedAt != 0 && f.retransmissions > 0
	return f.established && f.route.Kind != cactuspin.WorkNonIdempotent && (dead || waits)
}

// routeHasCapacity is hasCapacity for callers that do not hold b.mu.
func (b *Balancer) routeHasCapacity(now cactuspin.Time, r *route) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.hasCapacity(now, r)
}

// Package warmup limits the new flows of targets that have not warmed up. Each such
// target is owned by one host of its zone, and only the owner sends new flows to it.
package warmup

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactuspin/cactuspin"
)

const (
	// OwnerShare is the share of a target's rate that its owner uses. Different lists of
	// hosts can give a target two owners for long, and three for a moment, which together
	// must not exceed 1.5 times the rate.
	OwnerShare = 0.5
	// validity is how long a host uses a list of eligible hosts that is not confirmed: a
	// few ticks. A process that was suspended must not use the list from before.
	validity = 250 * time.Millisecond
)

// Owner returns the host that owns a target, by rendezvous hashing, or the zero address.
func Owner(c cactuspin.Cookie, hosts []netip.Addr) (owner netip.Addr) {
	var highest uint64
	for _, a := range hosts {
		var b [8]byte
		binary.BigEndian.PutUint32(b[:4], uint32(c))
		address := a.As4()
		copy(b[4:], address[:])
		if n := xxhash.Sum64(b[:]); !owner.IsValid() || n > highest {
			owner, highest = a, n
		}
	}
	return owner
}

// List is the list of hosts that may own targets of this host's zone. It is immutable.
type List struct {
	hosts      []netip.Addr
	since      cactuspin.Time
	until      cactuspin.Time
	generation uint64
}

// Renew returns the list that is in force after hosts were found eligible at now.
func (l *List) Renew(now cactuspin.Time, hosts []netip.Addr) *List {
	next := &List{hosts: hosts, since: now, until: now.Add(validity), generation: 1}
	if l == nil {
		return next
	}
	next.generation = l.generation + 1
	if now < l.until && slices.Equal(l.hosts, hosts) {
		next.since, next.generation = l.since, l.generation
	}
	return next
}

// Len returns the number of eligible hosts.
func (l *List) Len(now cactuspin.Time) int {
	if l == nil || now >= l.until {
		return 0
	}
	return len(l.hosts)
}

// Limiter limits the new flows that one host sends to one target. It is safe for
// concurrent use.
type Limiter struct {
	target cactuspin.Cookie
	self   netip.Addr
	// warmup is how long the target is cold after its start.
	warmup time.Duration

	mu sync.Mutex
	// rate is the number of new flows per second that the owner may send.
	rate float64
	// tokens is the number of new flows that may be sent, at most one, as of refilledAt.
	tokens     float64
	refilledAt cactuspin.Time
	// generation is that of the list by which owned was computed.
	generation uint64
	owned      bool
}

// NewLimiter returns the limiter of the host self for a target of a service. It has no
// token.
func NewLimiter(now cactuspin.Time, target cactuspin.Cookie, self netip.Addr, s *cactuspin.ServiceSettings) *Limiter {
	return &Limiter{target: target, self: self, warmup: s.Warmup, rate: s.WarmupRate * OwnerShare, refilledAt: now}
}

// Warmup returns how long the target is cold after its start.
func (l *Limiter) Warmup() time.Duration { return l.warmup }

// Ready reports whether a new flow may be sent to the target.
func (l *Limiter) Ready(now cactuspin.Time, hosts *List) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready(now, hosts)
}

// Take reports whether a new flow may be sent to the target and, if so, counts it.
func (l *Limiter) Take(now cactuspin.Time, hosts *List) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready(now, hosts) {
		return false
	}
	l.tokens--
	return true
}

// Owned reports whether this host owns the target.
func (l *Limiter) Owned(now cactuspin.Time, hosts *List) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owns(now, hosts)
}

// Restart removes the tokens: the target has become cold.
func (l *Limiter) Restart(now cactuspin.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens, l.refilledAt = 0, max(l.refilledAt, now)
}

func (l *Limiter) ready(now cactuspin.Time, hosts *List) bool {
	if !l.owns(now, hosts) {
		return false
	}
	if now > l.refilledAt {
		l.tokens = min(1, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
		l.refilledAt = now
	}
	return l.tokens >= 1
}

// owns reports whether this host owns the target. A new owner starts without tokens: the
// former one may just have sent its flows.
func (l *Limiter) owns(now cactuspin.Time, hosts *List) bool {
	if hosts.Len(now) == 0 {
		l.owned = false
		return false
	}
	if l.generation == hosts.generation {
		return l.owned
	}
	owned := Owner(l.target, hosts.hosts) == l.self
	if owned && !l.owned {
		l.tokens, l.refilledAt = 0, max(l.refilledAt, hosts.since)
	}
	l.owned, l.generation = owned, hosts.generation
	return owned
}

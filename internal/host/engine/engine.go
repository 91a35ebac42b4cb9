// Package engine is a whole entry host without sockets or clock. It routes what
// callers and peers send through a chain of filters to the dispatchers of the
// services, and holds the controllers of members, bundle and planned stop.
package engine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/dispatcher"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
	"github.com/cactuspin/cactuspin/internal/configuration/adopter"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/membership/detector"
	"github.com/cactuspin/cactuspin/internal/routing/placer"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
)

// Defaults of the Config.
const (
	DefaultCookieLifetime = 120 * time.Second
	DefaultRecords        = 1 << 20
	defaultRetryAfter     = 2 * time.Second
)

// Config configures an Engine.
type Config struct {
	Self        cactuspin.HostID
	Zone        cactuspin.ZoneID
	Incarnation cactuspin.Incarnation
	// Seed makes the flow numbers that this host draws.
	Seed    uint64
	Start   cactuspin.Time
	Keys    []sealer.Key
	Signers signer.Signers
	// CookieLifetime is how long a cookie can be used for a new request.
	CookieLifetime time.Duration
	// Records is the most requests remembered for each service.
	Records int
	// StopLimit is the longest that a planned stop takes.
	StopLimit time.Duration
}

// Engine is a host. Its methods may be called from several goroutines: each
// service is a shard with its own lock, members and bundle have another.
type Engine struct {
	cfg    Config
	sealer *sealer.Sealer
	view   atomic.Pointer[placer.View]

	// mu guards what the controllers hold. It is taken before a shard's lock,
	// never after.
	mu      sync.Mutex
	prober  *detector.Detector
	adopter *adopter.Adopter
	// candidate is a bundle of the platform that waits to be believed.
	candidate *cactuspin.SignedBundle
	list      cactuspin.HostList
	stop      stopController
	pause     pauseController
	// parts holds the handovers that have not all arrived.
	parts map[cactuspin.Incarnation]map[uint32]cactuspin.Handover
	loads loadBoard

	shards   sync.RWMutex
	services map[cactuspin.ServiceID]*shard
	// order holds the shards by ID. It is replaced, never changed, when one is
	// added.
	order     []*shard
	flows     atomic.Uint64
	exchanges atomic.Uint64
}

// shard is a service with its lock.
type shard struct {
	sync.Mutex
	id         cactuspin.ServiceID
	dispatcher *dispatcher.Dispatcher
}

var _ cactuspin.Host = (*Engine)(nil)

// New returns a host without members or bundle.
func New(c Config) (e *Engine, err error) {
	s, err := sealer.New(sealer.Config{Keys: c.Keys})
	if err != nil {
		return nil, err
	}
	c.CookieLifetime = cmp.Or(c.CookieLifetime, DefaultCookieLifetime)
	c.Records = cmp.Or(c.Records, DefaultRecords)
	c.StopLimit = cmp.Or(c.StopLimit, DefaultStopLimit)
	e = &Engine{
		cfg:      c,
		sealer:   s,
		prober:   detector.New(detector.Config{Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation, Start: c.Start}),
		adopter:  adopter.New(adopter.Config{Signers: c.Signers}),
		services: make(map[cactuspin.ServiceID]*shard),
		parts:    make(map[cactuspin.Incarnation]map[uint32]cactuspin.Handover),
		loads:    loadBoard{hosts: make(map[cactuspin.HostID][]cactuspin.Load)},
	}
	e.pause.last.Store(int64(c.Start))
	e.view.Store(e.buildView())
	return e, nil
}

// View returns the current view of members and bundle.
func (e *Engine) View() *placer.View { return e.view.Load() }

// Tick lets time pass.
func (e *Engine) Tick(now cactuspin.Time, out *cactuspin.Actions) {
	e.noticePause(now, out)
	e.tickPause(now, out)
	e.tickMembers(now, out)
	for _, s := range e.allShards() {
		s.Lock()
		s.dispatcher.Tick(now, out)
		s.Unlock()
	}
	e.tickStop(now, out)
}

// Target takes an event from the connection to a target.
func (e *Engine) Target(now cactuspin.Time, t cactuspin.TargetSignal, out *cactuspin.Actions) {
	e.noticePause(now, out)
	for _, s := range e.allShards() {
		s.Lock()
		if s.dispatcher.HasTarget(t.Target) {
			s.dispatcher.Target(now, t, out)
		}
		s.Unlock()
	}
}

// shard returns the shard of a service and makes it when it is new.
func (e *Engine) shard(now cactuspin.Time, id cactuspin.ServiceID, out *cactuspin.Actions) *shard {
	e.shards.RLock()
	s := e.services[id]
	e.shards.RUnlock()
	if s != nil {
		return s
	}
	e.shards.Lock()
	defer e.shards.Unlock()
	if s = e.services[id]; s != nil {
		return s
	}
	s = &shard{id: id, dispatcher: dispatcher.New(e.dispatcherConfig(id))}
	s.dispatcher.Configure(now, e.View(), 0, out)
	e.services[id] = s
	e.order = slices.SortedFunc(maps.Values(e.services), func(a, b *shard) int {
		return cmp.Compare(a.id, b.id)
	})
	return s
}

func (e *Engine) dispatcherConfig(id cactuspin.ServiceID) dispatcher.Config {
	return dispatcher.Config{
		Self:        e.cfg.Self,
		Incarnation: e.cfg.Incarnation,
		Service:     id,
		NewCookie:   e.mint,
		Free:        e.loads.free,
		HostForFlow: e.loads.home,
		Suspended:   e.pause.suspended.Load,
		NextExchange: func() cactuspin.ExchangeID {
			return cactuspin.ExchangeID(e.exchanges.Add(1))
		},
		Records:    recorder.Config{Lifetime: e.cfg.CookieLifetime, Capacity: e.cfg.Records},
		RetryAfter: defaultRetryAfter,
	}
}

// allShards returns the shards in a fixed order.
func (e *Engine) allShards() []*shard {
	e.shards.RLock()
	defer e.shards.RUnlock()
	return e.order
}

// Stats are figures of a host for metrics and status.
type Stats struct {
	Feeds    int
	Records  int
	Members  int
	Version  cactuspin.BundleVersion
	Revision uint64
	Leaving  bool
}

// Stats returns the current figures.
func (e *Engine) Stats() (s Stats) {
	for _, x := range e.allShards() {
		x.Lock()
		s.Feeds += x.dispatcher.Feeds()
		s.Records += x.dispatcher.Records()
		x.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Members = len(e.View().Members)
	s.Version = e.adopter.Version()
	s.Revision = e.list.Revision
	s.Leaving = e.prober.Leaving()
	return s
}

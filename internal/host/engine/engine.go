// Package engine implements the logic of an entry host without sockets or a
// clock. It routes messages from callers and peers through a chain of filters to
// the dispatchers of the services, and contains the controllers for the members,
// the bundle and a planned stop.
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

// Default values of the Config.
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
	// Seed initialises the generator of flow IDs and nonces.
	Seed    uint64
	Start   cactuspin.Time
	Keys    []sealer.Key
	Signers signer.Signers
	// CookieLifetime is how long after its issue a cookie is accepted for a new
	// request.
	CookieLifetime time.Duration
	// Records is the maximum number of request records per service.
	Records int
	// StopLimit is the maximum duration of a planned stop.
	StopLimit time.Duration
}

// Engine implements cactuspin.Host. It is safe for concurrent use: each service
// is a shard with its own lock, and a separate lock protects the members and the
// bundle.
type Engine struct {
	cfg    Config
	sealer *sealer.Sealer
	view   atomic.Pointer[placer.View]

	// mu guards the state of the controllers. It is locked before the lock of a
	// shard, never after it.
	mu       sync.Mutex
	detector *detector.Detector
	adopter  *adopter.Adopter
	// candidate is a bundle from the platform that is adopted once startupDone
	// returns true.
	candidate *cactuspin.SignedBundle
	list      cactuspin.HostList
	stop      stopController
	pause     pauseController
	// parts holds the received parts of incomplete handovers by incarnation and
	// part number.
	parts map[cactuspin.Incarnation]map[uint32]cactuspin.Handover
	loads loadTable

	shards   sync.RWMutex
	services map[cactuspin.ServiceID]*shard
	// sorted holds the shards in the order of their service IDs. The slice is
	// replaced, never modified, when a shard is added.
	sorted    []*shard
	randoms   atomic.Uint64
	exchanges atomic.Uint64
}

// shard holds the dispatcher of a service and the lock that guards it.
type shard struct {
	sync.Mutex
	id         cactuspin.ServiceID
	dispatcher *dispatcher.Dispatcher
}

var _ cactuspin.Host = (*Engine)(nil)

// New returns an Engine without peers and without a bundle.
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
		detector: detector.New(detector.Config{Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation, Start: c.Start}),
		adopter:  adopter.New(adopter.Config{Signers: c.Signers}),
		services: make(map[cactuspin.ServiceID]*shard),
		parts:    make(map[cactuspin.Incarnation]map[uint32]cactuspin.Handover),
		loads:    loadTable{hosts: make(map[cactuspin.HostID][]cactuspin.Load)},
	}
	e.pause.last.Store(int64(c.Start))
	e.view.Store(e.buildView())
	return e, nil
}

// View returns the current view of the members and the bundle.
func (e *Engine) View() *placer.View { return e.view.Load() }

// Tick performs the work that is due.
func (e *Engine) Tick(now cactuspin.Time, out *cactuspin.Actions) {
	e.detectPause(now, out)
	e.tickPause(now, out)
	e.tickMembers(now, out)
	for _, s := range e.allShards() {
		s.Lock()
		s.dispatcher.Tick(now, out)
		s.Unlock()
	}
	e.tickStop(now, out)
}

// Target handles an event from the connection to a target.
func (e *Engine) Target(now cactuspin.Time, t cactuspin.TargetSignal, out *cactuspin.Actions) {
	e.detectPause(now, out)
	for _, s := range e.allShards() {
		s.Lock()
		if s.dispatcher.HasTarget(t.Target) {
			s.dispatcher.Target(now, t, out)
		}
		s.Unlock()
	}
}

// shard returns the shard of a service and creates it if it does not exist.
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
	e.sorted = slices.SortedFunc(maps.Values(e.services), func(a, b *shard) int {
		return cmp.Compare(a.id, b.id)
	})
	return s
}

func (e *Engine) dispatcherConfig(id cactuspin.ServiceID) dispatcher.Config {
	return dispatcher.Config{
		Self:        e.cfg.Self,
		Incarnation: e.cfg.Incarnation,
		Service:     id,
		NewCookie:   e.issueCookie,
		Free:        e.loads.free,
		HostForFlow: e.loads.flowOwner,
		Suspended:   e.pause.suspended.Load,
		NextExchange: func() cactuspin.ExchangeID {
			return cactuspin.ExchangeID(e.exchanges.Add(1))
		},
		Records:    recorder.Config{Lifetime: e.cfg.CookieLifetime, Capacity: e.cfg.Records},
		RetryAfter: defaultRetryAfter,
	}
}

// allShards returns the shards in the order of their service IDs.
func (e *Engine) allShards() []*shard {
	e.shards.RLock()
	defer e.shards.RUnlock()
	return e.sorted
}

// Stats holds the figures of a host for metrics and the status report.
type Stats struct {
	Feeds    int
	Records  int
	Members  int
	Version  cactuspin.BundleVersion
	Revision uint64
	Leaving  bool
}

// Stats returns the current figures of the host.
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
	s.Leaving = e.detector.Leaving()
	return s
}

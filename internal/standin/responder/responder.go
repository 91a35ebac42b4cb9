// Package responder emulates a target: a service with slots, a cold start, load shedding
// and observations, on CoAP over TCP. It does not deduplicate requests and counts what
// it actually ran.
package responder

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Config configures a Responder.
type Config struct {
	Address netip.AddrPort
	// Service is the name that each request carries in the query s=NAME. Requests with
	// another name are counted in WrongService.
	Service string
	Slots   int
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// ColdPeriod is how long after the start requests take coldFactor times as long.
	ColdPeriod time.Duration
	// ContentSize is the size of a diagram in bytes.
	ContentSize int
	// FeedPeriod is the interval between two states of a feed.
	FeedPeriod time.Duration
	// Epoch determines the entity tag. It changes with each restart.
	Epoch uint64
}

// coldFactor is the factor by which a cold target is slower.
const coldFactor = 5

// Counts are the counters of a target.
type Counts struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	// Runs is the number of runs of each order by its ID.
	Runs map[string]int `json:"runs"`
	// Answered counts all requests that ran.
	Answered     int `json:"answered"`
	Shed         int `json:"shed"`
	WrongService int `json:"wrong"`
	// Feeds is the current number of observations, Registered their total so far.
	Feeds      int           `json:"feeds"`
	Registered int           `json:"registered"`
	BusyTime   time.Duration `json:"busy_time"`
}

// Responder is one target.
type Responder struct {
	cfg   Config
	start time.Time

	mu         sync.Mutex
	counts     Counts
	slotsInUse int
	state      uint64
	feeds      map[*feed]struct{}
}

// New returns a target that does not listen yet.
func New(c Config) *Responder {
	return &Responder{
		cfg:    c,
		start:  time.Now(),
		feeds:  make(map[*feed]struct{}),
		counts: Counts{Address: c.Address, Service: c.Service, Runs: make(map[string]int)},
	}
}

// Counts returns a copy of the counters.
func (r *Responder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Runs = make(map[string]int, len(r.counts.Runs))
	for k, v := range r.counts.Runs {
		c.Runs[k] = v
	}
	c.Feeds = len(r.feeds)
	return c
}

// Run serves until the context is cancelled.
func (r *Responder) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "target %s", r.cfg.Address) }()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", r.cfg.Address.String())
	if err != nil {
		return errors.WithStack(err)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error { return r.publish(ctx) })
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.WithStack(err)
			}
			g.Go(func() error {
				newSession(r, conn).run(ctx)
				return nil
			})
		}
	})
	return g.Wait()
}

// publish periodically changes the state of the feeds and notifies all observers.
func (r *Responder) publish(ctx context.Context) error {
	t := time.NewTicker(r.cfg.FeedPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		r.mu.Lock()
		r.state++
		all := make([]*feed, 0, len(r.feeds))
		for f := range r.feeds {
			all = append(all, f)
		}
		r.mu.Unlock()
		for _, f := range all {
			f.notify()
		}
	}
}

func (r *Responder) stateText() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Appendf(nil, "s=%s state=%d at=%d", r.cfg.Service, r.state, time.Now().UnixMilli())
}

// acquireSlot acquires a slot. It returns false when none is free.
func (r *Responder) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slotsInUse >= r.cfg.Slots {
		r.counts.Shed++
		return false
	}
	r.slotsInUse++
	return true
}

// runRequest counts a run and holds its slot for the service time.
func (r *Responder) runRequest(id string, service string) {
	d := r.cfg.ServiceTime
	if time.Since(r.start) < r.cfg.ColdPeriod {
		d *= coldFactor
	}
	r.mu.Lock()
	r.counts.Answered++
	if id != "" {
		r.counts.Runs[id]++
	}
	if service != r.cfg.Service {
		r.counts.WrongService++
	}
	r.counts.BusyTime += d
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	r.slotsInUse--
	r.mu.Unlock()
}

// content returns the diagram at a path and its entity tag. Both are the same at all
// targets of a service.
func (r *Responder) content(path string) (b []byte, tag []byte) {
	line := fmt.Sprintf("%s %s %d\n", r.cfg.Service, path, r.cfg.Epoch)
	b = []byte(strings.Repeat(line, r.cfg.ContentSize/len(line)+1))[:r.cfg.ContentSize]
	h := fnv.New64a()
	_, _ = h.Write([]byte(line))
	return b, h.Sum(nil)
}

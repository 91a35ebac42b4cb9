// Package loadgenerator makes load: callers that order, fetch diagrams and keep feeds,
// and a report of what they and the targets saw.
package loadgenerator

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/caller"
)

// Kinds of work in a report.
const (
	KindOrder   = "order"
	KindDiagram = "diagram"
	KindFeed    = "feed"
)

// staleAfter is the silence after which a feed counts as broken.
const staleAfter = 5 * time.Second

// Config configures a Loader.
type Config struct {
	OrderAddress   netip.AddrPort
	DiagramAddress netip.AddrPort
	// OrderService and DiagramService are the names that requests carry.
	OrderService   string
	DiagramService string
	// OrderRate and DiagramRate are in requests a second.
	OrderRate   float64
	DiagramRate float64
	Feeds       int
	// Flows is the number of callers that order and fetch.
	Flows    int
	Duration time.Duration
	// NewFlows makes each order open a flow of its own.
	NewFlows bool
	// RunID makes the IDs of orders unique.
	RunID string
	// SampleFeeds returns what the targets hold; it is called while all feeds are open.
	SampleFeeds func() []int
	// ContentSize is the size of a whole diagram in bytes.
	ContentSize int
}

// Counts are the results of one kind of work.
type Counts struct {
	Sent         int `json:"sent"`
	Whole        int `json:"whole"`
	NotRun       int `json:"not_run"`
	MayHaveRun   int `json:"may_have_run"`
	Lost         int `json:"lost"`
	Duplicated   int `json:"duplicated"`
	WrongService int `json:"wrong_service"`
}

// Report is the result of a run.
type Report struct {
	Kinds         map[string]*Counts `json:"kinds"`
	BrokenFlows   int                `json:"broken_flows"`
	FlowImbalance float64            `json:"flow_imbalance"`
	// FalseRefusals counts orders that ran although the caller was told that
	// they did not.
	FalseRefusals int `json:"false_refusals"`
	// Restarts counts feeds that their caller had to set up again.
	Restarts int `json:"feed_restarts"`
}

// Generator makes the load.
type Generator struct {
	cfg Config

	mu      sync.Mutex
	report  Report
	told    map[string]caller.Outcome
	longest time.Duration
	held    []int
}

// New returns a Loader.
func New(c Config) *Generator {
	kinds := map[string]*Counts{KindOrder: {}, KindDiagram: {}, KindFeed: {}}
	return &Generator{cfg: c, told: make(map[string]caller.Outcome), report: Report{Kinds: kinds}}
}

// Run makes load for the configured time and waits for the last answers.
func (l *Generator) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "load") }()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range l.cfg.Flows {
		wg.Go(func() { l.paced(ctx, l.cfg.OrderRate, l.cfg.OrderAddress, i, l.order) })
		wg.Go(func() { l.paced(ctx, l.cfg.DiagramRate, l.cfg.DiagramAddress, i, l.diagram) })
	}
	wg.Go(func() { l.sample(ctx) })
	for i := range l.cfg.Feeds {
		wg.Go(func() { l.feed(ctx, i) })
	}
	wg.Wait()
	return nil
}

// sampleBefore is how long before the end the targets are asked.
const sampleBefore = 2 * time.Second

// sample asks the targets how many feeds each holds.
func (l *Generator) sample(ctx context.Context) {
	if l.cfg.SampleFeeds == nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(l.cfg.Duration - sampleBefore):
	}
	held := l.cfg.SampleFeeds()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// paced lets one flow make its part of the rate.
func (l *Generator) paced(ctx context.Context, rate float64, service netip.AddrPort, i int, once func(context.Context, *caller.Caller, string)) {
	if rate <= 0 {
		return
	}
	k, err := caller.New(caller.Config{Service: service, Retransmit: time.Second})
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	period := time.Duration(float64(time.Second) * float64(l.cfg.Flows) / rate)
	offset := period * time.Duration(i) / time.Duration(l.cfg.Flows)
	t := time.NewTimer(offset)
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-t.C:
		}
		t.Reset(period)
		id := fmt.Sprintf("%s-%d-%d", l.cfg.RunID, i, n)
		wg.Go(func() { once(context.WithoutCancel(ctx), k, id) })
	}
}

func (l *Generator) order(ctx context.Context, k *caller.Caller, id string) {
	if l.cfg.NewFlows {
		k.Forget()
	}
	r := caller.Post("/orders", []byte("springs=2"))
	r.Queries = []string{"s=" + l.cfg.OrderService, "id=" + id}
	a, err := k.Do(ctx, r)
	wrong := err == nil && a.Outcome == caller.OutcomeWhole && string(a.Payload) != "done id="+id
	l.count(KindOrder, id, a, err, wrong)
}

func (l *Generator) diagram(ctx context.Context, k *caller.Caller, id string) {
	r := caller.Get("/diagrams/drawer", "s="+l.cfg.DiagramService)
	a, err := k.Fetch(ctx, r)
	wrong := err == nil && a.Outcome == caller.OutcomeWhole && !l.wholeDiagram(a.Payload)
	l.count(KindDiagram, id, a, err, wrong)
}

// wholeDiagram checks that all lines are the same and that none is missing.
func (l *Generator) wholeDiagram(b []byte) bool {
	line, _, ok := strings.Cut(string(b), "\n")
	want := strings.Repeat(line+"\n", l.cfg.ContentSize/(len(line)+1)+1)[:l.cfg.ContentSize]
	return ok && strings.HasPrefix(line, l.cfg.DiagramService+" ") && want == string(b)
}

func (l *Generator) count(kind, id string, a caller.Answer, err error, wrong bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.report.Kinds[kind]
	c.Sent++
	switch {
	case err != nil:
		c.Lost++
		a.Outcome = caller.OutcomeMayHaveRun
	case wrong:
		c.WrongService++
	case a.Outcome == caller.OutcomeWhole:
		c.Whole++
	case a.Outcome == caller.OutcomeNotRun, a.Outcome == caller.OutcomeRefused:
		c.NotRun++
	default:
		c.MayHaveRun++
	}
	if kind == KindOrder {
		l.told[id] = a.Outcome
	}
}

// feed keeps one observation and judges it by the longest silence.
func (l *Generator) feed(ctx context.Context, i int) {
	k, err := caller.New(caller.Config{Service: l.cfg.OrderAddress})
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	path := fmt.Sprintf("/stock/%d", i)
	in, err := k.Observe(ctx, caller.Get(path, "s="+l.cfg.OrderService))
	if err != nil {
		return
	}
	last := time.Now()
	states, restarts, wrong := 0, 0, 0
	longest := time.Duration(0)
	for n := range in {
		states++
		longest = max(longest, n.At.Sub(last))
		last = n.At
		if n.Restarted {
			restarts++
		}
		if !strings.HasPrefix(string(n.Payload), "s="+l.cfg.OrderService+" ") {
			wrong++
		}
	}
	longest = max(longest, time.Since(last))
	l.countFeed(states, restarts, wrong, longest)
}

func (l *Generator) countFeed(states, restarts, wrong int, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.report.Kinds[KindFeed]
	c.Sent++
	c.WrongService += wrong
	l.report.Restarts += restarts
	l.longest = max(l.longest, longest)
	switch {
	case states == 0:
		c.Lost++
		l.report.BrokenFlows++
	case longest > staleAfter:
		l.report.BrokenFlows++
	default:
		c.Whole++
	}
}

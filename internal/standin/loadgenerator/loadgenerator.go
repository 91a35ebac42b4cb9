// Package loadgenerator generates load: callers send orders, fetch diagrams and
// observe feeds. It reports what the callers and the targets recorded.
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

// Kinds of requests in a report.
const (
	KindOrder   = "order"
	KindDiagram = "diagram"
	KindFeed    = "feed"
)

// staleAfter is the gap between notifications after which a feed counts as broken.
const staleAfter = 5 * time.Second

// Config configures a Generator.
type Config struct {
	OrderAddress   netip.AddrPort
	DiagramAddress netip.AddrPort
	// OrderService and DiagramService are the names of the services that requests carry.
	OrderService   string
	DiagramService string
	// OrderRate and DiagramRate are in requests per second.
	OrderRate   float64
	DiagramRate float64
	Feeds       int
	// Flows is the number of callers that send orders, and of those that fetch diagrams.
	Flows    int
	Duration time.Duration
	// NewFlows makes each order open a new flow.
	NewFlows bool
	// RunID is the prefix of the IDs of orders, which makes them unique to the run.
	RunID string
	// SampleFeeds returns the number of feeds at each target. It is called while all
	// feeds are open.
	SampleFeeds func() []int
	// ContentSize is the size of a complete diagram in bytes.
	ContentSize int
}

// Counts are the results of one kind of request.
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
	// FalseRefusals counts orders that ran although their caller was told that they did
	// not.
	FalseRefusals int `json:"false_refusals"`
	// FeedRestarts counts how often callers had to register a feed again.
	FeedRestarts int `json:"feed_restarts"`
}

// Generator generates the load and records its results.
type Generator struct {
	cfg Config

	mu             sync.Mutex
	report         Report
	outcomes       map[string]caller.Outcome
	longestGap     time.Duration
	feedsPerTarget []int
}

// New returns a Generator.
func New(c Config) *Generator {
	kinds := map[string]*Counts{KindOrder: {}, KindDiagram: {}, KindFeed: {}}
	return &Generator{cfg: c, outcomes: make(map[string]caller.Outcome), report: Report{Kinds: kinds}}
}

// Run generates load for the configured duration and waits for the last answers.
func (g *Generator) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "generate load") }()
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range g.cfg.Flows {
		wg.Go(func() { g.sendAtRate(ctx, g.cfg.OrderRate, g.cfg.OrderAddress, i, g.order) })
		wg.Go(func() { g.sendAtRate(ctx, g.cfg.DiagramRate, g.cfg.DiagramAddress, i, g.diagram) })
	}
	wg.Go(func() { g.sample(ctx) })
	for i := range g.cfg.Feeds {
		wg.Go(func() { g.feed(ctx, i) })
	}
	wg.Wait()
	return nil
}

// sampleBefore is how long before the end of the run the targets are sampled.
const sampleBefore = 2 * time.Second

// sample records how many feeds each target holds.
func (g *Generator) sample(ctx context.Context) {
	if g.cfg.SampleFeeds == nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(g.cfg.Duration - sampleBefore):
	}
	feedsPerTarget := g.cfg.SampleFeeds()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.feedsPerTarget = feedsPerTarget
}

// sendAtRate sends one flow's share of the rate. An offset spreads the flows evenly.
func (g *Generator) sendAtRate(ctx context.Context, rate float64, service netip.AddrPort, i int, send func(context.Context, *caller.Caller, string)) {
	if rate <= 0 {
		return
	}
	k, err := caller.New(caller.Config{Service: service, RetransmitDelay: time.Second})
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	period := time.Duration(float64(time.Second) * float64(g.cfg.Flows) / rate)
	offset := period * time.Duration(i) / time.Duration(g.cfg.Flows)
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
		id := fmt.Sprintf("%s-%d-%d", g.cfg.RunID, i, n)
		wg.Go(func() { send(context.WithoutCancel(ctx), k, id) })
	}
}

func (g *Generator) order(ctx context.Context, k *caller.Caller, id string) {
	if g.cfg.NewFlows {
		k.ClearCookie()
	}
	r := caller.Post("/orders", []byte("springs=2"))
	r.Queries = []string{"s=" + g.cfg.OrderService, "id=" + id}
	a, err := k.Do(ctx, r)
	wrong := err == nil && a.Outcome == caller.OutcomeSuccess && string(a.Payload) != "done id="+id
	g.count(KindOrder, id, a, err, wrong)
}

func (g *Generator) diagram(ctx context.Context, k *caller.Caller, id string) {
	r := caller.Get("/diagrams/drawer", "s="+g.cfg.DiagramService)
	a, err := k.Fetch(ctx, r)
	wrong := err == nil && a.Outcome == caller.OutcomeSuccess && !g.wholeDiagram(a.Payload)
	g.count(KindDiagram, id, a, err, wrong)
}

// wholeDiagram checks that the diagram is complete and that all its lines are equal.
func (g *Generator) wholeDiagram(b []byte) bool {
	line, _, ok := strings.Cut(string(b), "\n")
	want := strings.Repeat(line+"\n", g.cfg.ContentSize/(len(line)+1)+1)[:g.cfg.ContentSize]
	return ok && strings.HasPrefix(line, g.cfg.DiagramService+" ") && want == string(b)
}

func (g *Generator) count(kind, id string, a caller.Answer, err error, wrong bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.report.Kinds[kind]
	c.Sent++
	switch {
	case err != nil:
		c.Lost++
		a.Outcome = caller.OutcomeMayHaveRun
	case wrong:
		c.WrongService++
	case a.Outcome == caller.OutcomeSuccess:
		c.Whole++
	case a.Outcome == caller.OutcomeNotRun, a.Outcome == caller.OutcomeRefused:
		c.NotRun++
	default:
		c.MayHaveRun++
	}
	if kind == KindOrder {
		g.outcomes[id] = a.Outcome
	}
}

// feed observes one feed and records the longest gap between notifications.
func (g *Generator) feed(ctx context.Context, i int) {
	k, err := caller.New(caller.Config{Service: g.cfg.OrderAddress})
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	path := fmt.Sprintf("/stock/%d", i)
	notifications, err := k.Observe(ctx, caller.Get(path, "s="+g.cfg.OrderService))
	if err != nil {
		return
	}
	last := time.Now()
	states, restarts, wrong := 0, 0, 0
	longestGap := time.Duration(0)
	for n := range notifications {
		states++
		longestGap = max(longestGap, n.ReceivedAt.Sub(last))
		last = n.ReceivedAt
		if n.Restarted {
			restarts++
		}
		if !strings.HasPrefix(string(n.Payload), "s="+g.cfg.OrderService+" ") {
			wrong++
		}
	}
	longestGap = max(longestGap, time.Since(last))
	g.countFeed(states, restarts, wrong, longestGap)
}

func (g *Generator) countFeed(states, restarts, wrong int, longestGap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.report.Kinds[KindFeed]
	c.Sent++
	c.WrongService += wrong
	g.report.FeedRestarts += restarts
	g.longestGap = max(g.longestGap, longestGap)
	switch {
	case states == 0:
		c.Lost++
		g.report.BrokenFlows++
	case longestGap > staleAfter:
		g.report.BrokenFlows++
	default:
		c.Whole++
	}
}

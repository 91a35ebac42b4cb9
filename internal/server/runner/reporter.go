package runner

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cactuspin/cactuspin"
)

// reportQueueLength is how many batches of decisions are queued for the log. Further
// ones are counted but not logged, because the log must not delay traffic.
const reportQueueLength = 8192

// logPrefixes holds the prefix of the log lines of each kind of decision.
var logPrefixes = map[cactuspin.DecisionKind]string{
	cactuspin.DecisionOpen:     "routing: ",
	cactuspin.DecisionRelay:    "routing: ",
	cactuspin.DecisionDrop:     "routing: ",
	cactuspin.DecisionPlace:    "admission: ",
	cactuspin.DecisionQueue:    "admission: ",
	cactuspin.DecisionPass:     "admission: ",
	cactuspin.DecisionRefuse:   "admission: ",
	cactuspin.DecisionRepeat:   "admission: ",
	cactuspin.DecisionRetry:    "admission: ",
	cactuspin.DecisionFeed:     "feeds: ",
	cactuspin.DecisionMove:     "feeds: ",
	cactuspin.DecisionHost:     "membership: ",
	cactuspin.DecisionOwner:    "membership: ",
	cactuspin.DecisionBundle:   "configuration: ",
	cactuspin.DecisionHandover: "stop: ",
}

// reporter logs and counts decisions.
type reporter struct {
	logger *slog.Logger
	queue  chan []cactuspin.Decision
	done   chan error

	mu       sync.Mutex
	counters map[cactuspin.DecisionKind]uint64
}

// decisionNotLogged is the kind under which unlogged decisions are counted.
const decisionNotLogged cactuspin.DecisionKind = "not_logged"

func newReporter(l *slog.Logger) *reporter {
	return &reporter{
		logger:   l,
		queue:    make(chan []cactuspin.Decision, reportQueueLength),
		done:     make(chan error, 1),
		counters: make(map[cactuspin.DecisionKind]uint64),
	}
}

// Start logs decisions until the context ends. Done reports the end.
func (r *reporter) Start(ctx context.Context) {
	go func() {
		defer func() { r.done <- nil }()
		for {
			select {
			case decisions := <-r.queue:
				r.log(ctx, decisions)
			case <-ctx.Done():
				r.drain(ctx)
				return
			}
		}
	}()
}

// Done returns a channel that reports the end of the log.
func (r *reporter) Done() <-chan error { return r.done }

func (r *reporter) drain(ctx context.Context) {
	for {
		select {
		case decisions := <-r.queue:
			r.log(ctx, decisions)
		default:
			return
		}
	}
}

func (r *reporter) report(decisions []cactuspin.Decision) {
	if len(decisions) == 0 {
		return
	}
	r.mu.Lock()
	for i := range decisions {
		r.counters[decisions[i].Kind]++
	}
	r.mu.Unlock()
	if !r.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	select {
	case r.queue <- append([]cactuspin.Decision(nil), decisions...):
	default:
		r.mu.Lock()
		r.counters[decisionNotLogged] += uint64(len(decisions))
		r.mu.Unlock()
	}
}

func (r *reporter) counts() map[cactuspin.DecisionKind]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[cactuspin.DecisionKind]uint64, len(r.counters))
	for k, n := range r.counters {
		all[k] = n
	}
	return all
}

func (r *reporter) log(ctx context.Context, decisions []cactuspin.Decision) {
	for i := range decisions {
		r.logger.LogAttrs(ctx, slog.LevelInfo, logPrefixes[decisions[i].Kind]+decisions[i].Reason, attributes(&decisions[i])...)
	}
}

func attributes(d *cactuspin.Decision) (attrs []slog.Attr) {
	attrs = append(attrs, slog.String("decision", string(d.Kind)))
	if d.Service != 0 {
		attrs = append(attrs, slog.Uint64("service", uint64(d.Service)))
	}
	if d.Caller.IsValid() {
		attrs = append(attrs, slog.String("caller", d.Caller.String()), slog.String("token", d.Token.String()))
	}
	if d.Host != 0 {
		attrs = append(attrs, slog.Uint64("host", uint64(d.Host)))
	}
	if d.Target.IsValid() {
		attrs = append(attrs, slog.String("target", d.Target.String()))
	}
	if d.Version != 0 {
		attrs = append(attrs, slog.Uint64("version", uint64(d.Version)))
	}
	return attrs
}

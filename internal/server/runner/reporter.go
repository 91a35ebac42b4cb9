package runner

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cactuspin/cactuspin"
)

// reportQueue is how many batches of decisions wait to be logged. More are
// counted and left out: the log must not hold up the traffic.
const reportQueue = 8192

// prefixes are the fixed beginnings of the log lines of each part.
var prefixes = map[cactuspin.DecisionKind]string{
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

	mu    sync.Mutex
	count map[cactuspin.DecisionKind]uint64
}

// decisionLost counts the decisions that were not logged.
const decisionLost cactuspin.DecisionKind = "not_logged"

func newReporter(l *slog.Logger) *reporter {
	return &reporter{
		logger: l,
		queue:  make(chan []cactuspin.Decision, reportQueue),
		done:   make(chan error, 1),
		count:  make(map[cactuspin.DecisionKind]uint64),
	}
}

// Start logs until the context ends, which is reported on Done.
func (r *reporter) Start(ctx context.Context) {
	go func() {
		defer func() { r.done <- nil }()
		for {
			select {
			case ds := <-r.queue:
				r.log(ctx, ds)
			case <-ctx.Done():
				r.drain(ctx)
				return
			}
		}
	}()
}

// Done reports the end of the log.
func (r *reporter) Done() <-chan error { return r.done }

func (r *reporter) drain(ctx context.Context) {
	for {
		select {
		case ds := <-r.queue:
			r.log(ctx, ds)
		default:
			return
		}
	}
}

func (r *reporter) report(ds []cactuspin.Decision) {
	if len(ds) == 0 {
		return
	}
	r.mu.Lock()
	for i := range ds {
		r.count[ds[i].Kind]++
	}
	r.mu.Unlock()
	if !r.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	select {
	case r.queue <- append([]cactuspin.Decision(nil), ds...):
	default:
		r.mu.Lock()
		r.count[decisionLost] += uint64(len(ds))
		r.mu.Unlock()
	}
}

func (r *reporter) counts() map[cactuspin.DecisionKind]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[cactuspin.DecisionKind]uint64, len(r.count))
	for k, n := range r.count {
		all[k] = n
	}
	return all
}

func (r *reporter) log(ctx context.Context, ds []cactuspin.Decision) {
	for i := range ds {
		r.logger.LogAttrs(ctx, slog.LevelInfo, prefixes[ds[i].Kind]+ds[i].Reason, attributes(&ds[i])...)
	}
}

func attributes(d *cactuspin.Decision) (as []slog.Attr) {
	as = append(as, slog.String("decision", string(d.Kind)))
	if d.Service != 0 {
		as = append(as, slog.Uint64("service", uint64(d.Service)))
	}
	if d.Caller.IsValid() {
		as = append(as, slog.String("caller", d.Caller.String()), slog.String("token", d.Token.String()))
	}
	if d.Host != 0 {
		as = append(as, slog.Uint64("host", uint64(d.Host)))
	}
	if d.Target.IsValid() {
		as = append(as, slog.String("target", d.Target.String()))
	}
	if d.Version != 0 {
		as = append(as, slog.Uint64("version", uint64(d.Version)))
	}
	return as
}

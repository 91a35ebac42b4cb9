// Package reporter reports verdicts on packets as log lines and metrics. The rate
// of log lines is limited: above the limit, flows are sampled as a whole, so that
// a logged flow can be followed, and the suppressed lines are counted.
package reporter

import (
	"context"
	"hash/maphash"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cactuspin/cactuspin"
)

const (
	// linesPerSecond is the rate up to which all flows are logged: about 100 KB per
	// second. Hosts of the current sizes log 100 lines per second, and 700 in the
	// second after a restart of all hosts.
	linesPerSecond = 500
	// sampleInterval is the number of flows of which one is logged above that rate.
	sampleInterval = 16
	// rateWindow is the period over which lines are counted.
	rateWindow = time.Second
)

// Config configures a Reporter.
type Config struct {
	Logger *slog.Logger
	Format cactuspin.PacketFormat
	// RecordResponseTime records the time from a request to its first answer.
	RecordResponseTime func(responseTime time.Duration)
}

// Reporter reports verdicts. Report must not be called concurrently.
type Reporter struct {
	cfg             Config
	seed            maphash.Seed
	windowStart     cactuspin.Time
	lines           int
	suppressed      int
	suppressedTotal atomic.Uint64
}

// New returns a Reporter.
func New(c Config) *Reporter { return &Reporter{cfg: c, seed: maphash.MakeSeed()} }

// Suppressed returns the total number of suppressed lines.
func (r *Reporter) Suppressed() uint64 { return r.suppressedTotal.Load() }

// Report reports the verdict v on the packet b, whose header is p.
func (r *Reporter) Report(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict, b []byte) {
	if v.ResponseTime > 0 {
		r.cfg.RecordResponseTime(v.ResponseTime)
	}
	var id []byte
	if p.Length > 0 {
		id = r.cfg.Format.RequestID(b)
	}
	if v.Reason == cactuspin.ReasonEstablished && !v.Request && !v.Retransmitted && id == nil {
		return
	}
	if r.admit(now, p) {
		r.log(p, v, id)
	}
}

// admit reports whether a line about the flow of p may be logged.
func (r *Reporter) admit(now cactuspin.Time, p *cactuspin.Packet) bool {
	if now.Sub(r.windowStart) >= rateWindow {
		if r.suppressed > 0 {
			r.cfg.Logger.Warn("flow: lines left out", slog.Int("lines", r.suppressed), slog.Int("one_in", sampleInterval))
		}
		r.windowStart, r.lines, r.suppressed = now, 0, 0
	}
	if r.lines++; r.lines <= linesPerSecond || maphash.Comparable(r.seed, p.Caller)%sampleInterval == 0 {
		return true
	}
	r.suppressed++
	r.suppressedTotal.Add(1)
	return false
}

func (r *Reporter) log(p *cactuspin.Packet, v *cactuspin.Verdict, id []byte) {
	level, message := slog.LevelInfo, "flow: forwarded"
	switch v.Kind {
	case cactuspin.VerdictReset:
		level, message = slog.LevelWarn, "flow: reset"
	case cactuspin.VerdictDrop:
		level, message = slog.LevelWarn, "flow: dropped"
	case cactuspin.VerdictForward:
	}
	attributes := make([]slog.Attr, 0, 12)
	attributes = append(attributes, slog.String("reason", v.Reason.String()),
		slog.String("caller", p.Caller.String()), slog.String("service", p.Service.String()))
	if id != nil {
		attributes = append(attributes, slog.String("request", string(id)))
	}
	if v.Retransmitted {
		attributes = append(attributes, slog.Bool("repeat", true))
	}
	if v.Target != "" {
		attributes = append(attributes, slog.String("target", string(v.Target)), slog.String("address", v.TargetAddress.String()), slog.Int("busy", v.TargetRequests))
	}
	attributes = append(attributes, slog.Uint64("cookie", uint64(p.Cookie)), slog.String("route", string(v.Route)),
		slog.Uint64("version", uint64(v.Version)), slog.Duration("age", v.KnowledgeAge))
	r.cfg.Logger.LogAttrs(context.Background(), level, message, attributes...)
}

// Package reporter turns verdicts about packets into log lines and measurements.
// Lines are bounded: past a rate, flows are sampled whole, so that what is
// logged of a flow can be followed, and what was left out is counted.
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
	// linesPerSecond is the rate up to which every flow is logged: about 100 KB a
	// second. Hosts of today's sizes log 100 lines a second, and 700 in the second
	// after all have started again.
	linesPerSecond = 500
	// sampleShare is one of how many flows are logged above that rate.
	sampleShare = 16
	window      = time.Second
)

// Config configures a Reporter.
type Config struct {
	Logger *slog.Logger
	Format cactuspin.PacketFormat
	// RecordResponseTime takes the time from a request to its first answer.
	RecordResponseTime func(answered time.Duration)
}

// Reporter reports verdicts. Observe is to be called by one goroutine.
type Reporter struct {
	cfg    Config
	seed   maphash.Seed
	began  cactuspin.Time
	lines  int
	left   int
	leftUp atomic.Uint64
}

// New returns a Reporter.
func New(c Config) *Reporter { return &Reporter{cfg: c, seed: maphash.MakeSeed()} }

// Suppressed returns how many lines were left out so far.
func (r *Reporter) Suppressed() uint64 { return r.leftUp.Load() }

// Observe takes the verdict v about the packet b, whose header is p.
func (r *Reporter) Observe(now cactuspin.Time, p *cactuspin.Packet, v *cactuspin.Verdict, b []byte) {
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

// admit tells whether a line about the flow of p may be written.
func (r *Reporter) admit(now cactuspin.Time, p *cactuspin.Packet) bool {
	if now.Sub(r.began) >= window {
		if r.left > 0 {
			r.cfg.Logger.Warn("flow: lines left out", slog.Int("lines", r.left), slog.Int("one_in", sampleShare))
		}
		r.began, r.lines, r.left = now, 0, 0
	}
	if r.lines++; r.lines <= linesPerSecond || maphash.Comparable(r.seed, p.Caller)%sampleShare == 0 {
		return true
	}
	r.left++
	r.leftUp.Add(1)
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

package runner

import (
	"log/slog"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// Handle lets the engine decide and performs what it decided.
func (r *Runner) Handle(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	out := driver.BorrowActions()
	defer driver.ReturnActions(out)
	decide(r.cfg.Clock(), out)
	r.perform(out)
}

// perform does the I/O. Messages that certainly did not leave go back to the
// engine, which may place them elsewhere.
func (r *Runner) perform(out *cactuspin.Actions) {
	r.reporter.report(out.Decisions)
	for i := range out.Answers {
		if err := r.listener.Send(&out.Answers[i]); err != nil {
			r.cfg.Logger.Warn("fabric: answer not sent", slog.Any("error", err))
		}
	}
	for _, c := range out.Controls {
		r.dialer.Control(c)
	}
	for _, p := range out.Peers {
		r.linker.Send(p.Host, p.Message)
	}
	for i := range out.Relays {
		x := out.Relays[i].Request
		r.linker.Send(out.Relays[i].Host, cactuspin.PeerMessage{Relay: &x})
	}
	if out.Stopped {
		r.end()
	}
	for _, s := range out.Sends {
		if r.dialer.Send(s) {
			continue
		}
		r.Handle(func(now cactuspin.Time, next *cactuspin.Actions) {
			r.engine.Target(now, cactuspin.TargetSignal{
				Target:   s.Target,
				Kind:     cactuspin.SignalNotSent,
				Exchange: s.Exchange,
			}, next)
		})
	}
}

// end lets Run return; it is called from one goroutine, the one that ticks.
func (r *Runner) end() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

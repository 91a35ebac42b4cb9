package runner

import (
	"log/slog"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// Handle runs a decision of the engine and performs the resulting actions.
func (r *Runner) Handle(decide func(now cactuspin.Time, out *cactuspin.Actions)) {
	out := driver.BorrowActions()
	defer driver.ReturnActions(out)
	decide(r.cfg.Clock(), out)
	r.perform(out)
}

// perform performs the I/O of the actions. Messages that were certainly not sent are
// returned to the engine, which may place them on another target.
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
		r.connector.Send(p.Host, p.Message)
	}
	for i := range out.Relays {
		x := out.Relays[i].Request
		r.connector.Send(out.Relays[i].Host, cactuspin.PeerMessage{Relay: &x})
	}
	if out.Stopped {
		r.finishStop()
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

// finishStop lets Run return. Only the ticking goroutine calls it, so that the check
// and the close can't race.
func (r *Runner) finishStop() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

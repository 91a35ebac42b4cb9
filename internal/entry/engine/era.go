package engine

import (
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

// errOlderEra reports an answer that a host must not use: the store, or a copy of it, has
// gone back to an era that had ended.
var errOlderEra = errors.New("answer of the store has an older era than is known")

// recordEra records the era of an answer, also of an error. An answer that names none
// belongs to the newest known era. It reports whether the store was restored since the last
// answer. Then targets that the backup lacks may be alive as after an outage, so that the
// restore counts as an error of the store.
func (e *Engine) recordEra(now cactuspin.Time, u *cactuspin.Update, out *Actions) (restored bool) {
	position := e.tracker.Position(now)
	known := max(e.store.era, position.Era)
	if u.Era == 0 {
		u.Era = known
	}
	if u.Era <= known {
		return false
	}
	e.store.era = u.Era
	if !position.Complete {
		return true
	}
	out.note(slog.LevelWarn, "store: restored, reading everything", slog.Uint64("era", uint64(u.Era)),
		slog.Uint64("known_era", uint64(known)), slog.Uint64("revision", uint64(position.Revision)))
	e.tracker.RecordStoreError(now)
	return true
}

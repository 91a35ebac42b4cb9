package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cactuspin/cactuspin"
)

// compact removes the nil entries of ended observations from order once they are
// many.
func (t *feedTable) compact() {
	if len(t.order) < 2*len(t.byKey)+minCompactGaps {
		return
	}
	t.order = slices.DeleteFunc(t.order, func(f *feed) bool { return f == nil })
	for i, f := range t.order {
		f.index = i
	}
	t.cursor = 0
}

// minCompactGaps is the number of nil entries up to which order is never compacted.
const minCompactGaps = 64

// replicaKeys returns the keys of all replicas in a fixed order.
func (t *feedTable) replicaKeys() []cactuspin.FeedKey {
	return slices.SortedFunc(maps.Keys(t.replicas), compareKeys)
}

func compareKeys(a, b cactuspin.FeedKey) int {
	return cmp.Or(
		a.Caller.Compare(b.Caller),
		a.Service.Compare(b.Service),
		slices.Compare(a.Token.Slice(), b.Token.Slice()),
	)
}

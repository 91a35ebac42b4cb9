package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cactuspin/cactuspin"
)

// compact drops the gaps that ended observations left, once they are many.
func (t *feedTable) compact() {
	if len(t.order) < 2*len(t.byKey)+minCompact {
		return
	}
	t.order = slices.DeleteFunc(t.order, func(f *feed) bool { return f == nil })
	for i, f := range t.order {
		f.slot = i
	}
	t.cursor = 0
}

// minCompact is the number of gaps that are always left alone.
const minCompact = 64

// copyKeys returns the keys of all copies in a fixed order.
func (t *feedTable) copyKeys() []cactuspin.FeedKey {
	return slices.SortedFunc(maps.Keys(t.copies), compareKeys)
}

func compareKeys(a, b cactuspin.FeedKey) int {
	return cmp.Or(
		a.Caller.Compare(b.Caller),
		a.Service.Compare(b.Service),
		slices.Compare(a.Token.Slice(), b.Token.Slice()),
	)
}

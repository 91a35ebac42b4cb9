package encoder

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

const (
	// DownLifetime is how long a report about a target that is down is used after
	// its evidence: three probe intervals, within which its reporter renews it.
	DownLifetime = 1500 * time.Millisecond
	// maxDownTargets limits the targets in a beacon, so that they fit into it with
	// two lists of loads.
	maxDownTargets = 30
	// downTargetLength is the length of a report on the wire in bytes.
	downTargetLength = 6
)

// DownTarget reports that a host found a target down.
type DownTarget struct {
	Cookie cactuspin.Cookie
	// Age is the time since the evidence, in whole milliseconds on the wire.
	Age time.Duration
}

// DownTargets lists reports, each about another target.
type DownTargets []DownTarget

// Freshest returns the reports that fit into a beacon, those with the newest
// evidence first.
func (d DownTargets) Freshest() DownTargets {
	sorted := slices.SortedFunc(slices.Values(d), func(a, b DownTarget) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Cookie, b.Cookie))
	})
	return sorted[:min(len(sorted), maxDownTargets)]
}

// MarshalBinary encodes the reports in their form on the wire.
func (d DownTargets) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, downTargetLength*len(d))
	for _, x := range d {
		b = binary.BigEndian.AppendUint32(b, uint32(x.Cookie))
		b = binary.BigEndian.AppendUint16(b, uint16(min(math.MaxUint16, x.Age.Milliseconds())))
	}
	return b, nil
}

// UnmarshalBinary decodes the form on the wire.
func (d *DownTargets) UnmarshalBinary(b []byte) error {
	if len(b)%downTargetLength != 0 {
		return errors.New("length of the reports is not a multiple of the length of one report")
	}
	*d = make(DownTargets, 0, len(b)/downTargetLength)
	for ; len(b) > 0; b = b[downTargetLength:] {
		*d = append(*d, DownTarget{
			Cookie: cactuspin.Cookie(binary.BigEndian.Uint32(b)),
			Age:    time.Duration(binary.BigEndian.Uint16(b[4:])) * time.Millisecond,
		})
	}
	return nil
}

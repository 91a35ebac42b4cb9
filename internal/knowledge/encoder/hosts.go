package encoder

import (
	"math/bits"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// hostSetLength is the length of a host set on the wire in bytes.
const hostSetLength = 32

// HostSet is the set of the hosts of a zone, with one bit for each address. Two hosts may
// share a bit. This is rare: the addresses of one /24 network have different bits, and no
// use of the set needs exact numbers.
type HostSet [hostSetLength]byte

// MinRankedHosts is the number of hosts from which those of a zone have ranks. Hosts of
// smaller zones see enough of all targets.
const MinRankedHosts = 8

// HostRank is the place of a host among the hosts of its zone.
type HostRank struct {
	// Rank is the number of hosts before this one, Hosts the number of all; 0 if unknown.
	Rank, Hosts int
}

// bitOf returns the bit of a host.
func bitOf(a netip.Addr) uint8 {
	b := a.As4()
	// The multiplier spreads the networks, of which large sites have several per zone.
	return b[3] + (b[2]+b[1]*7+b[0]*31)*89
}

// Add adds a host to the set.
func (s *HostSet) Add(a netip.Addr) {
	n := bitOf(a)
	s[n/8] |= 1 << (n % 8)
}

// RankOf returns the place of a host in the set, which counts as containing it.
func (s HostSet) RankOf(a netip.Addr) (r HostRank) {
	s.Add(a)
	n := bitOf(a)
	for i, b := range s {
		r.Hosts += bits.OnesCount8(b)
		switch {
		case i < int(n/8):
			r.Rank += bits.OnesCount8(b)
		case i == int(n/8):
			r.Rank += bits.OnesCount8(b & (1<<(n%8) - 1))
		}
	}
	return r
}

// MarshalBinary encodes the set in its form on the wire.
func (s HostSet) MarshalBinary() ([]byte, error) { return s[:], nil }

// UnmarshalBinary decodes the form on the wire.
func (s *HostSet) UnmarshalBinary(b []byte) error {
	if len(b) != hostSetLength {
		return errors.New("length of a host set is wrong")
	}
	copy(s[:], b)
	return nil
}

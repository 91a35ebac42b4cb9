package encoder

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// MaxEligible limits the hosts that a beacon lists as eligible, so that it fits into a
// datagram.
const MaxEligible = 64

// Addresses lists IPv4 addresses. Each takes four bytes on the wire.
type Addresses []netip.Addr

const addressLength = 4

// MarshalBinary encodes the addresses in their form on the wire.
func (a Addresses) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, addressLength*len(a))
	for _, x := range a {
		if !x.Is4() {
			return nil, errors.Newf("%s is no IPv4 address", x)
		}
		b = append(b, x.AsSlice()...)
	}
	return b, nil
}

// UnmarshalBinary decodes the form on the wire.
func (a *Addresses) UnmarshalBinary(b []byte) error {
	if len(b)%addressLength != 0 || len(b) > MaxEligible*addressLength {
		return errors.Newf("%d bytes of addresses", len(b))
	}
	*a = make(Addresses, 0, len(b)/addressLength)
	for ; len(b) > 0; b = b[addressLength:] {
		*a = append(*a, netip.AddrFrom4([addressLength]byte(b)))
	}
	return nil
}

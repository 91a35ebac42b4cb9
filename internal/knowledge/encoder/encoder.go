// Package encoder defines what hosts of the packet path tell one another and
// its form on the wire: CBOR in datagrams for beacons and small updates, CBOR
// bodies for whole updates.
package encoder

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
)

// MaxDatagramLength is the longest datagram between hosts in bytes; it fits into one
// Ethernet frame.
const MaxDatagramLength = 1400

const (
	// ActiveRequestsScale is the unit of Load.Busy: sixteenths of a request.
	ActiveRequestsScale = 16
	// FailedRequestsScale is the unit of Load.Failed: quarters of a request.
	FailedRequestsScale = 4
	// maxLoads is how many loads a beacon lists, so that two lists fit into a
	// datagram.
	maxLoads = 70
)

// Subject names what a load is about: a service's targets in a zone by a hash, or
// a target by its cookie. Busy and Flows are told of the former, Failed of the
// latter, so that it does no harm if two have the same subject.
type Subject uint32

// Load is what hosts have in progress and what failed.
type Load struct {
	Subject Subject
	// ActiveRequests is the mean of the requests in progress, in units of 1/BusyScale.
	ActiveRequests uint16
	// Flows is the number of open flows.
	Flows uint16
	// FailedRequests is the number of requests that failed lately, in units of
	// 1/FailedScale; what is above its range counts as its end.
	FailedRequests uint8
}

// Loads are loads of many subjects. On the wire they are nine bytes each.
type Loads []Load

// Largest returns the loads that a beacon has room for: failures come first,
// then what is busiest.
func (l Loads) Largest() Loads {
	if len(l) <= maxLoads {
		return l
	}
	sorted := slices.SortedStableFunc(slices.Values(l), func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.FailedRequests, a.FailedRequests), cmp.Compare(b.ActiveRequests, a.ActiveRequests))
	})
	return sorted[:maxLoads]
}

const loadLength = 9

// MarshalBinary returns the form on the wire.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, loadLength*len(l))
	for _, x := range l {
		b = binary.BigEndian.AppendUint32(b, uint32(x.Subject))
		b = binary.BigEndian.AppendUint16(b, x.ActiveRequests)
		b = binary.BigEndian.AppendUint16(b, x.Flows)
		b = append(b, x.FailedRequests)
	}
	return b, nil
}

// UnmarshalBinary reads the form on the wire.
func (l *Loads) UnmarshalBinary(b []byte) error {
	if len(b)%loadLength != 0 {
		return errors.New("loads are cut short")
	}
	*l = make(Loads, 0, len(b)/loadLength)
	for ; len(b) > 0; b = b[loadLength:] {
		*l = append(*l, Load{
			Subject:        Subject(binary.BigEndian.Uint32(b)),
			ActiveRequests: binary.BigEndian.Uint16(b[4:]),
			Flows:          binary.BigEndian.Uint16(b[6:]),
			FailedRequests: b[8],
		})
	}
	return nil
}

// Beacon tells peers that a host lives and what it knows.
type Beacon struct {
	Host        cactuspin.EntryHost   `cbor:"1,keyasint"`
	Incarnation cactuspin.Incarnation `cbor:"2,keyasint"`
	Revision    cactuspin.Revision    `cbor:"3,keyasint"`
	LastChange  cactuspin.Revision    `cbor:"4,keyasint"`
	Age         time.Duration         `cbor:"5,keyasint"`
	HealthyFor  time.Duration         `cbor:"6,keyasint"`
	// Complete says that the host has knowledge to give.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Leaving says that the host is about to stop.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// ReplyRequested asks the receiver for a beacon at once.
	ReplyRequested bool `cbor:"9,keyasint,omitempty"`
	// Loads is what the host has in progress; to another zone, what its zone has.
	Loads Loads `cbor:"10,keyasint,omitempty"`
	// Total is what all hosts have in progress, as the leader of the zone knows it.
	Total Loads `cbor:"11,keyasint,omitempty"`
}

// Datagram is a datagram between hosts; one field is set.
type Datagram struct {
	Beacon *Beacon           `cbor:"1,keyasint,omitempty"`
	Update *cactuspin.Update `cbor:"2,keyasint,omitempty"`
}

// Encode returns the datagram's bytes. They may be more than MaxDatagram.
func Encode(d *Datagram) (b []byte, err error) {
	b, err = cbor.Marshal(d)
	return b, errors.Wrap(err, "encode datagram")
}

// Decode reads a datagram.
func Decode(b []byte) (d Datagram, err error) {
	defer func() { err = errors.Wrap(err, "decode datagram") }()
	if err := cbor.Unmarshal(b, &d); err != nil {
		return d, errors.WithStack(err)
	}
	if (d.Beacon == nil) == (d.Update == nil) {
		return d, errors.New("neither beacon nor update")
	}
	if d.Beacon != nil && !d.Beacon.Host.Address.Is4() {
		return d, errors.New("beacon without an address")
	}
	return d, nil
}

// EncodeUpdate returns the body of a whole update.
func EncodeUpdate(u *cactuspin.Update) (b []byte, err error) {
	b, err = cbor.Marshal(u)
	return b, errors.Wrap(err, "encode update")
}

// DecodeUpdate reads the body of a whole update.
func DecodeUpdate(b []byte) (u cactuspin.Update, err error) {
	return u, errors.Wrap(cbor.Unmarshal(b, &u), "decode update")
}

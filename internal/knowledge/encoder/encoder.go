// Package encoder defines what hosts of the packet path tell one another and
// its form on the wire: CBOR in datagrams for beacons and small updates, CBOR
// bodies for whole updates.
package encoder

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
	"time"
)

// MaxDatagram is the longest datagram between hosts in bytes; it fits into one
// Ethernet frame.
const MaxDatagram = 1400

// TargetLoad is what a host or a zone has in progress at a target.
type TargetLoad struct {
	Cookie cactuspin.Cookie `cbor:"1,keyasint"`
	// Busy is the requests in progress, Flows the open flows.
	Busy  uint16 `cbor:"2,keyasint,omitempty"`
	Flows uint16 `cbor:"3,keyasint,omitempty"`
}

// Beacon tells peers that a host lives and what it knows.
type Beacon struct {
	Host        cactuspin.EntryHost   `cbor:"1,keyasint"`
	Incarnation cactuspin.Incarnation `cbor:"2,keyasint"`
	Revision    cactuspin.Revision    `cbor:"3,keyasint"`
	Changed     cactuspin.Revision    `cbor:"4,keyasint"`
	Age         time.Duration         `cbor:"5,keyasint"`
	Settled     time.Duration         `cbor:"6,keyasint"`
	Loaded      bool                  `cbor:"7,keyasint,omitempty"`
	// Leaving says that the host is about to stop.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Answer asks the receiver for a beacon at once.
	Answer bool         `cbor:"9,keyasint,omitempty"`
	Loads  []TargetLoad `cbor:"10,keyasint,omitempty"`
	// Down are targets that do not answer.
	Down []cactuspin.TargetID `cbor:"11,keyasint,omitempty"`
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

package cactuspin

import (
	"net/netip"
	"time"
)

// PeerMessage is a message between two hosts. Exactly one field is set.
type PeerMessage struct {
	Heartbeat       *Heartbeat       `cbor:"1,keyasint,omitempty"`
	Relay           *Request         `cbor:"2,keyasint,omitempty"`
	Acknowledgement *Acknowledgement `cbor:"3,keyasint,omitempty"`
	Execute         *Execute         `cbor:"4,keyasint,omitempty"`
	ExecuteResult   *ExecuteResult   `cbor:"5,keyasint,omitempty"`
	SyncRequest     *SyncRequest     `cbor:"6,keyasint,omitempty"`
	Bundle          *SignedBundle    `cbor:"7,keyasint,omitempty"`
	List            *HostList        `cbor:"8,keyasint,omitempty"`
	FeedMove        *FeedState       `cbor:"9,keyasint,omitempty"`
	FeedMoved       *FeedReference   `cbor:"10,keyasint,omitempty"`
	FeedReplica     *FeedState       `cbor:"11,keyasint,omitempty"`
	Handover        *Handover        `cbor:"12,keyasint,omitempty"`
	HandoverResult  *HandoverResult  `cbor:"13,keyasint,omitempty"`
	FeedEnded       *FeedReference   `cbor:"14,keyasint,omitempty"`
	Probe           *Probe           `cbor:"15,keyasint,omitempty"`
	ProbeAnswer     *ProbeAnswer     `cbor:"16,keyasint,omitempty"`
}

// Probe asks a peer what it has now. A host that was paused sends it: what waits
// in its sockets may be as old as the pause.
type Probe struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	Version  BundleVersion `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
}

// Load is the free capacity of a host for a service.
type Load struct {
	Service ServiceID `cbor:"1,keyasint"`
	Free    uint16    `cbor:"2,keyasint"`
	// Targets is the number of targets that take new work.
	Targets uint16 `cbor:"3,keyasint"`
}

// Takeover says that a host holds the authority of an ended incarnation.
type Takeover struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Until       uint32      `cbor:"3,keyasint"` // seconds since the Unix epoch
}

// Heartbeat is sent to every known peer a few times a second.
type Heartbeat struct {
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Zone        ZoneID        `cbor:"2,keyasint"`
	Leaving     bool          `cbor:"3,keyasint,omitempty"`
	Version     BundleVersion `cbor:"4,keyasint,omitempty"`
	Revision    uint64        `cbor:"5,keyasint,omitempty"`
	Loads       []Load        `cbor:"6,keyasint,omitempty"`
	Takeovers   []Takeover    `cbor:"7,keyasint,omitempty"`
	// ReceivedFrom lists the hosts whose heartbeats reach the sender.
	ReceivedFrom []HostID `cbor:"8,keyasint,omitempty"`
}

// SyncRequest asks a peer for its bundle or its list.
type SyncRequest struct {
	Bundle bool `cbor:"1,keyasint,omitempty"`
	List   bool `cbor:"2,keyasint,omitempty"`
}

// Execute passes a request that has not been dispatched on to another host,
// under the authority of the sender.
type Execute struct {
	Exchange    ExchangeID    `cbor:"1,keyasint"`
	Request     Request       `cbor:"2,keyasint"`
	TimeLeft    time.Duration `cbor:"3,keyasint"` // until the deadline
	Incarnation Incarnation   `cbor:"4,keyasint"`
	Issued      uint32        `cbor:"5,keyasint"` // seconds since the Unix epoch
}

// ExecuteResult answers an Execute. When NotRun is set the request certainly did not
// run; otherwise Code 0 means that its outcome is unknown.
type ExecuteResult struct {
	Exchange ExchangeID `cbor:"1,keyasint"`
	NotRun   bool       `cbor:"2,keyasint,omitempty"`
	Code     Code       `cbor:"3,keyasint,omitempty"`
	Options  []Option   `cbor:"4,keyasint,omitempty"`
	Payload  []byte     `cbor:"5,keyasint,omitempty"`
}

// FeedKey identifies an observation by the caller's side of it.
type FeedKey struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	Token   Token          `cbor:"3,keyasint"`
}

// FeedState is the compact record of an observation.
type FeedState struct {
	Key      FeedKey  `cbor:"1,keyasint"`
	Path     string   `cbor:"2,keyasint"`
	Options  []Option `cbor:"3,keyasint,omitempty"`
	Sequence uint32   `cbor:"4,keyasint"`
}

// FeedReference says that the sender has registered the observation, or, as
// FeedForget, that the observation has ended.
type FeedReference struct {
	Key FeedKey `cbor:"1,keyasint"`
}

// RecordState is what an authority knows of a request.
type RecordState uint8

// The states of a request's record.
const (
	RecordNone RecordState = iota
	RecordPending
	RecordDone
	RecordNotRun
	RecordUnknown
)

// Record is what an authority keeps of a request so that it runs at most once.
type Record struct {
	Key     uint64      `cbor:"1,keyasint"`
	Issued  uint32      `cbor:"2,keyasint"` // seconds since the Unix epoch
	State   RecordState `cbor:"3,keyasint"`
	Code    Code        `cbor:"4,keyasint,omitempty"`
	Payload []byte      `cbor:"5,keyasint,omitempty"`
	Options []Option    `cbor:"6,keyasint,omitempty"`
}

// Handover moves part of an authority to another host. The receiver holds the
// authority once it has all parts.
type Handover struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Service     ServiceID   `cbor:"2,keyasint"`
	Part        uint32      `cbor:"3,keyasint"`
	Parts       uint32      `cbor:"4,keyasint"`
	Floor       uint32      `cbor:"5,keyasint"`
	Records     []Record    `cbor:"6,keyasint,omitempty"`
	Takeovers   []Takeover  `cbor:"7,keyasint,omitempty"`
}

// HandoverResult confirms that all parts of a handover have arrived, or declines it
// for good: the sender does not hold the authority and never will.
type HandoverResult struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Declined    bool        `cbor:"2,keyasint,omitempty"`
}

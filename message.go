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

// Probe asks a peer for the current versions of its bundle and its list. A host
// sends it after it was paused, because messages in its socket buffers may be as
// old as the pause.
type Probe struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// ProbeAnswer answers a Probe with the version of the bundle and the revision of
// the list.
type ProbeAnswer struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	Version  BundleVersion `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
}

// Load is the free capacity of a host for a service.
type Load struct {
	Service ServiceID `cbor:"1,keyasint"`
	Free    uint16    `cbor:"2,keyasint"`
	// Targets is the number of targets that accept new requests.
	Targets uint16 `cbor:"3,keyasint"`
}

// Takeover reports that a host has taken over the authority of an ended
// incarnation.
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
	// ReceivedFrom lists the hosts whose heartbeats the sender receives.
	ReceivedFrom []HostID `cbor:"8,keyasint,omitempty"`
}

// SyncRequest asks a peer for its bundle or its list of hosts and targets.
type SyncRequest struct {
	Bundle bool `cbor:"1,keyasint,omitempty"`
	List   bool `cbor:"2,keyasint,omitempty"`
}

// Execute asks another host to execute a request that has not been dispatched yet.
// The sender keeps the authority over the request.
type Execute struct {
	Exchange    ExchangeID    `cbor:"1,keyasint"`
	Request     Request       `cbor:"2,keyasint"`
	TimeLeft    time.Duration `cbor:"3,keyasint"` // until the deadline
	Incarnation Incarnation   `cbor:"4,keyasint"`
	Issued      uint32        `cbor:"5,keyasint"` // seconds since the Unix epoch
}

// ExecuteResult answers an Execute. If NotRun is set, the request was certainly not
// executed; otherwise Code 0 means that its outcome is unknown.
type ExecuteResult struct {
	Exchange ExchangeID `cbor:"1,keyasint"`
	NotRun   bool       `cbor:"2,keyasint,omitempty"`
	Code     Code       `cbor:"3,keyasint,omitempty"`
	Options  []Option   `cbor:"4,keyasint,omitempty"`
	Payload  []byte     `cbor:"5,keyasint,omitempty"`
}

// FeedKey identifies an observation by its caller, service and token.
type FeedKey struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	Token   Token          `cbor:"3,keyasint"`
}

// FeedState is the state of an observation that is moved to another host or
// replicated there.
type FeedState struct {
	Key      FeedKey  `cbor:"1,keyasint"`
	Path     string   `cbor:"2,keyasint"`
	Options  []Option `cbor:"3,keyasint,omitempty"`
	Sequence uint32   `cbor:"4,keyasint"`
}

// FeedReference names an observation: as FeedMoved, one that the sender has
// registered, and as FeedEnded, one that has ended.
type FeedReference struct {
	Key FeedKey `cbor:"1,keyasint"`
}

// RecordState is the state of a request as recorded by its authority.
type RecordState uint8

// The states of a request's record.
const (
	RecordNone RecordState = iota
	RecordPending
	RecordDone
	RecordNotRun
	RecordUnknown
)

// Record is an authority's record of a request, kept so that the request is
// executed at most once.
type Record struct {
	Key     uint64      `cbor:"1,keyasint"`
	Issued  uint32      `cbor:"2,keyasint"` // seconds since the Unix epoch
	State   RecordState `cbor:"3,keyasint"`
	Code    Code        `cbor:"4,keyasint,omitempty"`
	Payload []byte      `cbor:"5,keyasint,omitempty"`
	Options []Option    `cbor:"6,keyasint,omitempty"`
}

// Handover transfers one part of an authority's state to another host. The receiver
// holds the authority once it has all parts. Cookies issued at or before Floor are
// too old to be accepted.
type Handover struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Service     ServiceID   `cbor:"2,keyasint"`
	Part        uint32      `cbor:"3,keyasint"`
	Parts       uint32      `cbor:"4,keyasint"`
	Floor       uint32      `cbor:"5,keyasint"`
	Records     []Record    `cbor:"6,keyasint,omitempty"`
	Takeovers   []Takeover  `cbor:"7,keyasint,omitempty"`
}

// HandoverResult confirms that all parts of a handover were received, or declines
// it permanently: the sender of the result does not hold the authority and never
// will.
type HandoverResult struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Declined    bool        `cbor:"2,keyasint,omitempty"`
}

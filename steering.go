package cactuspin

import (
	"context"
	"net/netip"
	"time"
)

// TargetID names one registered target. A restarted target mostly gets a new one.
type TargetID string

// ServiceName names a service as the operators' configuration spells it.
type ServiceName string

// RouteName names a route as the operators' configuration spells it.
type RouteName string

// Revision counts the changes of the platform's store.
type Revision uint64

// RoutingVersion is the operators' version of the routes. It only grows.
type RoutingVersion uint64

// Cookie names the target of a flow. Callers repeat it in each packet after the
// first, so that every host finds the target without state. 0 names none.
type Cookie uint32

// WorkKind says what may be done with the requests of a route.
type WorkKind uint8

// The kinds of work.
const (
	// WorkNonIdempotent must run at most once.
	WorkNonIdempotent WorkKind = iota
	// WorkIdempotent may run again.
	WorkIdempotent
	// WorkDownload may run again and has large answers.
	WorkDownload
)

// WeightedService is a share of a route's new flows.
type WeightedService struct {
	Service ServiceName `cbor:"1,keyasint"`
	Weight  uint32      `cbor:"2,keyasint"`
}

// Route leads callers of an address to services.
type Route struct {
	Name     RouteName         `cbor:"1,keyasint"`
	Address  netip.AddrPort    `cbor:"2,keyasint"`
	Kind     WorkKind          `cbor:"3,keyasint"`
	Services []WeightedService `cbor:"4,keyasint"`
	// Timeout is how long callers wait for an answer.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Priority orders kinds of work when not all can be served; 0 is the highest.
	Priority int `cbor:"6,keyasint"`
}

// Routing is one version of the operators' routes.
type Routing struct {
	Version  RoutingVersion `cbor:"1,keyasint"`
	Revision Revision       `cbor:"2,keyasint"`
	Routes   []Route        `cbor:"3,keyasint"`
	// IdleTimeout is how long a flow may be silent before it can be forgotten.
	IdleTimeout time.Duration `cbor:"4,keyasint"`
}

// TargetState is what a target says of itself.
type TargetState uint8

// The states of a registered target.
const (
	TargetReady TargetState = iota
	TargetDraining
)

// RegisteredTarget is a target as it registered itself at the platform.
type RegisteredTarget struct {
	ID TargetID `cbor:"1,keyasint"`
	// Number is the target's name in forwarded datagrams.
	Number  uint64         `cbor:"2,keyasint"`
	Service ServiceName    `cbor:"3,keyasint"`
	Address netip.AddrPort `cbor:"4,keyasint"`
	Zone    ZoneID         `cbor:"5,keyasint"`
	// Slots is how many requests the target works on at a time.
	Slots int         `cbor:"6,keyasint"`
	State TargetState `cbor:"7,keyasint"`
	// Warmup is how long the target stayed slow after it registered this.
	Warmup time.Duration `cbor:"8,keyasint"`
	// Started is the target's start in Unix milliseconds, by its own clock.
	Started  int64    `cbor:"9,keyasint"`
	Revision Revision `cbor:"10,keyasint"`
}

// RemovedTarget is a registration that ended.
type RemovedTarget struct {
	ID       TargetID `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}

// Update brings knowledge of the store's content up to a revision. It comes
// from the store or from another host.
type Update struct {
	// After is the revision that the receiver must be complete to; 0 with Full.
	After Revision `cbor:"1,keyasint"`
	// Revision is what the receiver is complete to afterwards.
	Revision Revision `cbor:"2,keyasint"`
	// Full says that everything registered is listed; the rest is gone.
	Full bool `cbor:"3,keyasint"`
	// Age is the time since the sender knew this to be the newest.
	Age time.Duration `cbor:"4,keyasint"`
	// HealthyFor is how long the store had answered without a fault.
	HealthyFor time.Duration      `cbor:"5,keyasint"`
	Routing    *Routing           `cbor:"6,keyasint,omitempty"`
	Targets    []RegisteredTarget `cbor:"7,keyasint,omitempty"`
	Removed    []RemovedTarget    `cbor:"8,keyasint,omitempty"`
	// Hosts are entry hosts that announced themselves.
	Hosts []EntryHost `cbor:"9,keyasint,omitempty"`
	// Next is where the next page of a read begins; empty after the last one.
	Next Cursor `cbor:"-"`
}

// Cursor is a place in the store's content, in the order in which it is read.
// The empty one is the beginning.
type Cursor string

// Paths of the interface that a host of the packet path has for operators.
const (
	EntryStatusPath  = "/v1/entry/status"
	EntryExplainPath = "/v1/entry/explain"
)

// EntryHost is a host of the packet path as it announces itself.
type EntryHost struct {
	Address netip.Addr `cbor:"1,keyasint" json:"address"`
	Zone    ZoneID     `cbor:"2,keyasint" json:"zone"`
}

// Store is the platform's metadata store. Its errors are annotated; one that
// matches ErrHistoryLost asks for a new Read.
type Store interface {
	// Read returns a page of all registrations and the routing. Pages are read at
	// different moments: what all of them say holds from the revision of the first.
	Read(ctx context.Context, from Cursor) (Update, error)
	// Watch waits until something changed after the revision, for wait at most.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Update, error)
	// Announce registers an entry host for ttl and returns the lease.
	Announce(ctx context.Context, h EntryHost, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease.
	Renew(ctx context.Context, id LeaseID) error
}

// LeaseID identifies a lease of the store.
type LeaseID uint64

// storeError is an error of the store that callers distinguish.
type storeError string

// Error returns the text of the error.
func (e storeError) Error() string { return string(e) }

const (
	// ErrHistoryLost says that the store no longer has the changes asked for.
	ErrHistoryLost = storeError("history is no longer available")
	// ErrLeaseEnded says that a lease has ended.
	ErrLeaseEnded = storeError("lease has ended")
)

// String returns the form used in logs.
func (s TargetState) String() string {
	if s == TargetDraining {
		return "draining"
	}
	return "ready"
}

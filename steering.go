package cactuspin

import (
	"context"
	"net/netip"
	"time"
)

// TargetID identifies one registered target. A restarted target usually gets a new
// one.
type TargetID string

// ServiceName is the name of a service in the operators' configuration.
type ServiceName string

// RouteName is the name of a route in the operators' configuration.
type RouteName string

// Revision counts the changes of the platform's store.
type Revision uint64

// Era counts the restores of the platform's store from a backup. Revisions of two eras
// cannot be compared. 0 is the era of stores and hosts that name none.
type Era uint64

// RoutingVersion is the operators' version of the routes. It only increases.
type RoutingVersion uint64

// Cookie identifies the target of a flow. Callers repeat it in each packet after
// the first, so that every host finds the target without state per flow. 0
// identifies no target.
type Cookie uint32

// WorkKind describes whether requests of a route may be executed again and whether their
// answers are large.
type WorkKind uint8

// The kinds of requests.
const (
	// WorkNonIdempotent must be executed at most once.
	WorkNonIdempotent WorkKind = iota
	// WorkIdempotent may be executed again.
	WorkIdempotent
	// WorkDownload may be executed again and has large answers.
	WorkDownload
)

// WeightedService is a service with its share of a route's new flows.
type WeightedService struct {
	Service ServiceName `cbor:"1,keyasint"`
	Weight  uint32      `cbor:"2,keyasint"`
}

// Route distributes the flows to an address over services.
type Route struct {
	Name     RouteName         `cbor:"1,keyasint"`
	Address  netip.AddrPort    `cbor:"2,keyasint"`
	Kind     WorkKind          `cbor:"3,keyasint"`
	Services []WeightedService `cbor:"4,keyasint"`
	// Timeout is how long callers wait for an answer.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Priority ranks the routes when not all requests can be served; 0 is the
	// highest.
	Priority int `cbor:"6,keyasint"`
}

// Routing is one version of the operators' routes.
type Routing struct {
	Version  RoutingVersion `cbor:"1,keyasint"`
	Revision Revision       `cbor:"2,keyasint"`
	Routes   []Route        `cbor:"3,keyasint"`
	// IdleTimeout is how long a flow may be idle before its state can be removed.
	IdleTimeout time.Duration `cbor:"4,keyasint"`
	// Services are the services that the configuration names, with routes or without.
	Services []ServiceName `cbor:"5,keyasint,omitempty"`
	// Warmups lists the services whose cold targets have a limit.
	Warmups []ServiceSettings `cbor:"6,keyasint,omitempty"`
}

// ServiceSettings are the operators' settings for cold targets of a service.
type ServiceSettings struct {
	Name ServiceName `cbor:"1,keyasint"`
	// Warmup is how long a target is cold after its start or after its zone's return from
	// an evacuation.
	Warmup time.Duration `cbor:"2,keyasint"`
	// WarmupRate is the number of new flows per second that a cold target can handle.
	WarmupRate float64 `cbor:"3,keyasint"`
}

// TargetState is the state that a target reports in its registration.
type TargetState uint8

// The states of a registered target.
const (
	TargetReady TargetState = iota
	TargetDraining
	// TargetUnreadable is the state of a target whose registration another writer has
	// replaced by one that cannot be used. The target may be alive.
	TargetUnreadable
)

// RegisteredTarget is the registration of a target at the platform, written by the
// target itself.
type RegisteredTarget struct {
	ID TargetID `cbor:"1,keyasint"`
	// Number identifies the target in forwarded datagrams.
	Number  uint64         `cbor:"2,keyasint"`
	Service ServiceName    `cbor:"3,keyasint"`
	Address netip.AddrPort `cbor:"4,keyasint"`
	Zone    ZoneID         `cbor:"5,keyasint"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int         `cbor:"6,keyasint"`
	State TargetState `cbor:"7,keyasint"`
	// Warmup is the remaining warm-up time when the target wrote the registration.
	Warmup time.Duration `cbor:"8,keyasint"`
	// Started is the target's start time in Unix milliseconds, by its own clock.
	Started  int64    `cbor:"9,keyasint"`
	Revision Revision `cbor:"10,keyasint"`
}

// RemovedTarget is a target whose registration has ended.
type RemovedTarget struct {
	ID       TargetID `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}

// UnreadableTarget is a target whose registration cannot be used.
type UnreadableTarget struct {
	ID       TargetID `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}

// ZoneState says whether the operators have evacuated a zone: its targets then get no new
// flows.
type ZoneState struct {
	Zone      ZoneID   `cbor:"1,keyasint"`
	Evacuated bool     `cbor:"2,keyasint,omitempty"`
	Revision  Revision `cbor:"3,keyasint"`
}

// Update brings a host's view of the store's content up to a revision. It is sent
// by the store or by another host.
type Update struct {
	// After is the revision up to which the receiver's view must be complete before
	// the update; 0 if Full is set.
	After Revision `cbor:"1,keyasint"`
	// Revision is the revision up to which the view is complete after the update.
	Revision Revision `cbor:"2,keyasint"`
	// Full reports that the update lists all registrations; all others have ended.
	Full bool `cbor:"3,keyasint"`
	// Age is the time since the sender last knew this content to be the newest.
	Age time.Duration `cbor:"4,keyasint"`
	// HealthyFor is how long the store had answered without an error.
	HealthyFor time.Duration      `cbor:"5,keyasint"`
	Routing    *Routing           `cbor:"6,keyasint,omitempty"`
	Targets    []RegisteredTarget `cbor:"7,keyasint,omitempty"`
	Removed    []RemovedTarget    `cbor:"8,keyasint,omitempty"`
	// Unreadable lists registrations that cannot be used. Their targets, if there are
	// any, may be alive.
	Unreadable []UnreadableTarget `cbor:"11,keyasint,omitempty"`
	// Hosts are the entry hosts that announced themselves.
	Hosts []EntryHost `cbor:"9,keyasint,omitempty"`
	// Reader is the host whose read of the store Age is based on.
	Reader netip.Addr `cbor:"10,keyasint"`
	// LastChange is the revision of the last change that a full update may include; 0
	// means Revision. It can be a removal, which the update does not list.
	LastChange Revision `cbor:"12,keyasint,omitempty"`
	// Zones are the states of zones. A full update from the store lists evacuated zones
	// only; all others are not evacuated.
	Zones []ZoneState `cbor:"13,keyasint,omitempty"`
	// KnowsZones reports that the sender follows the states of zones. Hosts of builds
	// without evacuations do not, and their updates hide evacuations.
	KnowsZones bool `cbor:"20,keyasint,omitempty"`
	// Era is the era of all revisions of the update.
	Era Era `cbor:"15,keyasint,omitempty"`
	// Next is the start of the next page of a read; empty after the last page.
	Next Cursor `cbor:"-"`
}

// Cursor is a position in the store's content, in the order in which it is read.
// The empty cursor is the start.
type Cursor string

// Paths of the operators' HTTP interface to a host of the packet path.
const (
	EntryStatusPath  = "/v1/entry/status"
	EntryExplainPath = "/v1/entry/explain"
)

// EntryHost is a host of the packet path as it announces itself.
type EntryHost struct {
	Address netip.Addr `cbor:"1,keyasint" json:"address"`
	Zone    ZoneID     `cbor:"2,keyasint" json:"zone"`
}

// Store is the platform's metadata store. Its errors are wrapped; after one that
// matches ErrHistoryLost, or ErrAnswerUnusable again and again, the content must be read
// again with Read. Updates have the last era that the store named, also those that come
// with an error.
type Store interface {
	// Read returns a page of all registrations and the routing. The pages are read
	// at different times, so a read of all pages is only complete up to the revision
	// of the first. It ends by itself if the store stops answering.
	Read(ctx context.Context, from Cursor) (Update, error)
	// Watch returns the changes after a revision; it waits for one for at most wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Update, error)
	// Announce registers an entry host under a lease of length ttl and returns the
	// lease.
	Announce(ctx context.Context, h EntryHost, ttl time.Duration) (Lease, error)
	// Renew extends a lease. One of an earlier era has ended, even if its ID is in use.
	Renew(ctx context.Context, l Lease) error
}

// LeaseID identifies a lease of the store within an era.
type LeaseID uint64

// Lease is a lease of the store.
type Lease struct {
	ID  LeaseID
	Era Era
}

// storeError is an error of the store that can be matched with errors.Is.
type storeError string

// Error returns the text of the error.
func (e storeError) Error() string { return string(e) }

const (
	// ErrHistoryLost reports that the store no longer has the requested changes.
	ErrHistoryLost = storeError("history is no longer available")
	// ErrAnswerUnusable reports an answer that broke off or could not be decoded. The
	// same call may give the same answer again.
	ErrAnswerUnusable = storeError("answer cannot be used")
	// ErrLeaseEnded reports that a lease has ended.
	ErrLeaseEnded = storeError("lease has ended")
)

// String returns the form used in logs.
func (s TargetState) String() string {
	switch s {
	case TargetDraining:
		return "draining"
	case TargetUnreadable:
		return "unreadable"
	default:
		return "ready"
	}
}

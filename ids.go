// Package cactuspin defines the types that all parts of the load balancer share:
// identifiers, requests, events, actions and the interfaces that the packages
// under internal implement. It uses neither sockets nor a clock.
package cactuspin

import (
	"encoding/hex"
	"hash/fnv"
	"net/netip"
	"strconv"
	"time"
)

// HostID identifies an entry host. It is set in the host's settings and is unique
// across all zones.
type HostID uint32

// String returns the decimal form used in logs.
func (h HostID) String() string { return strconv.FormatUint(uint64(h), 10) }

// Incarnation is a random number that identifies one run of a host process. It is
// generated at the start, so a restart at the same address has another one.
type Incarnation uint64

// ZoneID names an availability zone.
type ZoneID string

// ServiceID identifies a service by a hash of its name.
type ServiceID uint32

// FlowID is a random number that is generated when a flow opens.
type FlowID uint64

// ExchangeID identifies one exchange of a host with a target. An incarnation never
// reuses it.
type ExchangeID uint64

// Target is the address of a backend.
type Target = netip.AddrPort

// BundleVersion numbers the bundles of an organisation, starting at 1.
type BundleVersion uint64

// Time is a point in time in nanoseconds since the Unix epoch, read from a clock
// that continues to run while the process or the machine is paused.
type Time int64

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Seconds returns the whole seconds since the Unix epoch.
func (t Time) Seconds() uint32 { return uint32(int64(t) / int64(time.Second)) }

// MaxTokenLength is the longest CoAP token in bytes (RFC 7252, section 5.3.1).
const MaxTokenLength = 8

// Token is a caller's CoAP token in a comparable form.
type Token struct {
	Length uint8                `cbor:"1,keyasint"`
	Bytes  [MaxTokenLength]byte `cbor:"2,keyasint"`
}

// NewToken copies at most MaxTokenLength bytes of b.
func NewToken(b []byte) (t Token) {
	t.Length = uint8(copy(t.Bytes[:], b))
	return t
}

// Slice returns the bytes of the token.
func (t *Token) Slice() []byte { return t.Bytes[:min(t.Length, MaxTokenLength)] }

// String returns the hexadecimal form used in logs.
func (t Token) String() string { return hex.EncodeToString(t.Slice()) }

// NewServiceID derives the identifier of the service called name.
func NewServiceID(name string) ServiceID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return ServiceID(h.Sum32())
}

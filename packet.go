package cactuspin

import (
	"net/netip"
	"time"
)

// PacketFlags are the control bits of a packet.
type PacketFlags uint8

// The control bits, as in TCP.
const (
	FlagSYN PacketFlags = 1 << iota
	FlagACK
	FlagFIN
	FlagRST
)

// Packet is the header of a caller's packet. Its data stays with the driver.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Cookie  Cookie
	Flags   PacketFlags
	// Length is the number of data bytes.
	Length   uint16
	Sequence uint32
	// Acknowledgement is what the caller has received; in a SYN it counts copies.
	Acknowledgement uint32
}

// VerdictKind says what happens to a packet.
type VerdictKind uint8

// The verdicts.
const (
	// VerdictDrop leaves a packet without any answer.
	VerdictDrop VerdictKind = iota
	// VerdictForward sends a packet to a target.
	VerdictForward
	// VerdictReset ends the flow at the caller; the packet goes nowhere.
	VerdictReset
)

// VerdictReason says why.
type VerdictReason uint8

// The reasons of verdicts.
const (
	ReasonEstablished VerdictReason = iota
	ReasonPlaced
	ReasonCopySameTarget
	ReasonCopyOtherTarget
	ReasonNoRoute
	ReasonNoTarget
	ReasonTargetGone
	ReasonTargetDown
	ReasonUnknownCookie
	ReasonNotReady
	ReasonForged
)

// String returns the form used in logs and metrics.
func (r VerdictReason) String() string {
	return [...]string{
		"established", "placed", "copy_same_target", "copy_other_target", "no_route", "no_target",
		"target_gone", "target_down", "unknown_cookie", "not_ready", "forged",
	}[r]
}

// Verdict is what a host decided about a packet.
type Verdict struct {
	Kind   VerdictKind
	Reason VerdictReason
	// Cookie is written into a forwarded SYN.
	Cookie        Cookie
	TargetNumber  uint64
	TargetAddress netip.AddrPort
	Target        TargetID
	Route         RouteName
	Version       RoutingVersion
	// TargetRequests is the target's requests in progress as known here, with this one.
	TargetRequests int
	// KnowledgeAge is how old the knowledge is that decided.
	KnowledgeAge time.Duration
	// Request says that the packet begins a request on the flow, Retransmitted that its
	// data or its SYN was sent before.
	Request, Retransmitted bool
	// ResponseTime is the time from a request to its first answer that this packet
	// acknowledges, or 0.
	ResponseTime time.Duration
}

// Balancer decides about packets.
type Balancer interface {
	// Steer returns the verdict about a packet. It is safe for concurrent use.
	Steer(now Time, p *Packet) Verdict
}

// PacketFormat reads and writes packets in the platform's form.
type PacketFormat interface {
	// Parse reads the header of the packet b into p. It must not allocate.
	Parse(b []byte, p *Packet) error
	// PutCookie writes a cookie into a packet that Parse has accepted.
	PutCookie(b []byte, c Cookie)
	// PutTarget writes the number of a target before a packet. b has
	// TargetPrefix bytes.
	PutTarget(b []byte, number uint64)
	// RequestID returns the request's id if the data of the packet b shows it.
	RequestID(b []byte) []byte
	// AppendReset appends the packet that ends the caller's flow of p.
	AppendReset(dst []byte, p *Packet) []byte
}

const (
	// TargetPrefixLength is the room for a target's number before a packet in bytes.
	TargetPrefixLength = 8
	// MaxPacketLength is more than the longest packet in bytes.
	MaxPacketLength = 1500
)

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

// Packet is the header of a caller's packet. The driver keeps the payload.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Cookie  Cookie
	Flags   PacketFlags
	// Length is the payload length in bytes.
	Length   uint16
	Sequence uint32
	// Acknowledgement is the acknowledgement number; in a SYN it counts the
	// retransmissions.
	Acknowledgement uint32
}

// VerdictKind is the action taken on a packet.
type VerdictKind uint8

// The verdicts.
const (
	// VerdictDrop drops the packet without an answer.
	VerdictDrop VerdictKind = iota
	// VerdictForward forwards the packet to a target.
	VerdictForward
	// VerdictReset resets the flow at the caller; the packet is not forwarded.
	VerdictReset
)

// VerdictReason is the reason for a verdict.
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
	// ReasonTargetsCold means that all usable targets are cold and may get no further flow.
	ReasonTargetsCold
)

// String returns the form used in logs and metrics.
func (r VerdictReason) String() string {
	return [...]string{
		"established", "placed", "copy_same_target", "copy_other_target", "no_route", "no_target",
		"target_gone", "target_down", "unknown_cookie", "not_ready", "forged", "targets_cold",
	}[r]
}

// Verdict is the decision of a host about a packet.
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
	// TargetRequests is the number of the target's requests in progress that this
	// host knows of, including this one.
	TargetRequests int
	// KnowledgeAge is the age of the knowledge that the verdict is based on.
	KnowledgeAge time.Duration
	// Request reports that the packet begins a request on the flow, Retransmitted
	// that its payload or its SYN was sent before.
	Request, Retransmitted bool
	// ResponseTime is the time from a request to its first answer, if this packet
	// acknowledges that answer, or 0.
	ResponseTime time.Duration
}

// Balancer decides whether and to which target a packet is forwarded.
type Balancer interface {
	// Steer returns the verdict about a packet. It is safe for concurrent use.
	Steer(now Time, p *Packet) Verdict
}

// PacketFormat parses and writes packets in the platform's format.
type PacketFormat interface {
	// Parse parses the header of the packet b into p. It must not allocate.
	Parse(b []byte, p *Packet) error
	// PutCookie writes a cookie into a packet that Parse has accepted.
	PutCookie(b []byte, c Cookie)
	// PutTarget writes the number of a target into b, the prefix of a packet with
	// TargetPrefixLength bytes.
	PutTarget(b []byte, number uint64)
	// RequestID returns the request ID if the payload of the packet b contains it.
	RequestID(b []byte) []byte
	// AppendReset appends a packet to dst that resets the caller's flow of p.
	AppendReset(dst []byte, p *Packet) []byte
}

const (
	// TargetPrefixLength is the length of the target number before a packet in bytes.
	TargetPrefixLength = 8
	// MaxPacketLength is a buffer length that exceeds the longest packet, in bytes.
	MaxPacketLength = 1500
)

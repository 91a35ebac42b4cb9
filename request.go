package cactuspin

import (
	"net/netip"
	"time"
)

// Method is the method of a request.
type Method uint8

// The methods of RFC 7252, with the numbers of their codes.
const (
	MethodGet    Method = 1
	MethodPost   Method = 2
	MethodPut    Method = 3
	MethodDelete Method = 4
)

// Idempotent reports whether executing a request twice has the same effect as
// executing it once.
func (m Method) Idempotent() bool { return m != MethodPost }

// String returns the name of the method.
func (m Method) String() string {
	switch m {
	case MethodGet:
		return "GET"
	case MethodPost:
		return "POST"
	case MethodPut:
		return "PUT"
	case MethodDelete:
		return "DELETE"
	}
	return "UNKNOWN"
}

// ObserveMode is the operation on an observation that a request asks for (RFC 7641).
type ObserveMode uint8

// The observe modes of a request.
const (
	ObserveNone ObserveMode = iota
	ObserveRegister
	ObserveCancel
)

// Option is a CoAP option that is forwarded unchanged between caller and target.
type Option struct {
	Number uint16 `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
}

// Request is one decoded datagram of a caller.
type Request struct {
	Caller      netip.AddrPort `cbor:"1,keyasint"`
	Service     netip.AddrPort `cbor:"2,keyasint"`
	Token       Token          `cbor:"3,keyasint"`
	MessageID   uint16         `cbor:"4,keyasint"`
	Confirmable bool           `cbor:"5,keyasint,omitempty"`
	Method      Method         `cbor:"6,keyasint"`
	Path        string         `cbor:"7,keyasint,omitempty"`
	Cookie      []byte         `cbor:"8,keyasint,omitempty"`
	Observe     ObserveMode    `cbor:"9,keyasint,omitempty"`
	BlockNumber uint32         `cbor:"10,keyasint,omitempty"`
	// Deadline is how long the caller still waits; with 0 the bundle's deadline
	// applies.
	Deadline time.Duration `cbor:"11,keyasint,omitempty"`
	Options  []Option      `cbor:"12,keyasint,omitempty"`
	Payload  []byte        `cbor:"13,keyasint,omitempty"`
	// Hops counts the hosts that have forwarded the request.
	Hops uint8 `cbor:"14,keyasint,omitempty"`
}

// Acknowledgement is a caller's empty message: it has a message ID and no token.
type Acknowledgement struct {
	Caller    netip.AddrPort `cbor:"1,keyasint"`
	Service   netip.AddrPort `cbor:"2,keyasint"`
	MessageID uint16         `cbor:"3,keyasint"`
	Reset     bool           `cbor:"4,keyasint,omitempty"`
}

// Code is a CoAP response code with class and detail in one byte.
type Code uint8

// The response codes that hosts use themselves.
const (
	CodeContent            Code = 2<<5 | 5
	CodeUnauthorized       Code = 4<<5 | 1
	CodeNotFound           Code = 4<<5 | 4
	CodeTooManyRequests    Code = 4<<5 | 29
	CodeBadGateway         Code = 5<<5 | 2
	CodeServiceUnavailable Code = 5<<5 | 3
	CodeGatewayTimeout     Code = 5<<5 | 4
)

// Success reports whether the class of the code is 2.
func (c Code) Success() bool { return c>>5 == 2 }

// AnswerType is the CoAP message type of an answer.
type AnswerType uint8

// The message types of an answer.
const (
	AnswerAcknowledgement AnswerType = iota
	AnswerNonConfirmable
	AnswerConfirmable
)

// Answer is one datagram to a caller.
type Answer struct {
	Caller    netip.AddrPort
	Service   netip.AddrPort
	Token     Token
	MessageID uint16
	Type      AnswerType
	Code      Code
	// Cookie is the value of the Echo option; empty means no option.
	Cookie []byte
	// MaxAge is the value of the Max-Age option, sent if it is positive.
	MaxAge time.Duration
	// Sequence is the value of the Observe option, sent if Notification is set.
	Sequence     uint32
	Notification bool
	Options      []Option
	Payload      []byte
}

// Reply returns an answer that is addressed to the caller of the request. It
// acknowledges a confirmable request.
func (r *Request) Reply(code Code) Answer {
	a := Answer{
		Caller:    r.Caller,
		Service:   r.Service,
		Token:     r.Token,
		MessageID: r.MessageID,
		Type:      AnswerNonConfirmable,
		Code:      code,
	}
	if r.Confirmable {
		a.Type = AnswerAcknowledgement
	}
	return a
}

// Package translator converts between CoAP messages and the types of the core.
// Messages of callers are CoAP over UDP (RFC 7252) behind PROXY protocol version 2
// headers, messages of targets are CoAP over TCP (RFC 8323).
package translator

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pires/go-proxyproto"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

// MaxDatagramLength is the length of the longest datagram with its PROXY header,
// in bytes.
const MaxDatagramLength = 2048

// Numbers of the CoAP options that a host reads or writes.
const (
	optionObserve  message.OptionID = 6
	optionURIPath  message.OptionID = 11
	optionMaxAge   message.OptionID = 14
	optionURIHost  message.OptionID = 3
	optionURIPort  message.OptionID = 7
	optionBlock2   message.OptionID = 23
	optionEcho     message.OptionID = 252
	OptionDeadline message.OptionID = 65002
)

// Errors of Unwrap and Decode.
var (
	ErrNotCoAP     = errors.New("datagram is neither a CoAP request nor an empty CoAP message")
	ErrNotProxied  = errors.New("datagram has no PROXY header with UDP addresses")
	ErrUnsupported = errors.New("method or option is not supported")
)

// Message is a decoded datagram: a request or an empty message. One of its fields
// is set.
type Message struct {
	Request         *cactuspin.Request
	Acknowledgement *cactuspin.Acknowledgement
}

// Unwrap removes the PROXY header from a datagram of the fabric and returns its
// addresses and the rest of the datagram.
func Unwrap(b []byte) (caller, service netip.AddrPort, body []byte, err error) {
	h, body, err := proxyproto.ParseUDPDatagram(b)
	if err != nil {
		return caller, service, nil, errors.Wrap(err, "unwrap datagram")
	}
	from, to, ok := h.UDPAddrs()
	if !ok {
		return caller, service, nil, ErrNotProxied
	}
	return unmap(from.AddrPort()), unmap(to.AddrPort()), body, nil
}

// Wrap prepends a PROXY header with the addresses from and to to a datagram.
func Wrap(from, to netip.AddrPort, body []byte) (b []byte, err error) {
	h := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(from), net.UDPAddrFromAddrPort(to))
	return h.FormatUDPDatagram(body)
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// maxOptions is the largest number of options in a message.
const maxOptions = 32

var messagePool = sync.Pool{New: func() any {
	return &message.Message{Options: make(message.Options, 0, maxOptions)}
}}

// Decode decodes a caller's CoAP message. The result shares no memory with b.
func Decode(caller, service netip.AddrPort, b []byte) (r Message, err error) {
	m, ok := messagePool.Get().(*message.Message)
	if !ok {
		return r, ErrNotCoAP
	}
	defer messagePool.Put(m)
	m.Options = m.Options[:0]
	m.Payload = nil
	if _, err := coder.DefaultCoder.Decode(b, m); err != nil {
		return r, errors.Wrap(err, "decode datagram")
	}
	switch {
	case m.Code == codes.Empty && (m.Type == message.Acknowledgement || m.Type == message.Reset):
		r.Acknowledgement = &cactuspin.Acknowledgement{
			Caller:    caller,
			Service:   service,
			MessageID: uint16(m.MessageID),
			Reset:     m.Type == message.Reset,
		}
		return r, nil
	case m.Code >= codes.GET && m.Code <= codes.DELETE && (m.Type == message.Confirmable || m.Type == message.NonConfirmable):
		r.Request, err = decodeRequest(caller, service, m)
		return r, err
	}
	return r, ErrNotCoAP
}

func decodeRequest(caller, service netip.AddrPort, m *message.Message) (r *cactuspin.Request, err error) {
	r = &cactuspin.Request{
		Caller:      caller,
		Service:     service,
		Token:       cactuspin.NewToken(m.Token),
		MessageID:   uint16(m.MessageID),
		Confirmable: m.Type == message.Confirmable,
		Method:      cactuspin.Method(m.Code),
	}
	var path []byte
	for i := range m.Options {
		o := &m.Options[i]
		switch o.ID {
		case optionURIPath:
			path = append(append(path, '/'), o.Value...)
		case optionEcho:
			r.Cookie = clone(o.Value)
		case optionObserve:
			r.Observe, err = decodeObserve(o.Value)
		case OptionDeadline:
			r.Deadline = time.Duration(uintcodec.Decode(o.Value)) * time.Millisecond
		case optionURIHost, optionURIPort:
		case optionBlock2:
			r.BlockNumber = uint32(uintcodec.Decode(o.Value) >> 4)
			r.Options = append(r.Options, copyOption(o))
		default:
			r.Options = append(r.Options, copyOption(o))
		}
	}
	if err != nil {
		return nil, err
	}
	r.Path = string(path)
	if r.Path == "" {
		r.Path = "/"
	}
	r.Payload = clone(m.Payload)
	return r, nil
}

func decodeObserve(v []byte) (cactuspin.ObserveMode, error) {
	switch uintcodec.Decode(v) {
	case 0:
		return cactuspin.ObserveRegister, nil
	case 1:
		return cactuspin.ObserveCancel, nil
	}
	return cactuspin.ObserveNone, ErrUnsupported
}

func copyOption(o *message.Option) cactuspin.Option {
	return cactuspin.Option{Number: uint16(o.ID), Value: clone(o.Value)}
}

func clone(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return append(make([]byte, 0, len(b)), b...)
}

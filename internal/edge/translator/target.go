package translator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/tcp/coder"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

// MaxFrameLength is the largest message of a target, in bytes.
const MaxFrameLength = 64 << 10

// ErrFrameTooLong is returned for a message of a target that breaks the protocol.
var ErrFrameTooLong = errors.New("message of the target breaks the protocol")

// tokenLength is the length of the token of an exchange with a target.
const tokenLength = 8

// EncodeRequest writes a request to a target. left is the time to the deadline; it
// travels along so that the target can give up by itself.
func EncodeRequest(s *cactuspin.TargetSend, left time.Duration) (b []byte, err error) {
	token := binary.BigEndian.AppendUint64(make([]byte, 0, tokenLength), uint64(s.Exchange))
	return encodeFrame(message.Message{
		Token:   token,
		Options: sendOptions(s, left),
		Code:    codes.Code(s.Method),
		Payload: s.Payload,
	})
}

// EncodePing writes the signalling message that a target answers with a pong
// (RFC 8323, section 5.4).
func EncodePing() ([]byte, error) { return encodeFrame(message.Message{Code: codes.Ping}) }

// EncodeCSM writes the message that opens a connection (RFC 8323, section
// 5.3). It tells the target that large answers are wanted in blocks.
func EncodeCSM() ([]byte, error) {
	return encodeFrame(message.Message{Code: codes.CSM, Options: message.Options{
		{ID: message.TCPMaxMessageSize, Value: uintcodec.Encode(maxTargetMessage)},
		{ID: message.TCPBlockWiseTransfer},
	}})
}

// maxTargetMessage is the largest message that a target is asked to send.
const maxTargetMessage = 1152

// EncodePong writes the answer to a ping.
func EncodePong(token []byte) ([]byte, error) {
	return encodeFrame(message.Message{Code: codes.Pong, Token: token})
}

func encodeFrame(m message.Message) (b []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode message to target") }()
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b = make([]byte, n)
	if _, err := coder.DefaultCoder.Encode(m, b); err != nil {
		return nil, errors.WithStack(err)
	}
	return b, nil
}

func sendOptions(s *cactuspin.TargetSend, left time.Duration) (os message.Options) {
	for _, o := range s.Options {
		os = append(os, message.Option{ID: message.OptionID(o.Number), Value: o.Value})
	}
	for _, p := range strings.Split(strings.Trim(s.Path, "/"), "/") {
		if p != "" {
			os = append(os, message.Option{ID: optionURIPath, Value: []byte(p)})
		}
	}
	switch s.Observe {
	case cactuspin.ObserveRegister:
		os = append(os, message.Option{ID: optionObserve})
	case cactuspin.ObserveCancel:
		os = append(os, message.Option{ID: optionObserve, Value: []byte{1}})
	case cactuspin.ObserveNone:
	}
	if left > 0 && s.Observe == cactuspin.ObserveNone {
		os = append(os, message.Option{ID: OptionDeadline, Value: uintcodec.Encode(uint64(left / time.Millisecond))})
	}
	slices.SortStableFunc(os, func(x, y message.Option) int { return cmp.Compare(x.ID, y.ID) })
	return os
}

// Frame is a decoded message of a target.
type Frame struct {
	Signal cactuspin.TargetSignal
	// Ping is set when the target asks for a pong with this token.
	Ping  bool
	Token []byte
	// Ignored is set for signalling that needs no reaction.
	Ignored bool
}

// DecodeFrame reads the first message in b and returns its length, or 0 when
// more bytes are needed. The result shares no memory with b.
func DecodeFrame(target cactuspin.Target, b []byte) (f Frame, n int, err error) {
	defer func() { err = errors.Wrap(err, "decode message of target") }()
	var h coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(b, &h); err != nil {
		return f, 0, incomplete(err, len(b))
	}
	if h.MessageLength > MaxFrameLength {
		return f, 0, ErrFrameTooLong
	}
	if uint32(len(b)) < h.MessageLength {
		return f, 0, nil
	}
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	n, err = coder.DefaultCoder.Decode(b[:h.MessageLength], &m)
	if err != nil {
		return f, 0, errors.WithStack(err)
	}
	f = frame(target, &m)
	return f, n, nil
}

// incomplete tells a header that has not all arrived from a broken one.
func incomplete(err error, have int) error {
	if errors.Is(err, coder.ErrMessageTruncated) && have < MaxFrameLength {
		return nil
	}
	return errors.WithStack(err)
}

func frame(target cactuspin.Target, m *message.Message) (f Frame) {
	f.Signal = cactuspin.TargetSignal{Target: target}
	switch {
	case m.Code == codes.Pong:
		f.Signal.Kind = cactuspin.SignalPong
		return f
	case m.Code == codes.Ping:
		f.Ping = true
		f.Token = clone(m.Token)
		return f
	case len(m.Token) != tokenLength || m.Code>>5 < 2 || m.Code>>5 > 5:
		f.Ignored = true
		return f
	}
	f.Signal.Kind = cactuspin.SignalAnswer
	f.Signal.Exchange = cactuspin.ExchangeID(binary.BigEndian.Uint64(m.Token))
	f.Signal.Code = cactuspin.Code(m.Code)
	f.Signal.Payload = clone(m.Payload)
	for i := range m.Options {
		o := &m.Options[i]
		if o.ID == optionObserve {
			f.Signal.Notification = true
			continue
		}
		f.Signal.Options = append(f.Signal.Options, passed(o))
	}
	return f
}

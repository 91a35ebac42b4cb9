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

// MaxFrameLength is the length of the longest message of a target, in bytes.
const MaxFrameLength = 64 << 10

// ErrFrameTooLong is returned for a message of a target that is longer than
// MaxFrameLength.
var ErrFrameTooLong = errors.New("message of the target is too long")

// tokenLength is the length of the token of an exchange with a target, in bytes.
const tokenLength = 8

// EncodeRequest encodes a request to a target. timeLeft is the time to the
// deadline; it is sent along, so that the target can abandon a request whose
// deadline has passed.
func EncodeRequest(s *cactuspin.TargetSend, timeLeft time.Duration) (b []byte, err error) {
	token := binary.BigEndian.AppendUint64(make([]byte, 0, tokenLength), uint64(s.Exchange))
	return encodeFrame(message.Message{
		Token:   token,
		Options: requestOptions(s, timeLeft),
		Code:    codes.Code(s.Method),
		Payload: s.Payload,
	})
}

// EncodePing encodes the signalling message that a target answers with a pong
// (RFC 8323, section 5.4).
func EncodePing() ([]byte, error) { return encodeFrame(message.Message{Code: codes.Ping}) }

// EncodeCSM encodes the Capabilities and Settings Message that opens a connection
// (RFC 8323, section 5.3). It makes the target send large answers in blocks.
func EncodeCSM() ([]byte, error) {
	return encodeFrame(message.Message{Code: codes.CSM, Options: message.Options{
		{ID: message.TCPMaxMessageSize, Value: uintcodec.Encode(maxTargetMessageLength)},
		{ID: message.TCPBlockWiseTransfer},
	}})
}

// maxTargetMessageLength is the length of the longest message that a target is
// asked to send, in bytes.
const maxTargetMessageLength = 1152

// EncodePong encodes the answer to a ping with this token.
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

func requestOptions(s *cactuspin.TargetSend, timeLeft time.Duration) (options message.Options) {
	for _, o := range s.Options {
		options = append(options, message.Option{ID: message.OptionID(o.Number), Value: o.Value})
	}
	for _, p := range strings.Split(strings.Trim(s.Path, "/"), "/") {
		if p != "" {
			options = append(options, message.Option{ID: optionURIPath, Value: []byte(p)})
		}
	}
	switch s.Observe {
	case cactuspin.ObserveRegister:
		options = append(options, message.Option{ID: optionObserve})
	case cactuspin.ObserveCancel:
		options = append(options, message.Option{ID: optionObserve, Value: []byte{1}})
	case cactuspin.ObserveNone:
	}
	if timeLeft > 0 && s.Observe == cactuspin.ObserveNone {
		options = append(options, message.Option{ID: OptionDeadline, Value: uintcodec.Encode(uint64(timeLeft / time.Millisecond))})
	}
	slices.SortStableFunc(options, func(x, y message.Option) int { return cmp.Compare(x.ID, y.ID) })
	return options
}

// Frame is a decoded message of a target.
type Frame struct {
	Signal cactuspin.TargetSignal
	// Ping is set if the target requests a pong with this token.
	Ping  bool
	Token []byte
	// Ignored is set if the message needs no reaction, such as other signalling.
	Ignored bool
}

// DecodeFrame decodes the first message in b and returns its length, or 0 if b
// does not contain the whole message. The result shares no memory with b.
func DecodeFrame(target cactuspin.Target, b []byte) (f Frame, n int, err error) {
	defer func() { err = errors.Wrap(err, "decode message of target") }()
	var h coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(b, &h); err != nil {
		return f, 0, headerError(err, len(b))
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
	f = newFrame(target, &m)
	return f, n, nil
}

// headerError returns nil if a header of this length is only incomplete, and an
// error if it is malformed.
func headerError(err error, length int) error {
	if errors.Is(err, coder.ErrMessageTruncated) && length < MaxFrameLength {
		return nil
	}
	return errors.WithStack(err)
}

func newFrame(target cactuspin.Target, m *message.Message) (f Frame) {
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
		f.Signal.Options = append(f.Signal.Options, copyOption(o))
	}
	return f
}

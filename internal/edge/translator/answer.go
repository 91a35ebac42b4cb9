package translator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

// EncodeAnswer encodes an answer to a caller. It has a PROXY header from the
// service to the caller, as the fabric expects it.
func EncodeAnswer(a *cactuspin.Answer) (b []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode answer") }()
	m := message.Message{
		Token:     a.Token.Slice(),
		Options:   answerOptions(a),
		Code:      codes.Code(a.Code),
		Payload:   a.Payload,
		MessageID: int32(a.MessageID),
		Type:      answerType(a.Type),
	}
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	body := make([]byte, n)
	if _, err := coder.DefaultCoder.Encode(m, body); err != nil {
		return nil, errors.WithStack(err)
	}
	return Wrap(a.Service, a.Caller, body)
}

func answerType(t cactuspin.AnswerType) message.Type {
	switch t {
	case cactuspin.AnswerAcknowledgement:
		return message.Acknowledgement
	case cactuspin.AnswerConfirmable:
		return message.Confirmable
	case cactuspin.AnswerNonConfirmable:
	}
	return message.NonConfirmable
}

func answerOptions(a *cactuspin.Answer) (options message.Options) {
	for _, o := range a.Options {
		options = append(options, message.Option{ID: message.OptionID(o.Number), Value: o.Value})
	}
	if a.Notification {
		options = append(options, message.Option{ID: optionObserve, Value: uintcodec.Encode(uint64(a.Sequence))})
	}
	if a.MaxAge > 0 {
		options = append(options, message.Option{ID: optionMaxAge, Value: uintcodec.Encode(uint64(a.MaxAge / time.Second))})
	}
	if len(a.Cookie) > 0 {
		options = append(options, message.Option{ID: optionEcho, Value: a.Cookie})
	}
	slices.SortStableFunc(options, func(x, y message.Option) int { return cmp.Compare(x.ID, y.ID) })
	return options
}

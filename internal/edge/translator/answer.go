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

// EncodeAnswer writes an answer as the fabric expects it, with a PROXY header
// from the service to the caller.
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

func answerOptions(a *cactuspin.Answer) (os message.Options) {
	for _, o := range a.Options {
		os = append(os, message.Option{ID: message.OptionID(o.Number), Value: o.Value})
	}
	if a.Notification {
		os = append(os, message.Option{ID: optionObserve, Value: uintcodec.Encode(uint64(a.Sequence))})
	}
	if a.MaxAge > 0 {
		os = append(os, message.Option{ID: optionMaxAge, Value: uintcodec.Encode(uint64(a.MaxAge / time.Second))})
	}
	if len(a.Cookie) > 0 {
		os = append(os, message.Option{ID: optionEcho, Value: a.Cookie})
	}
	slices.SortStableFunc(os, func(x, y message.Option) int { return cmp.Compare(x.ID, y.ID) })
	return os
}

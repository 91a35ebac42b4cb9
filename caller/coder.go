package caller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

func (k *Caller) encodeRequest(r Request, token []byte, extra message.Options) ([]byte, error) {
	opts := append(message.Options{}, extra...)
	for _, p := range strings.Split(strings.Trim(r.Path, "/"), "/") {
		opts = append(opts, message.Option{ID: message.URIPath, Value: []byte(p)})
	}
	for _, q := range r.Queries {
		opts = append(opts, message.Option{ID: message.URIQuery, Value: []byte(q)})
	}
	if r.Deadline > 0 {
		opts = append(opts, message.Option{ID: optionDeadline, Value: uintcodec.Encode(uint64(r.Deadline / time.Millisecond))})
	}
	if c := k.currentCookie(); len(c) > 0 {
		opts = append(opts, message.Option{ID: optionEcho, Value: c})
	}
	slices.SortStableFunc(opts, func(x, y message.Option) int { return cmp.Compare(x.ID, y.ID) })
	return encodeMessage(message.Message{
		Token:     token,
		Options:   opts,
		Code:      r.Method,
		Payload:   r.Payload,
		MessageID: k.nextMessageID(),
		Type:      message.Confirmable,
	})
}

func encodeMessage(m message.Message) (b []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode message") }()
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b = make([]byte, n)
	_, err = coder.DefaultCoder.Encode(m, b)
	return b, errors.WithStack(err)
}

func decodeAnswer(m *message.Message) (a Answer) {
	a.Code = m.Code
	a.Payload = m.Payload
	for i := range m.Options {
		v := m.Options[i].Value
		switch m.Options[i].ID {
		case message.ETag:
			a.ETag = v
		case message.MaxAge:
			a.RetryAfter = time.Duration(uintcodec.Decode(v)) * time.Second
		case message.Block2:
			a.moreBlocks = uintcodec.Decode(v)&moreBit != 0
		case message.Observe:
			a.hasObserve = true
			a.sequence = uint32(uintcodec.Decode(v))
		case optionEcho:
			a.echo = v
		default:
		}
	}
	return a
}

// Get returns a GET request, which is idempotent.
func Get(path string, queries ...string) Request {
	return Request{Method: codes.GET, Path: path, Queries: queries}
}

// Post returns a POST request, which is not idempotent.
func Post(path string, payload []byte) Request {
	return Request{Method: codes.POST, Path: path, Payload: payload}
}

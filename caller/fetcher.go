package caller

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

// Parts of a Block2 value (RFC 7959, section 2.2).
const (
	moreBit     = 1 << 3
	numberShift = 4
	// sizeExponent stands for blocks of 512 bytes.
	sizeExponent = 5
)

// maxRestarts is how often a fetch begins again after the content has changed.
const maxRestarts = 5

// ErrContentChanged is returned when the content changes each time it is fetched.
var ErrContentChanged = errors.New("content changes while it is fetched")

// Fetch reads a large answer in blocks. All blocks carry one entity tag, or the
// fetch begins again; it never mixes two contents.
func (k *Caller) Fetch(ctx context.Context, r Request) (a Answer, err error) {
	defer func() { err = errors.Wrap(err, "fetch") }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timeout)
	defer cancel()
	for range maxRestarts {
		a, err = k.fetchOnce(ctx, r)
		if !errors.Is(err, ErrContentChanged) {
			return a, err
		}
	}
	return a, err
}

func (k *Caller) fetchOnce(ctx context.Context, r Request) (whole Answer, err error) {
	for n := uint64(0); ; n++ {
		block := message.Option{ID: message.Block2, Value: uintcodec.Encode(n<<numberShift | sizeExponent)}
		a, err := k.exchange(ctx, r, message.Options{block})
		if err != nil {
			return a, err
		}
		a.Outcome = outcome(a.Code)
		if a.Outcome != OutcomeSuccess {
			return a, nil
		}
		if n > 0 && !bytes.Equal(a.ETag, whole.ETag) {
			return a, ErrContentChanged
		}
		a.Payload = append(whole.Payload, a.Payload...)
		whole = a
		if !a.more {
			return whole, nil
		}
	}
}

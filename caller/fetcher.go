package caller

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/cactuspin/cactuspin/internal/edge/uintcodec"
)

// Fields of the Block2 option's value (RFC 7959, section 2.2).
const (
	moreBit          = 1 << 3
	blockNumberShift = 4
	// blockSizeExponent encodes a block size of 512 bytes.
	blockSizeExponent = 5
)

// maxFetchAttempts is how often a fetch is tried while the content keeps changing.
const maxFetchAttempts = 5

// ErrContentChanged is returned when the content changed during every attempt to
// fetch it.
var ErrContentChanged = errors.New("content changed during the fetch")

// Fetch reads a large answer block by block. All blocks must carry the same entity
// tag, otherwise the fetch starts again: blocks of two versions of the content are
// never combined.
func (k *Caller) Fetch(ctx context.Context, r Request) (a Answer, err error) {
	defer func() { err = errors.Wrap(err, "fetch") }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timeout)
	defer cancel()
	for range maxFetchAttempts {
		a, err = k.fetchOnce(ctx, r)
		if !errors.Is(err, ErrContentChanged) {
			return a, err
		}
	}
	return a, err
}

func (k *Caller) fetchOnce(ctx context.Context, r Request) (assembled Answer, err error) {
	for n := uint64(0); ; n++ {
		block := message.Option{ID: message.Block2, Value: uintcodec.Encode(n<<blockNumberShift | blockSizeExponent)}
		a, err := k.exchange(ctx, r, message.Options{block})
		if err != nil {
			return a, err
		}
		a.Outcome = outcome(a.Code)
		if a.Outcome != OutcomeSuccess {
			return a, nil
		}
		if n > 0 && !bytes.Equal(a.ETag, assembled.ETag) {
			return a, ErrContentChanged
		}
		a.Payload = append(assembled.Payload, a.Payload...)
		assembled = a
		if !a.moreBlocks {
			return assembled, nil
		}
	}
}

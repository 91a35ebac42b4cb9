// Package caller is a CoAP client for services behind cactuspin. It sends the
// flow's cookie with each request, retransmits, assembles block-wise answers and
// maintains observations.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// Defaults for the fields of Config.
const (
	DefaultRetransmitDelay = 1 * time.Second
	DefaultTimeout         = 15 * time.Second
	DefaultMaxCookieAge    = 60 * time.Second
	DefaultRefreshInterval = 1500 * time.Millisecond
)

// Option numbers: Echo (RFC 9175), and the deadline of a request, which is in the
// experimental range (RFC 7252, section 12.2).
const (
	optionEcho     message.OptionID = 252
	optionDeadline message.OptionID = 65002
)

// maxDatagramLength is the largest accepted answer in bytes.
const maxDatagramLength = 4096

// Outcome is the result of a request as far as the caller can know it.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeNone is the outcome beside an error: no answer arrived.
	OutcomeNone Outcome = iota
	// OutcomeSuccess means that the complete answer arrived, with a success code.
	OutcomeSuccess
	// OutcomeNotRun means that the request was refused and did not run.
	OutcomeNotRun
	// OutcomeRefused means that an idempotent request was refused; it can be repeated.
	OutcomeRefused
	// OutcomeMayHaveRun means that it is unknown whether the request ran.
	OutcomeMayHaveRun
	// OutcomeFailed means that the service itself answered with an error.
	OutcomeFailed
)

// ErrNoAnswer is returned when no answer arrives before the timeout. The request
// may have run.
var ErrNoAnswer = errors.New("no answer in time")

// Config configures a Caller.
type Config struct {
	// Service is the address of the service.
	Service netip.AddrPort
	// Local is the source address; with the zero value the system selects one.
	Local netip.AddrPort
	// RetransmitDelay is the delay before the first retransmission; it doubles each time.
	RetransmitDelay time.Duration
	// Timeout limits the duration of a request with all retransmissions.
	Timeout time.Duration
	// MaxCookieAge is the age up to which a cookie is used for new requests.
	MaxCookieAge time.Duration
	// RefreshInterval is the interval between two refreshes of an observation.
	RefreshInterval time.Duration
}

// Request is a request to the service.
type Request struct {
	Method  codes.Code
	Path    string
	Queries []string
	Payload []byte
	// Deadline is the time within which the request must be served; with 0 the
	// deadline configured for the service applies.
	Deadline time.Duration
}

// Answer is the answer to a request.
type Answer struct {
	Outcome Outcome
	Code    codes.Code
	Payload []byte
	ETag    []byte
	// RetryAfter is how long to wait before a retry of a refused request.
	RetryAfter time.Duration

	moreBlocks bool
	hasObserve bool
	sequence   uint32
	echo       []byte
}

// Caller is one flow to a service. It is safe for concurrent use.
type Caller struct {
	cfg       Config
	done      chan struct{}
	closeOnce sync.Once

	mu             sync.Mutex
	conn           *net.UDPConn
	pending        map[string]chan Answer
	messageID      uint16
	cookie         []byte
	cookieReceived time.Time
}

// New returns a Caller with an open socket.
func New(c Config) (k *Caller, err error) {
	defer func() { err = errors.Wrap(err, "new caller") }()
	setDefaults(&c)
	k = &Caller{cfg: c, pending: make(map[string]chan Answer), done: make(chan struct{})}
	var seed [2]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	k.messageID = binary.BigEndian.Uint16(seed[:])
	if err := k.open(c.Local); err != nil {
		return nil, err
	}
	return k, nil
}

func setDefaults(c *Config) {
	if c.RetransmitDelay == 0 {
		c.RetransmitDelay = DefaultRetransmitDelay
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxCookieAge == 0 {
		c.MaxCookieAge = DefaultMaxCookieAge
	}
	if c.RefreshInterval == 0 {
		c.RefreshInterval = DefaultRefreshInterval
	}
}

// open opens a socket and starts to read from it.
func (k *Caller) open(local netip.AddrPort) error {
	var from *net.UDPAddr
	if local.IsValid() {
		from = net.UDPAddrFromAddrPort(local)
	}
	conn, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(k.cfg.Service))
	if err != nil {
		return errors.WithStack(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed() {
		return errors.CombineErrors(errors.WithStack(net.ErrClosed), conn.Close())
	}
	k.conn = conn
	go k.read(conn)
	return nil
}

// Reopen continues the flow on a new socket: the network path of the old one may
// have failed while others work. The cookie is kept. It returns net.ErrClosed after
// Close.
func (k *Caller) Reopen() error {
	k.mu.Lock()
	old := k.conn
	k.mu.Unlock()
	local := netip.AddrPortFrom(k.cfg.Local.Addr(), 0)
	if err := k.open(local); err != nil {
		return err
	}
	return errors.WithStack(old.Close())
}

// Close closes the socket of the flow. Further calls do nothing.
func (k *Caller) Close() (err error) {
	k.closeOnce.Do(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		close(k.done)
		err = errors.WithStack(k.conn.Close())
	})
	return err
}

func (k *Caller) closed() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// Do sends a request and waits for its answer. A request that is not idempotent
// needs a cookie; without one, the first attempt only fetches it, which costs a
// round trip when a flow is opened.
func (k *Caller) Do(ctx context.Context, r Request) (a Answer, err error) {
	defer func() { err = errors.Wrap(err, "do request") }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timeout)
	defer cancel()
	const maxAttempts = 3
	for range maxAttempts {
		a, err = k.exchange(ctx, r, nil)
		if err != nil {
			return a, err
		}
		if a.Code != codes.Unauthorized || len(a.echo) == 0 {
			break
		}
	}
	a.Outcome = outcome(a.Code)
	return a, nil
}

func outcome(c codes.Code) Outcome {
	const tooManyRequests = 4<<5 | 29
	switch {
	case c>>5 == 2:
		return OutcomeSuccess
	case c == codes.ServiceUnavailable, c == codes.Unauthorized:
		return OutcomeNotRun
	case c == tooManyRequests:
		return OutcomeRefused
	case c == codes.GatewayTimeout:
		return OutcomeMayHaveRun
	}
	return OutcomeFailed
}

// exchange sends one message and retransmits the same bytes until an answer with
// the message's token arrives.
func (k *Caller) exchange(ctx context.Context, r Request, extra message.Options) (a Answer, err error) {
	token := make([]byte, message.MaxTokenSize)
	if _, err := rand.Read(token); err != nil {
		return a, errors.WithStack(err)
	}
	answers := make(chan Answer, 1)
	k.mu.Lock()
	k.pending[string(token)] = answers
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.pending, string(token))
		k.mu.Unlock()
	}()
	b, err := k.encodeRequest(r, token, extra)
	if err != nil {
		return a, err
	}
	return k.retransmit(ctx, b, answers)
}

func (k *Caller) retransmit(ctx context.Context, b []byte, answers <-chan Answer) (a Answer, err error) {
	delay := k.cfg.RetransmitDelay
	for {
		k.send(b)
		t := time.NewTimer(delay)
		select {
		case a = <-answers:
			t.Stop()
			k.storeCookie(a.echo)
			return a, nil
		case <-t.C:
			delay *= 2
		case <-ctx.Done():
			t.Stop()
			return a, ErrNoAnswer
		}
	}
}

// send writes a datagram. A write error counts as loss on the network, which
// retransmissions and refreshes compensate.
func (k *Caller) send(b []byte) {
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	_, _ = conn.Write(b)
}

func (k *Caller) storeCookie(c []byte) {
	if len(c) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cookie = c
	k.cookieReceived = time.Now()
}

// ClearCookie deletes the cookie; the next request that needs one opens a new flow.
func (k *Caller) ClearCookie() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cookie = nil
}

func (k *Caller) currentCookie() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.cookieReceived) > k.cfg.MaxCookieAge {
		return nil
	}
	return k.cookie
}

func (k *Caller) nextMessageID() int32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.messageID++
	return int32(k.messageID)
}

// read delivers answers to the pending requests until the socket is closed.
func (k *Caller) read(conn *net.UDPConn) {
	buf := make([]byte, maxDatagramLength)
	for {
		n, err := conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m := message.Message{Options: make(message.Options, 0, 16)}
		if _, err := coder.DefaultCoder.Decode(append([]byte(nil), buf[:n]...), &m); err != nil {
			continue
		}
		k.handleMessage(&m)
	}
}

func (k *Caller) handleMessage(m *message.Message) {
	k.mu.Lock()
	answers, ok := k.pending[string(m.Token)]
	k.mu.Unlock()
	if m.Type == message.Confirmable {
		k.acknowledge(m, ok)
	}
	if !ok || m.Code == codes.Empty {
		return
	}
	select {
	case answers <- decodeAnswer(m):
	default:
	}
}

func (k *Caller) acknowledge(m *message.Message, known bool) {
	t := message.Acknowledgement
	if !known {
		t = message.Reset
	}
	k.sendMessage(message.Message{Code: codes.Empty, Type: t, MessageID: m.MessageID})
}

func (k *Caller) sendMessage(m message.Message) {
	if b, err := encodeMessage(m); err == nil {
		k.send(b)
	}
}

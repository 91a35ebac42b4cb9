// Package caller is a CoAP client that keeps a flow through cactuspin: it repeats
// the cookie, retransmits, fetches block-wise answers whole and keeps
// observations alive.
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

// Defaults of the Config.
const (
	DefaultRetransmitDelay = 1 * time.Second
	DefaultTimeout         = 15 * time.Second
	DefaultMaxCookieAge    = 60 * time.Second
	DefaultRefreshInterval = 1500 * time.Millisecond
)

// Option numbers that the client uses (RFC 7252, RFC 9175).
const (
	optionEcho     message.OptionID = 252
	optionDeadline message.OptionID = 65002
)

// maxDatagram is the largest answer in bytes.
const maxDatagram = 4096

// Outcome says what a caller was told of its request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeSuccess means that the whole answer arrived.
	OutcomeSuccess Outcome = iota
	// OutcomeNotRun means that the request was refused and did not run.
	OutcomeNotRun
	// OutcomeRefused means that idempotent work was refused; it can be repeated.
	OutcomeRefused
	// OutcomeMayHaveRun means that nobody can tell whether the request ran.
	OutcomeMayHaveRun
	// OutcomeFailed means that the service answered with an error of its own.
	OutcomeFailed
)

// ErrNoAnswer is returned when no answer came in time. The request may have run.
var ErrNoAnswer = errors.New("no answer in time")

// Config configures a Caller.
type Config struct {
	// Service is the address of the service.
	Service netip.AddrPort
	// Local is the address to send from; the zero value leaves it to the system.
	Local netip.AddrPort
	// RetransmitDelay is the time to the first retransmission; it doubles each time.
	RetransmitDelay time.Duration
	// Timeout bounds a request with all retransmissions.
	Timeout time.Duration
	// MaxCookieAge is the age at which a cookie is no longer used for new requests.
	MaxCookieAge time.Duration
	// RefreshInterval is the time between two refreshes of an observation.
	RefreshInterval time.Duration
}

// Request is a request to the service.
type Request struct {
	Method  codes.Code
	Path    string
	Queries []string
	Payload []byte
	// Deadline is told to the service; 0 leaves it to the service's rules.
	Deadline time.Duration
}

// Answer is what the caller was told.
type Answer struct {
	Outcome Outcome
	Code    codes.Code
	Payload []byte
	ETag    []byte
	// RetryAfter is how long to wait after a refusal.
	RetryAfter time.Duration

	more     bool
	observe  bool
	sequence uint32
	echo     []byte
}

// Caller is one flow to a service. It is safe for concurrent use.
type Caller struct {
	cfg  Config
	done chan struct{}

	mu        sync.Mutex
	conn      *net.UDPConn
	waiting   map[string]chan Answer
	messageID uint16
	cookie    []byte
	cookieAt  time.Time
}

// New opens a socket for a flow.
func New(c Config) (k *Caller, err error) {
	defer func() { err = errors.Wrap(err, "new caller") }()
	setDefaults(&c)
	k = &Caller{cfg: c, waiting: make(map[string]chan Answer), done: make(chan struct{})}
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

// open makes a socket and begins to read it.
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
	k.conn = conn
	k.mu.Unlock()
	go k.read(conn)
	return nil
}

// Reopen goes on from a new socket: the path of the old one may be dead while
// new ones work. The cookie stays.
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

// Close ends the flow.
func (k *Caller) Close() error {
	close(k.done)
	k.mu.Lock()
	defer k.mu.Unlock()
	return errors.WithStack(k.conn.Close())
}

// Do sends a request and waits for what it is told. A request that is not
// idempotent first gets a cookie, which costs a round trip when a flow opens.
func (k *Caller) Do(ctx context.Context, r Request) (a Answer, err error) {
	defer func() { err = errors.Wrap(err, "do request") }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timeout)
	defer cancel()
	const openings = 3
	for range openings {
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

// exchange sends one message and retransmits it, byte for byte, until an answer
// with its token comes.
func (k *Caller) exchange(ctx context.Context, r Request, extra message.Options) (a Answer, err error) {
	token := make([]byte, message.MaxTokenSize)
	if _, err := rand.Read(token); err != nil {
		return a, errors.WithStack(err)
	}
	answers := make(chan Answer, 1)
	k.mu.Lock()
	k.waiting[string(token)] = answers
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.waiting, string(token))
		k.mu.Unlock()
	}()
	b, err := k.encode(r, token, extra)
	if err != nil {
		return a, err
	}
	return k.retransmit(ctx, b, answers)
}

func (k *Caller) retransmit(ctx context.Context, b []byte, answers <-chan Answer) (a Answer, err error) {
	wait := k.cfg.RetransmitDelay
	for {
		k.send(b)
		t := time.NewTimer(wait)
		select {
		case a = <-answers:
			t.Stop()
			k.keepCookie(a.echo)
			return a, nil
		case <-t.C:
			wait *= 2
		case <-ctx.Done():
			t.Stop()
			return a, ErrNoAnswer
		}
	}
}

// send writes a datagram; one that is lost on the way is sent again later.
func (k *Caller) send(b []byte) {
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	_, _ = conn.Write(b)
}

func (k *Caller) keepCookie(c []byte) {
	if len(c) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cookie = c
	k.cookieAt = time.Now()
}

// ClearCookie drops the cookie; the next request that needs one opens a new flow.
func (k *Caller) ClearCookie() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cookie = nil
}

func (k *Caller) currentCookie() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.cookieAt) > k.cfg.MaxCookieAge {
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

// read hands answers to who waits for them until the socket is closed.
func (k *Caller) read(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
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
		k.take(&m)
	}
}

func (k *Caller) take(m *message.Message) {
	k.mu.Lock()
	answers, ok := k.waiting[string(m.Token)]
	k.mu.Unlock()
	if m.Type == message.Confirmable {
		k.acknowledge(m, ok)
	}
	if !ok || m.Code == codes.Empty {
		return
	}
	select {
	case answers <- toAnswer(m):
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
	if b, err := encode(m); err == nil {
		k.send(b)
	}
}

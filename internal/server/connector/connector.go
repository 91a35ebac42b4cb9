// Package connector drives the links between hosts: CBOR over WebSocket. Of two
// hosts the one with the lower ID opens the link.
package connector

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

const (
	// Path is where a host accepts links.
	Path = "/v1/peer"
	// queueLength is how many messages wait for one peer.
	queueLength = 8192
	// maxMessage is the largest WebSocket message in bytes; a bundle fits.
	maxMessage = 4 << 20
	// maxBatch is the most messages in one WebSocket message.
	maxBatch = 64

	redialAfter  = 250 * time.Millisecond
	dialTimeout  = 1 * time.Second
	writeTimeout = 2 * time.Second
)

// Config configures a Linker.
type Config struct {
	driver.Common
	Self   cactuspin.HostID
	Secret []byte
	Client *http.Client
	// Scheme is ws, or wss when the client has certificates.
	Scheme string
	Host   cactuspin.Host
	Handle driver.Handler
}

// Connector holds the links to the other hosts.
type Connector struct {
	cfg   Config
	ctx   context.Context
	group *errgroup.Group
	done  chan error

	sent     atomic.Uint64
	received atomic.Uint64
	dropped  atomic.Uint64

	mu    sync.Mutex
	peers map[cactuspin.HostID]*peer
}

// peer is another host with the messages that wait for it.
type peer struct {
	id      cactuspin.HostID
	address string
	queue   chan cactuspin.PeerMessage
	cancel  context.CancelFunc
}

// New returns a Linker without links.
func New(c Config) *Connector {
	return &Connector{cfg: c, peers: make(map[cactuspin.HostID]*peer), done: make(chan error, 1)}
}

// Start lets links be opened until the context ends, which is reported on Done.
func (l *Connector) Start(ctx context.Context) {
	l.group, l.ctx = errgroup.WithContext(ctx)
	l.group.Go(func() error {
		<-l.ctx.Done()
		return nil
	})
	go func() { l.done <- l.group.Wait() }()
}

// Done reports the end of all links.
func (l *Connector) Done() <-chan error { return l.done }

// Traffic returns the bytes sent and received and the messages dropped.
func (l *Connector) Traffic() (sent, received, dropped uint64) {
	return l.sent.Load(), l.received.Load(), l.dropped.Load()
}

// SetPeerAddress adds a peer, or changes its address.
func (l *Connector) SetPeerAddress(id cactuspin.HostID, address string) {
	if id == l.cfg.Self || address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(id)
	if p.address == address {
		return
	}
	p.address = address
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	if l.cfg.Self < id {
		ctx, cancel := context.WithCancel(l.ctx)
		p.cancel = cancel
		l.group.Go(func() error {
			l.keep(ctx, p, address)
			return nil
		})
	}
}

// peer returns the peer with the ID. The caller holds mu.
func (l *Connector) peer(id cactuspin.HostID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id, queue: make(chan cactuspin.PeerMessage, queueLength)}
		l.peers[id] = p
	}
	return p
}

// Send queues a message; it is dropped when the peer does not keep up.
func (l *Connector) Send(id cactuspin.HostID, m cactuspin.PeerMessage) {
	l.mu.Lock()
	p := l.peers[id]
	l.mu.Unlock()
	if p == nil {
		l.dropped.Add(1)
		return
	}
	select {
	case p.queue <- m:
	default:
		l.dropped.Add(1)
	}
}

// keep opens the link to a peer again and again.
func (l *Connector) keep(ctx context.Context, p *peer, address string) {
	for ctx.Err() == nil {
		conn, err := l.dial(ctx, p.id, address)
		if err == nil {
			l.cfg.Logger.Info("peer link: open", slog.String("host", p.id.String()))
			err = l.carry(ctx, conn, p)
		}
		l.cfg.Logger.Debug("peer link: closed", slog.String("host", p.id.String()), slog.Any("error", err))
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
		}
	}
}

func (l *Connector) dial(ctx context.Context, id cactuspin.HostID, address string) (c *websocket.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "open link to host %s", id) }()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, _, err = websocket.Dial(ctx, l.cfg.Scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient: l.cfg.Client,
		HTTPHeader: http.Header{header: {pass(l.cfg.Secret, l.cfg.Self, id, time.Now())}},
	})
	return c, errors.WithStack(err)
}

// ServeHTTP accepts a link of a host with a lower ID.
func (l *Connector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := check(l.cfg.Secret, l.cfg.Self, r.Header.Get(header), time.Now())
	if err != nil {
		l.cfg.Logger.Warn("peer link: refused", slog.Any("error", err))
		http.Error(w, "not a known host", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	l.mu.Lock()
	p := l.peer(id)
	l.mu.Unlock()
	l.cfg.Logger.Info("peer link: open", slog.String("host", id.String()))
	err = l.carry(l.ctx, conn, p)
	l.cfg.Logger.Debug("peer link: closed", slog.String("host", id.String()), slog.Any("error", err))
}

// carry moves messages in both directions until the link breaks.
func (l *Connector) carry(ctx context.Context, conn *websocket.Conn, p *peer) error {
	conn.SetReadLimit(maxMessage)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.write(ctx, conn, p) })
	g.Go(func() error { return l.read(ctx, conn, p.id) })
	return errors.CombineErrors(g.Wait(), conn.CloseNow())
}

func (l *Connector) write(ctx context.Context, conn *websocket.Conn, p *peer) error {
	batch := make([]cactuspin.PeerMessage, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			batch = append(batch, m)
		}
		for len(batch) < maxBatch && len(p.queue) > 0 {
			batch = append(batch, <-p.queue)
		}
		if err := l.writeBatch(ctx, conn, batch); err != nil {
			return err
		}
	}
}

func (l *Connector) writeBatch(ctx context.Context, conn *websocket.Conn, batch []cactuspin.PeerMessage) (err error) {
	defer func() { err = errors.Wrap(err, "write to peer") }()
	b, err := cbor.Marshal(batch)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.sent.Add(uint64(len(b)))
	return conn.Write(ctx, websocket.MessageBinary, b)
}

func (l *Connector) read(ctx context.Context, conn *websocket.Conn, id cactuspin.HostID) error {
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		l.received.Add(uint64(len(b)))
		batch, err := Decode(b)
		if err != nil {
			return err
		}
		for _, m := range batch {
			l.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) { l.cfg.Host.Peer(now, id, m, out) })
		}
	}
}

// Decode reads the messages of one WebSocket message.
func Decode(b []byte) (batch []cactuspin.PeerMessage, err error) {
	err = cbor.Unmarshal(b, &batch)
	return batch, errors.Wrap(err, "decode peer messages")
}

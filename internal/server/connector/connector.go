// Package connector maintains the links between hosts: CBOR over WebSocket. Of two
// hosts, the one with the lower ID opens the link.
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
	// Path is the URL path at which a host accepts links.
	Path = "/v1/peer"
	// queueLength is how many messages are queued for one peer.
	queueLength = 8192
	// maxMessageLength is the largest WebSocket message in bytes; it must have
	// room for a bundle.
	maxMessageLength = 4 << 20
	// maxBatch is the maximum number of peer messages in one WebSocket message.
	maxBatch = 64

	redialDelay  = 250 * time.Millisecond
	dialTimeout  = 1 * time.Second
	writeTimeout = 2 * time.Second
)

// Config configures a Connector.
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

// peer is another host with the queue of messages for it.
type peer struct {
	id      cactuspin.HostID
	address string
	queue   chan cactuspin.PeerMessage
	cancel  context.CancelFunc
}

// New returns a Connector without links.
func New(c Config) *Connector {
	return &Connector{cfg: c, peers: make(map[cactuspin.HostID]*peer), done: make(chan error, 1)}
}

// Start enables links until the context ends. Done reports when they have ended.
func (c *Connector) Start(ctx context.Context) {
	c.group, c.ctx = errgroup.WithContext(ctx)
	c.group.Go(func() error {
		<-c.ctx.Done()
		return nil
	})
	go func() { c.done <- c.group.Wait() }()
}

// Done returns a channel that reports the end of all links.
func (c *Connector) Done() <-chan error { return c.done }

// Traffic returns the bytes sent and received and the messages dropped.
func (c *Connector) Traffic() (sent, received, dropped uint64) {
	return c.sent.Load(), c.received.Load(), c.dropped.Load()
}

// SetPeerAddress adds a peer or changes its address.
func (c *Connector) SetPeerAddress(id cactuspin.HostID, address string) {
	if id == c.cfg.Self || address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(id)
	if p.address == address {
		return
	}
	p.address = address
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	if c.cfg.Self < id {
		ctx, cancel := context.WithCancel(c.ctx)
		p.cancel = cancel
		c.group.Go(func() error {
			c.maintainLink(ctx, p, address)
			return nil
		})
	}
}

// peer returns the peer with the ID and creates it if needed. The caller must
// hold mu.
func (c *Connector) peer(id cactuspin.HostID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{id: id, queue: make(chan cactuspin.PeerMessage, queueLength)}
		c.peers[id] = p
	}
	return p
}

// Send queues a message for a peer. The message is dropped if the peer is unknown
// or its queue is full.
func (c *Connector) Send(id cactuspin.HostID, m cactuspin.PeerMessage) {
	c.mu.Lock()
	p := c.peers[id]
	c.mu.Unlock()
	if p == nil {
		c.dropped.Add(1)
		return
	}
	select {
	case p.queue <- m:
	default:
		c.dropped.Add(1)
	}
}

// maintainLink opens the link to a peer and reopens it each time it ends.
func (c *Connector) maintainLink(ctx context.Context, p *peer, address string) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, p.id, address)
		if err == nil {
			c.cfg.Logger.Info("peer link: open", slog.String("host", p.id.String()))
			err = c.serveLink(ctx, conn, p)
		}
		c.cfg.Logger.Debug("peer link: closed", slog.String("host", p.id.String()), slog.Any("error", err))
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (c *Connector) dial(ctx context.Context, id cactuspin.HostID, address string) (conn *websocket.Conn, err error) {
	defer func() { err = errors.Wrapf(err, "open link to host %s", id) }()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err = websocket.Dial(ctx, c.cfg.Scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient: c.cfg.Client,
		HTTPHeader: http.Header{authHeader: {newAuthToken(c.cfg.Secret, c.cfg.Self, id, time.Now())}},
	})
	return conn, errors.WithStack(err)
}

// ServeHTTP accepts a link from a host with a lower ID.
func (c *Connector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := verifyAuthToken(c.cfg.Secret, c.cfg.Self, r.Header.Get(authHeader), time.Now())
	if err != nil {
		c.cfg.Logger.Warn("peer link: refused", slog.Any("error", err))
		http.Error(w, "not a known host", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c.mu.Lock()
	p := c.peer(id)
	c.mu.Unlock()
	c.cfg.Logger.Info("peer link: open", slog.String("host", id.String()))
	err = c.serveLink(c.ctx, conn, p)
	c.cfg.Logger.Debug("peer link: closed", slog.String("host", id.String()), slog.Any("error", err))
}

// serveLink transfers messages in both directions until the link fails.
func (c *Connector) serveLink(ctx context.Context, conn *websocket.Conn, p *peer) error {
	conn.SetReadLimit(maxMessageLength)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.write(ctx, conn, p) })
	g.Go(func() error { return c.read(ctx, conn, p.id) })
	return errors.CombineErrors(g.Wait(), conn.CloseNow())
}

func (c *Connector) write(ctx context.Context, conn *websocket.Conn, p *peer) error {
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
		if err := c.writeBatch(ctx, conn, batch); err != nil {
			return err
		}
	}
}

func (c *Connector) writeBatch(ctx context.Context, conn *websocket.Conn, batch []cactuspin.PeerMessage) (err error) {
	defer func() { err = errors.Wrap(err, "write to peer") }()
	b, err := cbor.Marshal(batch)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.sent.Add(uint64(len(b)))
	return conn.Write(ctx, websocket.MessageBinary, b)
}

func (c *Connector) read(ctx context.Context, conn *websocket.Conn, id cactuspin.HostID) error {
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		c.received.Add(uint64(len(b)))
		batch, err := Decode(b)
		if err != nil {
			return err
		}
		for _, m := range batch {
			c.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) { c.cfg.Host.Peer(now, id, m, out) })
		}
	}
}

// Decode decodes the peer messages of one WebSocket message.
func Decode(b []byte) (batch []cactuspin.PeerMessage, err error) {
	err = cbor.Unmarshal(b, &batch)
	return batch, errors.Wrap(err, "decode peer messages")
}

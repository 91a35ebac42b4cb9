package responder

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/tcp/coder"
)

// session is one connection from a host.
type session struct {
	responder *Responder
	conn      net.Conn

	mu    sync.Mutex
	feeds map[string]*feed
}

// feed is an observation at this target.
type feed struct {
	session  *session
	token    message.Token
	mu       sync.Mutex
	sequence uint32
}

func newSession(r *Responder, conn net.Conn) *session {
	return &session{responder: r, conn: conn, feeds: make(map[string]*feed)}
}

// run handles requests until the connection ends.
func (s *session) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	defer s.shutdown()
	s.write(message.Message{Code: codes.CSM})
	var buf []byte
	chunk := make([]byte, 64<<10)
	for {
		n, err := s.conn.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:n]...)
		for {
			m := &message.Message{Options: make(message.Options, 0, 32)}
			used, err := coder.DefaultCoder.Decode(buf, m)
			if err != nil || used <= 0 {
				break
			}
			frame := append([]byte(nil), buf[:used]...)
			_, _ = coder.DefaultCoder.Decode(frame, m)
			buf = buf[used:]
			s.handle(m)
		}
	}
}

func (s *session) shutdown() {
	_ = s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.feeds {
		s.responder.dropFeed(f)
	}
}

func (s *session) handle(m *message.Message) {
	switch {
	case m.Code == codes.Ping:
		s.write(message.Message{Code: codes.Pong, Token: m.Token})
	case m.Code < codes.GET || m.Code > codes.DELETE:
	case m.Options.HasOption(message.Observe):
		s.observe(m)
	case !s.responder.acquireSlot():
		s.write(message.Message{Code: codes.ServiceUnavailable, Token: m.Token})
	default:
		go s.serve(m)
	}
}

// serve runs a request whose slot is acquired.
func (s *session) serve(m *message.Message) {
	service, id := queries(m)
	s.responder.runRequest(id, service)
	path, _ := m.Options.Path()
	if m.Code == codes.POST {
		s.write(message.Message{Code: codes.Created, Token: m.Token, Payload: []byte("done id=" + id)})
		return
	}
	s.write(s.block(m, path))
}

// block returns the block of the content that the request asks for.
func (s *session) block(m *message.Message, path string) message.Message {
	const defaultExponent, numberShift, moreBit, exponentMask, minExponent = 5, 4, 1 << 3, 7, 4
	body, tag := s.responder.content(path)
	requested, err := m.Options.GetUint32(message.Block2)
	if err != nil {
		requested = defaultExponent
	}
	exponent := min(requested&exponentMask, defaultExponent)
	number := requested >> numberShift
	size := 1 << (exponent + minExponent)
	from := int(number) * size
	if from >= len(body) {
		return message.Message{Code: codes.BadRequest, Token: m.Token}
	}
	to := min(from+size, len(body))
	value := number<<numberShift | exponent
	if to < len(body) {
		value |= moreBit
	}
	buf := make([]byte, 4)
	n, _ := message.EncodeUint32(buf, value)
	return message.Message{
		Code:    codes.Content,
		Token:   m.Token,
		Payload: body[from:to],
		Options: message.Options{{ID: message.ETag, Value: tag}, {ID: message.Block2, Value: buf[:n]}},
	}
}

// queries returns the service and the ID from the query options of a request.
func queries(m *message.Message) (service, id string) {
	qs, _ := m.Options.Queries()
	for _, q := range qs {
		if v, ok := strings.CutPrefix(q, "s="); ok {
			service = v
		}
		if v, ok := strings.CutPrefix(q, "id="); ok {
			id = v
		}
	}
	return service, id
}

func (s *session) observe(m *message.Message) {
	v, _ := m.Options.Observe()
	s.mu.Lock()
	old := s.feeds[string(m.Token)]
	delete(s.feeds, string(m.Token))
	s.mu.Unlock()
	if old != nil {
		s.responder.dropFeed(old)
	}
	if v != 0 {
		return
	}
	f := &feed{session: s, token: append(message.Token(nil), m.Token...)}
	s.mu.Lock()
	s.feeds[string(f.token)] = f
	s.mu.Unlock()
	service, _ := queries(m)
	s.responder.addFeed(f, service)
	f.notify()
}

func (r *Responder) addFeed(f *feed, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feeds[f] = struct{}{}
	r.counts.Registered++
	if service != r.cfg.Service {
		r.counts.WrongService++
	}
}

func (r *Responder) dropFeed(f *feed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.feeds, f)
}

// notify sends the current state to the observer.
func (f *feed) notify() {
	f.mu.Lock()
	f.sequence++
	buf := make([]byte, 4)
	n, _ := message.EncodeUint32(buf, f.sequence)
	f.mu.Unlock()
	f.session.write(message.Message{
		Code:    codes.Content,
		Token:   f.token,
		Options: message.Options{{ID: message.Observe, Value: buf[:n]}},
		Payload: f.session.responder.stateText(),
	})
}

func (s *session) write(m message.Message) {
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return
	}
	b := make([]byte, n)
	if _, err := coder.DefaultCoder.Encode(m, b); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.conn.Write(b)
}

package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	coap "github.com/plgd-dev/go-coap/v3"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/mux"
	"github.com/plgd-dev/go-coap/v3/udp"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/caller"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
	"github.com/cactuspin/cactuspin/internal/server/runner"
	"github.com/cactuspin/cactuspin/internal/standin/distributor"
	"github.com/cactuspin/cactuspin/internal/standin/kvserver"
)

const (
	serviceAddress = "127.20.1.1:5683"
	targetAddress  = "127.20.3.1:5683"
	fabricAddress  = "127.20.0.2:7001"
	optionEcho     = message.OptionID(252)
	// testTimeout limits how long a test waits for a result; no check depends on
	// its length.
	testTimeout = 60 * time.Second
)

const bundle = `
format: 1
version: 1
organisation: test
services:
  - name: shop
    address: ` + serviceAddress + `
    kinds:
      - {name: all, path: /, importance: 1, share: 1, deadline: 5s, queue: 10}
    targets:
      - {address: "` + targetAddress + `", zone: a, slots: 3, connections: 10}
`

// target is an unmodified go-coap server.
type target struct {
	orders atomic.Int32
	feed   atomic.Pointer[mux.Conn]
	token  atomic.Pointer[message.Token]
}

var content = bytes.Repeat([]byte("0123456789abcdef"), 300)

func (x *target) router() *mux.Router {
	r := mux.NewRouter()
	respond := func(w mux.ResponseWriter, c codes.Code, b []byte, opts ...message.Option) {
		_ = w.SetResponse(c, message.TextPlain, bytes.NewReader(b), opts...)
	}
	_ = r.Handle("/orders", mux.HandlerFunc(func(w mux.ResponseWriter, _ *mux.Message) {
		respond(w, codes.Created, fmt.Appendf(nil, "order %d", x.orders.Add(1)))
	}))
	_ = r.Handle("/diagram", mux.HandlerFunc(func(w mux.ResponseWriter, _ *mux.Message) {
		respond(w, codes.Content, content, message.Option{ID: message.ETag, Value: []byte("tag1")})
	}))
	_ = r.Handle("/stock", mux.HandlerFunc(func(w mux.ResponseWriter, m *mux.Message) {
		conn := w.Conn()
		token := append(message.Token(nil), m.Token()...)
		x.feed.Store(&conn)
		x.token.Store(&token)
		respond(w, codes.Content, []byte("springs 7"), message.Option{ID: message.Observe, Value: []byte{2}})
	}))
	return r
}

func (x *target) notify(ctx context.Context, sequence uint32, text string) error {
	conn := *x.feed.Load()
	m := conn.AcquireMessage(ctx)
	defer conn.ReleaseMessage(m)
	m.SetCode(codes.Content)
	m.SetObserve(sequence)
	m.SetContentFormat(message.TextPlain)
	m.SetToken(*x.token.Load())
	m.SetBody(bytes.NewReader([]byte(text)))
	return conn.WriteMessage(m)
}

// startSystem starts two hosts behind a fabric, a platform and a go-coap server.
func startSystem(t *testing.T) *target {
	t.Helper()
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x := &target{}
	go func() { _ = coap.ListenAndServe("tcp", targetAddress, x.router()) }()
	l, err := net.Listen("tcp", "127.20.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	platform := &http.Server{Handler: kvserver.New(), ReadHeaderTimeout: testTimeout}
	go func() { _ = platform.Serve(l) }()
	t.Cleanup(func() { _ = platform.Close() })
	endpoint := "http://" + l.Addr().String()
	client := platformclient.NewClient(platformclient.Config{Endpoint: endpoint})
	public, private, err := signer.Generate()
	g.Expect(err).NotTo(HaveOccurred())
	s, err := signer.Sign([]byte(bundle), 1, "ana", private)
	g.Expect(err).NotTo(HaveOccurred())
	publishBundle(ctx, g, client, s)
	signers, err := signer.ParseSigners("ana " + public)
	g.Expect(err).NotTo(HaveOccurred())
	var list cactuspin.HostList
	var fabric []netip.AddrPort
	for id := cactuspin.HostID(1); id <= 2; id++ {
		ip := fmt.Sprintf("127.20.2.%d", id)
		startHost(ctx, t, id, ip, endpoint, signers)
		list.Hosts = append(list.Hosts, cactuspin.ListedHost{
			ID: id, Zone: "a", Peer: ip + ":7200", Fabric: ip + ":7100", Operators: ip + ":7300", State: cactuspin.StateLive,
		})
		fabric = append(fabric, netip.MustParseAddrPort(ip+":7100"))
	}
	g.Expect(client.SetHostList(ctx, list)).To(Succeed())
	f, err := distributor.New(distributor.Config{
		Services: []netip.AddrPort{netip.MustParseAddrPort(serviceAddress)}, Listen: netip.MustParseAddrPort(fabricAddress), Seed: 1,
	})
	g.Expect(err).NotTo(HaveOccurred())
	f.SetHosts(fabric)
	go func() { _ = f.Run(ctx) }()
	return x
}

func startHost(ctx context.Context, t *testing.T, id cactuspin.HostID, ip, endpoint string, signers signer.Signers) {
	t.Helper()
	g := NewWithT(t)
	clock := driver.NewClock()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	if testing.Verbose() {
		logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	r, err := runner.New(runner.Config{
		Common: driver.Common{Logger: logger, Clock: clock},
		Engine: engine.Config{
			Self: id, Zone: "a", Incarnation: cactuspin.Incarnation(id) * 1000, Seed: uint64(id), Start: clock(),
			Keys: []sealer.Key{{Number: 1}}, Signers: signers, StopLimit: time.Second,
		},
		Organisation:  "test",
		FabricAddress: netip.MustParseAddrPort(ip + ":7100"),
		Fabrics:       []netip.AddrPort{netip.MustParseAddrPort(fabricAddress)},
		PeerAddress:   netip.MustParseAddrPort(ip + ":7200"),
		AdminAddress:  netip.MustParseAddrPort(ip + ":7300"),
		PeerSecret:    []byte("0123456789abcdef"),
		PlatformURL:   endpoint,
		Readers:       2,
		Level:         new(slog.LevelVar),
	})
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	hostCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() { ended <- r.Run(hostCtx) }()
	t.Cleanup(func() {
		stop()
		NewWithT(t).Eventually(ended, testTimeout).Should(Receive(BeNil()))
	})
}

// TestCallersAndTargets sends the requests of a go-coap client and of package caller
// through the same hosts.
func TestCallersAndTargets(t *testing.T) {
	x := startSystem(t)
	t.Run("unmodified client and server", func(t *testing.T) { goCoAPClient(t, x) })
	t.Run("the caller that comes with cactuspin", func(t *testing.T) { callerPackage(t, x) })
}

// callerPackage checks that package caller handles cookies, blocks and refreshes by
// itself.
func callerPackage(t *testing.T, x *target) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	k, err := caller.New(caller.Config{Service: netip.MustParseAddrPort(serviceAddress)})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = k.Close() }()
	before := x.orders.Load()
	a, err := k.Do(ctx, caller.Post("/orders", []byte("springs 2")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Outcome).To(Equal(caller.OutcomeSuccess))
	g.Expect(x.orders.Load()).To(Equal(before + 1))
	a, err = k.Fetch(ctx, caller.Get("/diagram"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Payload).To(Equal(content))
	states, err := k.Observe(ctx, caller.Get("/stock"))
	g.Expect(err).NotTo(HaveOccurred())
	var n caller.Notification
	g.Eventually(states, testTimeout).Should(Receive(&n))
	g.Expect(string(n.Payload)).To(Equal("springs 7"))
	g.Expect(k.Reopen()).To(Succeed(), "the path fails and another one works")
	for len(states) > 0 {
		<-states
	}
	g.Eventually(states, testTimeout).Should(Receive(&n), "the next refresh sets the observation up on the new path")
	g.Expect(string(n.Payload)).To(Equal("springs 7"))
}

// goCoAPClient checks the hosts against an independent implementation: a go-coap
// client as caller and a go-coap server as target.
func goCoAPClient(t *testing.T, x *target) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := udp.Dial(serviceAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()

	g.Eventually(func() codes.Code {
		m, err := conn.Get(ctx, "/diagram")
		if err != nil {
			return codes.Empty
		}
		return m.Code()
	}, testTimeout, 100*time.Millisecond).Should(Equal(codes.Content))
	m, err := conn.Get(ctx, "/diagram")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.ReadBody()).To(Equal(content), "a diagram in several blocks")

	m, err = conn.Post(ctx, "/orders", message.TextPlain, bytes.NewReader([]byte("springs 2")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.Code()).To(Equal(codes.Unauthorized), "an order without a cookie")
	g.Expect(x.orders.Load()).To(BeZero())
	cookie, err := m.Options().GetBytes(optionEcho)
	g.Expect(err).NotTo(HaveOccurred())
	m, err = conn.Post(ctx, "/orders", message.TextPlain, bytes.NewReader([]byte("springs 2")),
		message.Option{ID: optionEcho, Value: cookie})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.ReadBody()).To(Equal([]byte("order 1")))

	states := make(chan string, 10)
	observation, err := conn.Observe(ctx, "/stock", func(m *pool.Message) {
		b, _ := m.ReadBody()
		states <- string(b)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(states, testTimeout).Should(Receive(Equal("springs 7")))
	g.Expect(x.notify(ctx, 3, "springs 6")).To(Succeed())
	g.Eventually(states, testTimeout).Should(Receive(Equal("springs 6")))
	g.Expect(observation.Cancel(ctx)).To(Succeed())
	g.Expect(x.orders.Load()).To(BeEquivalentTo(1))
}

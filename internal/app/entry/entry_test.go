package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/app/operator"
	"github.com/cactuspin/cactuspin/internal/entry/writer"
	"github.com/cactuspin/cactuspin/internal/standin/metastore"
	"github.com/cactuspin/cactuspin/platform"
)

const (
	timeout      = 10 * time.Second
	address      = "127.77.0.1"
	settingsText = `ip: "127.77.0.1"
node_name: "h"
zone: "z"
listen: {datagram_addr: "127.77.0.1:8172", ready_addr: "127.77.0.1:8167", control: "127.77.0.1:8166"}
internal_ports: [7720, 7735]
bounds: {config_apply_ms: 3000, drain_ms: 3000, grace_s: 6, flow_max_s: 60}
platform: {address: "127.77.0.9:8169"}
`
	configuration = `{"version":7,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","kind":"idempotent","timeout_ms":1500,"service":"s"}],"limits":{"idle_timeout_ms":15000}}`
	registration  = `{"service":"s","address":"127.77.0.5:8080","zone":"z","version":"v1","slots":3,"state":"ready","warmup_left_ms":0,"seq_no":1}`
)

// serveStore starts a stand-in of the store at an address.
func serveStore(t *testing.T, g *WithT, at string) *metastore.Store {
	t.Helper()
	s := metastore.New()
	var n net.ListenConfig
	l, err := n.Listen(context.Background(), "tcp4", at)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func get(path string) (string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.Status + " " + string(b), err
}

// TestHostForwardsOverRealSockets runs a host with stand-ins of the store, a caller
// and a target.
func TestHostForwardsOverRealSockets(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "local.yaml")
	g.Expect(os.WriteFile(path, []byte(settingsText), 0o600)).To(Succeed())
	store := serveStore(t, g, "127.77.0.9:8169")
	settingsFile := platform.NewSettingsFile(path)
	settings, err := settingsFile.Load()
	g.Expect(err).NotTo(HaveOccurred())
	var log strings.Builder
	w := writer.New(&log)
	h, err := newHost(&options{metricsPort: 9464}, settingsFile, &settings, slog.New(slog.NewTextHandler(w, nil)), w)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(ctx)

	g.Eventually(func() (string, error) { return get(address + ":8167/ready") }, timeout).Should(HavePrefix("503"))
	store.Put("servers/i-0000000a", []byte(registration))
	store.Put("op/config", []byte(configuration))
	g.Eventually(func() (string, error) { return get(address + ":8167/ready") }, timeout).Should(HavePrefix("200"))

	target, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.77.0.5:8080")))
	g.Expect(err).NotTo(HaveOccurred())
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.77.0.7:8172")))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = target.Close(), caller.Close() })
	syn := []byte{
		0x01, 0xbb, 0x9c, 0x41, 127, 77, 0, 7, 198, 18, 0, 1, 1, 2, 3, 4,
		0, 0, 0, 0, 4, 0, 0, 0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0,
	}
	_, err = caller.WriteToUDPAddrPort(syn, netip.MustParseAddrPort(address+":8172"))
	g.Expect(err).NotTo(HaveOccurred())
	b := make([]byte, 2048)
	g.Expect(target.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	n, _, err := target.ReadFromUDPAddrPort(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b[:8]).To(Equal([]byte{0, 0, 0, 0, 0, 0, 0, 0xa}))
	g.Expect(b[8:24]).To(Equal(syn[:16]), "only the cookie differs")
	g.Expect(b[24:28]).NotTo(Equal(syn[16:20]))
	g.Expect(b[28:n]).To(Equal(syn[20:]))

	syn[0], syn[1] = 0, 9
	for _, packet := range [][]byte{syn, {1}, make([]byte, 1400)} {
		_, err = caller.WriteToUDPAddrPort(packet, netip.MustParseAddrPort(address+":8172"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(caller.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	n, _, err = caller.ReadFromUDPAddrPort(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(31))
	g.Expect(b[20]).To(Equal(byte(64)), "no route matches")

	text, err := get(address + ":8166" + cactuspin.EntryStatusPath)
	g.Expect(err).NotTo(HaveOccurred())
	var status cactuspin.EntryStatus
	g.Expect(json.Unmarshal([]byte(strings.TrimPrefix(text, "200 OK ")), &status)).To(Succeed())
	g.Expect(status.Version).To(Equal(uint64(7)))
	g.Expect(status.Reader).To(Equal(address))
	g.Expect(status.PacketsByReason).To(HaveKeyWithValue("placed", uint64(1)))
	g.Expect(get(address + ":8166" + cactuspin.EntryExplainPath + "?caller=127.77.0.7:40001&service=198.18.0.1:443")).To(ContainSubstring("i-0000000a"))
	g.Expect(get(address + ":8166" + cactuspin.EntryExplainPath + "?service=198.18.0.1:443")).To(And(HavePrefix("200"), ContainSubstring(`"host": "h"`), ContainSubstring("own zone")))
	var out, errOut strings.Builder
	g.Expect(operator.Main([]string{"where", "198.18.0.1:443", "--host", address + ":8166"}, &out, &errOut)).To(Equal(operator.ExitSuccess), errOut.String())
	g.Expect(out.String()).To(MatchRegexp(`z +h +%s:8166 +r +7 +[0-9.]+s +100%% +own zone +s, zone z`, address))
	g.Expect(out.String()).To(MatchRegexp(`i-0000000a +100%`))
	// Packets have IPv4 addresses only; others must not reach the balancer.
	for _, query := range []string{"caller=x", "service=198.18.0.1:443&caller=x", "service=[::1]:443", "service=198.18.0.1:443&caller="} {
		g.Expect(get(address + ":8166" + cactuspin.EntryExplainPath + "?" + query)).To(HavePrefix("400"))
	}
	g.Eventually(func() (string, error) {
		h.meter.RecordResponseTime(40 * time.Millisecond)
		return get(address + ":9464/metrics")
	}, timeout).Should(And(ContainSubstring(`cactuspin_packets_total{reason="placed"} 1`), ContainSubstring("cactuspin_request_duration")))
	g.Expect(get(address + ":7721/v1/knowledge?after=0")).To(HavePrefix("200"))
	g.Expect(get(address + ":7721/v1/knowledge?after=x")).To(HavePrefix("400"))

	// The settings file changes without a signal and names another store.
	newStore := serveStore(t, g, "127.77.0.10:8169")
	for range 20 {
		newStore.Put("servers/i-0000000a", []byte(registration))
	}
	newStore.Put("op/config", []byte(strings.Replace(configuration, `"version":7`, `"version":9`, 1)))
	h.reload(false)
	g.Expect(h.status().RoutingVersion).To(Equal(cactuspin.RoutingVersion(7)))
	changed := strings.NewReplacer("127.77.0.9:8169", "127.77.0.10:8169", `zone: "z"`, `zone: "other"`).Replace(settingsText)
	g.Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
	h.reload(false)
	g.Eventually(func() cactuspin.RoutingVersion { return h.status().RoutingVersion }, timeout).Should(Equal(cactuspin.RoutingVersion(9)))
	g.Expect(h.settings.Load().Zone).To(Equal(cactuspin.ZoneID("z")), "the zone changes only with a restart")

	g.Expect(os.WriteFile(path, []byte("ip: nobody\n"), 0o600)).To(Succeed())
	h.reload(true)
	g.Expect(os.Remove(path)).To(Succeed())
	h.reload(false)
	h.reload(false)
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(strings.Count(log.String(), "settings reloaded")).To(Equal(1))
	g.Expect(strings.Count(log.String(), "settings not reloaded")).To(Equal(2))
	g.Expect(log.String()).To(And(ContainSubstring("applied=[store] ignored=[zone]"),
		ContainSubstring("flow: reset"), ContainSubstring("malformed packet"), ContainSubstring("routing in force")))
	cancel()
	g.Eventually(h.forwarder.Done(), timeout).Should(Receive())
	g.Eventually(h.server.Done(), timeout).Should(Receive())
}

// newTestHost returns a host with the settings of the tests at another address.
func newTestHost(t *testing.T, g *WithT, at string) *host {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.yaml")
	g.Expect(os.WriteFile(path, []byte(strings.ReplaceAll(settingsText, address, at)), 0o600)).To(Succeed())
	settingsFile := platform.NewSettingsFile(path)
	settings, err := settingsFile.Load()
	g.Expect(err).NotTo(HaveOccurred())
	h, err := newHost(&options{}, settingsFile, &settings, slog.New(slog.DiscardHandler), writer.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	return h
}

// A driver that fails during a planned stop must not look like a planned end.
func TestADriverThatFailsDuringAStopIsReported(t *testing.T) {
	g := NewWithT(t)
	h := newTestHost(t, g, "127.77.1.1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(ctx)
	ended := make(chan error, 1)
	ended <- net.ErrClosed
	g.Expect(h.drain(ended)).To(MatchError(net.ErrClosed))
	cancel()
	driversEnded := h.ended()
	for range 4 {
		g.Eventually(driversEnded, timeout).Should(Receive())
	}
}

func TestHelpAndInvalidSettings(t *testing.T) {
	g := NewWithT(t)
	var out, errOut strings.Builder
	g.Expect(Main([]string{"--help"}, &out, &errOut)).To(Equal(0))
	g.Expect(out.String()).To(ContainSubstring("--log-level"))
	g.Expect(errOut.String()).To(BeEmpty())
	path := filepath.Join(t.TempDir(), "local.yaml")
	g.Expect(os.WriteFile(path, []byte("zone: z\n"), 0o600)).To(Succeed())
	g.Expect(Main([]string{"--settings", path}, &out, &errOut)).To(Equal(2))
	g.Expect(errOut.String()).To(And(ContainSubstring("ip:"), ContainSubstring("platform.address")))
}

// Guards against log lines that hide the cause in a stack trace of twenty frames.
func TestErrorsAreLoggedAsOneReadableLine(t *testing.T) {
	g := NewWithT(t)
	err := errors.Wrap(errors.New("connection refused"), "watch store")
	var usual, debug strings.Builder
	newLogger(&usual, slog.LevelInfo).Warn("store: lost", slog.Any("error", err), slog.Int("calls", 3))
	g.Expect(usual.String()).To(HaveSuffix(`msg="store: lost" error="watch store: connection refused" calls=3` + "\n"))
	newLogger(&debug, slog.LevelDebug).Warn("store: lost", slog.Any("error", err))
	g.Expect(debug.String()).To(ContainSubstring("entry_test.go"), "the stack trace")
}

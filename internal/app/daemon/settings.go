// Package daemon wires the host daemon: settings, logger, metrics and runner.
package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/routing/sealer"
	"github.com/cactuspin/cactuspin/internal/server/runner"
)

// minSecret is the shortest secret of the hosts in bytes.
const minSecret = 16

// settings are the flags and environment variables as they were given.
type settings struct {
	hostID       uint32
	zone         string
	organisation string
	fabric       string
	fabrics      []string
	peer         string
	admin        string
	peers        []string
	secretFile   string
	keysFile     string
	signersFile  string
	platform     string
	peerCert     string
	peerKey      string
	peerCA       string
	logFormat    string
	logLevel     string
	stopLimit    time.Duration
	lifetime     time.Duration
	records      int
	readers      int
}

// register declares the flags; each has an environment variable too.
func (s *settings) register(a *kingpin.Application) {
	a.Flag("host-id", "Number of this host, unique over all zones.").Required().Uint32Var(&s.hostID)
	a.Flag("zone", "Availability zone of this host.").Required().StringVar(&s.zone)
	a.Flag("organisation", "Organisation whose bundle is served.").Required().StringVar(&s.organisation)
	a.Flag("fabric-address", "IP:port where the fabric sends datagrams.").Required().StringVar(&s.fabric)
	a.Flag("fabric", "IP:port of the fabric for answers; can be repeated.").Required().StringsVar(&s.fabrics)
	a.Flag("peer-address", "IP:port where other hosts connect.").Required().StringVar(&s.peer)
	a.Flag("admin-address", "IP:port for status, metrics and health.").Required().StringVar(&s.admin)
	a.Flag("peer", "ID=IP:port of another host, for when the platform is away; can be repeated.").StringsVar(&s.peers)
	a.Flag("peer-secret-file", "File with the secret that all hosts share.").Required().StringVar(&s.secretFile)
	a.Flag("seal-keys-file", "File with lines of NUMBER HEX-KEY; the first key seals cookies.").Required().StringVar(&s.keysFile)
	a.Flag("signers-file", "File with lines of NAME PUBLIC-KEY of those who may sign bundles.").Required().StringVar(&s.signersFile)
	a.Flag("platform", "Base address of the platform, as http://IP:port.").Required().StringVar(&s.platform)
	a.Flag("peer-cert", "Certificate file for links between hosts.").StringVar(&s.peerCert)
	a.Flag("peer-key", "Key file of the certificate.").StringVar(&s.peerKey)
	a.Flag("peer-ca", "File with the authorities of the other hosts' certificates.").StringVar(&s.peerCA)
	a.Flag("log-format", "Format of log lines: text or json.").Default("text").EnumVar(&s.logFormat, "text", "json")
	a.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").StringVar(&s.logLevel)
	a.Flag("stop-limit", "Longest time of a planned stop.").Default(engine.DefaultStopLimit.String()).DurationVar(&s.stopLimit)
	a.Flag("cookie-lifetime", "How long a cookie can be used for new requests.").Default(engine.DefaultCookieLifetime.String()).DurationVar(&s.lifetime)
	a.Flag("records", "Most requests remembered for each service.").Default(strconv.Itoa(engine.DefaultRecords)).IntVar(&s.records)
	a.Flag("readers", "Goroutines that read from the fabric.").Default("2").IntVar(&s.readers)
}

// checker collects the faults of all settings.
type checker struct{ faults []string }

func (c *checker) fault(flag string, err error) {
	if err != nil {
		c.faults = append(c.faults, fmt.Sprintf("--%s: %s", flag, err))
	}
}

func (c *checker) require(flag string, ok bool, why string) {
	if !ok {
		c.fault(flag, errors.New(why))
	}
}

func (c *checker) address(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		c.fault(flag, errors.Newf("%q is not an IP number with a port", text))
	}
	return a
}

func (c *checker) file(flag, name string) string {
	b, err := os.ReadFile(name)
	c.fault(flag, err)
	return string(b)
}

// check turns the settings into a configuration. The error lists every fault.
func (s *settings) check() (c runner.Config, err error) {
	k := &checker{}
	k.require("host-id", s.hostID > 0, "must be 1 or more")
	k.require("zone", s.zone != "", "must not be empty")
	k.require("organisation", s.organisation != "", "must not be empty")
	k.require("stop-limit", s.stopLimit >= time.Second, "must be a second or more")
	k.require("cookie-lifetime", s.lifetime >= time.Second, "must be a second or more")
	k.require("records", s.records > 0, "must be 1 or more")
	k.require("readers", s.readers > 0, "must be 1 or more")
	u, err := url.Parse(s.platform)
	k.require("platform", err == nil && u.Scheme == "http" && u.Host != "", "must be http://IP:port")
	c = runner.Config{
		Organisation:  s.organisation,
		FabricAddress: k.address("fabric-address", s.fabric),
		PeerAddress:   k.address("peer-address", s.peer),
		AdminAddress:  k.address("admin-address", s.admin),
		Peers:         s.checkPeers(k),
		PlatformURL:   s.platform,
		Readers:       s.readers,
		PeerTLS:       s.checkTLS(k),
	}
	for _, f := range s.fabrics {
		c.Fabrics = append(c.Fabrics, k.address("fabric", f))
	}
	c.PeerSecret = []byte(strings.TrimSpace(k.file("peer-secret-file", s.secretFile)))
	k.require("peer-secret-file", len(c.PeerSecret) >= minSecret, "secret must have 16 bytes or more")
	c.Engine = engine.Config{
		Self:           cactuspin.HostID(s.hostID),
		Zone:           cactuspin.ZoneID(s.zone),
		CookieLifetime: s.lifetime,
		Records:        s.records,
		StopLimit:      s.stopLimit,
	}
	c.Engine.Keys, err = parseKeys(k.file("seal-keys-file", s.keysFile))
	k.fault("seal-keys-file", err)
	c.Engine.Signers, err = signer.ParseSigners(k.file("signers-file", s.signersFile))
	k.fault("signers-file", err)
	c.Level = new(slog.LevelVar)
	k.fault("log-level", c.Level.UnmarshalText([]byte(s.logLevel)))
	if len(k.faults) > 0 {
		return c, errors.New("settings: " + strings.Join(k.faults, "\nsettings: "))
	}
	return c, nil
}

func (s *settings) checkPeers(k *checker) (ps []runner.Peer) {
	for _, text := range s.peers {
		id, address, ok := strings.Cut(text, "=")
		n, err := strconv.ParseUint(id, 10, 32)
		if !ok || err != nil {
			k.fault("peer", errors.Newf("%q is not ID=IP:port", text))
			continue
		}
		ps = append(ps, runner.Peer{ID: cactuspin.HostID(n), Address: k.address("peer", address).String()})
	}
	return ps
}

// checkTLS returns a configuration in which both ends show a certificate, or
// nil when no file is given.
func (s *settings) checkTLS(k *checker) *tls.Config {
	if s.peerCert == "" && s.peerKey == "" && s.peerCA == "" {
		return nil
	}
	pool := x509.NewCertPool()
	k.require("peer-ca", pool.AppendCertsFromPEM([]byte(k.file("peer-ca", s.peerCA))), "holds no certificate")
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(s.peerCert, s.peerKey)
		return &c, errors.Wrap(err, "load certificate")
	}
	if _, err := load(); err != nil {
		k.fault("peer-cert", err)
	}
	// The files are read for each link, so that a new certificate needs no stop.
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}
}

// parseKeys reads lines of "NUMBER HEX-KEY".
func parseKeys(text string) (ks []sealer.Key, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		number, encoded, _ := strings.Cut(line, " ")
		n, err := strconv.ParseUint(number, 10, 8)
		b, err2 := hex.DecodeString(strings.TrimSpace(encoded))
		if err != nil || err2 != nil || len(b) != sealer.KeyLength {
			return nil, errors.Newf("line %d: need a number up to 255 and %d bytes in hexadecimal", i+1, sealer.KeyLength)
		}
		k := sealer.Key{Number: uint8(n)}
		copy(k.Secret[:], b)
		ks = append(ks, k)
	}
	if len(ks) == 0 {
		return nil, errors.New("holds no key")
	}
	return ks, nil
}

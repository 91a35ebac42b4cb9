// Package daemon assembles the host daemon from its settings, logger, metrics and
// runner.
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

// minSecretLength is the shortest secret that hosts may share, in bytes.
const minSecretLength = 16

// settings holds the values of the flags and environment variables, before they are
// validated.
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

// register declares the flags. Each can also be set by an environment variable.
func (s *settings) register(a *kingpin.Application) {
	a.Flag("host-id", "ID of this host, unique across all zones.").Required().Uint32Var(&s.hostID)
	a.Flag("zone", "Availability zone of this host.").Required().StringVar(&s.zone)
	a.Flag("organisation", "Organisation whose bundle is served.").Required().StringVar(&s.organisation)
	a.Flag("fabric-address", "IP:port where the fabric sends datagrams.").Required().StringVar(&s.fabric)
	a.Flag("fabric", "IP:port of the fabric for answers; can be repeated.").Required().StringsVar(&s.fabrics)
	a.Flag("peer-address", "IP:port where other hosts connect.").Required().StringVar(&s.peer)
	a.Flag("admin-address", "IP:port for status, metrics and health.").Required().StringVar(&s.admin)
	a.Flag("peer", "ID=IP:port of another host, for when the platform is unavailable; can be repeated.").StringsVar(&s.peers)
	a.Flag("peer-secret-file", "File with the secret that all hosts share.").Required().StringVar(&s.secretFile)
	a.Flag("seal-keys-file", "File with lines of NUMBER HEX-KEY; the first key seals cookies.").Required().StringVar(&s.keysFile)
	a.Flag("signers-file", "File with lines of NAME PUBLIC-KEY, one for each person who may sign bundles.").Required().StringVar(&s.signersFile)
	a.Flag("platform", "Base URL of the platform, as http://IP:port.").Required().StringVar(&s.platform)
	a.Flag("peer-cert", "Certificate file for connections between hosts.").StringVar(&s.peerCert)
	a.Flag("peer-key", "File with the private key of the certificate.").StringVar(&s.peerKey)
	a.Flag("peer-ca", "File with the CA certificates that verify the other hosts' certificates.").StringVar(&s.peerCA)
	a.Flag("log-format", "Format of log lines: text or json.").Default("text").EnumVar(&s.logFormat, "text", "json")
	a.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").StringVar(&s.logLevel)
	a.Flag("stop-limit", "Longest duration of a planned stop.").Default(engine.DefaultStopLimit.String()).DurationVar(&s.stopLimit)
	a.Flag("cookie-lifetime", "How long a cookie can be used for new requests.").Default(engine.DefaultCookieLifetime.String()).DurationVar(&s.lifetime)
	a.Flag("records", "Largest number of request records kept for each service.").Default(strconv.Itoa(engine.DefaultRecords)).IntVar(&s.records)
	a.Flag("readers", "Number of goroutines that read from the fabric.").Default("2").IntVar(&s.readers)
}

// validator collects the errors in all settings.
type validator struct{ errors []string }

func (v *validator) addError(flag string, err error) {
	if err != nil {
		v.errors = append(v.errors, fmt.Sprintf("--%s: %s", flag, err))
	}
}

func (v *validator) require(flag string, ok bool, message string) {
	if !ok {
		v.addError(flag, errors.New(message))
	}
}

func (v *validator) parseAddress(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		v.addError(flag, errors.Newf("%q is not an IP number with a port", text))
	}
	return a
}

func (v *validator) readFile(flag, name string) string {
	b, err := os.ReadFile(name)
	v.addError(flag, err)
	return string(b)
}

// validate converts the settings to the runner's configuration. The error lists
// every invalid setting.
func (s *settings) validate() (c runner.Config, err error) {
	v := &validator{}
	v.require("host-id", s.hostID > 0, "must be 1 or more")
	v.require("zone", s.zone != "", "must not be empty")
	v.require("organisation", s.organisation != "", "must not be empty")
	v.require("stop-limit", s.stopLimit >= time.Second, "must be a second or more")
	v.require("cookie-lifetime", s.lifetime >= time.Second, "must be a second or more")
	v.require("records", s.records > 0, "must be 1 or more")
	v.require("readers", s.readers > 0, "must be 1 or more")
	u, err := url.Parse(s.platform)
	v.require("platform", err == nil && u.Scheme == "http" && u.Host != "", "must be http://IP:port")
	c = runner.Config{
		Organisation:  s.organisation,
		FabricAddress: v.parseAddress("fabric-address", s.fabric),
		PeerAddress:   v.parseAddress("peer-address", s.peer),
		AdminAddress:  v.parseAddress("admin-address", s.admin),
		Peers:         s.parsePeers(v),
		PlatformURL:   s.platform,
		Readers:       s.readers,
		PeerTLS:       s.tlsConfig(v),
	}
	for _, f := range s.fabrics {
		c.Fabrics = append(c.Fabrics, v.parseAddress("fabric", f))
	}
	c.PeerSecret = []byte(strings.TrimSpace(v.readFile("peer-secret-file", s.secretFile)))
	v.require("peer-secret-file", len(c.PeerSecret) >= minSecretLength, "secret must have 16 bytes or more")
	c.Engine = engine.Config{
		Self:           cactuspin.HostID(s.hostID),
		Zone:           cactuspin.ZoneID(s.zone),
		CookieLifetime: s.lifetime,
		Records:        s.records,
		StopLimit:      s.stopLimit,
	}
	c.Engine.Keys, err = parseKeys(v.readFile("seal-keys-file", s.keysFile))
	v.addError("seal-keys-file", err)
	c.Engine.Signers, err = signer.ParseSigners(v.readFile("signers-file", s.signersFile))
	v.addError("signers-file", err)
	c.Level = new(slog.LevelVar)
	v.addError("log-level", c.Level.UnmarshalText([]byte(s.logLevel)))
	if len(v.errors) > 0 {
		return c, errors.New("settings: " + strings.Join(v.errors, "\nsettings: "))
	}
	return c, nil
}

func (s *settings) parsePeers(v *validator) (peers []runner.Peer) {
	for _, text := range s.peers {
		id, address, ok := strings.Cut(text, "=")
		n, err := strconv.ParseUint(id, 10, 32)
		if !ok || err != nil || n == 0 {
			v.addError("peer", errors.Newf("%q is not ID=IP:port with an ID above 0", text))
			continue
		}
		peers = append(peers, runner.Peer{ID: cactuspin.HostID(n), Address: v.parseAddress("peer", address).String()})
	}
	return peers
}

// tlsConfig returns a configuration for mutual TLS between hosts, or nil if no file
// is given.
func (s *settings) tlsConfig(v *validator) *tls.Config {
	if s.peerCert == "" && s.peerKey == "" && s.peerCA == "" {
		return nil
	}
	pool := x509.NewCertPool()
	v.require("peer-ca", pool.AppendCertsFromPEM([]byte(v.readFile("peer-ca", s.peerCA))), "holds no certificate")
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(s.peerCert, s.peerKey)
		return &c, errors.Wrap(err, "load certificate")
	}
	if _, err := load(); err != nil {
		v.addError("peer-cert", err)
	}
	// Load the files for each connection, so that a certificate can be replaced without
	// a restart.
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}
}

// parseKeys parses lines of "NUMBER HEX-KEY". Empty lines and lines that start with
// "#" are skipped.
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

package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testCA is a certificate authority for hosts at 127.0.0.1.
type testCA struct {
	g           *WithT
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	der         []byte
}

func newTestCA(g *WithT) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	a := &testCA{g: g, key: key, certificate: template(1)}
	a.certificate.IsCA, a.certificate.KeyUsage, a.certificate.BasicConstraintsValid = true, x509.KeyUsageCertSign, true
	a.der, err = x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, key.Public(), key)
	g.Expect(err).NotTo(HaveOccurred())
	return a
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *testCA) writePEM(path, kind string, b []byte) {
	a.g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
}

// issue writes a new certificate, its private key and the CA certificate to a
// directory, and returns settings that name these files.
func (a *testCA) issue(dir string, serial int64) *settings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	signed, err := x509.CreateCertificate(rand.Reader, template(serial), a.certificate, key.Public(), a.key)
	a.g.Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	s := &settings{peerCert: filepath.Join(dir, "cert"), peerKey: filepath.Join(dir, "key"), peerCA: filepath.Join(dir, "ca")}
	a.writePEM(s.peerCert, "CERTIFICATE", signed)
	a.writePEM(s.peerKey, "EC PRIVATE KEY", private)
	a.writePEM(s.peerCA, "CERTIFICATE", a.der)
	return s
}

func tlsConfigOf(g *WithT, s *settings) *tls.Config {
	v := &validator{}
	c := s.tlsConfig(v)
	g.Expect(v.errors).To(BeEmpty())
	return c
}

// serve starts an HTTPS server with the TLS configuration of a host and returns its
// URL.
func serve(t *testing.T, g *WithT, c *tls.Config) (url string) {
	l, err := tls.Listen("tcp4", "127.0.0.1:0", c)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ErrorLog: log.New(io.Discard, "", 0),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "https://" + l.Addr().String()
}

// serialOf opens a new connection to a server and returns the serial number of its
// certificate.
func serialOf(c *tls.Config, url string) (int64, error) {
	t := &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: t}).Get(url)
	if err != nil {
		return 0, err
	}
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), resp.Body.Close()
}

func TestPeerConnectionsUseMutualTLS(t *testing.T) {
	g := NewWithT(t)
	trusted, untrusted := newTestCA(g), newTestCA(g)
	dir := t.TempDir()
	url := serve(t, g, tlsConfigOf(g, trusted.issue(dir, 7)))
	client := tlsConfigOf(g, trusted.issue(t.TempDir(), 8))
	g.Expect(serialOf(client, url)).To(Equal(int64(7)))
	trusted.issue(dir, 9)
	g.Expect(serialOf(client, url)).To(Equal(int64(9)), "a new certificate needs no restart")

	_, err := serialOf(&tls.Config{RootCAs: client.RootCAs}, url)
	g.Expect(err).To(HaveOccurred(), "the client has no certificate")
	untrustedClient := tlsConfigOf(g, untrusted.issue(t.TempDir(), 10))
	_, err = serialOf(untrustedClient, url)
	g.Expect(err).To(HaveOccurred(), "the client does not trust the server's CA")
	untrustedClient.RootCAs = client.RootCAs
	_, err = serialOf(untrustedClient, url)
	g.Expect(err).To(HaveOccurred(), "the server does not trust the client's CA")
}

func TestInvalidCertificateFilesAreReported(t *testing.T) {
	g := NewWithT(t)
	v := &validator{}
	(&settings{peerCert: "none", peerKey: "none", peerCA: "none"}).tlsConfig(v)
	g.Expect(v.errors).To(ContainElements(ContainSubstring("peer-ca"), ContainSubstring("peer-cert")))
	g.Expect((&settings{}).tlsConfig(v)).To(BeNil())
}

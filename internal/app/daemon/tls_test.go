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

// authority signs certificates of hosts at 127.0.0.1.
type authority struct {
	g           *WithT
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	encoded     []byte
}

func newAuthority(g *WithT) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	a := &authority{g: g, key: key, certificate: template(1)}
	a.certificate.IsCA, a.certificate.KeyUsage, a.certificate.BasicConstraintsValid = true, x509.KeyUsageCertSign, true
	a.encoded, err = x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, key.Public(), key)
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

func (a *authority) write(path, kind string, b []byte) {
	a.g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
}

// issue writes a certificate with its key and the authority's certificate into
// a folder, as settings name them.
func (a *authority) issue(folder string, serial int64) *settings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	signed, err := x509.CreateCertificate(rand.Reader, template(serial), a.certificate, key.Public(), a.key)
	a.g.Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	s := &settings{peerCert: filepath.Join(folder, "cert"), peerKey: filepath.Join(folder, "key"), peerCA: filepath.Join(folder, "ca")}
	a.write(s.peerCert, "CERTIFICATE", signed)
	a.write(s.peerKey, "EC PRIVATE KEY", private)
	a.write(s.peerCA, "CERTIFICATE", a.encoded)
	return s
}

func configOf(g *WithT, s *settings) *tls.Config {
	k := &checker{}
	c := s.checkTLS(k)
	g.Expect(k.faults).To(BeEmpty())
	return c
}

// serve serves like the link's end of a host and returns where.
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

// serial calls a server on a new link and returns its certificate's number.
func serial(c *tls.Config, url string) (int64, error) {
	t := &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}
	a, err := (&http.Client{Transport: t}).Get(url)
	if err != nil {
		return 0, err
	}
	return a.TLS.PeerCertificates[0].SerialNumber.Int64(), a.Body.Close()
}

func TestLinksBetweenHostsShowCertificatesOfBothEnds(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	folder := t.TempDir()
	url := serve(t, g, configOf(g, ours.issue(folder, 7)))
	client := configOf(g, ours.issue(t.TempDir(), 8))
	g.Expect(serial(client, url)).To(Equal(int64(7)))
	ours.issue(folder, 9)
	g.Expect(serial(client, url)).To(Equal(int64(9)), "a new certificate needs no stop")

	_, err := serial(&tls.Config{RootCAs: client.RootCAs}, url)
	g.Expect(err).To(HaveOccurred(), "no certificate")
	stranger := configOf(g, theirs.issue(t.TempDir(), 10))
	_, err = serial(stranger, url)
	g.Expect(err).To(HaveOccurred(), "the server's authority is another one")
	stranger.RootCAs = client.RootCAs
	_, err = serial(stranger, url)
	g.Expect(err).To(HaveOccurred(), "the client's authority is another one")
}

func TestFaultsOfCertificateFilesAreListed(t *testing.T) {
	g := NewWithT(t)
	k := &checker{}
	(&settings{peerCert: "none", peerKey: "none", peerCA: "none"}).checkTLS(k)
	g.Expect(k.faults).To(ContainElements(ContainSubstring("peer-ca"), ContainSubstring("peer-cert")))
	g.Expect((&settings{}).checkTLS(k)).To(BeNil())
}

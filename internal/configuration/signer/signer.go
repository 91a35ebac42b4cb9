// Package signer generates Ed25519 keys, signs bundles and verifies their
// signatures.
package signer

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

// The errors of Verify.
var (
	ErrUnknownSigner = errors.New("signer is not known to this host")
	ErrBadSignature  = errors.New("signature does not match the bundle")
)

// context prevents signatures of other data with the same key from being
// accepted for a bundle.
const context = "cactuspin bundle 1\n"

// Signers maps the names of the permitted signers to their public keys.
type Signers map[string]ed25519.PublicKey

// Generate generates a key pair and returns both keys in base64.
func Generate() (public, private string, err error) {
	defer func() { err = errors.Wrap(err, "generate key") }()
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", errors.WithStack(err)
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv), nil
}

// Sign signs the text of a bundle with a private key; name identifies the
// signer.
func Sign(text []byte, version cactuspin.BundleVersion, name, private string) (s *cactuspin.SignedBundle, err error) {
	defer func() { err = errors.Wrap(err, "sign bundle") }()
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(private))
	if err != nil {
		return nil, errors.Wrap(err, "decode private key")
	}
	if len(key) != ed25519.PrivateKeySize {
		return nil, errors.Newf("private key has %d bytes, expected %d", len(key), ed25519.PrivateKeySize)
	}
	s = &cactuspin.SignedBundle{Version: version, Text: text, Signer: name}
	s.Signature = ed25519.Sign(key, message(s))
	return s, nil
}

// Verify checks that the bundle was signed by a known signer.
func (s Signers) Verify(b *cactuspin.SignedBundle) error {
	key, ok := s[b.Signer]
	if !ok {
		return errors.Wrapf(ErrUnknownSigner, "%q", b.Signer)
	}
	if !ed25519.Verify(key, message(b), b.Signature) {
		return ErrBadSignature
	}
	return nil
}

// ParseSigners parses lines of "name base64-public-key". Empty lines and lines
// that begin with # are ignored.
func ParseSigners(text string) (s Signers, err error) {
	defer func() { err = errors.Wrap(err, "parse signers") }()
	s = make(Signers)
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, encoded, ok := strings.Cut(line, " ")
		if !ok {
			return nil, errors.Newf("line %d: expected a name and a public key", i+1)
		}
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(encoded))
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, errors.Newf("line %d: invalid public key", i+1)
		}
		s[name] = key
	}
	return s, nil
}

// message returns the signed data: the context, the name of the signer and the
// text.
func message(b *cactuspin.SignedBundle) []byte {
	m := make([]byte, 0, len(context)+len(b.Signer)+1+len(b.Text))
	m = append(m, context...)
	m = append(m, b.Signer...)
	m = append(m, '\n')
	return append(m, b.Text...)
}

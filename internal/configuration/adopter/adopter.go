// Package adopter decides which bundle takes effect on a host. The version
// never decreases, whatever the platform or a peer offers.
package adopter

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
)

// The errors of Offer.
var (
	ErrNotNewer        = errors.New("a bundle with this or a higher version is in effect")
	ErrVersionMismatch = errors.New("version outside the signed text differs from the version inside it")
)

// Config configures an Adopter.
type Config struct {
	Signers signer.Signers
}

// Adopter holds the bundle in effect. It is not safe for concurrent use.
type Adopter struct {
	cfg    Config
	signed *cactuspin.SignedBundle
	bundle *cactuspin.Bundle
}

// New returns an Adopter without a bundle.
func New(c Config) *Adopter { return &Adopter{cfg: c} }

// Offer verifies a bundle and puts it into effect if it is newer than the
// current one. A bundle that was read from the platform also replaces an
// unconfirmed one of the same version: if two operators published the same
// version, the platform accepted only one.
func (a *Adopter) Offer(s *cactuspin.SignedBundle) (err error) {
	defer func() { err = errors.Wrap(err, "offer bundle") }()
	if !a.newer(s) {
		return ErrNotNewer
	}
	if err := a.cfg.Signers.Verify(s); err != nil {
		return err
	}
	b, err := bundleparser.Parse(s.Text)
	if err != nil {
		return err
	}
	if b.Version != s.Version {
		return ErrVersionMismatch
	}
	a.signed = s
	a.bundle = b
	return nil
}

// newer reports whether s should replace the current bundle. If the platform
// delivers the current bundle, it is only marked as confirmed.
func (a *Adopter) newer(s *cactuspin.SignedBundle) bool {
	if s.Version != a.Version() {
		return s.Version > a.Version()
	}
	if a.signed == nil || a.signed.Confirmed || !s.Confirmed {
		return false
	}
	if bytes.Equal(s.Text, a.signed.Text) {
		confirmed := *a.signed
		confirmed.Confirmed = true
		a.signed = &confirmed
		return false
	}
	return true
}

// Version returns the version of the bundle in effect, or 0 if there is none.
func (a *Adopter) Version() cactuspin.BundleVersion {
	if a.signed == nil {
		return 0
	}
	return a.signed.Version
}

// Signed returns the bundle in effect as it was signed, or nil.
func (a *Adopter) Signed() *cactuspin.SignedBundle { return a.signed }

// Bundle returns the parsed bundle in effect, or nil.
func (a *Adopter) Bundle() *cactuspin.Bundle { return a.bundle }

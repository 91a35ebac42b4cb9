// Package adopter decides which bundle a host has in force. It never goes back
// to a lower version, whatever the platform or a peer offers.
package adopter

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
)

// Errors of Offer.
var (
	ErrNotNewer        = errors.New("a bundle of this or a higher version is in force")
	ErrVersionMismatch = errors.New("version outside the signature differs from the one inside")
)

// Config configures an Adopter.
type Config struct {
	Signers signer.Signers
}

// Adopter holds the bundle in force. It is not safe for concurrent use.
type Adopter struct {
	cfg    Config
	signed *cactuspin.SignedBundle
	bundle *cactuspin.Bundle
}

// New returns an Adopter without a bundle.
func New(c Config) *Adopter { return &Adopter{cfg: c} }

// Offer checks a bundle and brings it into force if it is newer than the one
// that is. A bundle read from the platform replaces one of the same version
// that was not: of two operators who raced, the platform accepted one.
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

// Version returns the version in force, 0 for none.
func (a *Adopter) Version() cactuspin.BundleVersion {
	if a.signed == nil {
		return 0
	}
	return a.signed.Version
}

// Signed returns the bundle in force as it travels, or nil.
func (a *Adopter) Signed() *cactuspin.SignedBundle { return a.signed }

// Bundle returns the bundle in force, or nil.
func (a *Adopter) Bundle() *cactuspin.Bundle { return a.bundle }

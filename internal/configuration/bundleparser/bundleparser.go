// Package bundleparser parses and validates bundles. A validation reports all
// faults, each with its line and field.
package bundleparser

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
)

// Format is the version of the bundle format that this package parses.
const Format = 1

// MaxLength is the maximum length of a bundle in bytes: the platform stores
// values of up to a megabyte, and a signed bundle is a third longer than its
// text.
const MaxLength = 700 << 10

// Fault is a violated rule of the bundle format.
type Fault struct {
	Line   int
	Field  string
	Reason string
}

// String returns the fault in the form that the operators' client prints.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Reason)
}

// FaultsError lists all faults of a bundle.
type FaultsError struct{ Faults []Fault }

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates a bundle. The error is a *FaultsError if the text
// is well-formed but violates a rule.
func Parse(text []byte) (b *cactuspin.Bundle, err error) {
	defer func() { err = errors.Wrap(err, "parse bundle") }()
	if len(text) > MaxLength {
		return nil, errors.Newf("bundle has %d bytes, the maximum is %d", len(text), MaxLength)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, errors.WithStack(err)
	}
	b = &cactuspin.Bundle{}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(b); err != nil {
		return nil, errors.WithStack(err)
	}
	for i := range b.Services {
		b.Services[i].ID = cactuspin.NewServiceID(b.Services[i].Name)
	}
	c := checker{root: &root}
	c.bundle(b)
	if len(c.faults) > 0 {
		return nil, &FaultsError{Faults: c.faults}
	}
	return b, nil
}

// Digest returns the SHA-256 digest of a bundle's text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/configuration/signer"
)

// Modes of private key files and of signed bundles.
const (
	secretMode = 0o600
	publicMode = 0o644
)

// keyCommand generates a key pair for a person.
type keyCommand struct{ name, out string }

func (k *keyCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("key", "Generate a signing key for a person and print the line for the hosts' signers file.")
	c.Arg("name", "Name of the person; no spaces.").Required().StringVar(&k.name)
	c.Flag("out", "File for the private key.").Required().StringVar(&k.out)
	return c
}

func (k *keyCommand) run(_ context.Context, c console) (err error) {
	if strings.ContainsAny(k.name, " \t\n") || k.name == "" {
		return errors.New("name must have no spaces")
	}
	public, private, err := signer.Generate()
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.out, []byte(private+"\n"), secretMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	_, err = fmt.Fprintf(c.out, "%s %s\n", k.name, public)
	return err
}

// checkCommand validates a bundle.
type checkCommand struct{ file string }

func (k *checkCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("bundle", "Manage bundles.").Command("check", "Validate a bundle and list its errors by line and field.")
	c.Arg("file", "Bundle file.").Required().StringVar(&k.file)
	return c
}

func (k *checkCommand) run(_ context.Context, c console) error {
	_, b, err := readBundle(k.file, c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "version %d of %s: %d services, no faults\n", b.Version, b.Organisation, len(b.Services))
	return err
}

// readBundle reads and validates a bundle file, and prints the errors in it.
func readBundle(file string, c console) (text []byte, b *cactuspin.Bundle, err error) {
	text, err = os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read bundle")
	}
	b, err = bundleparser.Parse(text)
	if err == nil {
		return text, b, nil
	}
	var faults *bundleparser.FaultsError
	if !errors.As(err, &faults) {
		return nil, nil, errors.Wrap(errors.CombineErrors(errInvalidBundle, err), err.Error())
	}
	for _, f := range faults.Faults {
		if _, err := fmt.Fprintf(c.errOut, "%s: %s\n", file, f); err != nil {
			return nil, nil, errors.WithStack(err)
		}
	}
	return nil, nil, errInvalidBundle
}

// signCommand signs a bundle on behalf of a person.
type signCommand struct{ file, name, key, out string }

func (k *signCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.GetCommand("bundle").Command("sign", "Sign a bundle on behalf of a person.")
	c.Arg("file", "Bundle file.").Required().StringVar(&k.file)
	c.Flag("name", "Name of the signer.").Required().StringVar(&k.name)
	c.Flag("key", "File with the private key.").Required().StringVar(&k.key)
	c.Flag("out", "File for the signed bundle.").Required().StringVar(&k.out)
	return c
}

func (k *signCommand) run(_ context.Context, c console) (err error) {
	text, b, err := readBundle(k.file, c)
	if err != nil {
		return err
	}
	key, err := os.ReadFile(k.key)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	s, err := signer.Sign(text, b.Version, k.name, string(key))
	if err != nil {
		return err
	}
	data, err := json.Marshal(s)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(k.out, append(data, '\n'), publicMode); err != nil {
		return errors.Wrap(err, "write signed bundle")
	}
	_, err = fmt.Fprintf(c.out, "version %d signed by %s, digest %s\n", s.Version, s.Signer, bundleparser.Digest(text))
	return err
}

// diffCommand shows the differences between two bundles.
type diffCommand struct{ before, after string }

func (k *diffCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.GetCommand("bundle").Command("diff", "Show the differences between two bundles.")
	c.Arg("before", "Bundle file.").Required().StringVar(&k.before)
	c.Arg("after", "Bundle file.").Required().StringVar(&k.after)
	return c
}

func (k *diffCommand) run(_ context.Context, c console) error {
	_, before, err := readBundle(k.before, c)
	if err != nil {
		return err
	}
	_, after, err := readBundle(k.after, c)
	if err != nil {
		return err
	}
	lines := append(onlyIn("-", before, after), onlyIn("+", after, before)...)
	if len(lines) == 0 {
		lines = []string{"no difference"}
	}
	_, err = fmt.Fprintln(c.out, strings.Join(lines, "\n"))
	return err
}

// onlyIn returns the lines of bundle a that bundle b lacks, each prefixed with sign.
func onlyIn(sign string, a, b *cactuspin.Bundle) (lines []string) {
	linesOfB := ruleLines(b)
	for _, l := range ruleLines(a) {
		if !slices.Contains(linesOfB, l) {
			lines = append(lines, sign+" "+l)
		}
	}
	return lines
}

// ruleLines lists the rules of a bundle, one per line.
func ruleLines(b *cactuspin.Bundle) (lines []string) {
	lines = append(lines, fmt.Sprintf("version %d", b.Version), fmt.Sprintf("retry after %s", b.Refusal.RetryAfter))
	for i := range b.Services {
		s := &b.Services[i]
		lines = append(lines, fmt.Sprintf("service %s at %s, drain %s, ramp %s", s.Name, s.Address, s.Drain.Limit, s.Ramp))
		for _, k := range s.Kinds {
			lines = append(lines, fmt.Sprintf("service %s kind %+v", s.Name, k))
		}
		for _, t := range s.Targets {
			lines = append(lines, fmt.Sprintf("service %s target %+v", s.Name, t))
		}
	}
	return lines
}

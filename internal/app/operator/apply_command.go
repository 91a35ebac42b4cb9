package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/server/administrator"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
)

// settleTries is how often a write whose answer was lost is looked up.
const settleTries = 5

// settlePause is the time between two look-ups.
const settlePause = 300 * time.Millisecond

// applyCommand has the platform accept a signed bundle.
type applyCommand struct {
	file     string
	platform string
	wait     time.Duration
}

func (k *applyCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.GetCommand("bundle").Command("apply", "Have the platform accept a signed bundle. It is safe to repeat.")
	c.Arg("file", "Signed bundle file.").Required().StringVar(&k.file)
	c.Flag("platform", "Base address of the platform.").Required().StringVar(&k.platform)
	c.Flag("wait", "How long to wait until the bundle is in force on every host.").Default("5s").DurationVar(&k.wait)
	return c
}

func (k *applyCommand) run(ctx context.Context, c console) (err error) {
	data, err := os.ReadFile(k.file)
	if err != nil {
		return errors.Wrap(err, "read signed bundle")
	}
	var s cactuspin.SignedBundle
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "read signed bundle")
	}
	b, err := bundleparser.Parse(s.Text)
	if err != nil {
		return err
	}
	client := newClient(k.platform)
	// The list is read first: the platform may go down right after it accepts.
	list, listErr := client.HostList(ctx, 0, 0)
	if err := k.accept(ctx, client, platformclient.BundleKey(b.Organisation), &s, data); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.out, "version %d accepted\n", s.Version); err != nil {
		return err
	}
	if listErr != nil {
		_, err := fmt.Fprintln(c.out, "the list of hosts could not be read; hosts get the bundle from the platform")
		return err
	}
	push(ctx, list, data)
	return k.watch(ctx, c, list, s.Version)
}

// accept writes the bundle with one compare-and-swap. When the answer is lost
// it reads back and compares.
func (k *applyCommand) accept(ctx context.Context, p *platformclient.Client, key string, s *cactuspin.SignedBundle, data []byte) error {
	current, err := p.Get(ctx, key, 0, 0)
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return errors.Wrap(errors.CombineErrors(errUnknown, err), "nothing was written")
	}
	if done, err := compare(current, s); done {
		return err
	}
	if _, err = p.CompareAndSwap(ctx, key, current.Revision, data); err == nil {
		return nil
	}
	for range settleTries {
		current, err = p.Get(ctx, key, 0, 0)
		if err == nil {
			if done, err := compare(current, s); done {
				return err
			}
			return errUnknown
		}
		time.Sleep(settlePause)
	}
	return errUnknown
}

// compare tells whether the platform's value settles the bundle's fate: it is
// there, or another took its version.
func compare(v platformclient.Value, s *cactuspin.SignedBundle) (done bool, err error) {
	var there cactuspin.SignedBundle
	if len(v.Data) > 0 {
		if err := json.Unmarshal(v.Data, &there); err != nil {
			return true, errors.Wrap(err, "read the platform's bundle")
		}
	}
	switch {
	case there.Version == s.Version && bytes.Equal(there.Text, s.Text):
		return true, nil
	case there.Version >= s.Version:
		return true, errors.Wrapf(errSuperseded, "version %d of %s is there", there.Version, there.Signer)
	case there.Version+1 != s.Version:
		return true, errors.Wrapf(errSuperseded, "version %d is there, the next must be %d", there.Version, there.Version+1)
	}
	return false, nil
}

// push gives the accepted bundle to the hosts, so that it comes into force even
// if the platform goes down now. A host that misses it has it from a peer.
func push(ctx context.Context, l cactuspin.HostList, data []byte) {
	client := &http.Client{Timeout: callTimeout}
	done := make(chan struct{})
	for _, h := range l.Hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			url := "http://" + h.Operators + administrator.BundlePath
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
			if err != nil {
				return
			}
			if resp, err := client.Do(r); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	for range l.Hosts {
		<-done
	}
}

// watch waits until every host has the version in force, or the time is over,
// and prints the status by zone.
func (k *applyCommand) watch(ctx context.Context, c console, l cactuspin.HostList, v cactuspin.BundleVersion) error {
	until := time.Now().Add(k.wait)
	for {
		all := ask(ctx, l)
		if inForce(all, v) || time.Now().After(until) {
			return printZones(c, all)
		}
		time.Sleep(settlePause)
	}
}

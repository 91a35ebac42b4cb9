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

// confirmAttempts limits how often the stored bundle is read after a write whose
// response was lost.
const confirmAttempts = 5

// pollInterval is the time between two reads of the stored bundle or of the hosts'
// status.
const pollInterval = 300 * time.Millisecond

// applyCommand submits a signed bundle to the platform.
type applyCommand struct {
	file     string
	platform string
	wait     time.Duration
}

func (k *applyCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.GetCommand("bundle").Command("apply", "Submit a signed bundle to the platform. Repeating the command is safe.")
	c.Arg("file", "Signed bundle file.").Required().StringVar(&k.file)
	c.Flag("platform", "Base URL of the platform.").Required().StringVar(&k.platform)
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
	// Read the list of hosts before the write, as the platform may become unavailable
	// right after it has accepted the bundle.
	list, listErr := client.HostList(ctx, 0, 0)
	if err := k.submit(ctx, client, platformclient.BundleKey(b.Organisation), &s, data); err != nil {
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
	return k.waitInForce(ctx, c, list, s.Version)
}

// submit writes the bundle with one compare-and-swap. If the response is lost, it
// reads the stored bundle back and compares.
func (k *applyCommand) submit(ctx context.Context, p *platformclient.Client, key string, s *cactuspin.SignedBundle, data []byte) error {
	current, err := p.Get(ctx, key, 0, 0)
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return errors.Wrap(errors.CombineErrors(errOutcomeUnknown, err), "nothing was written")
	}
	if done, err := checkStored(current, s); done {
		return err
	}
	if _, err = p.CompareAndSwap(ctx, key, current.Revision, data); err == nil {
		return nil
	}
	for range confirmAttempts {
		current, err = p.Get(ctx, key, 0, 0)
		if err == nil {
			if done, err := checkStored(current, s); done {
				return err
			}
			return errOutcomeUnknown
		}
		time.Sleep(pollInterval)
	}
	return errOutcomeUnknown
}

// checkStored reports whether the platform's value decides the outcome of the write.
// It returns no error if the bundle is stored, and errConflict if another bundle has
// its version or if its version is not the successor of the stored one.
func checkStored(v platformclient.Value, s *cactuspin.SignedBundle) (done bool, err error) {
	var stored cactuspin.SignedBundle
	if len(v.Data) > 0 {
		if err := json.Unmarshal(v.Data, &stored); err != nil {
			return true, errors.Wrap(err, "read the platform's bundle")
		}
	}
	switch {
	case stored.Version == s.Version && bytes.Equal(stored.Text, s.Text):
		return true, nil
	case stored.Version >= s.Version:
		return true, errors.Wrapf(errConflict, "version %d of %s is there", stored.Version, stored.Signer)
	case stored.Version+1 != s.Version:
		return true, errors.Wrapf(errConflict, "version %d is there, the next must be %d", stored.Version, stored.Version+1)
	}
	return false, nil
}

// push sends the accepted bundle to the hosts, so that it comes into force even if
// the platform becomes unavailable. A host that it does not reach gets the bundle
// from a peer.
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

// waitInForce waits until every host has the version in force or the time to wait
// is over, and prints the status by zone.
func (k *applyCommand) waitInForce(ctx context.Context, c console, l cactuspin.HostList, v cactuspin.BundleVersion) error {
	deadline := time.Now().Add(k.wait)
	for {
		statuses := queryHosts(ctx, l)
		if inForce(statuses, v) || time.Now().After(deadline) {
			return printZones(c, statuses)
		}
		time.Sleep(pollInterval)
	}
}

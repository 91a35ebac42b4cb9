// Package platformclient is a client of the platform: of its key-value service with
// compare-and-swap and watches, and of its list of hosts and targets.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

// URL paths of the platform's interface.
const (
	KeyPath      = "/v1/keys/"
	HostListPath = "/v1/hosts"
)

// maxBodyLength limits an answer of the platform in bytes.
const maxBodyLength = 4 << 20

// Errors of the client.
var (
	// ErrConflict means that another write changed the value first. Nothing was
	// written.
	ErrConflict = errors.New("value has changed since it was read")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("no change")
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key has no value")
)

// Value is a value of the key-value service. Revision grows with every write.
type Value struct {
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// Config configures a Client.
type Config struct {
	// Endpoint is the base URL, such as http://IP:port.
	Endpoint string
	HTTP     *http.Client
}

// Client is a client of the platform.
type Client struct{ cfg Config }

// NewClient returns a Client.
func NewClient(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	return &Client{cfg: c}
}

// BundleKey is the key of an organisation's bundle.
func BundleKey(organisation string) string { return "cactuspin." + organisation + ".bundle" }

// Get reads a key. With a positive wait it returns once the revision is above after,
// or returns ErrUnchanged when the wait is over.
func (c *Client) Get(ctx context.Context, key string, after uint64, wait time.Duration) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "get %s", key) }()
	err = c.call(ctx, http.MethodGet, KeyPath+url.PathEscape(key)+watchQuery(after, wait), nil, &v)
	return v, err
}

// CompareAndSwap writes a key if its revision is still the given one; revision 0
// creates the key. After any error except ErrConflict it is unknown whether the
// write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "compare and swap %s", key) }()
	body, err := json.Marshal(Value{Revision: revision, Data: data})
	if err != nil {
		return v, errors.WithStack(err)
	}
	err = c.call(ctx, http.MethodPut, KeyPath+url.PathEscape(key), body, &v)
	return v, err
}

// HostList reads the list of hosts and targets; after and wait work as in Get.
func (c *Client) HostList(ctx context.Context, after uint64, wait time.Duration) (l cactuspin.HostList, err error) {
	defer func() { err = errors.Wrap(err, "list hosts") }()
	err = c.call(ctx, http.MethodGet, HostListPath+watchQuery(after, wait), nil, &l)
	return l, err
}

// SetHostList replaces the list of hosts and targets; only the stand-in for the
// platform allows it.
func (c *Client) SetHostList(ctx context.Context, l cactuspin.HostList) (err error) {
	defer func() { err = errors.Wrap(err, "set list of hosts") }()
	body, err := json.Marshal(l)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.call(ctx, http.MethodPut, HostListPath, body, nil)
}

func watchQuery(after uint64, wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return fmt.Sprintf("?after=%d&wait=%s", after, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.Endpoint+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyLength))
	if err = errors.CombineErrors(err, resp.Body.Close()); err != nil {
		return errors.WithStack(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Newf("platform answered %s", resp.Status)
	}
	if out == nil {
		return nil
	}
	return errors.WithStack(json.Unmarshal(data, out))
}

// Package platformclient talks to the platform: its key-value service with
// compare-and-swap and watches, and its list of hosts and targets.
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

// Paths of the platform's interface.
const (
	KeyPath      = "/v1/keys/"
	HostListPath = "/v1/hosts"
)

// maxBody bounds an answer of the platform in bytes.
const maxBody = 4 << 20

// Errors of the client.
var (
	// ErrConflict means that another write came first. Nothing was written.
	ErrConflict = errors.New("value has changed since it was read")
	// ErrUnchanged means that a watch ended without news.
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
	// Endpoint is the base address, as http://IP:port.
	Endpoint string
	HTTP     *http.Client
}

// Client calls the platform.
type Client struct{ cfg Config }

// NewClient returns a client.
func NewClient(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	return &Client{cfg: c}
}

// BundleKey is the key of an organisation's bundle.
func BundleKey(organisation string) string { return "cactuspin." + organisation + ".bundle" }

// Get reads a key. With wait it returns when the revision is above after, or
// ErrUnchanged when the time is over.
func (c *Client) Get(ctx context.Context, key string, after uint64, wait time.Duration) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "get %s", key) }()
	err = c.call(ctx, http.MethodGet, KeyPath+url.PathEscape(key)+watch(after, wait), nil, &v)
	return v, err
}

// CompareAndSwap writes a key if its revision is still the given one; 0 creates it. Any
// error but ErrConflict leaves open whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "swap %s", key) }()
	body, err := json.Marshal(Value{Revision: revision, Data: data})
	if err != nil {
		return v, errors.WithStack(err)
	}
	err = c.call(ctx, http.MethodPut, KeyPath+url.PathEscape(key), body, &v)
	return v, err
}

// HostList reads the list of hosts and targets, with the same wait as Get.
func (c *Client) HostList(ctx context.Context, after uint64, wait time.Duration) (l cactuspin.HostList, err error) {
	defer func() { err = errors.Wrap(err, "list hosts") }()
	err = c.call(ctx, http.MethodGet, HostListPath+watch(after, wait), nil, &l)
	return l, err
}

// SetHostList replaces the list; only the stand-in of the platform allows it.
func (c *Client) SetHostList(ctx context.Context, l cactuspin.HostList) (err error) {
	defer func() { err = errors.Wrap(err, "set list of hosts") }()
	body, err := json.Marshal(l)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.call(ctx, http.MethodPut, HostListPath, body, nil)
}

func watch(after uint64, wait time.Duration) string {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
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

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

func get(ctx context.Context, url string, out any) (err error) {
	defer func() { err = errors.Wrapf(err, "get %s", url) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

func post(ctx context.Context, url, body string) (err error) {
	defer func() { err = errors.Wrapf(err, "post %s", url) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.CombineErrors(errors.Newf("answer %s", resp.Status), resp.Body.Close())
	}
	return errors.WithStack(resp.Body.Close())
}

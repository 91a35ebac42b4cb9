package connector

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

// header carries the proof that the other end of a link is a host.
const header = "Cactuspin-Host"

// passLifetime bounds the clock difference between two hosts.
const passLifetime = 30 * time.Second

// ErrInvalidToken is returned when the other end cannot prove that it is a host.
var ErrInvalidToken = errors.New("other end has no valid pass")

// pass proves that from knows the secret of the hosts.
func pass(secret []byte, from, to cactuspin.HostID, now time.Time) string {
	body := fmt.Sprintf("%s.%s.%d", from, to, now.Unix())
	return body + "." + sign(secret, body)
}

// check returns the host that made a pass for this one.
func check(secret []byte, self cactuspin.HostID, text string, now time.Time) (from cactuspin.HostID, err error) {
	parts := strings.Split(text, ".")
	const fields = 4
	if len(parts) != fields {
		return 0, ErrInvalidToken
	}
	body := strings.Join(parts[:fields-1], ".")
	if !hmac.Equal([]byte(sign(secret, body)), []byte(parts[fields-1])) {
		return 0, ErrInvalidToken
	}
	id, err := strconv.ParseUint(parts[0], 10, 32)
	if err != nil {
		return 0, ErrInvalidToken
	}
	seconds, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[1] != self.String() || now.Sub(time.Unix(seconds, 0)).Abs() > passLifetime {
		return 0, ErrInvalidToken
	}
	return cactuspin.HostID(id), nil
}

func sign(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write([]byte(body))
	return hex.EncodeToString(h.Sum(nil))
}

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

// authHeader carries the token by which the host that opens a link authenticates
// itself.
const authHeader = "Cactuspin-Host"

// authTokenLifetime limits the age of a token, and with it the accepted difference
// between the clocks of two hosts.
const authTokenLifetime = 30 * time.Second

// ErrInvalidToken is returned when the other end of a link does not authenticate
// itself as a host.
var ErrInvalidToken = errors.New("peer has no valid authentication token")

// newAuthToken returns a token by which host from proves to host to that it has the
// shared secret of the hosts.
func newAuthToken(secret []byte, from, to cactuspin.HostID, now time.Time) string {
	body := fmt.Sprintf("%s.%s.%d", from, to, now.Unix())
	return body + "." + sign(secret, body)
}

// verifyAuthToken returns the host that issued a token for host self.
func verifyAuthToken(secret []byte, self cactuspin.HostID, token string, now time.Time) (from cactuspin.HostID, err error) {
	parts := strings.Split(token, ".")
	const fieldCount = 4
	if len(parts) != fieldCount {
		return 0, ErrInvalidToken
	}
	body := strings.Join(parts[:fieldCount-1], ".")
	if !hmac.Equal([]byte(sign(secret, body)), []byte(parts[fieldCount-1])) {
		return 0, ErrInvalidToken
	}
	id, err := strconv.ParseUint(parts[0], 10, 32)
	if err != nil {
		return 0, ErrInvalidToken
	}
	seconds, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[1] != self.String() || now.Sub(time.Unix(seconds, 0)).Abs() > authTokenLifetime {
		return 0, ErrInvalidToken
	}
	return cactuspin.HostID(id), nil
}

func sign(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write([]byte(body))
	return hex.EncodeToString(h.Sum(nil))
}

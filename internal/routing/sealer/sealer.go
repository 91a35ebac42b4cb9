// Package sealer seals and opens cookies. A cookie names the only incarnation
// that may accept a request, and is carried in the Echo option (RFC 9175).
package sealer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"

	"github.com/cactuspin/cactuspin"
)

// Length is the length of a sealed cookie in bytes; the Echo option holds at most
// 40.
const Length = 1 + 4 + 8 + 8 + 4 + 4 + macLength

// KeyLength is the length of a sealing key in bytes.
const KeyLength = 16

const macLength = 8

// ErrInvalidCookie is returned for a cookie that no known key has sealed.
var ErrInvalidCookie = errors.New("cookie has no valid authentication code")

// Cookie is the content of a sealed cookie.
type Cookie struct {
	Host        cactuspin.HostID
	Incarnation cactuspin.Incarnation
	Flow        cactuspin.FlowID
	Service     cactuspin.ServiceID
	// Issued is in seconds since the Unix epoch.
	Issued uint32
}

// Key is a sealing key and its number. All hosts have the same keys.
type Key struct {
	Number uint8
	Secret [KeyLength]byte
}

// Config configures a Sealer.
type Config struct {
	// Keys are looked up by number; the first one seals new cookies.
	Keys []Key
}

// Sealer seals and opens cookies. It is safe for concurrent use.
type Sealer struct {
	current Key
	keys    map[uint8]Key
}

// New returns a Sealer, or an error if there is no key or two keys have the same
// number.
func New(c Config) (s *Sealer, err error) {
	defer func() { err = errors.Wrap(err, "create sealer") }()
	if len(c.Keys) == 0 {
		return nil, errors.New("no sealing key")
	}
	s = &Sealer{current: c.Keys[0], keys: make(map[uint8]Key, len(c.Keys))}
	for _, k := range c.Keys {
		if _, ok := s.keys[k.Number]; ok {
			return nil, errors.Newf("key number %d is used twice", k.Number)
		}
		s.keys[k.Number] = k
	}
	return s, nil
}

// Append appends the sealed cookie to b.
func (s *Sealer) Append(b []byte, c Cookie) []byte {
	start := len(b)
	b = append(b, s.current.Number)
	b = binary.BigEndian.AppendUint32(b, uint32(c.Host))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Flow))
	b = binary.BigEndian.AppendUint32(b, uint32(c.Service))
	b = binary.BigEndian.AppendUint32(b, c.Issued)
	return binary.BigEndian.AppendUint64(b, s.current.mac(b[start:]))
}

// Open verifies and decodes a cookie. It returns ErrInvalidCookie for anything
// that was not sealed by a known key.
func (s *Sealer) Open(b []byte) (c Cookie, err error) {
	if len(b) != Length {
		return Cookie{}, ErrInvalidCookie
	}
	k, ok := s.keys[b[0]]
	if !ok {
		return Cookie{}, ErrInvalidCookie
	}
	body := b[:Length-macLength]
	if k.mac(body) != binary.BigEndian.Uint64(b[Length-macLength:]) {
		return Cookie{}, ErrInvalidCookie
	}
	c.Host = cactuspin.HostID(binary.BigEndian.Uint32(b[1:]))
	c.Incarnation = cactuspin.Incarnation(binary.BigEndian.Uint64(b[5:]))
	c.Flow = cactuspin.FlowID(binary.BigEndian.Uint64(b[13:]))
	c.Service = cactuspin.ServiceID(binary.BigEndian.Uint32(b[21:]))
	c.Issued = binary.BigEndian.Uint32(b[25:])
	return c, nil
}

func (k *Key) mac(b []byte) uint64 {
	k0 := binary.LittleEndian.Uint64(k.Secret[:8])
	k1 := binary.LittleEndian.Uint64(k.Secret[8:])
	return siphash.Hash(k0, k1, b)
}

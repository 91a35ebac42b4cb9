// Package uintcodec encodes and decodes the unsigned integers of CoAP options
// (RFC 7252, section 3.2): big-endian, without leading zeros.
package uintcodec

// Decode returns the number that an option value encodes.
func Decode(v []byte) (n uint64) {
	for _, x := range v {
		n = n<<8 | uint64(x)
	}
	return n
}

// Encode returns the shortest option value for a number.
func Encode(n uint64) (v []byte) {
	const highestShift = 56
	for shift := highestShift; shift >= 0; shift -= 8 {
		if b := byte(n >> shift); b != 0 || len(v) > 0 {
			v = append(v, b)
		}
	}
	return v
}

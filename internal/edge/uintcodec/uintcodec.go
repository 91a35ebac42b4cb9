// Package uintcodec reads and writes the unsigned values of CoAP options (RFC 7252,
// section 3.2): big-endian, without leading zeros.
package uintcodec

// Decode returns the number that an option value stands for.
func Decode(v []byte) (n uint64) {
	for _, x := range v {
		n = n<<8 | uint64(x)
	}
	return n
}

// Encode returns the shortest option value for a number.
func Encode(n uint64) (v []byte) {
	const lastShift = 56
	for shift := lastShift; shift >= 0; shift -= 8 {
		if b := byte(n >> shift); b != 0 || len(v) > 0 {
			v = append(v, b)
		}
	}
	return v
}

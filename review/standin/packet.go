package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of a packet, in bytes.
const (
	headerLength = 31
	prefixLength = 8
	maxData      = 1200
	maxDatagram  = prefixLength + headerLength + maxData
)

// Bits of the flags.
const (
	flagACK = 2
	flagSYN = 4
	flagFIN = 16
	flagRST = 64
)

// ownSum marks packets of requesters and endpoints. The system does not know the key of
// the sum, so its resets carry 0.
const ownSum = 0x5eedc0de

// packet is a packet of the platform.
type packet struct {
	src, dst  netip.AddrPort
	sum, echo uint32
	flags     byte
	seq, ack  uint32
	data      []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b, p.dst.Port())
	binary.BigEndian.PutUint16(b[2:], p.src.Port())
	copy(b[4:], src[:])
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint32(b[12:], ownSum)
	binary.BigEndian.PutUint32(b[16:], p.echo)
	b[20] = p.flags
	binary.BigEndian.PutUint16(b[21:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b[21:])) != len(b)-headerLength {
		return p, false
	}
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b))
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[2:]))
	p.sum = binary.BigEndian.Uint32(b[12:])
	p.echo = binary.BigEndian.Uint32(b[16:])
	p.flags = b[20]
	p.seq = binary.BigEndian.Uint32(b[23:])
	p.ack = binary.BigEndian.Uint32(b[27:])
	p.data = append([]byte(nil), b[headerLength:]...)
	return p, true
}

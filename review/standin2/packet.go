package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of a packet on the wire, in bytes.
const (
	headerLength = 31
	prefixLength = 8
	maxPayload   = 1200
)

// Control bits on the wire.
const (
	bitACK = 2
	bitSYN = 4
	bitFIN = 16
	bitRST = 64
)

// packet is a packet as requesters and endpoints see it.
type packet struct {
	from, to netip.AddrPort
	echo     uint32
	flags    byte
	seq, ack uint32
	data     []byte
	// sender is the socket address that a received packet came from.
	sender netip.AddrPort
}

func (p *packet) encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.data))
	source, destination := p.from.Addr().As4(), p.to.Addr().As4()
	binary.BigEndian.PutUint16(b, p.to.Port())
	binary.BigEndian.PutUint16(b[2:], p.from.Port())
	copy(b[4:], source[:])
	copy(b[8:], destination[:])
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
	p.to = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b))
	p.from = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[2:]))
	p.echo = binary.BigEndian.Uint32(b[16:])
	p.flags = b[20]
	p.seq = binary.BigEndian.Uint32(b[23:])
	p.ack = binary.BigEndian.Uint32(b[27:])
	p.data = append([]byte(nil), b[headerLength:]...)
	return p, true
}

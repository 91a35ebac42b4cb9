package encoder

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxFlowBytes limits a list of flow counts on the wire. It suffices for 600 targets
	// with up to 15 flows each.
	maxFlowBytes = 320
	// maxBytesBesideFlows limits the loads and lists of cold targets beside two lists of
	// flow counts.
	maxBytesBesideFlows = 360
	// flowHeaderLength is the length of the counts of one subject without the counts.
	flowHeaderLength = 9
	// maxFlowBits limits the bits of a count on the wire. Higher counts are rounded down.
	maxFlowBits = 8
)

// TargetFlows counts the open flows at each target of a service in a zone, which Subject
// names.
type TargetFlows struct {
	Subject Subject
	// Check identifies the set of targets: counts of another set cannot be used.
	Check uint16
	// Flows has a count for each target, in the order of the targets' cookies.
	Flows []uint16
}

// FlowCounts lists the flows of several subjects.
type FlowCounts []TargetFlows

// Fitting returns the first counts that fit into a beacon.
func (c FlowCounts) Fitting() FlowCounts {
	length := 0
	for i, x := range c {
		if length += x.length(); length > maxFlowBytes {
			return c[:i]
		}
	}
	return c
}

// Find returns the counts of a set of targets, or nil.
func (c FlowCounts) Find(s Subject, check uint16) []uint16 {
	for _, x := range c {
		if x.Subject == s && x.Check == check {
			return x.Flows
		}
	}
	return nil
}

// HasRoomForFlows reports whether two lists of flow counts fit into the beacon. They do not
// beside the loads of very many services, or while many targets fail or are cold.
func (b *Beacon) HasRoomForFlows() bool {
	used := loadLength*(len(b.Loads)+len(b.Total)) + addressLength*len(b.Eligible)
	for _, r := range b.Returns {
		used += len(r.Zone) + returnOverhead
	}
	return used <= maxBytesBesideFlows
}

// Lists reports whether the list has counts for a subject.
func (c FlowCounts) Lists(s Subject) bool {
	return slices.ContainsFunc(c, func(x TargetFlows) bool { return x.Subject == s })
}

// Sum returns the number of all flows.
func (c FlowCounts) Sum() (n int) {
	for _, x := range c {
		for _, f := range x.Flows {
			n += int(f)
		}
	}
	return n
}

// Plus returns the sums of two lists.
func (c FlowCounts) Plus(d FlowCounts) (sum FlowCounts) {
	return append(c.combine(d, func(a, b uint16) uint16 { return uint16(min(math.MaxUint16, int(a)+int(b))) }), d.without(c)...)
}

// Minus returns the list without the flows of another.
func (c FlowCounts) Minus(d FlowCounts) (difference FlowCounts) {
	return c.combine(d, func(a, b uint16) uint16 { return a - min(a, b) })
}

// combine returns the list with each count combined with that in another list.
func (c FlowCounts) combine(d FlowCounts, f func(a, b uint16) uint16) FlowCounts {
	r := make(FlowCounts, 0, len(c))
	for _, x := range c {
		other := d.Find(x.Subject, x.Check)
		flows := make([]uint16, len(x.Flows))
		for i, n := range x.Flows {
			flows[i] = n
			if len(other) == len(flows) {
				flows[i] = f(n, other[i])
			}
		}
		r = append(r, TargetFlows{Subject: x.Subject, Check: x.Check, Flows: flows})
	}
	return r
}

// without returns the counts of the sets that are not in another list.
func (c FlowCounts) without(d FlowCounts) (r FlowCounts) {
	for _, x := range c {
		if d.Find(x.Subject, x.Check) == nil {
			r = append(r, x)
		}
	}
	return r
}

// widths returns the number of bits of each count on the wire, and by how many bits the
// counts are shifted so that they fit.
func (x *TargetFlows) widths() (width, shift int) {
	highest := uint16(1)
	for _, n := range x.Flows {
		highest = max(highest, n)
	}
	width = bits.Len16(highest)
	shift = max(0, width-maxFlowBits)
	return width - shift, shift
}

func (x *TargetFlows) length() int {
	width, _ := x.widths()
	return flowHeaderLength + (len(x.Flows)*width+7)/8
}

// MarshalBinary encodes the counts in their form on the wire.
func (c FlowCounts) MarshalBinary() ([]byte, error) {
	var b []byte
	for i := range c {
		x := &c[i]
		width, shift := x.widths()
		b = binary.BigEndian.AppendUint32(b, uint32(x.Subject))
		b = binary.BigEndian.AppendUint16(b, x.Check)
		b = binary.BigEndian.AppendUint16(b, uint16(len(x.Flows)))
		b = append(b, byte(width<<4|shift))
		var pending, n int
		for _, f := range x.Flows {
			pending, n = pending<<width|int(f>>shift), n+width
			for ; n >= 8; n -= 8 {
				b = append(b, byte(pending>>(n-8)))
			}
			pending &= 1<<n - 1
		}
		if n > 0 {
			b = append(b, byte(pending<<(8-n)))
		}
	}
	return b, nil
}

// UnmarshalBinary decodes the form on the wire.
func (c *FlowCounts) UnmarshalBinary(b []byte) error {
	*c = nil
	for len(b) > 0 {
		if len(b) < flowHeaderLength {
			return errors.New("flow counts end in a header")
		}
		x := TargetFlows{Subject: Subject(binary.BigEndian.Uint32(b)), Check: binary.BigEndian.Uint16(b[4:])}
		targets, width, shift := int(binary.BigEndian.Uint16(b[6:])), int(b[8]>>4), int(b[8]&15)
		b = b[flowHeaderLength:]
		length := (targets*width + 7) / 8
		if width < 1 || width > maxFlowBits || width+shift > 16 || length > len(b) {
			return errors.New("flow counts are damaged")
		}
		x.Flows = make([]uint16, targets)
		var pending, n int
		next := b
		for i := range x.Flows {
			for ; n < width; n += 8 {
				pending, next = pending<<8|int(next[0]), next[1:]
			}
			n -= width
			x.Flows[i] = uint16(pending >> n << shift)
			pending &= 1<<n - 1
		}
		*c, b = append(*c, x), b[length:]
	}
	return nil
}

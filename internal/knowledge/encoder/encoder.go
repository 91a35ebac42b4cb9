// Package encoder defines the messages between hosts of the packet path and
// their form on the wire: CBOR datagrams for beacons and small updates, and
// CBOR bodies for updates that are fetched.
package encoder

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cactuspin/cactuspin"
)

// MaxDatagramLength is the maximum length of a datagram between hosts in bytes;
// it fits into one Ethernet frame.
const MaxDatagramLength = 1400

const (
	// ActiveRequestsScale is the number of units of Load.ActiveRequests per
	// request.
	ActiveRequestsScale = 16
	// FailedRequestsScale is the number of units of Load.FailedRequests per
	// request.
	FailedRequestsScale = 4
	// maxLoads limits the loads in a list of a beacon so that two lists and the
	// targets that are down fit into a datagram.
	maxLoads = 60
)

// Subject identifies what a load describes: the targets of a service in a zone
// by a hash, or a single target by its cookie. The former use only
// ActiveRequests and Flows, the latter only FailedRequests, so that a hash
// which equals a cookie mixes no values.
type Subject uint32

// Load counts the requests and flows of one subject.
type Load struct {
	Subject Subject
	// ActiveRequests is the mean number of requests in progress, in units of
	// 1/ActiveRequestsScale.
	ActiveRequests uint16
	// Flows is the number of open flows.
	Flows uint16
	// FailedRequests is the number of recently failed requests, in units of
	// 1/FailedRequestsScale. It saturates at its maximum.
	FailedRequests uint8
}

// Loads lists the loads of several subjects. Each takes nine bytes on the wire.
type Loads []Load

// Largest returns the loads that fit into a beacon: those with the most failed
// requests first, then those with the most requests in progress.
func (l Loads) Largest() Loads { return l.largest(maxLoads) }

// LargestBeside returns the loads that fit into a beacon with two lists of loads and the
// eligible hosts and returns of b.
func (l Loads) LargestBeside(b *Beacon) Loads {
	used := len(b.Eligible) * addressLength
	for _, r := range b.Returns {
		used += len(r.Zone) + returnOverhead
	}
	if used > 0 {
		used += listOverhead
	}
	return l.largest(max(0, maxLoads-(used+2*loadLength-1)/(2*loadLength)))
}

func (l Loads) largest(maxLoads int) Loads {
	if len(l) <= maxLoads {
		return l
	}
	sorted := slices.SortedStableFunc(slices.Values(l), func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.FailedRequests, a.FailedRequests), cmp.Compare(b.ActiveRequests, a.ActiveRequests))
	})
	return sorted[:maxLoads]
}

const loadLength = 9

// MarshalBinary encodes the loads in their form on the wire.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, loadLength*len(l))
	for _, x := range l {
		b = binary.BigEndian.AppendUint32(b, uint32(x.Subject))
		b = binary.BigEndian.AppendUint16(b, x.ActiveRequests)
		b = binary.BigEndian.AppendUint16(b, x.Flows)
		b = append(b, x.FailedRequests)
	}
	return b, nil
}

// UnmarshalBinary decodes the form on the wire.
func (l *Loads) UnmarshalBinary(b []byte) error {
	if len(b)%loadLength != 0 {
		return errors.New("length of the loads is not a multiple of the length of one load")
	}
	*l = make(Loads, 0, len(b)/loadLength)
	for ; len(b) > 0; b = b[loadLength:] {
		*l = append(*l, Load{
			Subject:        Subject(binary.BigEndian.Uint32(b)),
			ActiveRequests: binary.BigEndian.Uint16(b[4:]),
			Flows:          binary.BigEndian.Uint16(b[6:]),
			FailedRequests: b[8],
		})
	}
	return nil
}

// Beacon is the message that a host sends to its peers at regular intervals; it
// shows that the host is alive and how recent its knowledge is.
type Beacon struct {
	Host        cactuspin.EntryHost   `cbor:"1,keyasint"`
	Incarnation cactuspin.Incarnation `cbor:"2,keyasint"`
	Revision    cactuspin.Revision    `cbor:"3,keyasint"`
	LastChange  cactuspin.Revision    `cbor:"4,keyasint"`
	Age         time.Duration         `cbor:"5,keyasint"`
	HealthyFor  time.Duration         `cbor:"6,keyasint"`
	// Complete reports that the host can send updates to others.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Leaving reports that the host is about to stop.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// ReplyRequested asks the receiver to send a beacon at once.
	ReplyRequested bool `cbor:"9,keyasint,omitempty"`
	// Loads is the load of the host; in a beacon to another zone, that of its
	// whole zone.
	Loads Loads `cbor:"10,keyasint,omitempty"`
	// Total is the load of all hosts as the leader of the zone knows it.
	Total Loads `cbor:"11,keyasint,omitempty"`
	// Down lists targets that some host found down.
	Down DownTargets `cbor:"12,keyasint,omitempty"`
	// Reader is the host whose read of the store Age is based on.
	Reader netip.Addr `cbor:"13,keyasint"`
	// LastChangeUnknown reports that the last change may have been before LastChange.
	LastChangeUnknown bool `cbor:"14,keyasint,omitempty"`
	// KnowsZones reports that the host follows the states of zones, see Update.
	KnowsZones bool `cbor:"20,keyasint,omitempty"`
	// Era is the era of the revisions.
	Era cactuspin.Era `cbor:"15,keyasint,omitempty"`
	// Version is the version of the routing in force; 0 in era 0, in which the revision
	// tells it.
	Version cactuspin.RoutingVersion `cbor:"16,keyasint,omitempty"`
	// Eligible lists the hosts that may own cold targets of the zone. Only the leader
	// sends it, while the zone has cold targets of services with a limit.
	Eligible Addresses `cbor:"30,keyasint,omitempty"`
	// Returns lists the zones that have returned from an evacuation within the warm-up
	// time, for hosts that have started since.
	Returns []ZoneReturn `cbor:"31,keyasint,omitempty"`
	// ZoneHosts are the live hosts of the sender's zone, TotalFlows their flows. Only the
	// first hosts of a zone know them. Flows are those of the sender. All three are sent
	// at longer intervals than beacons.
	ZoneHosts  *HostSet   `cbor:"17,keyasint,omitempty"`
	Flows      FlowCounts `cbor:"18,keyasint,omitempty"`
	TotalFlows FlowCounts `cbor:"19,keyasint,omitempty"`
}

// ZoneReturn reports that a zone has returned from an evacuation.
type ZoneReturn struct {
	Zone cactuspin.ZoneID `cbor:"1,keyasint"`
	// Since is the time since the sender learned of it.
	Since time.Duration `cbor:"2,keyasint"`
}

// MaxReturns limits the zones that a beacon lists as returned.
const MaxReturns = 4

const (
	// returnOverhead is the most that a ZoneReturn takes on the wire besides its name.
	returnOverhead = 16
	// listOverhead is what the lists of eligible hosts and returns take besides their
	// elements, and some reserve.
	listOverhead = 24
)

// Datagram is a datagram between hosts; exactly one field is set.
type Datagram struct {
	Beacon *Beacon           `cbor:"1,keyasint,omitempty"`
	Update *cactuspin.Update `cbor:"2,keyasint,omitempty"`
}

// Encode encodes a datagram. The result may be longer than MaxDatagramLength.
func Encode(d *Datagram) (b []byte, err error) {
	b, err = cbor.Marshal(d)
	return b, errors.Wrap(err, "encode datagram")
}

// Decode decodes a datagram and checks that it is usable.
func Decode(b []byte) (d Datagram, err error) {
	defer func() { err = errors.Wrap(err, "decode datagram") }()
	if err := cbor.Unmarshal(b, &d); err != nil {
		return d, errors.WithStack(err)
	}
	if (d.Beacon == nil) == (d.Update == nil) {
		return d, errors.New("datagram must contain either a beacon or an update")
	}
	if d.Update != nil {
		return d, checkUpdate(d.Update)
	}
	return d, checkBeacon(d.Beacon)
}

// checkBeacon and checkUpdate report what the receiver cannot use. Other processes can
// reach the ports between hosts, too, so that a message may come from one of them.
func checkBeacon(b *Beacon) error {
	if err := checkAges(b.Age, b.HealthyFor); err != nil {
		return err
	}
	if len(b.Returns) > MaxReturns {
		return errors.Newf("%d zones returned", len(b.Returns))
	}
	for _, r := range b.Returns {
		if r.Since < 0 {
			return errors.Newf("zone %q returns in the future", r.Zone)
		}
	}
	return checkHost(b.Host)
}

// checkAges rejects negative times: knowledge with a negative age would count as
// fresh for as long.
func checkAges(age, healthyFor time.Duration) error {
	if age < 0 || healthyFor < 0 {
		return errors.Newf("age %s or healthy time %s is negative", age, healthyFor)
	}
	return nil
}

func checkUpdate(u *cactuspin.Update) error {
	if err := checkAges(u.Age, u.HealthyFor); err != nil {
		return err
	}
	for i := range u.Targets {
		if !u.Targets[i].Address.Addr().Is4() {
			return errors.Newf("target %q without an IPv4 address", u.Targets[i].ID)
		}
	}
	for _, h := range u.Hosts {
		if err := checkHost(h); err != nil {
			return err
		}
	}
	if u.Routing == nil {
		return nil
	}
	for i := range u.Routing.Routes {
		if !u.Routing.Routes[i].Address.Addr().Is4() {
			return errors.Newf("route %q without an IPv4 address", u.Routing.Routes[i].Name)
		}
	}
	return nil
}

func checkHost(h cactuspin.EntryHost) error {
	if !h.Address.Is4() {
		return errors.New("host without an IPv4 address")
	}
	return nil
}

// maxUpdateElements limits the elements of a list in an update. The aim is 140,000
// targets.
const maxUpdateElements = 1 << 20

// updateDecoding decodes fetched updates.
var updateDecoding = newDecoding(cbor.DecOptions{MaxArrayElements: maxUpdateElements})

func newDecoding(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeUpdate encodes the body of an update that a peer fetches.
func EncodeUpdate(u *cactuspin.Update) (b []byte, err error) {
	b, err = cbor.Marshal(u)
	return b, errors.Wrap(err, "encode update")
}

// DecodeUpdate decodes the body of a fetched update.
func DecodeUpdate(b []byte) (u cactuspin.Update, err error) {
	defer func() { err = errors.Wrap(err, "decode update") }()
	if err := updateDecoding.Unmarshal(b, &u); err != nil {
		return u, errors.WithStack(err)
	}
	return u, checkUpdate(&u)
}

package encoder_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
)

func sample() encoder.Datagram {
	return encoder.Datagram{Beacon: &encoder.Beacon{
		Host:     cactuspin.EntryHost{Address: netip.MustParseAddr("10.1.0.7"), Zone: "a"},
		Revision: 7, LastChange: 5, Age: time.Second, Complete: true,
		Loads: encoder.Loads{{Subject: 9, ActiveRequests: 3 * encoder.ActiveRequestsScale, Flows: 700}},
		Down:  encoder.DownTargets{{Cookie: 77, Age: 300 * time.Millisecond}},

		KnowsZones: true,
	}}
}

func TestDatagramRoundTrip(t *testing.T) {
	g := NewWithT(t)
	beacon := sample()
	update := encoder.Datagram{Update: &cactuspin.Update{
		After: 3, Revision: 9, Removed: []cactuspin.RemovedTarget{{ID: "x", Revision: 8}},
		Targets: []cactuspin.RegisteredTarget{{ID: "y", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3}},
		Zones:   []cactuspin.ZoneState{{Zone: "a", Evacuated: true, Revision: 9}, {Zone: "b", Revision: 4}}, KnowsZones: true,
	}}
	for _, d := range []encoder.Datagram{beacon, update} {
		b, err := encoder.Encode(&d)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := encoder.Decode(b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(d))
	}
}

// Guards against hosts of two builds that do not understand each other during a rolling
// upgrade: messages of the build before lack the fields of zones, and it skips them in
// those of this build.
func TestMessagesOfTheBuildBefore(t *testing.T) {
	g := NewWithT(t)
	type oldUpdate struct {
		After      cactuspin.Revision `cbor:"1,keyasint"`
		Revision   cactuspin.Revision `cbor:"2,keyasint"`
		Full       bool               `cbor:"3,keyasint"`
		Age        time.Duration      `cbor:"4,keyasint"`
		HealthyFor time.Duration      `cbor:"5,keyasint"`
		Reader     netip.Addr         `cbor:"10,keyasint"`
	}
	before := oldUpdate{Revision: 9, Full: true, Age: time.Second, HealthyFor: time.Minute, Reader: netip.MustParseAddr("10.1.0.1")}
	b, err := cbor.Marshal(before)
	g.Expect(err).NotTo(HaveOccurred())
	u, err := encoder.DecodeUpdate(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(u).To(Equal(cactuspin.Update{Revision: 9, Full: true, Age: time.Second, HealthyFor: time.Minute, Reader: before.Reader}))
	same, err := encoder.EncodeUpdate(&u)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(same).To(Equal(b), "an update without zones has no bytes for them")
	u.KnowsZones, u.Zones = true, []cactuspin.ZoneState{{Zone: "a", Evacuated: true, Revision: 8}}
	b, err = encoder.EncodeUpdate(&u)
	g.Expect(err).NotTo(HaveOccurred())
	var read oldUpdate
	g.Expect(cbor.Unmarshal(b, &read)).To(Succeed())
	g.Expect(read).To(Equal(before))
}

func TestBeaconWithManyLoadsFitsIntoAFrame(t *testing.T) {
	g := NewWithT(t)
	d := sample()
	var loads encoder.Loads
	for i := range 22_000 {
		loads = append(loads, encoder.Load{Subject: encoder.Subject(i + 1), Flows: 9, ActiveRequests: uint16(i)})
	}
	loads[5].FailedRequests = 1
	d.Beacon.Loads, d.Beacon.Total = loads.Largest(), loads.Largest()
	var down encoder.DownTargets
	for i := range 500 {
		down = append(down, encoder.DownTarget{Cookie: cactuspin.Cookie(1e9 + i), Age: time.Duration(i%50) * time.Second})
	}
	d.Beacon.Down = down.Freshest()
	g.Expect(d.Beacon.Down).To(HaveLen(30))
	g.Expect(d.Beacon.Down[0].Age).To(BeZero())
	g.Expect(d.Beacon.Loads).To(ContainElements(loads[5], loads[21_999]))
	g.Expect(loads[:30].Largest()).To(HaveLen(30))
	b, err := encoder.Encode(&d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<=", encoder.MaxDatagramLength))
	for i := range encoder.MaxEligible {
		d.Beacon.Eligible = append(d.Beacon.Eligible, netip.AddrFrom4([4]byte{10, 255, 255, byte(i)}))
	}
	for range encoder.MaxReturns {
		d.Beacon.Returns = append(d.Beacon.Returns, encoder.ZoneReturn{Zone: "eu-central-1a", Since: time.Minute})
	}
	d.Beacon.Loads, d.Beacon.Total = loads.LargestBeside(d.Beacon), loads.LargestBeside(d.Beacon)
	b, err = encoder.Encode(&d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<=", encoder.MaxDatagramLength))
	decoded, err := encoder.Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(d))
}

// Guards against beacons of other processes that make a host remember anything.
func TestBeaconsWithUnusableListsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, change := range []func(b *encoder.Beacon){
		func(b *encoder.Beacon) { b.Eligible = make(encoder.Addresses, encoder.MaxEligible+1) },
		func(b *encoder.Beacon) { b.Returns = make([]encoder.ZoneReturn, encoder.MaxReturns+1) },
		func(b *encoder.Beacon) { b.Returns = []encoder.ZoneReturn{{Zone: "a", Since: -1}} },
	} {
		d := sample()
		change(d.Beacon)
		for i := range d.Beacon.Eligible {
			d.Beacon.Eligible[i] = netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
		}
		b, err := encoder.Encode(&d)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = encoder.Decode(b)
		g.Expect(err).To(HaveOccurred())
	}
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	g := NewWithT(t)
	empty, err := encoder.Encode(&encoder.Datagram{})
	g.Expect(err).NotTo(HaveOccurred())
	noAddress, err := encoder.Encode(&encoder.Datagram{Beacon: &encoder.Beacon{}})
	g.Expect(err).NotTo(HaveOccurred())
	for _, b := range [][]byte{nil, {0xff}, empty, noAddress} {
		_, err := encoder.Decode(b)
		g.Expect(err).To(HaveOccurred())
	}
}

// Knowledge from the future would never get old, so that its host would steer by it
// for ever.
func TestNegativeAgesAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, change := range []func(b *encoder.Beacon){
		func(b *encoder.Beacon) { b.Age = -time.Hour },
		func(b *encoder.Beacon) { b.HealthyFor = -time.Hour },
	} {
		d := sample()
		change(d.Beacon)
		b, err := encoder.Encode(&d)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = encoder.Decode(b)
		g.Expect(err).To(MatchError(ContainSubstring("negative")))
	}
	b, err := encoder.EncodeUpdate(&cactuspin.Update{Age: -1})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = encoder.DecodeUpdate(b)
	g.Expect(err).To(MatchError(ContainSubstring("negative")))
}

// The flow table and the prober take the four bytes of an address, which panics for
// any other kind of address.
func TestUpdatesWithoutIPv4AddressesAreRejected(t *testing.T) {
	g := NewWithT(t)
	six := netip.MustParseAddrPort("[2001:db8::1]:80")
	for _, u := range []cactuspin.Update{
		{Targets: []cactuspin.RegisteredTarget{{ID: "x"}}},
		{Targets: []cactuspin.RegisteredTarget{{ID: "x", Address: six}}},
		{Routing: &cactuspin.Routing{Routes: []cactuspin.Route{{Name: "r"}}}},
		{Routing: &cactuspin.Routing{Routes: []cactuspin.Route{{Name: "r", Address: six}}}},
		{Hosts: []cactuspin.EntryHost{{Zone: "a"}}},
	} {
		b, err := encoder.Encode(&encoder.Datagram{Update: &u})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = encoder.Decode(b)
		g.Expect(err).To(MatchError(ContainSubstring("IPv4")))
		b, err = encoder.EncodeUpdate(&u)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = encoder.DecodeUpdate(b)
		g.Expect(err).To(MatchError(ContainSubstring("IPv4")))
	}
}

func FuzzDecode(f *testing.F) {
	d := sample()
	b, err := encoder.Encode(&d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = encoder.Decode(b)
		_, _ = encoder.DecodeUpdate(b)
	})
}

// Guards against fleets of the size that the system is built for whose hosts cannot fetch
// updates: the decoder's own limit is 131,072 elements.
func TestAnUpdateOfAllTargetsIsAccepted(t *testing.T) {
	g := NewWithT(t)
	u := cactuspin.Update{Full: true, Revision: 7, Targets: make([]cactuspin.RegisteredTarget, 140_000)}
	for i := range u.Targets {
		u.Targets[i] = cactuspin.RegisteredTarget{ID: cactuspin.TargetID(strconv.Itoa(i)), Service: "s", Zone: "z", Slots: 2, Address: netip.MustParseAddrPort("10.1.2.3:80")}
	}
	b, err := encoder.EncodeUpdate(&u)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := encoder.DecodeUpdate(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Targets).To(HaveLen(140_000))
}

// The messages of the previous build: no eras, and no fields above 14.
type formerBeacon struct {
	Host       cactuspin.EntryHost `cbor:"1,keyasint"`
	Revision   cactuspin.Revision  `cbor:"3,keyasint"`
	LastChange cactuspin.Revision  `cbor:"4,keyasint"`
	Age        time.Duration       `cbor:"5,keyasint"`
	Complete   bool                `cbor:"7,keyasint,omitempty"`
}

type formerUpdate struct {
	After    cactuspin.Revision `cbor:"1,keyasint"`
	Revision cactuspin.Revision `cbor:"2,keyasint"`
	Full     bool               `cbor:"3,keyasint"`
}

type formerDatagram struct {
	Beacon *formerBeacon `cbor:"1,keyasint,omitempty"`
	Update *formerUpdate `cbor:"2,keyasint,omitempty"`
}

// Guards against a rolling upgrade in which hosts of two builds cannot read each other.
func TestHostsOfThePreviousBuildIgnoreEras(t *testing.T) {
	g := NewWithT(t)
	beacon := sample()
	beacon.Beacon.Era, beacon.Beacon.Version = 4, 12
	update := encoder.Datagram{Update: &cactuspin.Update{Era: 4, After: 3, Revision: 9}}
	for _, d := range []encoder.Datagram{beacon, update} {
		b, err := encoder.Encode(&d)
		g.Expect(err).NotTo(HaveOccurred())
		var former formerDatagram
		g.Expect(cbor.Unmarshal(b, &former)).To(Succeed())
		if former.Beacon != nil {
			g.Expect(former.Beacon.Revision).To(Equal(cactuspin.Revision(7)))
		} else {
			g.Expect(*former.Update).To(Equal(formerUpdate{After: 3, Revision: 9}))
		}
		decoded, err := encoder.Decode(b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(d))
	}
	b, err := cbor.Marshal(formerDatagram{Beacon: &formerBeacon{Host: beacon.Beacon.Host, Revision: 7, Complete: true}})
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := encoder.Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Beacon.Era).To(BeZero())
}

// Guards against more bytes between the hosts of a deployment whose store names no era.
func TestMessagesWithoutAnEraAreNotLonger(t *testing.T) {
	g := NewWithT(t)
	d := sample()
	b, err := encoder.Encode(&d)
	g.Expect(err).NotTo(HaveOccurred())
	var fields map[int]map[int]any
	g.Expect(cbor.Unmarshal(b, &fields)).To(Succeed())
	g.Expect(fields[1]).NotTo(HaveKey(15))
	g.Expect(fields[1]).NotTo(HaveKey(16))
}

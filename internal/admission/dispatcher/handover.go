package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
)

// recordsPerPart is the maximum number of records in one message of a handover.
const recordsPerPart = 500

// HandOver ends an authority on this host and returns what another host needs to hold
// it: the records of all its requests. The outcomes of requests still in progress
// follow as updates.
func (d *Dispatcher) HandOver(now cactuspin.Time, i cactuspin.Incarnation) (parts []cactuspin.Handover) {
	r := d.authorities[i]
	if r == nil {
		return nil
	}
	delete(d.authorities, i)
	r.Expire(now)
	d.handedOver[r] = i
	all := r.Records()
	for len(all) > 0 {
		n := min(len(all), recordsPerPart)
		parts = append(parts, cactuspin.Handover{Service: d.cfg.Service, Records: all[:n]})
		all = all[n:]
	}
	if len(parts) == 0 {
		parts = append(parts, cactuspin.Handover{Service: d.cfg.Service})
	}
	for x := range parts {
		parts[x].Floor = r.Floor()
		parts[x].Incarnation = i
	}
	return parts
}

// SetSuccessor sets the host that receives the outcomes of requests that were in
// progress at a handover.
func (d *Dispatcher) SetSuccessor(h cactuspin.HostID) { d.successor = h }

// setOutcome records the outcome of a job and, if its authority was handed over,
// sends it to the successor.
func (d *Dispatcher) setOutcome(j *job, rec cactuspin.Record, out *cactuspin.Actions) {
	if j.records == nil {
		return
	}
	j.records.SetOutcome(j.key, rec)
	i, ok := d.handedOver[j.records]
	if !ok || d.successor == 0 {
		return
	}
	rec.Key = j.key
	out.Peer(d.successor, cactuspin.PeerMessage{Handover: &cactuspin.Handover{
		Incarnation: i,
		Service:     d.cfg.Service,
		Records:     []cactuspin.Record{rec},
	}})
}

// UpdateRecords records the outcomes of requests that were in progress at a handover
// to this host.
func (d *Dispatcher) UpdateRecords(h cactuspin.Handover) {
	r := d.authorities[h.Incarnation]
	if r == nil {
		return
	}
	for _, rec := range h.Records {
		r.SetOutcome(rec.Key, rec)
	}
}

// TakeOver takes over an authority with its records.
func (d *Dispatcher) TakeOver(now cactuspin.Time, hs []cactuspin.Handover) {
	if len(hs) == 0 {
		return
	}
	r := recorder.New(d.cfg.Records)
	for _, h := range hs {
		r.RaiseFloor(h.Floor)
		for _, rec := range h.Records {
			r.Import(now, rec)
		}
	}
	d.authorities[hs[0].Incarnation] = r
}

// EndAuthority ends an authority that was taken over, once none of its cookies can be
// accepted any more.
func (d *Dispatcher) EndAuthority(i cactuspin.Incarnation) {
	if i != d.cfg.Incarnation {
		delete(d.authorities, i)
	}
}

// HoldsAuthority reports whether this host holds the authority of an incarnation.
func (d *Dispatcher) HoldsAuthority(i cactuspin.Incarnation) bool { return d.authorities[i] != nil }

package dispatcher

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
)

// recordsPerPart is the number of records in one message of a handover.
const recordsPerPart = 500

// HandOver returns what another host needs to hold an authority of this host:
// the records of every request that it judged. The authority here ends; the
// outcomes of requests still under way follow as updates.
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

// SetSuccessor names the host that gets the outcomes of requests that were under way
// at a handover.
func (d *Dispatcher) SetSuccessor(h cactuspin.HostID) { d.heir = h }

// settle stores the outcome of a job and tells it to the heir of its authority.
func (d *Dispatcher) settle(j *job, rec cactuspin.Record, out *cactuspin.Actions) {
	if j.records == nil {
		return
	}
	j.records.SetOutcome(j.key, rec)
	i, ok := d.handedOver[j.records]
	if !ok || d.heir == 0 {
		return
	}
	rec.Key = j.key
	out.Peer(d.heir, cactuspin.PeerMessage{Handover: &cactuspin.Handover{
		Incarnation: i,
		Service:     d.cfg.Service,
		Records:     []cactuspin.Record{rec},
	}})
}

// UpdateRecords takes the outcome of a request that was under way at a handover.
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

// EndAuthority ends an authority that was taken over, when no cookie of it can
// still be accepted.
func (d *Dispatcher) EndAuthority(i cactuspin.Incarnation) {
	if i != d.cfg.Incarnation {
		delete(d.authorities, i)
	}
}

// HoldsAuthority tells whether this host has the authority of an incarnation.
func (d *Dispatcher) HoldsAuthority(i cactuspin.Incarnation) bool { return d.authorities[i] != nil }

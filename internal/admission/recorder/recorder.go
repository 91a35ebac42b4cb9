// Package recorder remembers the requests that an authority has judged, so that
// each runs at most once. Its memory is bounded: what it forgets raises a floor,
// and a cookie issued at or below the floor is too old to judge.
package recorder

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// Config configures a Recorder.
type Config struct {
	// Lifetime is how long a record is kept.
	Lifetime time.Duration
	// Capacity is the most records kept.
	Capacity int
}

// Recorder holds the records of one authority. It is not safe for concurrent
// use.
type Recorder struct {
	cfg     Config
	records map[uint64]*entry
	// queue holds the records in the order of their arrival.
	queue []*entry
	head  int
	floor uint32
}

type entry struct {
	record cactuspin.Record
	since  cactuspin.Time
	// adopted is set when the request was begun by another host.
	adopted bool
}

// adoptedPatience is how long the outcome of a request that another host began
// is waited for. It is longer than any deadline.
const adoptedPatience = 65 * time.Second

// New returns an empty Recorder.
func New(c Config) *Recorder {
	return &Recorder{cfg: c, records: make(map[uint64]*entry)}
}

// Verdict is what a Recorder knows of a request.
type Verdict uint8

// The verdicts of Claim.
const (
	// VerdictNew means that the request was recorded and may run now.
	VerdictNew Verdict = iota
	// VerdictKnown means that the request was judged before.
	VerdictKnown
	// VerdictTooOld means that a record may have been forgotten.
	VerdictTooOld
)

// Claim records a request as pending unless it is known or its cookie, issued
// at issued seconds, is too old.
func (r *Recorder) Claim(now cactuspin.Time, key uint64, issued uint32) (rec *cactuspin.Record, v Verdict) {
	r.Expire(now)
	if e, ok := r.records[key]; ok {
		if e.adopted && e.record.State == cactuspin.RecordPending && now.Sub(e.since) >= adoptedPatience {
			e.record.State = cactuspin.RecordUnknown
		}
		return &e.record, VerdictKnown
	}
	if r.tooOld(now, issued) {
		return nil, VerdictTooOld
	}
	if len(r.records) >= r.cfg.Capacity {
		r.forget()
		if issued <= r.floor {
			return nil, VerdictTooOld
		}
	}
	return r.add(now, cactuspin.Record{Key: key, Issued: issued, State: cactuspin.RecordPending}), VerdictNew
}

// SetOutcome stores the outcome of a request.
func (r *Recorder) SetOutcome(key uint64, rec cactuspin.Record) {
	e, ok := r.records[key]
	if !ok {
		return
	}
	rec.Key = key
	rec.Issued = e.record.Issued
	e.record = rec
}

// Import adds a record that another host handed over.
func (r *Recorder) Import(now cactuspin.Time, rec cactuspin.Record) {
	if _, ok := r.records[rec.Key]; ok {
		return
	}
	r.add(now, rec)
	r.records[rec.Key].adopted = true
}

// RaiseFloor makes all cookies issued at or before issued too old.
func (r *Recorder) RaiseFloor(issued uint32) { r.floor = max(r.floor, issued) }

// Floor returns the issue time at and below which nothing new is accepted.
func (r *Recorder) Floor() uint32 { return r.floor }

// Len returns the number of records.
func (r *Recorder) Len() int { return len(r.records) }

// Records returns a copy of all records, the oldest first.
func (r *Recorder) Records() (all []cactuspin.Record) {
	for _, e := range r.queue[r.head:] {
		all = append(all, e.record)
	}
	return all
}

// Expire forgets the records that are older than the lifetime.
func (r *Recorder) Expire(now cactuspin.Time) {
	for r.head < len(r.queue) && now.Sub(r.queue[r.head].since) >= r.cfg.Lifetime {
		r.forget()
	}
}

// tooOld also refuses a cookie from the far future: its record would be
// forgotten while the cookie still counts as fresh.
func (r *Recorder) tooOld(now cactuspin.Time, issued uint32) bool {
	life := int64(r.cfg.Lifetime / time.Second)
	age := int64(now.Seconds()) - int64(issued)
	return issued <= r.floor || age > life || age < -life
}

func (r *Recorder) add(now cactuspin.Time, rec cactuspin.Record) *cactuspin.Record {
	e := &entry{record: rec, since: now}
	r.records[rec.Key] = e
	r.queue = append(r.queue, e)
	return &e.record
}

// forget drops the oldest record. The floor rises to its issue time, so that a
// late copy of the request is not taken for a new one.
func (r *Recorder) forget() {
	e := r.queue[r.head]
	r.queue[r.head] = nil
	r.head++
	delete(r.records, e.record.Key)
	r.RaiseFloor(e.record.Issued)
	if r.head > len(r.queue)/2 && r.head > compactAfter {
		r.queue = append([]*entry(nil), r.queue[r.head:]...)
		r.head = 0
	}
}

// compactAfter is the number of forgotten records after which the queue's
// memory is taken back.
const compactAfter = 1024

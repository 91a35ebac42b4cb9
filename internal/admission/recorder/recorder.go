// Package recorder records the requests of an authority, so that each is executed at
// most once. Its memory is bounded: removing a record raises a floor, and a cookie
// issued at or before the floor is too old to tell whether its request ran.
package recorder

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// Config configures a Recorder.
type Config struct {
	// Lifetime is how long a record is kept.
	Lifetime time.Duration
	// Capacity is the maximum number of records.
	Capacity int
}

// Recorder holds the records of one authority. It is not safe for concurrent
// use.
type Recorder struct {
	cfg     Config
	records map[uint64]*entry
	// queue holds the records in the order in which they were added; those before
	// head have been removed.
	queue []*entry
	head  int
	floor uint32
}

type entry struct {
	record  cactuspin.Record
	addedAt cactuspin.Time
	// imported is set if another host received the request.
	imported bool
}

// importedTimeout is how long an imported record may stay pending before its outcome
// counts as unknown. It is longer than any deadline.
const importedTimeout = 65 * time.Second

// New returns an empty Recorder.
func New(c Config) *Recorder {
	return &Recorder{cfg: c, records: make(map[uint64]*entry)}
}

// Verdict is the result of Claim.
type Verdict uint8

// The verdicts of Claim.
const (
	// VerdictNew means that the request was recorded and may run now.
	VerdictNew Verdict = iota
	// VerdictKnown means that the request has a record already.
	VerdictKnown
	// VerdictTooOld means that a record of the request may have been removed.
	VerdictTooOld
)

// Claim records a request as pending, unless it has a record or its cookie is too
// old. issued is the time at which the cookie was issued, in seconds since the Unix
// epoch.
func (r *Recorder) Claim(now cactuspin.Time, key uint64, issued uint32) (rec *cactuspin.Record, v Verdict) {
	r.Expire(now)
	if e, ok := r.records[key]; ok {
		if e.imported && e.record.State == cactuspin.RecordPending && now.Sub(e.addedAt) >= importedTimeout {
			e.record.State = cactuspin.RecordUnknown
		}
		return &e.record, VerdictKnown
	}
	if r.tooOld(now, issued) {
		return nil, VerdictTooOld
	}
	if len(r.records) >= r.cfg.Capacity {
		r.dropOldest()
		if issued <= r.floor {
			return nil, VerdictTooOld
		}
	}
	return r.add(now, cactuspin.Record{Key: key, Issued: issued, State: cactuspin.RecordPending}), VerdictNew
}

// SetOutcome stores the outcome of a request that has a record.
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
	r.records[rec.Key].imported = true
}

// RaiseFloor makes all cookies issued at or before issued too old.
func (r *Recorder) RaiseFloor(issued uint32) { r.floor = max(r.floor, issued) }

// Floor returns the issue time at or before which cookies are too old.
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

// Expire removes the records that are older than the lifetime.
func (r *Recorder) Expire(now cactuspin.Time) {
	for r.head < len(r.queue) && now.Sub(r.queue[r.head].addedAt) >= r.cfg.Lifetime {
		r.dropOldest()
	}
}

// tooOld reports whether a cookie is outside the lifetime of records. It also rejects
// a cookie from the far future: its record would be removed while the cookie still
// counts as valid.
func (r *Recorder) tooOld(now cactuspin.Time, issued uint32) bool {
	lifetime := int64(r.cfg.Lifetime / time.Second)
	age := int64(now.Seconds()) - int64(issued)
	return issued <= r.floor || age > lifetime || age < -lifetime
}

func (r *Recorder) add(now cactuspin.Time, rec cactuspin.Record) *cactuspin.Record {
	e := &entry{record: rec, addedAt: now}
	r.records[rec.Key] = e
	r.queue = append(r.queue, e)
	return &e.record
}

// dropOldest removes the oldest record. The floor rises to its issue time, so that a
// late duplicate of the request is not treated as a new one.
func (r *Recorder) dropOldest() {
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

// compactAfter is the number of removed records after which the memory of the queue
// is released.
const compactAfter = 1024

package recorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/admission/recorder"
)

const start = cactuspin.Time(1_800_000_000) * cactuspin.Time(time.Second)

func claim(r *recorder.Recorder, now cactuspin.Time, key uint64, issued uint32) recorder.Verdict {
	_, v := r.Claim(now, key, issued)
	return v
}

func TestDuplicateRequestIsKnown(t *testing.T) {
	g := NewWithT(t)
	r := recorder.New(recorder.Config{Lifetime: time.Minute, Capacity: 10})
	g.Expect(claim(r, start, 1, start.Seconds())).To(Equal(recorder.VerdictNew))
	g.Expect(claim(r, start.Add(59*time.Second), 1, start.Seconds())).To(Equal(recorder.VerdictKnown))
}

func TestDuplicateOfExpiredRequestIsTooOld(t *testing.T) {
	g := NewWithT(t)
	r := recorder.New(recorder.Config{Lifetime: time.Minute, Capacity: 10})
	claim(r, start, 1, start.Seconds())
	later := start.Add(61 * time.Second)
	g.Expect(claim(r, later, 1, start.Seconds())).To(Equal(recorder.VerdictTooOld))
	g.Expect(claim(r, later, 2, later.Seconds())).To(Equal(recorder.VerdictNew))
}

func TestRemovedRecordsAreNeverNewAgain(t *testing.T) {
	g := NewWithT(t)
	const capacity = 10
	r := recorder.New(recorder.Config{Lifetime: time.Hour, Capacity: capacity})
	now := start
	for key := range uint64(10 * capacity) {
		now = now.Add(time.Second)
		g.Expect(claim(r, now, key, now.Seconds())).To(Equal(recorder.VerdictNew))
	}
	g.Expect(r.Len()).To(Equal(capacity))
	for key := range uint64(10 * capacity) {
		issued := start.Add(time.Duration(key+1) * time.Second).Seconds()
		g.Expect(claim(r, now, key, issued)).NotTo(Equal(recorder.VerdictNew), "key %d", key)
	}
}

func TestCookieFromFarFutureIsTooOld(t *testing.T) {
	g := NewWithT(t)
	r := recorder.New(recorder.Config{Lifetime: time.Minute, Capacity: 10})
	g.Expect(claim(r, start, 1, start.Add(time.Hour).Seconds())).To(Equal(recorder.VerdictTooOld))
}

func TestImportedPendingRecordBecomesUnknown(t *testing.T) {
	g := NewWithT(t)
	r := recorder.New(recorder.Config{Lifetime: time.Hour, Capacity: 10})
	r.Import(start, cactuspin.Record{Key: 1, Issued: start.Seconds(), State: cactuspin.RecordPending})
	rec, _ := r.Claim(start.Add(time.Second), 1, start.Seconds())
	g.Expect(rec.State).To(Equal(cactuspin.RecordPending))
	rec, _ = r.Claim(start.Add(2*time.Minute), 1, start.Seconds())
	g.Expect(rec.State).To(Equal(cactuspin.RecordUnknown))
}

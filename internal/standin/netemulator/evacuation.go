package netemulator

import "time"

// evacuationBound is the time after which no new flow reaches an evacuated zone; it is the
// bound in the hosts' settings.
const evacuationBound = 5 * time.Second

// Evacuate evacuates a zone.
func (tb *Testbed) Evacuate(zone int) {
	tb.store.Put("op/evacuate/"+zoneName(zone), []byte("{}"))
	tb.oracle.zoneEvacuated(zoneName(zone), time.Now())
}

// Return ends the evacuation of a zone.
func (tb *Testbed) Return(zone int) {
	tb.oracle.zoneEvacuated(zoneName(zone), time.Time{})
	tb.store.Remove("op/evacuate/" + zoneName(zone))
}

// zoneEvacuated records since when a zone is evacuated; the zero time means that it has
// returned.
func (o *Oracle) zoneEvacuated(zone string, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuatedSince[zone] = since
}

// flowOpened records that a flow opened at a target of a zone.
func (o *Oracle) flowOpened(zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.evacuatedSince[zone]
	if since.IsZero() {
		return
	}
	if time.Since(since) > evacuationBound && time.Now().After(o.gracePeriodEnd) {
		o.report.EvacuatedFlows++
	}
}

package netemulator

import (
	"math/rand/v2"
	"time"
)

const (
	// reregistrationTime is the longest time until a target has written its registration
	// again after a restore of the store.
	reregistrationTime = 1500 * time.Millisecond
	// reconfigurationTime is the time until the operators have written the configuration
	// again.
	reconfigurationTime = time.Second
)

// RestoreStore lets the store fail for some time and then come back from its last backup.
// The targets and the operators write again what they wrote before.
func (tb *Testbed) RestoreStore(outage time.Duration) {
	tb.store.SetFailing(true)
	time.Sleep(outage)
	tb.store.Restore()
	tb.store.SetFailing(false)
	for _, t := range tb.targets {
		time.AfterFunc(time.Duration(rand.Int64N(int64(reregistrationTime))), t.writeAgain)
		time.AfterFunc(registrationTimeout, t.expire)
	}
	time.AfterFunc(reconfigurationTime, func() {
		tb.configurationMu.Lock()
		defer tb.configurationMu.Unlock()
		tb.putConfiguration(int(tb.version.Load()))
	})
}

// writeAgain writes the registration of a target that is alive.
func (t *Target) writeAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down && !t.stopped {
		t.register()
	}
}

// expire removes a registration that a backup has brought back and nobody writes again.
func (t *Target) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.stopped {
		t.store.Remove("servers/" + t.id)
	}
}

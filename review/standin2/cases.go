package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"foreign-entry": {
			shape: shape{desks: [3]int{2, 2, 2}, shelves: [3]int{1, 1, 1}, workTime: 60 * time.Millisecond},
			run:   runForeignEntry,
		},
		"cold-zone": {
			shape: shape{desks: [3]int{1, 1, 1}, shelves: [3]int{1, 1, 1}, workTime: 10 * time.Millisecond, limited: shelf, warmup: 15 * time.Second, warmupRate: 5},
			run:   runColdZone,
		},
		"draining": {
			shape: shape{desks: [3]int{1, 2, 2}, shelves: [3]int{1, 1, 1}, workTime: 20 * time.Millisecond},
			run:   runDraining,
		},
		"zone-return": {
			shape: shape{desks: [3]int{3, 2, 2}, shelves: [3]int{1, 1, 1}, workTime: 10 * time.Millisecond, limited: desk, warmup: 5 * time.Second, warmupRate: 5},
			run:   runZoneReturn,
		},
	}
}

// runForeignEntry lets another writer replace the entry of an endpoint of the shelf by one
// without a start time that names the other service, three times. The endpoint writes its
// own entry again with its next heartbeat.
func runForeignEntry(ctx context.Context, d *deployment, trouble bool) error {
	d.traffic.checkRoutes = true
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for z := range zoneCount {
		for i, route := range []string{order, diagram} {
			r, err := d.newRequester(z, i)
			if err != nil {
				return err
			}
			d.single(trafficCtx, r, route, 40)
		}
	}
	target := d.endpointsOf(shelf, 0)[0]
	for range 3 {
		time.Sleep(4 * time.Second)
		if trouble {
			target.overwrite(map[string]any{"service": desk, "born": nil})
		}
	}
	time.Sleep(4 * time.Second)
	cancel()
	d.group.Wait()
	return nil
}

// Numbers of the rule on programs that end by themselves: on a tenth of the hosts, two at
// least, three times.
const (
	tolerableEnds  = 2
	tolerableHosts = 1
)

// runColdZone evacuates a zone and takes it back. While the only endpoint of the shelf there
// is cold, another writer replaces its entry several times by one without a start time that
// names another zone.
func runColdZone(ctx context.Context, d *deployment, trouble bool) error {
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range 4 {
		r, err := d.newRequester(0, i)
		if err != nil {
			return err
		}
		d.single(trafficCtx, r, diagram, 100)
	}
	time.Sleep(2 * time.Second)
	d.evacuate(0, 4*time.Second)
	e := d.endpointsOf(shelf, 0)[0]
	e.coolDown(scenarios()["cold-zone"].shape.warmup)
	for range 6 {
		time.Sleep(2 * time.Second)
		if trouble {
			e.overwrite(map[string]any{"zone": zoneName(1), "warmup_left_ms": 0, "born": nil})
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	d.group.Wait()
	ended := 0
	for _, h := range d.hosts {
		d.rec.add("host %s ended by itself %d times", h.name, h.ownEnds)
		if h.ownEnds > tolerableEnds {
			ended++
		}
	}
	if ended > tolerableHosts {
		d.rec.violation("Fault: the processes of %d of %d hosts ended by themselves three times or more, with no disturbance there", ended, len(d.hosts))
	}
	return nil
}

// runDraining drains an endpoint that has open flows. Meanwhile the store is down for 4.5 s,
// and the entries expire. All endpoints write theirs again within two seconds of its return.
func runDraining(ctx context.Context, d *deployment, trouble bool) error {
	d.traffic.checkResets = true
	r, err := d.newRequester(0, 0)
	if err != nil {
		return err
	}
	target := d.endpointsOf(desk, 0)[0]
	var flows []*flow
	for i := range 8 {
		f := r.newFlow(d.routes[feed])
		if !f.connect(ctx) || !f.request(ctx, fmt.Sprintf("feed-%d-1", i)) {
			return fmt.Errorf("flow %s was not served", f.local)
		}
		flows = append(flows, f)
	}
	time.Sleep(5 * time.Second)
	for i, f := range flows {
		if !f.request(ctx, fmt.Sprintf("feed-%d-2", i)) {
			return fmt.Errorf("flow %s was not served", f.local)
		}
	}
	target.drain()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.outage()
	} else {
		time.Sleep(outageLength)
	}
	time.Sleep(500 * time.Millisecond)
	for i, f := range flows {
		d.group.Go(func() { d.traffic.countResult(f.request(ctx, fmt.Sprintf("feed-%d-3", i))) })
	}
	d.group.Wait()
	time.Sleep(3 * time.Second)
	return nil
}

// outageLength is the length of an outage of the store.
const outageLength = 4500 * time.Millisecond

// outage makes the store reject all calls for 4.5 s. The entries expire after three
// heartbeats; the endpoints write them again 1 to 1.8 s after the store's return.
func (d *deployment) outage() {
	d.rec.add("the store is down")
	d.store.SetFailing(true)
	for _, e := range d.endpoints {
		e.setOffline(true)
	}
	time.Sleep(3 * heartbeatInterval)
	for _, e := range d.endpoints {
		e.lapse()
	}
	time.Sleep(outageLength - 3*heartbeatInterval)
	d.store.SetFailing(false)
	d.rec.add("the store is back")
	for i, e := range d.endpoints {
		time.AfterFunc(time.Second+time.Duration(i)*800*time.Millisecond/time.Duration(len(d.endpoints)), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.offline = false
			e.register()
		})
	}
}

// Numbers of the rule on cold endpoints: warmup_overrun and warmup_slack of the settings.
const (
	warmupOverrun = 1.5
	warmupSlack   = 5
)

// runZoneReturn evacuates a zone and takes it back, six times. Its endpoints are cold then.
// A tenth of a second after each return all hosts are killed.
func runZoneReturn(ctx context.Context, d *deployment, trouble bool) error {
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range 3 {
		r, err := d.newRequester(0, i)
		if err != nil {
			return err
		}
		d.single(trafficCtx, r, order, 40)
	}
	s := scenarios()["zone-return"].shape
	limit := int(s.warmupRate*warmupOverrun + warmupSlack)
	for range 6 {
		time.Sleep(2 * time.Second)
		// Returns come at any time between two heartbeats.
		d.evacuate(0, 4*time.Second+rand.N(heartbeatInterval))
		returned := time.Now()
		for _, e := range d.endpointsOf(desk, 0) {
			e.coolDown(s.warmup)
		}
		time.Sleep(100 * time.Millisecond)
		if trouble {
			for _, h := range d.hosts {
				h.kill()
			}
		}
		time.Sleep(s.warmup)
		for _, e := range d.endpointsOf(desk, 0) {
			most := d.traffic.mostInASecond(e, returned, returned.Add(s.warmup))
			d.rec.add("endpoint %s: at most %d new flows in a second while cold, limit %d", e.id, most, limit)
			if most > limit {
				d.rec.violation("FAILBACK: cold endpoint %s got %d requests in one second, %d are allowed", e.id, most, limit)
			}
		}
	}
	cancel()
	d.group.Wait()
	return nil
}

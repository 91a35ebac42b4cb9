package main

import (
	"encoding/json"
	"errors"
	"os"
	"time"
)

// calm is how long all is calm before a disruption, longer than stable_ms.
const calm = 6 * time.Second

// putForeign writes an entry of another writer under servers/.
func (d *deployment) putForeign(id string, value []byte) {
	d.store.Put("servers/"+id, value)
	for _, e := range d.endpoints {
		if e.id == id {
			// The endpoint's next heartbeat writes its own entry again.
			e.mu.Lock()
			e.registered = false
			e.mu.Unlock()
		}
	}
	d.rec.add("another writer: servers/%s = %q", id, value)
}

// routeMoves moves the routes with long flows to a new service, while the old one goes
// on, and then restarts the hosts in turn. The flows that are open must stay where they
// are.
func routeMoves(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(calm)
	if trouble && os.Getenv("TROUBLE") != "restart" {
		d.configure(12, map[string]string{"feed": serviceNext, "entry": serviceNext, "order": serviceClaims, "pack": serviceReceipts})
	}
	time.Sleep(calm)
	if trouble {
		for _, h := range d.hosts {
			d.restart(h)
		}
	}
	time.Sleep(calm)
	return d.count().brokenFlows > 0, nil
}

// foreignEndpoint writes an entry with missing fields that names the address of an
// endpoint of another service.
func foreignEndpoint(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(calm)
	if trouble {
		for _, e := range d.endpoints {
			if e.service == serviceReceipts {
				// version and seq_no are missing.
				b, err := json.Marshal(map[string]any{
					"service": serviceClaims, "address": e.address.String(), "zone": e.zone, "slots": 3,
					"state": "ready", "warmup_left_ms": 0, "born": time.Now().UnixMilli(),
				})
				if err == nil {
					d.putForeign("host-0", b)
				}
				break
			}
		}
	}
	time.Sleep(2 * calm)
	return d.count().wrongService > 0, nil
}

// foreignShadow writes an entry of a service that no configuration names for the
// address of each endpoint, and then kills all hosts.
func foreignShadow(d *deployment, trouble bool) (broken bool, err error) {
	began := time.Now()
	time.Sleep(calm)
	fault := time.Now()
	if trouble {
		entries := d.endpoints
		if os.Getenv("TROUBLE") == "kill" {
			entries = nil
		}
		for _, e := range entries {
			b, err := json.Marshal(map[string]any{
				"service": "inventory", "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": 1,
				"state": "ready", "warmup_left_ms": 0, "seq_no": 1, "born": time.Now().UnixMilli(),
			})
			if err == nil {
				d.putForeign("a"+e.id[2:], b)
			}
		}
		fault = time.Now()
		d.killAll()
	}
	for time.Sleep(time.Second); !d.hostsReady(); time.Sleep(probeInterval / 5) {
		if time.Since(fault) > startTimeout {
			return false, errors.New("the hosts are not back")
		}
	}
	back := time.Now()
	d.rec.add("all entry hosts are back")
	const recovery = 12 * time.Second
	const window = 12 * time.Second
	time.Sleep(recovery + window + 3*time.Second)
	before, _ := d.servedShare(began, fault)
	after, sent := d.servedShare(back.Add(recovery), back.Add(recovery+window))
	d.rec.add("share served before the fault: %.3f; of %d requests sent later than %s after the hosts were back: %.3f", before, sent, recovery, after)
	return before >= 0.25 && after < 0.25, nil
}

// foreignOverwrite lets another writer overwrite the entry of one living endpoint with
// bytes that cannot be read. The endpoint writes its entry again at its next heartbeat.
func foreignOverwrite(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(calm)
	if trouble {
		d.putForeign(d.endpoints[0].id, []byte("\xff\xfe\x00 not an entry"))
	}
	time.Sleep(calm)
	return d.count().brokenFlows > 0, nil
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// Ports of a deployment; they are the same on all machines.
const (
	packetPort   = 8172
	readyPort    = 8167
	controlPort  = 8166
	endpointPort = 8080
	storePort    = 8169
)

// Last octets of the first addresses of hosts, endpoints and requesters of a zone.
const (
	firstHost      = 10
	firstEndpoint  = 50
	firstRequester = 100
)

// Services and routes.
const (
	desk    = "desk"
	shelf   = "shelf"
	feed    = "feed"
	order   = "order"
	diagram = "diagram"
)

// routeSpec is a route as its requesters use it.
type routeSpec struct {
	name    string
	address netip.AddrPort
	size    int
}

// deployment is a small deployment: three zones with two hosts each.
type deployment struct {
	network   byte
	folder    string
	rec       *recorder
	store     *metastore.Store
	server    *http.Server
	routers   *routers
	traffic   *traffic
	hosts     []*host
	endpoints []*endpoint
	routes    map[string]*routeSpec
	group     sync.WaitGroup
}

// shape is what the cases need differently.
type shape struct {
	// desks and shelves are the numbers of endpoints of the services in each zone.
	desks, shelves [3]int
	// limited is the service whose cold endpoints have a limit, warmup the time for which
	// they are cold, warmupRate what a cold one bears in a second.
	limited    string
	warmup     time.Duration
	warmupRate float64
	workTime   time.Duration
}

// zoneCount and hostsPerZone give the size of a deployment.
const (
	zoneCount    = 3
	hostsPerZone = 2
)

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }

func (d *deployment) address(zone, last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(zone + 1), byte(last)})
}

// storeAddress is where the store listens.
func (d *deployment) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(d.address(249, 1), storePort)
}

// newDeployment starts the store, the endpoints and the hosts.
func newDeployment(ctx context.Context, rec *recorder, s *shape) (d *deployment, err error) {
	d = &deployment{rec: rec, store: metastore.New(), routers: newRouters()}
	if d.folder, err = os.MkdirTemp("", "cactuspin-review"); err != nil {
		return nil, err
	}
	if err := d.listenStore(ctx); err != nil {
		return nil, err
	}
	d.traffic = newTraffic(rec, map[string]string{feed: desk, order: desk, diagram: shelf})
	virtual := func(last byte, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network, 200, last}), port)
	}
	d.routes = map[string]*routeSpec{
		feed: {feed, virtual(1, 443), 4000}, order: {order, virtual(1, 8443), 600}, diagram: {diagram, virtual(2, 443), 20000},
	}
	if err := d.putConfiguration(s); err != nil {
		return nil, err
	}
	for z := range zoneCount {
		for range s.desks[z] {
			if _, err := d.addEndpoint(ctx, s, desk, z, 0); err != nil {
				return nil, err
			}
		}
		for range s.shelves[z] {
			if _, err := d.addEndpoint(ctx, s, shelf, z, 0); err != nil {
				return nil, err
			}
		}
	}
	return d, d.startHosts(ctx)
}

// listenStore starts the store on a network that no other deployment uses.
func (d *deployment) listenStore(ctx context.Context) error {
	for range 20 {
		d.network = byte(20 + rand.IntN(200))
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp4", d.storeAddress().String())
		if err != nil {
			continue
		}
		d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
		go func() { _ = d.server.Serve(l) }()
		return nil
	}
	return errors.New("no free network")
}

// putConfiguration writes the configuration.
func (d *deployment) putConfiguration(s *shape) error {
	kinds := map[string]string{feed: "idempotent", order: "non_idempotent", diagram: "download"}
	var routes []map[string]any
	for _, name := range []string{feed, order, diagram} {
		r := d.routes[name]
		routes = append(routes, map[string]any{
			"name": name, "host": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()), "kind": kinds[name],
			"timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": d.traffic.routes[name], "max_attempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{desk, shelf} {
		v := map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false}
		if name == s.limited {
			v["warmup_s"], v["warmup_per_s"] = s.warmup.Seconds(), s.warmupRate
		}
		services = append(services, v)
	}
	b, err := json.Marshal(map[string]any{"version": 6, "routes": routes, "services": services, "limits": map[string]int{"idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	d.store.Put("op/config", b)
	d.rec.add("configuration: %s", b)
	return nil
}

// addEndpoint starts an endpoint, which is cold for the warm-up time.
func (d *deployment) addEndpoint(ctx context.Context, s *shape, service string, zone int, warmup time.Duration) (*endpoint, error) {
	n := len(d.endpoints)
	number := uint64(0xa0000000) + uint64(rand.Uint32N(1<<24))<<4 + uint64(n)
	e := &endpoint{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zoneName(zone), warmup: warmup,
		address: netip.AddrPortFrom(d.address(zone, firstEndpoint+n), endpointPort), workTime: s.workTime,
		store: d.store, rec: d.rec, traffic: d.traffic, packetPort: packetPort,
	}
	d.endpoints = append(d.endpoints, e)
	d.traffic.add(e)
	return e, e.listen(ctx)
}

// endpointsOf returns the endpoints of a service in a zone.
func (d *deployment) endpointsOf(service string, zone int) (found []*endpoint) {
	for _, e := range d.endpoints {
		if e.service == service && e.zone == zoneName(zone) {
			found = append(found, e)
		}
	}
	return found
}

func (d *deployment) startHosts(ctx context.Context) error {
	var seeds []string
	for z := range zoneCount {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(d.address(z, firstHost), controlPort)))
		for i := range hostsPerZone {
			h := &host{name: fmt.Sprintf("front-%s-%d", zoneName(z), i+1), zone: zoneName(z), address: d.address(z, firstHost+i), rec: d.rec}
			d.hosts = append(d.hosts, h)
			d.routers.zones[h.zone] = append(d.routers.zones[h.zone], h)
		}
	}
	for i, h := range d.hosts {
		if err := h.writeSettings(d.folder, i, seeds, d.storeAddress()); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for range 100 {
		ready := 0
		for _, h := range d.hosts {
			if d.routers.isReady(ctx, h) {
				ready++
			}
		}
		if ready == len(d.hosts) {
			go d.routers.run(ctx)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("hosts are not ready after 5 s")
}

// newRequester returns a requester machine of a zone.
func (d *deployment) newRequester(zone, index int) (*requester, error) {
	r := &requester{
		zone: zoneName(zone), address: d.address(zone, firstRequester+index), packetPort: packetPort,
		routers: d.routers, rec: d.rec, traffic: d.traffic,
	}
	return r, r.listen()
}

// single sends requests at a rate, each on a flow of its own, until the context ends.
func (d *deployment) single(ctx context.Context, r *requester, route string, perSecond float64) {
	d.group.Go(func() {
		interval := time.Duration(float64(time.Second) / perSecond)
		for n := 0; ctx.Err() == nil; n++ {
			d.group.Go(func() { d.requestOnce(ctx, r, route, n) })
			time.Sleep(interval/2 + rand.N(interval))
		}
	})
}

func (d *deployment) requestOnce(ctx context.Context, r *requester, route string, n int) {
	f := r.newFlow(d.routes[route])
	defer f.forget()
	ctx = context.WithoutCancel(ctx)
	if !f.connect(ctx) {
		d.rec.add("flow %s was not opened, reset %t", f.local, f.reset)
		d.traffic.countResult(false)
		return
	}
	answered := f.request(ctx, fmt.Sprintf("%s-%s-%d", route, r.address, n))
	d.traffic.countResult(answered)
	if answered {
		f.close()
	}
}

// evacuate evacuates a zone and takes it back.
func (d *deployment) evacuate(zone int, length time.Duration) {
	d.rec.add("zone %s is evacuated", zoneName(zone))
	d.store.Put("op/evacuate/"+zoneName(zone), []byte("{}"))
	time.Sleep(length)
	d.rec.add("zone %s is taken back", zoneName(zone))
	d.store.Remove("op/evacuate/" + zoneName(zone))
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.stop()
	}
	for _, e := range d.endpoints {
		e.close()
	}
	_ = d.server.Close()
	_ = os.RemoveAll(d.folder)
}

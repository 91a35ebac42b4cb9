package balancer

import (
	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/knowledge/tracker"
)

// Apply applies a change of the knowledge.
func (b *Balancer) Apply(now cactuspin.Time, c *tracker.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range c.Targets {
		b.setTarget(now, &c.Targets[i])
	}
	b.renumber(c.Renumbered)
	b.verifyReappeared(now, c.Reappeared)
	for _, id := range c.Unreadable {
		b.unreadable[CookieOf(id)] = true
	}
	for _, r := range c.Removed {
		delete(b.unreadable, CookieOf(r.ID))
		delete(b.unnamed, r.ID)
		if t := b.targets[r.ID]; t != nil {
			t.end(now, r.Hold)
			b.removed = append(b.removed, t)
			delete(b.targets, r.ID)
		}
	}
	for i := range c.Zones {
		b.evacuations.apply(now, &c.Zones[i])
	}
	if len(c.Zones) > 0 && len(b.warmups.settings) > 0 {
		b.warmups.collect(now, b.services)
	}
	if c.Routing != nil {
		b.setRouting(now, c.Routing)
	}
	if b.warmups.changed {
		b.warmups.count(now)
	}
}

func (b *Balancer) setRouting(now cactuspin.Time, r *cactuspin.Routing) {
	t := &routeTable{version: r.Version, idleTimeout: r.IdleTimeout, routes: make(map[endpoint]*route, len(r.Routes))}
	old := b.routes.Load()
	for i := range r.Routes {
		e := endpointOf(r.Routes[i].Address)
		x := &route{Route: &r.Routes[i], answers: &answerSizes{}, responseTimes: &responseTimes{}, lengths: &flowLengths{}}
		if old != nil && old.routes[e] != nil {
			x.answers, x.responseTimes, x.lengths = old.routes[e].answers, old.routes[e].responseTimes, old.routes[e].lengths
		}
		t.routes[e] = x
	}
	b.routes.Store(t)
	b.setWarmups(now, r)
	b.setNamedServices(now, r)
}

// setNamedServices marks the services that the configuration names, and uses the
// registrations that waited for that.
func (b *Balancer) setNamedServices(now cactuspin.Time, r *cactuspin.Routing) {
	b.namedServices = map[cactuspin.ServiceName]bool{}
	for _, name := range r.Services {
		b.namedServices[name] = true
	}
	for i := range r.Routes {
		for _, w := range r.Routes[i].Services {
			b.namedServices[w.Service] = true
		}
	}
	for name, v := range b.services {
		v.named = b.namedServices[name]
	}
	for _, x := range b.unnamed {
		if b.namedServices[x.Service] {
			b.setTarget(now, &x)
		}
	}
}

func (b *Balancer) setTarget(now cactuspin.Time, r *cactuspin.RegisteredTarget) {
	delete(b.unreadable, CookieOf(r.ID))
	delete(b.unnamed, r.ID)
	t := b.targets[r.ID]
	if t != nil && t.registered.Service == r.Service && t.registered.Zone == r.Zone {
		if a := t.registered.Address; a != r.Address {
			b.byAddress.remove(t, a)
			defer b.byAddress.add(t)
		}
		t.update(now, r)
		b.warmups.update(now, t)
		return
	}
	if t != nil && t.registered.Service != r.Service && !b.namedServices[r.Service] {
		// The registration may be that of another writer, and t may be alive.
		t.registered.State = cactuspin.TargetUnreadable
		b.unnamed[r.ID] = *r
		return
	}
	if t != nil {
		t.end(now, 0)
		b.removed = append(b.removed, t)
	}
	v := b.services[r.Service]
	if v == nil {
		v = &service{name: r.Service, named: b.namedServices[r.Service], evacuations: b.evacuations, warmups: b.warmups, limit: b.warmups.of(r.Service)}
		b.services[r.Service] = v
	}
	t = newTarget(now, r, v)
	if old := b.byCookie.add(t); old != nil {
		old.zone.remove(old)
	}
	t.zone.targets = append(t.zone.targets, t)
	t.zone.partition = partition{}
	b.byAddress.add(t)
	b.targets[r.ID] = t
	b.warmups.update(now, t)
}

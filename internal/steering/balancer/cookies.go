package balancer

import (
	"slices"

	"github.com/cactuspin/cactuspin"
)

// cookieIndex indexes the targets of all services by cookie. A cookie usually has one
// target; a target that changes its service under its ID is listed once per service.
type cookieIndex map[cactuspin.Cookie][]*target

// add adds a target in place of another one of its service with the same cookie, which
// it returns if there was one.
func (x cookieIndex) add(t *target) (replaced *target) {
	targets := x[t.cookie]
	if i := slices.IndexFunc(targets, func(o *target) bool { return o.service == t.service }); i >= 0 {
		replaced, targets[i] = targets[i], t
		return replaced
	}
	x[t.cookie] = append(targets, t)
	return nil
}

// remove removes a target unless another one has replaced it.
func (x cookieIndex) remove(t *target) {
	targets := slices.DeleteFunc(x[t.cookie], func(o *target) bool { return o == t })
	if len(targets) == 0 {
		delete(x, t.cookie)
		return
	}
	x[t.cookie] = targets
}

// find returns the target with cookie c for an open flow of a route, or nil. The flow
// may be older than the routing, so that its target can belong to a service to which the
// route no longer leads. Of several targets, one of the route's present services is
// preferred, then one that is still registered.
func (x cookieIndex) find(now cactuspin.Time, r *route, c cactuspin.Cookie) (found *target) {
	for _, t := range x[c] {
		if r.leadsTo(t.service.name) {
			return t
		}
		if found == nil || found.ended(now) {
			found = t
		}
	}
	return found
}

// leadsTo reports whether new flows of the route go to a service.
func (r *route) leadsTo(name cactuspin.ServiceName) bool {
	return slices.ContainsFunc(r.Services, func(w cactuspin.WeightedService) bool { return w.Service == name })
}

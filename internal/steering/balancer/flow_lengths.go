package balancer

import (
	"sync"

	"github.com/cactuspin/cactuspin"
)

const (
	// longFlowRequests is the number of requests from which a flow is long.
	longFlowRequests = 2
	// minFlowLengths is the number of flows from which the lengths of a route are used.
	minFlowLengths = 16
	// maxFlowLengths is the number of flows at which both counts are halved, so that a
	// change of the callers shows.
	maxFlowLengths = 256
)

// flowLengths counts the flows of a route with one request and with more. Where a long
// flow is opened decides about the load for its whole life, where a flow of one request is
// opened only about that request. It is safe for concurrent use.
type flowLengths struct {
	mu          sync.Mutex
	short, long int
}

func (x *flowLengths) record(long bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if long {
		x.long++
	} else {
		x.short++
	}
	if x.short+x.long >= maxFlowLengths {
		x.short, x.long = x.short/2, x.long/2
	}
}

// opensLongFlows reports whether a new flow of the route will probably have more than one
// request. Flows of requests that must not run twice are expected to have one.
func (r *route) opensLongFlows() bool {
	x := r.lengths
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.short+x.long < minFlowLengths {
		return r.Kind != cactuspin.WorkNonIdempotent
	}
	return x.long > x.short
}

// countRequest counts a request of the flow.
func (f *flow) countRequest() {
	if f.requests == longFlowRequests {
		return
	}
	if f.requests++; f.requests == longFlowRequests {
		f.route.lengths.record(true)
	}
}

// recordEnd records the end of the flow.
func (f *flow) recordEnd() {
	if f.requests > 0 && f.requests < longFlowRequests {
		f.route.lengths.record(false)
	}
}

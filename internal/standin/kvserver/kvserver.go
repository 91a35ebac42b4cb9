// Package kvserver emulates the platform: a key-value service with compare-and-swap
// and watches, and the list of hosts and targets. Faults can be switched on and off.
package kvserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
)

// FaultPath is the path at which faults are switched on and off.
const FaultPath = "/v1/faults"

// Faults are the faults of the platform that are switched on.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down,omitempty"`
	// DelayMilliseconds delays every answer.
	DelayMilliseconds int `json:"delay_milliseconds,omitempty"`
	// LoseAnswers is the number of writes that take effect but get no answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Stale makes reads return the value before the last write.
	Stale bool `json:"stale,omitempty"`
}

// Server is an HTTP server that emulates the platform.
type Server struct {
	mux *http.ServeMux

	mu     sync.Mutex
	values map[string][]platformclient.Value
	list   cactuspin.HostList
	faults Faults
	calls  uint64
	// changed is closed and replaced by every write.
	changed chan struct{}
}

// New returns an empty Server.
func New() *Server {
	s := &Server{values: make(map[string][]platformclient.Value), changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+platformclient.KeyPath+"{key}", s.get)
	s.mux.HandleFunc("PUT "+platformclient.KeyPath+"{key}", s.compareAndSwap)
	s.mux.HandleFunc("GET "+platformclient.HostListPath, s.getList)
	s.mux.HandleFunc("PUT "+platformclient.HostListPath, s.setList)
	return s
}

// ServeHTTP handles one call, subject to the current faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, FaultPath) {
		s.setFaults(w, r)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.calls++
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Calls returns the number of calls so far.
func (s *Server) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// wake wakes all waiting watches. s.mu must be held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait blocks until ready returns true, the requested time is over, or the platform is
// switched to down.
func (s *Server) wait(ctx context.Context, r *http.Request, ready func(after uint64) bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(seconds*float64(time.Second)))
	defer cancel()
	for {
		s.mu.Lock()
		changed := s.changed
		done := s.faults.Down || ready(after)
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.wait(r.Context(), r, func(after uint64) bool { return uint64(len(s.values[key])) > after })
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	vs := s.values[key]
	if s.faults.Stale && len(vs) > 1 {
		vs = vs[:len(vs)-1]
	}
	switch {
	case s.faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case len(vs) == 0:
		http.Error(w, "not found", http.StatusNotFound)
	case uint64(len(vs)) <= after && !s.faults.Stale:
		w.WriteHeader(http.StatusNotModified)
	default:
		write(w, vs[len(vs)-1])
	}
}

func (s *Server) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	var v platformclient.Value
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	if v.Revision != uint64(len(s.values[key])) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	v.Revision++
	s.values[key] = append(s.values[key], v)
	s.wake()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	write(w, v)
}

func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	s.wait(r.Context(), r, func(after uint64) bool { return s.list.Revision > after })
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case s.list.Revision <= after && after > 0:
		w.WriteHeader(http.StatusNotModified)
	default:
		write(w, s.list)
	}
}

func (s *Server) setList(w http.ResponseWriter, r *http.Request) {
	var l cactuspin.HostList
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.Revision = s.list.Revision + 1
	s.list = l
	s.wake()
	write(w, l)
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Package metastore emulates the platform's metadata store and its published formats:
// items, ranges, watches, transactions and leases over HTTP.
package metastore

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a page: it ends before the item with which it would exceed one of them, but
// has at least one item.
const (
	pageItems = 500
	// pageBytes limits the length of the values in base64.
	pageBytes = 1 << 20
)

// item is an item of the store, or the event of its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	// encoded is the item as answers list it. It is encoded once, when it is written, since
	// the platform's store begins its answers within milliseconds, however long they are.
	encoded []byte
}

// encode returns the item with its encoded form.
func (x item) encode() item {
	x.encoded, _ = json.Marshal(x) // The fields of an item always have a form in JSON.
	return x
}

// Store is an in-memory metadata store. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	compactedRevision uint64
	items             map[string]item
	history           []item
	leases            map[uint64]time.Duration
	changed           chan struct{}
	failing           bool
	// era is named by all answers; 0 means that none names it. backup is the content to
	// which a restore goes back.
	era    uint64
	backup content
	calls  int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[uint64]time.Duration{}, changed: make(chan struct{})}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	x := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		x.Created = old.Created
	}
	x = x.encode()
	s.items[key] = x
	s.record(x)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true}.encode())
	}
}

func (s *Store) record(x item) {
	s.history = append(s.history, x)
	s.wakeWatches()
}

// wakeWatches lets the watches that wait look at the store again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// CompactHistory drops the history, so that watches from older revisions fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// SetFailing makes the store reject all calls or accept them again.
func (s *Store) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
	s.wakeWatches()
}

// CallCount returns the number of calls received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	failing := s.failing
	s.writeEra(w)
	s.mu.Unlock()
	switch {
	case failing:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeepAlive(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeItems writes a list of items under a name, followed by other members.
func writeItems(w http.ResponseWriter, name string, items []item, others map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	members, _ := json.Marshal(others) // Numbers and booleans can always be encoded.
	_, _ = io.WriteString(w, `{"`+name+`":[`)
	for i := range items {
		if i > 0 {
			_, _ = io.WriteString(w, ",")
		}
		_, _ = w.Write(items[i].encoded)
	}
	_, _ = io.WriteString(w, "],"+string(members[1:])+"\n")
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	matching := []item{}
	s.mu.Lock()
	revision := s.revision
	s.writeEra(w)
	for k, x := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			matching = append(matching, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(matching, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := firstPage(matching)
	writeItems(w, "items", page, map[string]any{"has_more": len(page) < len(matching), "store_revision": revision})
}

// firstPage returns the items that fit into one page.
func firstPage(items []item) []item {
	bytes := 0
	for i := range items {
		bytes += base64.StdEncoding.EncodedLen(len(items[i].Value))
		if i == pageItems || (i > 0 && bytes > pageBytes) {
			return items[:i]
		}
	}
	return items
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events, changed, status := s.eventsAfter(q.Get("prefix"), after), s.changed, http.StatusOK
		if after < s.compactedRevision || after > s.revision {
			status = http.StatusGone
		}
		if s.failing {
			status = http.StatusServiceUnavailable
		}
		revision := s.revision
		s.writeEra(w)
		s.mu.Unlock()
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 || timedOut {
			writeItems(w, "events", events, map[string]any{"store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) []item {
	events := []item{}
	for _, x := range s.history {
		if x.Revision > after && strings.HasPrefix(x.Key, prefix) {
			events = append(events, x)
		}
	}
	return events
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.put(p.Key, p.Value, p.Lease)
	}
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	id := uint64(len(s.leases) + 1)
	s.leases[id] = time.Duration(t.TTL) * time.Millisecond
	writeJSON(w, map[string]any{"lease": id, "ttl_ms": t.TTL})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	ttl, ok := s.leases[id]
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]int64{"ttl_ms": ttl.Milliseconds()})
}

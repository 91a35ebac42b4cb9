package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// content is what a backup holds.
type content struct {
	revision, compactedRevision uint64
	items                       map[string]item
	history                     []item
	leases                      map[uint64]time.Duration
}

// SetEra makes all answers name an era, which each restore increases.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// BackUp copies the content.
func (s *Store) BackUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = content{
		revision: s.revision, compactedRevision: s.compactedRevision,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
	}
}

// Restore goes back to the last backup and begins a new era. Without a backup it does
// nothing.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.backup
	if b.items == nil {
		return
	}
	s.era++
	s.revision, s.compactedRevision = b.revision, b.compactedRevision
	s.items, s.history, s.leases = maps.Clone(b.items), slices.Clone(b.history), maps.Clone(b.leases)
	s.wakeWatches()
}

// Era returns the present era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// writeEra names the present era in the header of an answer. It is called under the lock
// under which the answer is made, so that both belong together.
func (s *Store) writeEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

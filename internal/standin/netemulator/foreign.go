package netemulator

import (
	"encoding/json"
	"maps"
	"strings"
	"time"
)

const (
	// rewriteTime is the longest time until a target finds its registration overwritten
	// and writes it again.
	rewriteTime = 1200 * time.Millisecond
	// maxValueLength is the length of the longest value of the store in bytes.
	maxValueLength = 1 << 20
)

// ForeignEntryKinds is the number of kinds of entries that another writer may leave.
const ForeignEntryKinds = 7

// PutForeignEntry lets another writer leave an entry of some kind about a target: under
// its key, at its address, or beside it.
func (tb *Testbed) PutForeignEntry(kind, target int) {
	t := tb.targets[target]
	key := "servers/" + t.id
	switch kind {
	case 0:
		tb.overwrite(t, "\xff\xfe\x00 no entry")
	case 1:
		tb.overwrite(t, t.foreign(map[string]any{"state": "unheard of"}))
	case 2:
		tb.overwrite(t, t.foreign(map[string]any{"service": "inventory"}))
	case 3:
		tb.overwrite(t, t.foreign(map[string]any{"seq_no": nil}))
	case 4:
		tb.store.Put(key+"b", []byte(t.foreign(map[string]any{"service": "inventory", "born": time.Now().UnixMilli()})))
	case 5:
		// The digits of this ID give the number that addresses any target.
		tb.store.Put("servers/host-0", []byte(t.foreign(map[string]any{"service": serviceDesk, "born": time.Now().UnixMilli()})))
	default:
		tb.store.Put(key+"c", []byte(strings.Repeat("[", maxValueLength)))
	}
}

// overwrite replaces the registration of a target, which writes it again later.
func (tb *Testbed) overwrite(t *Target, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.state != "ready" {
		return
	}
	tb.store.Put("servers/"+t.id, []byte(value))
	time.AfterFunc(rewriteTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.down && t.state == "ready" {
			t.register()
		}
	})
}

// foreign returns the registration of the target with some fields changed; those that
// are nil are left out.
func (t *Target) foreign(changes map[string]any) string {
	t.mu.Lock()
	entry := t.registration()
	t.mu.Unlock()
	maps.Copy(entry, changes)
	maps.DeleteFunc(entry, func(_ string, v any) bool { return v == nil })
	b, err := json.Marshal(entry)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

package metastore_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// valueLength is the length of the values in bytes.
const valueLength = 1 << 16

// writeRecorder records the length of the longest write.
type writeRecorder struct {
	*httptest.ResponseRecorder
	longest int
}

// Write implements io.Writer.
func (r *writeRecorder) Write(b []byte) (int, error) {
	r.longest = max(r.longest, len(b))
	return r.ResponseRecorder.Write(b)
}

// Guards against a store that begins long answers only when they are complete: hosts then
// give up the call, which the platform's store does not make them do.
func TestLongAnswersAreWrittenItemByItem(t *testing.T) {
	for _, path := range []string{"/kv-range?prefix=servers/", "/kv-watch?prefix=servers/&after=1&wait_ms=0"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			s := metastore.New()
			for _, key := range []string{"servers/a", "servers/b", "servers/c"} {
				s.Put(key, make([]byte, valueLength))
			}
			w := &writeRecorder{ResponseRecorder: httptest.NewRecorder()}
			s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
			g.Expect(w.longest).To(BeNumerically("<", 2*valueLength), "one item")
			var a struct {
				Items, Events []struct {
					Key   string `json:"key"`
					Value []byte `json:"value"`
				}
				HasMore  bool   `json:"has_more"`
				Revision uint64 `json:"store_revision"`
			}
			g.Expect(json.Unmarshal(w.Body.Bytes(), &a)).To(Succeed())
			items := slices.Concat(a.Items, a.Events)
			g.Expect(items).To(HaveLen(3))
			g.Expect(items[2].Key).To(Equal("servers/c"))
			g.Expect(items[2].Value).To(HaveLen(valueLength))
			g.Expect(a.Revision).To(Equal(uint64(4)))
		})
	}
}

package gossiper_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/internal/entry/gossiper"
	"github.com/cactuspin/cactuspin/internal/knowledge/encoder"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

const now = cactuspin.Time(1_000_000_000_000)

// Guards against hosts of the previous build that get whole updates again and again, and
// against changes that are sent to a host of another era.
func TestUpdatesForHostsOfOtherErasAndBuilds(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Config{Self: cactuspin.EntryHost{Address: netip.MustParseAddr("127.0.0.1"), Zone: "z"}, MaxFlows: 10})
	var out engine.Actions
	e.Tick(now, &out)
	e.StoreAnswered(now, out.Store, &cactuspin.Update{Era: 2, Full: true, Revision: 10, Routing: &cactuspin.Routing{Version: 3, Revision: 2}}, nil, &out)
	common := driver.Common{Logger: slog.New(slog.DiscardHandler), Clock: func() cactuspin.Time { return now }}
	h, err := gossiper.New(gossiper.Config{Common: common, Address: netip.MustParseAddrPort("127.0.0.1:0"), Engine: e})
	g.Expect(err).NotTo(HaveOccurred())
	for _, x := range []struct {
		query  string
		status int
		full   bool
	}{
		{"after=10", http.StatusOK, false},
		{"after=10&era=2", http.StatusOK, false},
		{"after=10&era=1", http.StatusOK, true},
		{"after=10&era=3", http.StatusServiceUnavailable, false},
		{"after=10&era=x", http.StatusBadRequest, false},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, gossiper.KnowledgePath+"?"+x.query, nil))
		g.Expect(w.Code).To(Equal(x.status), x.query)
		if x.status != http.StatusOK {
			continue
		}
		u, err := encoder.DecodeUpdate(w.Body.Bytes())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect([]any{u.Full, u.Era}).To(Equal([]any{x.full, cactuspin.Era(2)}), x.query)
	}
}

package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
)

// serveStatus serves a status as a host does, and returns the address.
func serveStatus(t *testing.T, g *WithT, s *cactuspin.EntryStatus) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Path).To(Equal(cactuspin.EntryStatusPath))
		g.Expect(json.NewEncoder(w).Encode(s)).To(Succeed())
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestSeveralHostsAreShownAsATable(t *testing.T) {
	g := NewWithT(t)
	one := serveStatus(t, g, &cactuspin.EntryStatus{Host: "h-1", Zone: "z", Ready: true, ReadsStore: true, Version: 7, KnowledgeAge: 0.1, Reader: "10.0.0.1", Targets: 9})
	two := serveStatus(t, g, &cactuspin.EntryStatus{Host: "h-2", Zone: "a", Ready: true, Version: 8, KnowledgeAge: 1.5, TargetsDown: []string{"i-5"}, EvacuatedZones: []string{"a", "b"}, Flows: 77})
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	silent := strings.TrimPrefix(gone.URL, "http://")

	var out, errOut strings.Builder
	g.Expect(Main([]string{"entry", one, two, silent}, &out, &errOut)).To(Equal(ExitSuccess), errOut.String())
	lines := strings.Split(out.String(), "\n")
	g.Expect(lines[1]).To(And(ContainSubstring(silent), ContainSubstring("no answer")))
	g.Expect(lines[2]).To(And(HavePrefix("a "), ContainSubstring("h-2")))
	g.Expect(lines[0]).To(ContainSubstring("EVACUATED"))
	g.Expect(strings.Fields(lines[2])[len(strings.Fields(lines[2]))-2:]).To(Equal([]string{"2", "77"}), "number of evacuated zones, and flows")
	g.Expect(lines[3]).To(And(HavePrefix("z "), ContainSubstring("ready, reads"), ContainSubstring("10.0.0.1")))
	g.Expect(out.String()).To(And(
		ContainSubstring("2 of 3 hosts answered, oldest knowledge 1.50s"),
		ContainSubstring("versions in force: 7 (1 host), 8 (1 host)"),
		ContainSubstring("targets down: i-5 (1 host)"),
		ContainSubstring("zones evacuated: a (1 host), b (1 host)"),
	))
}

func TestOneHostIsShownInFull(t *testing.T) {
	g := NewWithT(t)
	one := serveStatus(t, g, &cactuspin.EntryStatus{Host: "h-1", PacketsByReason: map[string]uint64{"placed": 3}})
	var out, errOut strings.Builder
	g.Expect(Main([]string{"entry", one}, &out, &errOut)).To(Equal(ExitSuccess), errOut.String())
	g.Expect(out.String()).To(ContainSubstring(`"placed":3`))
	g.Expect(Main([]string{"entry", one, one, "--caller", "10.0.0.1:1", "--service", "10.0.0.2:2"}, &out, &errOut)).To(Equal(ExitFailed))
	g.Expect(Main([]string{"entry", one, "--caller", "10.0.0.1:1"}, &out, &errOut)).To(Equal(ExitFailed))
}
